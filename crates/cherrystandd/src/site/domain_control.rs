//! Deciding for domains: from what is known to records written and orders sent.

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

/// The window over which loads are counted.
const LOAD_WINDOW: Millis = Millis(5_000);

/// For how long after its first start a site loads without bounds, since nothing is asked yet.
const UNLIMITED_LOAD_PERIOD: Millis = Millis(8_500);

/// Nothing is formed in a domain that never formed any before no box has come for this long, so
/// that all nodes see the same boxes and give each domain the same home.
const SETTLE_TIME: Millis = Millis(500);

impl Control {
    /// Decides for each domain that this node owns.
    pub(super) async fn step_domains(self: &Rc<Self>, view: &View) {
        let readers = readers_in(view);
        // Most daemons are no readers and own nothing; they need not look at the domains.
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
            let begun = loads.entry(domain.clone()).or_default();
            begun.extend(std::iter::repeat_n(self.now(), step.loads as usize));
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
        let known = self.state.borrow();
        let boxes = known.boxes_in(domain);
        let service = service_of_boxes(&boxes)?;
        let engine = known.table()?.config().engine(&service)?.clone();
        let (revision, record) = known.record(domain);
        if record.last_epoch == Epoch(0) && known.time_since_new_box(self.now()) < SETTLE_TIME {
            return None;
        }
        let silent = known.silent_boxes();
        let departed = known.departed_in(domain);
        let domains = known.domains().len();
        let policy = self.cx.settings.policy;
        let homes = self.choose_home_models(&known, &engine);
        let input = FormationInput {
            now: self.now(),
            domain,
            service: &service,
            record: &record,
            engine: &engine,
            boxes: &boxes,
            departed: &departed,
            silent: &silent,
            probed: &self.probing.borrow(),
            ended_replicas: known.ended_replicas(),
            left_epochs: known.left_epochs(),
            loads_allowed: self.loads_allowed(domain, engine.loads_per_s, domains),
            home: homes.home.get(domain).map(String::as_str),
            second: homes.second.get(domain).map(String::as_str),
            policy,
        };
        let mut formations = self.formations.borrow_mut();
        let mut step = formations.entry(domain.clone()).or_default().step(input);
        if step.new_record.is_none()
            && (known.has_outdated_box_ids(domain) || known.is_record_lost(domain))
        {
            // A box that starts again is told from its life before only where the record names that. What the store
            // lost is written again by the one that decides.
            step.new_record = Some(record);
        }
        Some((revision, step))
    }

    /// Returns how many loads a domain may begin now: its even part of the store's rate.
    fn loads_allowed(&self, domain: &DomainId, per_s: f64, domains: usize) -> u32 {
        let now = self.now();
        if self.is_first_start() && now < UNLIMITED_LOAD_PERIOD {
            return u32::MAX;
        }
        let share = (per_s * LOAD_WINDOW.as_secs_f64() / domains.max(1) as f64).max(1.0) as u32;
        let mut loads = self.recent_loads.borrow_mut();
        let begun = loads.entry(domain.clone()).or_default();
        begun.retain(|at| now.since(*at) < LOAD_WINDOW);
        share.saturating_sub(begun.len() as u32)
    }

    /// Writes a record; whatever comes of it, the next step decides from what then stands.
    ///
    /// Where the store holds what was decided from, at another revision, it is written at that one: so it is after the
    /// store came back from a copy, and orders that follow from the decision are on their way.
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
        let (revision, stands) = self.state.borrow().record(domain);
        if revision != expected && stands == decided_from {
            self.try_write_record(domain, revision, &next).await;
        }
    }

    /// Writes a record, or reads what stands there, and tells whether there is nothing left to do.
    async fn try_write_record(
        &self,
        domain: &DomainId,
        expected: Revision,
        next: &DomainRecord,
    ) -> bool {
        let body = match serde_json::to_string(next) {
            Ok(body) => body,
            Err(err) => {
                log::error!(domain = domain.as_str(); "no record is written: {err}");
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
                log::warn!(domain = domain.as_str(); "a record may not be written: {err}");
                self.reread_record(&key).await;
                false
            }
        }
    }

    async fn reread_record(&self, key: &str) {
        match self.store.get(key).await {
            Ok(Some(record)) => {
                let changes =
                    Changes { revision: Revision::NONE, records: vec![record], gone: Vec::new() };
                self.state.borrow_mut().apply_changes(&changes, self.now());
            }
            Ok(None) => self.state.borrow_mut().mark_record_lost(key),
            Err(err) => log::warn!("a record could not be read back: {err}"),
        }
    }
}

fn service_of_boxes(boxes: &[&SiteBox]) -> Option<ServiceName> {
    boxes.first().map(|known| known.service.clone())
}
