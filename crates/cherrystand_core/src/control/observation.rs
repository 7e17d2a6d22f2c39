//! The latest reports of the boxes.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::{Assignment, BoxId, Epoch, Evidence, LoadSpec, Millis, Phase};

/// A box that hasn't answered for this long counts as missing.
///
/// It bounds how long a replica can be taken to be complete after it lost a member.
///
/// Source: docs/design/0002-replica-life.md.
pub const MISSING_AFTER: Millis = Millis(2_500);

/// An engine's report about itself.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineReport {
    /// The epoch that the engine acts on; 0 while it is idle.
    pub epoch: Epoch,
    /// Its state within the epoch.
    pub state: EngineState,
    /// What it has loaded, if anything.
    pub loaded: Option<LoadSpec>,
    /// Requests in flight, as of a moment ago.
    pub in_flight: u32,
    /// Requests queued in the engine, as of a moment ago.
    pub waiting: u32,
}

/// The state of an engine within its epoch.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum EngineState {
    /// It has no epoch.
    Idle,
    /// It is loading weights.
    Loading,
    /// It serves requests, or its share of the leader's.
    Ready,
    /// It finishes its requests and refuses new ones.
    Draining,
    /// Its replica has come apart.
    Broken,
}

/// The latest report of a box and when it arrived.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Observation {
    /// When the box last answered, or when the observer started to ask.
    pub last_heard: Millis,
    /// Its last report; `None` if it never answered.
    pub report: Option<EngineReport>,
}

/// The observations of a domain's boxes.
pub type Observations = BTreeMap<BoxId, Observation>;

/// The state of one replica's members.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct MemberSummary {
    /// Members that don't answer, or that served and now report no epoch or another one.
    pub lost: Vec<BoxId>,
    /// Members that answer but aren't ready under the epoch yet.
    pub unready: Vec<BoxId>,
    /// Whether a member reports that the replica has come apart.
    pub came_apart: bool,
    /// Members that are ready and whose acknowledgement of the epoch is fresh.
    pub ready: usize,
    /// Those of the ready members that aren't draining.
    pub serving: usize,
    /// Requests in flight or queued at the leader, as reported.
    pub in_flight: u32,
}

impl MemberSummary {
    /// Summarizes the members of `assignment` at `now`.
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

    /// Returns why the replica must not serve, if so.
    pub fn failure_evidence(&self) -> Option<Evidence> {
        if !self.lost.is_empty() {
            let boxes = self.lost.clone();
            return Some(Evidence::MembersLost { boxes });
        }
        self.came_apart.then_some(Evidence::CameApart)
    }
}

/// Returns the report of a box if it is fresh.
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
