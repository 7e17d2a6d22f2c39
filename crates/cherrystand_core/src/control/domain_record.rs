//! The record that assigns the boxes of one fabric domain.

use std::collections::{BTreeMap, BTreeSet};

use serde::{Deserialize, Serialize};

use crate::{BoxId, DomainId, Epoch, Explanation, LoadSpec, RecentWrites, ReplicaId};

/// The number of decisions the record keeps with their reasons.
pub const MAX_EXPLANATIONS: usize = 64;

/// Every assignment of one domain's boxes.
///
/// Each change is one compare-and-swap of the whole record, so no box can belong to two replicas,
/// whoever writes and however late.
///
/// Source: docs/design/0001-records.md.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct DomainRecord {
    /// The domain.
    pub domain: DomainId,
    /// The last epoch issued.
    pub last_epoch: Epoch,
    /// The model that the domain serves; `None` if it serves all models or none has been chosen
    /// yet.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub home: Option<String>,
    /// A second model whose weights its hosts are to keep, so that the domain can switch to it
    /// quickly.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub second: Option<String>,
    /// The replicas formed in the domain.
    pub replicas: BTreeMap<ReplicaId, Assignment>,
    /// Boxes that are being released, with the last epoch they may still act on.
    pub releasing: BTreeMap<BoxId, Epoch>,
    /// Assignments that boxes were removed from and may have joined since their last report, oldest
    /// first. Keyed by the name of the box, because an order sent to one incarnation may be carried
    /// out by the next.
    #[serde(default, skip_serializing_if = "BTreeMap::is_empty")]
    pub former: BTreeMap<BoxId, Vec<FormerAssignment>>,
    /// The last decisions, oldest first.
    pub explanations: Vec<Explanation>,
    /// The ids of the last writes.
    pub writes: RecentWrites,
}

/// The boxes of one replica.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Assignment {
    /// The epoch of the assignment, which fences orders and requests.
    pub epoch: Epoch,
    /// The boxes by rank; rank 0 receives the requests.
    pub boxes: Vec<BoxId>,
    /// What the engines load.
    pub load: LoadSpec,
    /// The phase of the replica.
    pub phase: Phase,
}

/// An assignment that a box was removed from.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct FormerAssignment {
    /// The replica.
    pub replica: ReplicaId,
    /// The epoch of that assignment.
    pub epoch: Epoch,
    /// The last epoch issued when the box was removed.
    pub closed_at: Epoch,
}

/// The phase of a replica.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Phase {
    /// It has its boxes and waits for its turn to load.
    Reserved,
    /// Its engines are ordered to load.
    Loading,
    /// It serves while every member acknowledges its epoch.
    Ready,
    /// It accepts no new requests and finishes those in flight.
    Draining,
    /// A member is missing; it must not serve.
    Broken,
}

impl Phase {
    /// Returns the name used in tables and metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            Phase::Reserved => "reserved",
            Phase::Loading => "loading",
            Phase::Ready => "ready",
            Phase::Draining => "draining",
            Phase::Broken => "broken",
        }
    }
}

/// A rule that a record violates; such a record must never be written.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum RecordFault {
    /// A box belongs to two replicas.
    #[error("box `{0}` belongs to two replicas")]
    DuplicateBox(BoxId),
    /// A box is assigned while it is still being released.
    #[error("box `{0}` is assigned while an earlier epoch may still act on it")]
    BoxReleasing(BoxId),
    /// An epoch was never issued, or was issued twice.
    #[error("epoch {0} was never issued, or was issued twice")]
    InvalidEpoch(Epoch),
}

impl DomainRecord {
    /// Creates the record of a domain without replicas.
    pub fn empty(domain: DomainId) -> Self {
        Self {
            domain,
            last_epoch: Epoch(0),
            home: None,
            second: None,
            replicas: BTreeMap::new(),
            releasing: BTreeMap::new(),
            former: BTreeMap::new(),
            explanations: Vec::new(),
            writes: RecentWrites::default(),
        }
    }

    /// Checks the rules that every written record must satisfy.
    ///
    /// # Errors
    ///
    /// Returns the first [`RecordFault`] found.
    pub fn check(&self) -> Result<(), RecordFault> {
        let mut boxes = BTreeSet::new();
        let mut epochs = BTreeSet::new();
        for assignment in self.replicas.values() {
            if assignment.epoch > self.last_epoch || !epochs.insert(assignment.epoch) {
                return Err(RecordFault::InvalidEpoch(assignment.epoch));
            }
            for id in &assignment.boxes {
                if !boxes.insert(id) {
                    return Err(RecordFault::DuplicateBox(id.clone()));
                }
                if self.releasing.contains_key(id) {
                    return Err(RecordFault::BoxReleasing(id.clone()));
                }
            }
        }
        Ok(())
    }

    /// Returns the record with each box replaced by the id that `other` maps it to, if any.
    pub fn with_boxes_renamed(mut self, other: impl Fn(&BoxId) -> Option<BoxId>) -> Self {
        let named = |id: &BoxId| other(id).unwrap_or_else(|| id.clone());
        let assigned = self.replicas.values_mut().flat_map(|assignment| &mut assignment.boxes);
        assigned.for_each(|id| *id = named(id));
        let releasing = std::mem::take(&mut self.releasing).into_iter();
        self.releasing = releasing.map(|(id, epoch)| (named(&id), epoch)).collect();
        self
    }

    /// Returns the assignments that a box, in any incarnation, was removed from and may have
    /// joined.
    pub fn former_assignments(&self, id: &BoxId) -> impl Iterator<Item = &FormerAssignment> {
        self.former.get(id.name()).into_iter().flatten()
    }

    /// Issues the next epoch.
    pub fn take_epoch(&mut self) -> Epoch {
        self.last_epoch = self.last_epoch.next();
        self.last_epoch
    }

    /// Returns whether a box is neither assigned nor being released.
    pub fn is_free(&self, id: &BoxId) -> bool {
        let assigned = self.replicas.values().any(|assignment| assignment.boxes.contains(id));
        !assigned && !self.releasing.contains_key(id)
    }

    /// Adds a decision and drops the oldest beyond [`MAX_EXPLANATIONS`].
    pub fn explain(&mut self, explanation: Explanation) {
        self.explanations.push(explanation);
        let excess = self.explanations.len().saturating_sub(MAX_EXPLANATIONS);
        self.explanations.drain(..excess);
    }
}
