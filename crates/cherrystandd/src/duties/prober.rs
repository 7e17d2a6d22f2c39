//! The observer of one daemon's share of boxes.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;

use cherrystand_core::{
    BoxId, DomainRecord, Fleet, MemberSummary, Millis, Observation, Observations, Phase,
    ReplicaEvidence,
};
use cherrystand_platform::EngineClient;

use crate::DutyContext;

/// Asks boxes how they are and keeps what they answered.
#[derive(Clone)]
pub(crate) struct Prober {
    cx: DutyContext,
    client: EngineClient,
    seen: Rc<RefCell<Observations>>,
}

impl Prober {
    /// Creates a prober that has seen nothing yet.
    pub(crate) fn new(cx: DutyContext) -> Self {
        Self { cx, client: EngineClient::default(), seen: Rc::default() }
    }

    /// Returns what is known of all boxes asked.
    pub(crate) fn seen(&self) -> Observations {
        self.seen.borrow().clone()
    }

    /// Forgets the boxes that are not in `boxes`, and notes the others as asked from now on.
    pub(crate) fn keep_only(&self, boxes: &[BoxId]) {
        let now = self.cx.clock.now();
        let mut seen = self.seen.borrow_mut();
        seen.retain(|id, _| boxes.contains(id));
        for id in boxes {
            let unknown = Observation { last_heard: now, report: None };
            seen.entry(id.clone()).or_insert(unknown);
        }
    }

    /// Asks one box in the background.
    pub(crate) fn ask(&self, id: BoxId, address: SocketAddr) {
        let prober = self.clone();
        tokio::task::spawn_local(async move {
            let asked = prober.cx.clock.now();
            let answer = prober.client.report(address).await;
            let result = if answer.is_ok() { "answered" } else { "silent" };
            prober.cx.metrics.probes.with_label_values(&[result]).inc();
            if let Ok(report) = answer
                && let Some(observation) = prober.seen.borrow_mut().get_mut(&id)
            {
                // The answer is at least as old as the question.
                observation.last_heard = asked;
                observation.report = Some(report);
            }
        });
    }

    /// Says of each replica of a domain whether every member has lately acknowledged its epoch.
    pub(crate) fn evidence(&self, record: &DomainRecord, now: Millis) -> Vec<ReplicaEvidence> {
        let seen = self.seen.borrow();
        let formed = record.replicas.iter();
        let judged = formed.filter(|(_, held)| matches!(held.phase, Phase::Ready | Phase::Loading));
        judged
            .map(|(replica, held)| {
                let members = MemberSummary::of(held, &seen, now);
                let ages = held.boxes.iter().filter_map(|id| seen.get(id));
                let oldest = ages.map(|seen| now.since(seen.last_heard)).max();
                ReplicaEvidence {
                    domain: record.domain.clone(),
                    replica: replica.clone(),
                    epoch: held.epoch,
                    age: oldest.unwrap_or_default(),
                    whole: members.ready == held.boxes.len(),
                    load: members.in_flight,
                }
            })
            .collect()
    }
}

/// Returns the boxes of a domain: those listed, and those that its record still names.
pub(crate) fn boxes_to_ask(fleet: &Fleet, record: &DomainRecord) -> Vec<BoxId> {
    let mut boxes: Vec<BoxId> =
        fleet.of_domain(&record.domain).map(|info| info.id.clone()).collect();
    let assigned = record.replicas.values().flat_map(|held| &held.boxes);
    boxes.extend(assigned.chain(record.releasing.keys()).cloned());
    boxes.sort();
    boxes.dedup();
    boxes
}
