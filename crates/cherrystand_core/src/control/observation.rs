//! What is known of each box right now.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::{Assignment, BoxId, Epoch, Evidence, LoadSpec, Millis, Phase};

/// After this long without an answer a box counts as missing.
///
/// It bounds how long a replica can be taken for whole after a member is gone.
/// Source: docs/design/0002-replica-life.md.
pub const MISSING_AFTER: Millis = Millis(2_500);

/// Says what an engine reports about itself.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineReport {
    /// The epoch that the engine acts on; 0 while it is idle.
    pub epoch: Epoch,
    /// How far it is with it.
    pub state: EngineState,
    /// What it has loaded, if anything.
    pub loaded: Option<LoadSpec>,
    /// Requests in flight, as of a moment ago.
    pub in_flight: u32,
    /// Requests waiting inside the engine, as of a moment ago.
    pub waiting: u32,
}

/// Says how far an engine is with its epoch.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum EngineState {
    /// It has no epoch to act on.
    Idle,
    /// It loads weights.
    Loading,
    /// It serves, or helps its leader to.
    Ready,
    /// It finishes what it has and refuses new requests.
    Draining,
    /// Its replica has come apart.
    Broken,
}

/// Holds the newest report of a box and when it came.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Observation {
    /// When the box last answered, or when the observer started to ask.
    pub last_heard: Millis,
    /// What it answered; nothing if it never did.
    pub report: Option<EngineReport>,
}

/// Holds what is known of the boxes of a domain.
pub type Observations = BTreeMap<BoxId, Observation>;

/// Sums up the members of one replica.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct MemberSummary {
    /// Members that do not answer, or that answer for no or another epoch although they served.
    pub lost: Vec<BoxId>,
    /// Members that answer, but have yet to get ready for the epoch.
    pub unready: Vec<BoxId>,
    /// Whether a member reports that the replica has come apart.
    pub came_apart: bool,
    /// Members whose acknowledgement of the epoch is fresh and that are ready.
    pub ready: usize,
    /// Those of them that take requests, or help their leader to.
    pub serving: usize,
    /// Requests in flight at the leader, as far as reported.
    pub in_flight: u32,
}

impl MemberSummary {
    /// Sums up `assignment` from what is known at `now`.
    pub fn of(assignment: &Assignment, observations: &Observations, now: Millis) -> Self {
        let mut summary = Self::default();
        let was_serving = matches!(assignment.phase, Phase::Ready | Phase::Draining);
        for (rank, id) in assignment.boxes.iter().enumerate() {
            let Some(report) = fresh_report(observations, id, now) else {
                summary.lost.push(id.clone());
                continue;
            };
            let is_acknowledged = report.epoch == assignment.epoch;
            let can_serve = matches!(report.state, EngineState::Ready | EngineState::Draining);
            if is_acknowledged && can_serve {
                summary.ready += 1;
                summary.serving += usize::from(report.state == EngineState::Ready);
            } else if is_acknowledged && report.state == EngineState::Broken {
                summary.came_apart = true;
            } else if was_serving {
                summary.lost.push(id.clone());
            } else {
                summary.unready.push(id.clone());
            }
            if rank == 0 && is_acknowledged {
                summary.in_flight = report.in_flight + report.waiting;
            }
        }
        summary
    }

    /// Returns why the replica must not serve, if that is so.
    pub fn failure_evidence(&self) -> Option<Evidence> {
        if !self.lost.is_empty() {
            let boxes = self.lost.clone();
            return Some(Evidence::MembersLost { boxes });
        }
        self.came_apart.then_some(Evidence::CameApart)
    }
}

/// Returns a box's report if it is fresh.
pub fn fresh_report<'a>(
    observations: &'a Observations,
    id: &BoxId,
    now: Millis,
) -> Option<&'a EngineReport> {
    let observation = observations.get(id)?;
    if now.since(observation.last_heard) > MISSING_AFTER {
        return None;
    }
    observation.report.as_ref()
}
