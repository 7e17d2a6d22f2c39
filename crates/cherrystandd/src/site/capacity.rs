//! Assigns domains to models by demand.

use std::collections::{BTreeMap, BTreeSet};

use cherrystand_core::{
    CapacityPlanner, DomainCapacity, DomainId, EngineSpec, Heartbeat, HomeChange, Millis,
    ServiceName, SiteBox, home_models, owner_of, second_models,
};

use crate::site::control::Control;
use crate::site::site_state::SiteState;
use crate::state::View;

/// The key that determines which of the daemons that decide for domains plans capacity.
const PLANNER_KEY: &str = "capacity";

/// How long after the first start of all daemons hosts are given a second model. Loads cost nothing
/// before the first request.
const FREE_LOAD_PERIOD: Millis = Millis(8_500);

/// The models that the domains are assigned to.
#[derive(Clone, Debug, Default)]
pub(super) struct HomeModels {
    /// The home model of each domain: the one that its replicas serve.
    pub(super) home: BTreeMap<DomainId, String>,
    /// The model that each domain's hosts hold in addition, if loads are free or the demand is
    /// worth a load.
    pub(super) second: BTreeMap<DomainId, String>,
}

impl Control {
    /// Chooses the models that the domains are assigned to.
    pub(super) fn choose_home_models(&self, state: &SiteState, engine: &EngineSpec) -> HomeModels {
        let policy = self.cx.settings.policy;
        if !policy.home_models {
            return HomeModels::default();
        }
        let home = home_models(engine, &state.boxes_by_domain(), &state.home_models());
        let free = self.is_first_start() && self.now() < FREE_LOAD_PERIOD && self.is_idle();
        let mut second = match policy.follow_demand {
            true => state.second_models(),
            false => BTreeMap::new(),
        };
        second.retain(|domain, model| home.get(domain) != Some(model));
        if policy.follow_demand && free {
            second.extend(second_models(engine, &home));
        }
        HomeModels { home, second }
    }

    /// Returns whether no model has a request in flight.
    fn is_idle(&self) -> bool {
        let loads = self.cx.model_loads.borrow();
        loads.values().flat_map(BTreeMap::values).all(|load| load.requests == 0.0)
    }

    /// Assigns domains to other models if the requests in flight call for it. Only one daemon
    /// plans.
    pub(super) async fn plan_capacity(&self, view: &View, readers: &[&Heartbeat]) {
        let is_planner = owner_of(PLANNER_KEY, readers.iter().copied()) == Some(&view.own.node);
        if !is_planner || !self.cx.settings.policy.follow_demand {
            return;
        }
        for change in self.home_changes() {
            let busy = self.busy_replicas();
            log::info!(
                domain = change.domain.as_str(), busy = busy.as_str();
                "the domain is for {} now", change.home
            );
            let (revision, mut record) = self.state.borrow().record(&change.domain);
            record.home = Some(change.home);
            record.second = None;
            self.write_record(&change.domain, revision, record).await;
        }
        for change in self.preload_changes() {
            let busy = self.busy_replicas();
            log::info!(
                domain = change.domain.as_str(), busy = busy.as_str();
                "the hosts of the domain load {} besides", change.home
            );
            let (revision, mut record) = self.state.borrow().record(&change.domain);
            record.second = Some(change.home);
            self.write_record(&change.domain, revision, record).await;
        }
    }

    /// Formats how many replicas each model keeps busy, for the log.
    fn busy_replicas(&self) -> String {
        let planners = self.capacity_planners.borrow();
        let models = planners.values().flat_map(|planner| planner.busy_replicas());
        let busy: Vec<String> = models.map(|(model, busy)| format!("{model} {busy:.1}")).collect();
        busy.join(", ")
    }

    fn home_changes(&self) -> Vec<HomeChange> {
        let now = self.now();
        let loads = self.cx.model_loads.borrow().clone();
        let changes =
            self.with_each_planner(|planner, service, engine, domains| match loads.get(service) {
                Some(loads) => planner.step(now, engine, loads, domains),
                None => Vec::new(),
            });
        changes.concat()
    }

    fn preload_changes(&self) -> Vec<HomeChange> {
        let now = self.now();
        let changes = self
            .with_each_planner(|planner, _, engine, domains| planner.preload(now, engine, domains));
        changes.into_iter().flatten().collect()
    }

    /// Calls `f` with the planner of each service that has an engine and requests in flight.
    fn with_each_planner<T>(
        &self,
        mut f: impl FnMut(&mut CapacityPlanner, &ServiceName, &EngineSpec, &[DomainCapacity]) -> T,
    ) -> Vec<T> {
        let state = self.state.borrow();
        let Some(table) = state.table() else {
            return Vec::new();
        };
        let homes = state.home_models();
        let mut planners = self.capacity_planners.borrow_mut();
        let services: Vec<ServiceName> = self.cx.model_loads.borrow().keys().cloned().collect();
        let results = services.iter().filter_map(|service| {
            let engine = table.config().engine(service)?;
            let domains = domain_capacities(&state, service, &homes);
            let planner = planners.entry(service.clone()).or_default();
            Some(f(planner, service, engine, &domains))
        });
        results.collect()
    }
}

/// Describes the domains of a service to the planner, without the boxes in evacuated zones.
fn domain_capacities(
    state: &SiteState,
    service: &ServiceName,
    homes: &BTreeMap<DomainId, String>,
) -> Vec<DomainCapacity> {
    let by_domain = state.boxes_by_domain();
    let (evacuated, seconds) = (state.evacuations.since(), state.second_models());
    let capacities = homes.iter().filter_map(|(id, home)| {
        let boxes = by_domain.get(id)?;
        let serves = |site_box: &&&SiteBox| !evacuated.contains_key(&site_box.zone);
        let boxes: Vec<&SiteBox> = boxes.iter().filter(serves).copied().collect();
        let is_of_service = boxes.first().is_some_and(|site_box| &site_box.service == service);
        is_of_service.then(|| describe_domain(id, home, seconds.get(id), &boxes))
    });
    capacities.collect()
}

fn describe_domain(
    id: &DomainId,
    home: &str,
    second: Option<&String>,
    boxes: &[&SiteBox],
) -> DomainCapacity {
    let mut held: BTreeMap<String, usize> = BTreeMap::new();
    for site_box in boxes.iter().filter(|site_box| !site_box.leaving) {
        let models: BTreeSet<&String> = site_box.staged.iter().chain(&site_box.loaded).collect();
        for model in models {
            *held.entry(model.clone()).or_default() += 1;
        }
    }
    let boxes = boxes.iter().filter(|site_box| !site_box.leaving).count();
    let (id, home, second) = (id.clone(), home.to_owned(), second.cloned());
    DomainCapacity { id, home, boxes_by_model: held, boxes, second }
}
