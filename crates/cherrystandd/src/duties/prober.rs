//! Probing of boxes.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;

use cherrystand_core::{
    BoxId, DomainRecord, Fleet, MemberSummary, Millis, Observation, Observations, Phase,
    ReplicaEvidence,
};
use cherrystand_platform::EngineClient;

use crate::DutyContext;

/// Probes boxes and keeps their last reports.
#[derive(Clone)]
pub(crate) struct Prober {
    cx: DutyContext,
    client: EngineClient,
    observations: Rc<RefCell<Observations>>,
}

impl Prober {
    /// Creates a prober without observations.
    pub(crate) fn new(cx: DutyContext) -> Self {
        Self { cx, client: EngineClient::default(), observations: Rc::default() }
    }

    /// Returns the observations of all probed boxes.
    pub(crate) fn observations(&self) -> Observations {
        self.observations.borrow().clone()
    }

    /// Drops the observations of boxes that are not in `boxes`, and adds an empty one for each new
    /// box, which counts as having answered now.
    pub(crate) fn keep_only(&self, boxes: &[BoxId]) {
        let now = self.cx.clock.now();
        let mut observations = self.observations.borrow_mut();
        observations.retain(|id, _| boxes.contains(id));
        for id in boxes {
            let initial = Observation { last_heard: now, report: None };
            observations.entry(id.clone()).or_insert(initial);
        }
    }

    /// Probes one box in the background.
    pub(crate) fn probe(&self, id: BoxId, address: SocketAddr) {
        let prober = self.clone();
        tokio::task::spawn_local(async move {
            let sent_at = prober.cx.clock.now();
            let answer = prober.client.report(address).await;
            let result = if answer.is_ok() { "answered" } else { "silent" };
            prober.cx.metrics.probes.with_label_values(&[result]).inc();
            if let Ok(report) = answer
                && let Some(observation) = prober.observations.borrow_mut().get_mut(&id)
            {
                // The report may be as old as the request for it.
                observation.last_heard = sent_at;
                observation.report = Some(report);
            }
        });
    }

    /// Returns, for each loading or ready replica of a domain, whether every member has recently
    /// acknowledged its epoch.
    pub(crate) fn evidence(&self, record: &DomainRecord, now: Millis) -> Vec<ReplicaEvidence> {
        let observations = self.observations.borrow();
        let formed = record.replicas.iter();
        let active = formed
            .filter(|(_, assignment)| matches!(assignment.phase, Phase::Ready | Phase::Loading));
        active
            .map(|(replica, assignment)| {
                let members = MemberSummary::of(assignment, &observations, now);
                let member_observations =
                    assignment.boxes.iter().filter_map(|id| observations.get(id));
                let oldest_age =
                    member_observations.map(|observation| now.since(observation.last_heard)).max();
                ReplicaEvidence {
                    domain: record.domain.clone(),
                    replica: replica.clone(),
                    epoch: assignment.epoch,
                    age: oldest_age.unwrap_or_default(),
                    whole: members.ready == assignment.boxes.len(),
                    load: members.in_flight,
                }
            })
            .collect()
    }
}

/// Returns the boxes of a domain: those in the inventory, and those that its record still names.
pub(crate) fn boxes_to_probe(fleet: &Fleet, record: &DomainRecord) -> Vec<BoxId> {
    let mut boxes: Vec<BoxId> =
        fleet.of_domain(&record.domain).map(|info| info.id.clone()).collect();
    let assigned = record.replicas.values().flat_map(|assignment| &assignment.boxes);
    boxes.extend(assigned.chain(record.releasing.keys()).cloned());
    boxes.sort();
    boxes.dedup();
    boxes
}
