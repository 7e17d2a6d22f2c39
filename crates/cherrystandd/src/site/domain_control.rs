//! Decides for domains: writes their records and sends the orders that follow.

use std::rc::Rc;
use std::sync::Arc;

use cherrystand_core::{
    Document, DomainId, DomainRecord, Epoch, FormationInput, FormationStep, Millis, Revision,
    ServiceName, SiteBox,
};
use cherrystand_platform::{Changes, KeyValue, Swap};

use crate::keys;
use crate::site::control::{Control, owns_domain, readers_in};
use crate::state::View;

/// The window over which a domain's loads are counted.
const LOAD_WINDOW: Millis = Millis(5_000);

/// How long after its first start a site loads models without limit, since there are no requests
/// yet.
const UNLIMITED_LOAD_PERIOD: Millis = Millis(8_500);

/// How long no new box may have appeared before the first replicas of a domain are formed, so that
/// all nodes see the same boxes and assign each domain the same home model.
const SETTLE_TIME: Millis = Millis(500);

impl Control {
    /// Runs a step for each domain that this node owns.
    pub(super) async fn step_domains(self: &Rc<Self>, view: &View) {
        let readers = readers_in(view);
        // Most daemons are not readers and own no domain, so they can skip the rest.
        if !readers.iter().any(|beat| beat.node == view.own.node) {
            return;
        }
        self.plan_capacity(view, &readers).await;
        let mut domains = self.state.borrow().domains();
        domains.retain(|domain| owns_domain(view, &readers, domain));
        for domain in domains {
            self.step_domain(&domain).await;
        }
    }

    async fn step_domain(self: &Rc<Self>, domain: &DomainId) {
        let Some((revision, step)) = self.decide(domain) else {
            return;
        };
        for reason in &step.reasons {
            log::info!(domain = domain.as_str(); "{reason}");
        }
        if step.loads > 0 {
            let mut loads = self.recent_loads.borrow_mut();
            let started = loads.entry(domain.clone()).or_default();
            started.extend(std::iter::repeat_n(self.now(), step.loads as usize));
        }
        for order in step.orders {
            let control = self.clone();
            let domain = domain.clone();
            tokio::task::spawn_local(async move {
                control.send_order(&domain, order, revision).await;
            });
        }
        if let Some(next) = step.new_record {
            self.write_record(domain, revision, next).await;
        }
    }

    fn decide(&self, domain: &DomainId) -> Option<(Revision, FormationStep)> {
        let state = self.state.borrow();
        let boxes = state.boxes_in(domain);
        let service = service_of_boxes(&boxes)?;
        let engine = state.table()?.config().engine(&service)?.clone();
        let (revision, record) = state.record(domain);
        if record.last_epoch == Epoch(0) && state.time_since_new_box(self.now()) < SETTLE_TIME {
            return None;
        }
        let (silent, dead) = (state.silent_boxes(), state.dead_boxes());
        let departed = state.departed_in(domain);
        let domains = state.domains().len();
        let policy = self.cx.settings.policy;
        let homes = self.choose_home_models(&state, &engine);
        let input = FormationInput {
            now: self.now(),
            domain,
            service: &service,
            record: &record,
            engine: &engine,
            boxes: &boxes,
            departed: &departed,
            silent: &silent,
            dead: &dead,
            probed: &self.probing.borrow(),
            ended_replicas: state.ended_replicas(),
            left_epochs: state.left_epochs(),
            loads_allowed: self.loads_allowed(domain, engine.loads_per_s, domains),
            home: homes.home.get(domain).map(String::as_str),
            second: homes.second.get(domain).map(String::as_str),
            policy,
        };
        let mut formations = self.formations.borrow_mut();
        let mut step = formations.entry(domain.clone()).or_default().step(input);
        if step.new_record.is_none()
            && (state.has_outdated_box_ids(domain) || state.is_record_lost(domain))
        {
            // A restart is only recognized if the record names the incarnation before it, so
            // records without incarnations are rewritten with them. A record that the store lost is
            // written again by the node that decides for the domain.
            step.new_record = Some(record);
        }
        Some((revision, step))
    }

    /// Returns how many loads a domain may start now: its equal share of the store's rate.
    fn loads_allowed(&self, domain: &DomainId, per_s: f64, domains: usize) -> u32 {
        let now = self.now();
        if self.is_first_start() && now < UNLIMITED_LOAD_PERIOD {
            return u32::MAX;
        }
        let share = (per_s * LOAD_WINDOW.as_secs_f64() / domains.max(1) as f64).max(1.0) as u32;
        let mut loads = self.recent_loads.borrow_mut();
        let started = loads.entry(domain.clone()).or_default();
        started.retain(|at| now.since(*at) < LOAD_WINDOW);
        share.saturating_sub(started.len() as u32)
    }

    /// Writes a record. Whatever the result, the next step decides from what the store then holds.
    ///
    /// If the store holds the record that the decision was made from at another revision, the write
    /// is retried at that one. This happens after the store was restored from a backup, when orders
    /// that follow from the decision are already on their way.
    pub(super) async fn write_record(
        &self,
        domain: &DomainId,
        expected: Revision,
        next: DomainRecord,
    ) {
        let decided_from = self.state.borrow().record(domain).1;
        if self.try_write_record(domain, expected, &next).await {
            return;
        }
        let (revision, stored) = self.state.borrow().record(domain);
        if revision != expected && stored == decided_from {
            self.try_write_record(domain, revision, &next).await;
        }
    }

    /// Writes a record, or reads it back if the store did not accept it. Returns whether nothing is
    /// left to do.
    async fn try_write_record(
        &self,
        domain: &DomainId,
        expected: Revision,
        next: &DomainRecord,
    ) -> bool {
        let body = match serde_json::to_string(next) {
            Ok(body) => body,
            Err(err) => {
                log::error!(domain = domain.as_str(); "a domain record cannot be serialized: {err}");
                return true;
            }
        };
        let key = keys::domain(domain);
        match self.store.swap(&key, expected, &body).await {
            Ok(Swap::Done(revision)) => {
                let copy = Document { key: Arc::from(key), revision, body: Arc::from(body) };
                self.state.borrow_mut().apply_domain_record(&copy);
                self.publish_and_wake();
                true
            }
            Ok(Swap::Conflict(_)) => {
                self.reread_record(&key).await;
                false
            }
            Err(err) => {
                log::warn!(domain = domain.as_str(); "a domain record may not have been written: {err}");
                self.reread_record(&key).await;
                false
            }
        }
    }

    async fn reread_record(&self, key: &str) {
        match self.store.get(key).await {
            Ok(Some(record)) => {
                let changes = Changes {
                    revision: Revision::NONE,
                    records: vec![record],
                    removed: Vec::new(),
                };
                self.state.borrow_mut().apply_changes(&changes, self.now());
            }
            Ok(None) => self.state.borrow_mut().mark_record_lost(key),
            Err(err) => log::warn!("a domain record could not be read back: {err}"),
        }
    }
}

fn service_of_boxes(boxes: &[&SiteBox]) -> Option<ServiceName> {
    boxes.first().map(|site_box| site_box.service.clone())
}
