//! Asks endpoints whether they are cold while nobody can read their entries.
//!
//! Source: docs/design/0023-evacuated-zones-and-cold-endpoints.md.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use cherrystand_core::{
    BoxId, ColdChecks, ColdPeriodUpdate, LoadBalancer, Millis, RequestRate, rate_limit_owner_of,
};
use cherrystand_platform::SiteDriver;

use crate::DutyContext;
use crate::settings::SiteSettings;
use crate::site::Driver;
use crate::site::box_client::BoxClient;
use crate::site::load_exchange::LoadExchange;

/// The timeout of a question to an endpoint.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(250);

/// The shortest pause between two looks at the endpoints.
const MIN_PAUSE: Millis = Millis(100);

/// An endpoint whose service takes fewer requests from cold endpoints.
struct Endpoint {
    id: BoxId,
    address: SocketAddr,
    /// The requests per second that it takes while it is cold.
    rate: RequestRate,
}

/// Asks endpoints for as long as the daemon serves callers.
pub(crate) async fn check_cold_endpoints(
    cx: DutyContext,
    balancer: Rc<RefCell<LoadBalancer>>,
    loads: Rc<LoadExchange>,
    boxes: Rc<BoxClient>,
) {
    let budget = cx.settings.site.as_ref().map(SiteSettings::propagation_budget);
    let mut checks = ColdChecks::new(budget.unwrap_or_default());
    let checker = Rc::new(ColdChecker { cx, balancer, loads, boxes });
    loop {
        let now = checker.cx.clock.now();
        let age = checker.cx.store_freshness.age(now);
        // An idle daemon looks at no endpoint at all.
        let endpoints = match checks.check_at(age, now) > now {
            true => Vec::new(),
            false => checker.owned_endpoints(),
        };
        let due = checks.due(age, endpoints.iter().map(|endpoint| endpoint.id.clone()), now);
        for endpoint in endpoints.into_iter().filter(|endpoint| due.contains(&endpoint.id)) {
            tokio::task::spawn_local(checker.clone().ask(endpoint));
        }
        let next = checks.check_at(age, now).max(now + MIN_PAUSE);
        checker.cx.clock.sleep_until(next).await;
    }
}

struct ColdChecker {
    cx: DutyContext,
    balancer: Rc<RefCell<LoadBalancer>>,
    loads: Rc<LoadExchange>,
    boxes: Rc<BoxClient>,
}

impl ColdChecker {
    /// Returns the endpoints in service whose rate limits this daemon owns.
    fn owned_endpoints(&self) -> Vec<Endpoint> {
        let site = self.cx.site.borrow().clone();
        let Some(table) = site.routes.as_ref() else { return Vec::new() };
        let view = self.cx.current_view();
        let targets = site.targets(&self.cx.settings.zone, self.cx.settings.regions());
        let endpoints = targets.into_iter().filter_map(|(spec, address)| {
            let cold = table.config().service(&spec.service)?.cold?;
            let owner = rate_limit_owner_of(&spec.id, &view.own.node, &view.members);
            let is_own = owner.address.is_none() && spec.evacuated_since.is_none();
            is_own.then_some(Endpoint { id: spec.id, address, rate: cold.rate })
        });
        endpoints.collect()
    }

    async fn ask(self: Rc<Self>, endpoint: Endpoint) {
        let call = Driver::health_call(&endpoint.id);
        let answer = self.boxes.call(&endpoint.id, endpoint.address, call, ANSWER_TIMEOUT).await;
        let result = if answer.is_ok() { "answered" } else { "silent" };
        self.cx.metrics.probes.with_label_values(&[result]).inc();
        let answer = match answer {
            Ok(answer) => answer,
            Err(err) => {
                let id = endpoint.id.as_str();
                return log::debug!(target_box = id; "a box did not answer a health check: {err}");
            }
        };
        let left = answer.signals::<Driver>().cold_remaining;
        if let Some(left) = left.filter(|left| *left > Millis(0)) {
            self.record_cold(&endpoint, left);
        }
    }

    fn record_cold(&self, endpoint: &Endpoint, left: Millis) {
        let cold = ColdPeriodUpdate { rate: endpoint.rate, left }.to_period(self.cx.clock.now());
        let mut balancer = self.balancer.borrow_mut();
        let limits = balancer.rate_limits_mut();
        if limits.limit(&endpoint.id).is_none() {
            log::info!(
                target_box = endpoint.id.as_str(), left_ms = left.0;
                "a box says in a health check that it is cold"
            );
        }
        limits.set_cold_period(&endpoint.id, Some(cold));
        self.loads.limits_due.notify_one();
    }
}
