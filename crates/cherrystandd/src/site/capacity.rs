//! Giving domains to the models that are asked for.

use std::collections::{BTreeMap, BTreeSet};

use cherrystand_core::{
    CapacityPlanner, DomainCapacity, DomainId, EngineSpec, Heartbeat, HomeChange, Millis,
    ServiceName, SiteBox, home_models, owner_of, second_models,
};

use crate::site::control::Control;
use crate::site::site_state::SiteState;
use crate::state::View;

/// What the daemon that plans is chosen by, among those that decide for domains.
const PLANNER_KEY: &str = "capacity";

/// For how long after the first start of all daemons hosts are given a second model: their loads
/// cost nothing before the first request.
const FREE_LOAD_PERIOD: Millis = Millis(8_500);

/// Which model each domain is for, and which one its hosts are to hold besides.
#[derive(Clone, Debug, Default)]
pub(super) struct HomeModels {
    /// The model that each domain is for.
    pub(super) home: BTreeMap<DomainId, String>,
    /// The model that hosts are to hold besides, where loads are free or it is worth them.
    pub(super) second: BTreeMap<DomainId, String>,
}

impl Control {
    /// Returns which models the domains are for.
    pub(super) fn choose_home_models(&self, known: &SiteState, engine: &EngineSpec) -> HomeModels {
        let policy = self.cx.settings.policy;
        if !policy.home_models {
            return HomeModels::default();
        }
        let first = home_models(engine, &known.boxes_by_domain(), &known.home_models());
        let free = self.is_first_start() && self.now() < FREE_LOAD_PERIOD && self.is_idle();
        let mut second = match policy.follow_demand {
            true => known.second_models(),
            false => BTreeMap::new(),
        };
        second.retain(|domain, model| first.get(domain) != Some(model));
        if policy.follow_demand && free {
            second.extend(second_models(engine, &first));
        }
        HomeModels { home: first, second }
    }

    /// Tells whether no model has any request in flight.
    fn is_idle(&self) -> bool {
        let loads = self.cx.model_loads.borrow();
        loads.values().flat_map(BTreeMap::values).all(|load| load.requests == 0.0)
    }

    /// Gives a domain to another model where the requests in flight want that; one daemon plans.
    pub(super) async fn plan_capacity(&self, view: &View, readers: &[&Heartbeat]) {
        let plans = owner_of(PLANNER_KEY, readers.iter().copied()) == Some(&view.own.node);
        if !plans || !self.cx.settings.policy.follow_demand {
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

    /// Says how many replicas each model keeps busy, for the log.
    fn busy_replicas(&self) -> String {
        let plans = self.capacity_plans.borrow();
        let models = plans.values().flat_map(|plan| plan.busy_replicas());
        let busy: Vec<String> = models.map(|(model, busy)| format!("{model} {busy:.1}")).collect();
        busy.join(", ")
    }

    fn home_changes(&self) -> Vec<HomeChange> {
        let now = self.now();
        let loads = self.cx.model_loads.borrow().clone();
        let planned =
            self.with_each_plan(|plan, service, engine, domains| match loads.get(service) {
                Some(loads) => plan.step(now, engine, loads, domains),
                None => Vec::new(),
            });
        planned.concat()
    }

    fn preload_changes(&self) -> Vec<HomeChange> {
        let now = self.now();
        let planned =
            self.with_each_plan(|plan, _, engine, domains| plan.preload(now, engine, domains));
        planned.into_iter().flatten().collect()
    }

    /// Asks the plan of each service with an engine that requests are in flight for.
    fn with_each_plan<T>(
        &self,
        mut ask: impl FnMut(&mut CapacityPlanner, &ServiceName, &EngineSpec, &[DomainCapacity]) -> T,
    ) -> Vec<T> {
        let known = self.state.borrow();
        let Some(table) = known.table() else {
            return Vec::new();
        };
        let homes = known.home_models();
        let mut plans = self.capacity_plans.borrow_mut();
        let services: Vec<ServiceName> = self.cx.model_loads.borrow().keys().cloned().collect();
        let asked = services.iter().filter_map(|service| {
            let engine = table.config().engine(service)?;
            let domains = domain_uses(&known, service, &homes);
            let plan = plans.entry(service.clone()).or_default();
            Some(ask(plan, service, engine, &domains))
        });
        asked.collect()
    }
}

/// Describes the domains of a service to the plan; boxes of emptied zones count for nothing.
fn domain_uses(
    known: &SiteState,
    service: &ServiceName,
    homes: &BTreeMap<DomainId, String>,
) -> Vec<DomainCapacity> {
    let by_domain = known.boxes_by_domain();
    let (emptied, seconds) = (known.evacuations.since(), known.second_models());
    let described = homes.iter().filter_map(|(id, home)| {
        let boxes = by_domain.get(id)?;
        let serves = |known: &&&SiteBox| !emptied.contains_key(&known.zone);
        let boxes: Vec<&SiteBox> = boxes.iter().filter(serves).copied().collect();
        let of_service = boxes.first().is_some_and(|known| &known.service == service);
        of_service.then(|| describe_domain(id, home, seconds.get(id), &boxes))
    });
    described.collect()
}

fn describe_domain(
    id: &DomainId,
    home: &str,
    second: Option<&String>,
    boxes: &[&SiteBox],
) -> DomainCapacity {
    let mut held: BTreeMap<String, usize> = BTreeMap::new();
    for known in boxes.iter().filter(|known| !known.leaving) {
        let models: BTreeSet<&String> = known.staged.iter().chain(&known.loaded).collect();
        for model in models {
            *held.entry(model.clone()).or_default() += 1;
        }
    }
    let boxes = boxes.iter().filter(|known| !known.leaving).count();
    let (id, home, second) = (id.clone(), home.to_owned(), second.cloned());
    DomainCapacity { id, home, boxes_by_model: held, boxes, second }
}
