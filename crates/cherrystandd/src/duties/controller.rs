//! The duty that observes and controls this daemon's share of the fabric domains.
//!
//! Two daemons probe the boxes of each domain, so that evidence continues when one of them dies.
//! The first of the two also controls the domain, under a lease. The lease only avoids duplicate
//! work: safety rests on the compare-and-swap of the domain's record and on the epochs in orders.

use std::collections::BTreeMap;
use std::time::Duration;

use cherrystand_core::{
    Controller, ControllerInput, Document, DomainId, DomainRecord, Millis, Order, ReadySince,
    Revision, ServingState, desired_in_domain, rank_by_hash,
};
use cherrystand_platform::{EngineClient, KeyValue, Lease, PlatformClient, PlatformError, Swap};

use crate::counting_client::CountingClient;
use crate::duties::prober::{Prober, boxes_to_probe};
use crate::kernel::{Duty, DutyScope};
use crate::state::{StateEvent, View};
use crate::{DutyContext, DutyError, StopPhase, clock, keys, write_ids};

/// How many daemons probe the boxes of one domain.
const OBSERVERS_PER_DOMAIN: usize = 2;

/// The time between two steps of the control loop.
const STEP_INTERVAL: Duration = Duration::from_millis(250);

/// How long a lease on a domain is valid.
const LEASE_TTL: Duration = Duration::from_secs(10);

/// How long before its expiry a lease is renewed.
const LEASE_RENEWAL_LEAD: Millis = Millis(5_000);

/// How long a daemon waits before it asks again for a lease that it did not get.
const LEASE_RETRY_DELAY: Millis = Millis(2_000);

/// How long a new controller observes before its first decision, so that every box was probed.
const INITIAL_OBSERVATION_TIME: Millis = Millis(1_500);

inventory::submit! {
    Duty { name: "controller", scope: DutyScope::Workspaces, run }
}

fn run(cx: DutyContext) -> Result<(), DutyError> {
    cx.run_local(async {
        let mut duty = DomainDuty::new(cx.clone());
        tokio::select! {
            () = duty.run() => {}
            () = cx.wait_for_stop(StopPhase::Stopped) => {}
        }
    })
}

struct DomainDuty {
    cx: DutyContext,
    prober: Prober,
    platform: CountingClient<PlatformClient>,
    engines: EngineClient,
    domains: BTreeMap<DomainId, ControlledDomain>,
    ready_since: ReadySince,
    last_probe: Option<Millis>,
}

/// The state of a domain that this daemon controls.
struct ControlledDomain {
    controller: Controller,
    started_at: Millis,
    leased_until: Option<Millis>,
    next_lease_call: Millis,
}

impl DomainDuty {
    fn new(cx: DutyContext) -> Self {
        Self {
            prober: Prober::new(cx.clone()),
            platform: CountingClient::new(&cx, "controller"),
            engines: EngineClient::default(),
            domains: BTreeMap::new(),
            ready_since: ReadySince::default(),
            last_probe: None,
            cx,
        }
    }

    async fn run(&mut self) {
        let mut interval = tokio::time::interval(STEP_INTERVAL);
        interval.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        loop {
            interval.tick().await;
            let view = self.cx.current_view();
            let observed = observed_domains(&view);
            self.probe_boxes(&view, &observed);
            self.publish_evidence(&view, &observed);
            let controlled: Vec<DomainId> =
                observed.into_iter().filter(|(_, rank)| *rank == 0).map(|(id, _)| id).collect();
            self.release_domains(&controlled).await;
            self.ready_since.observe(&view.formed_replicas(), self.cx.clock.now());
            for domain in controlled {
                self.control_domain(&view, domain).await;
            }
        }
    }

    /// Releases the domains that another daemon controls from now on.
    async fn release_domains(&mut self, controlled: &[DomainId]) {
        let released: Vec<DomainId> =
            self.domains.keys().filter(|id| !controlled.contains(id)).cloned().collect();
        for domain in released {
            let domain_state = self.domains.remove(&domain);
            if domain_state.is_some_and(|domain_state| domain_state.leased_until.is_some()) {
                let holder = self.cx.settings.node.as_str();
                let name = lease_name(&domain);
                // If this fails, the lease expires by itself.
                let _ = self.platform.lease(&name, holder, Duration::ZERO).await;
            }
        }
    }

    fn probe_boxes(&mut self, view: &View, observed: &[(DomainId, usize)]) {
        let now = self.cx.clock.now();
        let interval = Millis(self.cx.settings.repair.probe_ms);
        if self.last_probe.is_some_and(|last| now.since(last) < interval) {
            return;
        }
        self.last_probe = Some(now);
        let records = observed.iter().map(|(domain, _)| record_of(view, domain).1);
        let boxes: Vec<_> =
            records.flat_map(|record| boxes_to_probe(&view.fleet, &record)).collect();
        self.prober.keep_only(&boxes);
        for id in boxes {
            if let Some(info) = view.fleet.get(&id) {
                self.prober.probe(id, info.address);
            }
        }
    }

    fn publish_evidence(&self, view: &View, observed: &[(DomainId, usize)]) {
        let now = self.cx.clock.now();
        let records = observed.iter().map(|(domain, _)| record_of(view, domain).1);
        let evidence: Vec<_> =
            records.flat_map(|record| self.prober.evidence(&record, now)).collect();
        if !evidence.is_empty() {
            self.cx.send_to_state(StateEvent::Evidence(evidence));
        }
    }

    async fn control_domain(&mut self, view: &View, domain: DomainId) {
        if !self.ensure_lease(&domain).await {
            return;
        }
        let now = self.cx.clock.now();
        let (revision, record) = record_of(view, &domain);
        let observations = self.prober.observations();
        let formed = view.formed_replicas();
        let service = ServingState { formed: &formed, ready_since: &self.ready_since, now };
        let workspaces = view.workspaces.values();
        let desired: Vec<_> = workspaces
            .flat_map(|versioned| desired_in_domain(&versioned.record, &domain, service))
            .collect();
        let input = ControllerInput {
            record: &record,
            desired: &desired,
            fleet: &view.fleet,
            observations: &observations,
            now,
            unix_secs: clock::unix_secs(),
        };
        let Some(domain_state) = self.domains.get_mut(&domain) else {
            return;
        };
        let step = domain_state.controller.step(input);
        if let Some(fault) = step.fault {
            log::error!(domain = domain.as_str(); "the domain's record is not written: {fault}");
        }
        for order in step.orders {
            self.send_order(view, order);
        }
        if let Some(next) = step.write {
            self.write(view, &domain, revision, next).await;
        }
    }

    /// Acquires or renews the lease on a domain and returns whether this daemon may control it now.
    async fn ensure_lease(&mut self, domain: &DomainId) -> bool {
        let now = self.cx.clock.now();
        let policy = self.cx.settings.repair.policy();
        let domain_state = self.domains.entry(domain.clone()).or_insert_with(|| ControlledDomain {
            controller: Controller::new(policy),
            started_at: now,
            leased_until: None,
            next_lease_call: now,
        });
        if now >= domain_state.next_lease_call {
            let holder = self.cx.settings.node.as_str();
            let name = lease_name(domain);
            let lease = self.platform.lease(&name, holder, LEASE_TTL).await;
            let until = now + Millis(LEASE_TTL.as_millis() as u64);
            (domain_state.leased_until, domain_state.next_lease_call) = match lease {
                Ok(Lease::Held) => (Some(until), until - LEASE_RENEWAL_LEAD),
                Ok(Lease::HeldByOther) => (None, now + LEASE_RETRY_DELAY),
                Err(_) => (domain_state.leased_until, now + LEASE_RETRY_DELAY),
            };
        }
        let is_valid = |until: Millis| until > self.cx.clock.now();
        domain_state.leased_until.is_some_and(is_valid)
            && now.since(domain_state.started_at) >= INITIAL_OBSERVATION_TIME
    }

    /// Writes a domain's record; whatever the result, the next step decides from the stored record.
    async fn write(
        &self,
        view: &View,
        domain: &DomainId,
        expected: Revision,
        mut next: DomainRecord,
    ) {
        next.writes.push(write_ids::next_write_id(view));
        let explanations: Vec<_> = next.explanations.iter().rev().take(4).cloned().collect();
        let body = match serde_json::to_string(&next) {
            Ok(body) => body,
            Err(err) => return log::error!("a domain's record could not be serialized: {err}"),
        };
        let key = keys::domain(domain);
        let outcome = self.platform.swap(&key, expected, &body).await;
        match outcome {
            Ok(Swap::Done(revision)) => {
                for explanation in explanations.iter().rev() {
                    log::info!(
                        replica = explanation.replica.to_string(),
                        epoch = explanation.epoch.0;
                        "{}", explanation.evidence
                    );
                }
                let record = Document { key: key.into(), revision, body: body.into() };
                self.cx.send_to_state(StateEvent::Records(vec![record]));
            }
            Ok(Swap::Conflict(_)) | Err(PlatformError::NoAnswer(_)) => self.read_back(&key).await,
            Err(err) => log::warn!("a domain's record could not be written: {err}"),
        }
        // The published view has to contain the new record before the next step decides.
        tokio::time::sleep(STEP_INTERVAL).await;
    }

    async fn read_back(&self, key: &str) {
        let read = self.platform.get(key).await;
        match read {
            Ok(Some(record)) => self.cx.send_to_state(StateEvent::Records(vec![record])),
            Ok(None) => {}
            Err(err) => log::warn!("a domain's record could not be read back: {err}"),
        }
    }

    fn send_order(&self, view: &View, order: Order) {
        let Some(info) = view.fleet.get(&order.target) else {
            return;
        };
        let (cx, engines, address) = (self.cx.clone(), self.engines.clone(), info.address);
        tokio::task::spawn_local(async move {
            let outcome = engines.order(address, &order).await;
            let result = if outcome.is_ok() { "followed" } else { "failed" };
            cx.metrics.orders.with_label_values(&[result]).inc();
            if let Err(err) = outcome {
                log::warn!(engine = order.target.as_str(), epoch = order.epoch.0; "{err}");
            }
        });
    }
}

fn lease_name(domain: &DomainId) -> String {
    format!("domain-{domain}")
}

/// Returns the domains that this daemon observes, with its rank among the observers of each.
fn observed_domains(view: &View) -> Vec<(DomainId, usize)> {
    let mut domains = view.fleet.domains();
    domains.extend(view.domains.values().map(|versioned| versioned.record.domain.clone()));
    let alive: Vec<_> = view.alive().cloned().collect();
    let rank_of = |domain: &DomainId| {
        let ranking = rank_by_hash(domain.as_str(), &alive);
        ranking.iter().take(OBSERVERS_PER_DOMAIN).position(|beat| beat.node == view.own.node)
    };
    domains.into_iter().filter_map(|id| Some((id.clone(), rank_of(&id)?))).collect()
}

fn record_of(view: &View, domain: &DomainId) -> (Revision, DomainRecord) {
    match view.domains.get(keys::domain(domain).as_str()) {
        Some(versioned) => (versioned.revision, versioned.record.clone()),
        None => (Revision::NONE, DomainRecord::empty(domain.clone())),
    }
}
