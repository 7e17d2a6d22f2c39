//! The record that assigns the boxes of one fabric domain.

use std::collections::{BTreeMap, BTreeSet};

use serde::{Deserialize, Serialize};

use crate::{BoxId, DomainId, Epoch, Explanation, LoadSpec, RecentWrites, ReplicaId};

/// How many decisions the record remembers with their reasons.
pub const MAX_EXPLANATIONS: usize = 64;

/// Holds every assignment of one domain's boxes.
///
/// Every change is one compare-and-swap on the whole record, so no box can belong to two replicas
/// whoever writes and however late.
///
/// Source: docs/design/0001-records.md.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct DomainRecord {
    /// The domain.
    pub domain: DomainId,
    /// The last epoch given out.
    pub last_epoch: Epoch,
    /// The model that the domain is for; nothing where it is for all of them, or none was chosen
    /// yet.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub home: Option<String>,
    /// The model that its hosts are to hold besides, so that it can change hands.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub second: Option<String>,
    /// The replicas formed in the domain.
    pub replicas: BTreeMap<ReplicaId, Assignment>,
    /// Boxes given up, with the epoch that they may still act on.
    pub releasing: BTreeMap<BoxId, Epoch>,
    /// The places that boxes were taken out of and may have come to since they last told of
    /// themselves, oldest first; by the boxes' names, since an order that was sent to one life of a box
    /// may be carried out by the next.
    #[serde(default, skip_serializing_if = "BTreeMap::is_empty")]
    pub former: BTreeMap<BoxId, Vec<FormerAssignment>>,
    /// The last decisions, oldest first.
    pub explanations: Vec<Explanation>,
    /// The identities of the last writes.
    pub writes: RecentWrites,
}

/// Assigns boxes to one replica.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Assignment {
    /// The epoch of the assignment, which fences orders and requests.
    pub epoch: Epoch,
    /// The boxes in rank order; rank 0 takes the requests.
    pub boxes: Vec<BoxId>,
    /// What the engines load.
    pub load: LoadSpec,
    /// How far the replica is.
    pub phase: Phase,
}

/// Says where a box was assigned before.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct FormerAssignment {
    /// The replica.
    pub replica: ReplicaId,
    /// The epoch of that assignment.
    pub epoch: Epoch,
    /// The last epoch given out when the box was taken out of it.
    pub closed_at: Epoch,
}

/// Says how far a replica is in its life.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Phase {
    /// It has its boxes and waits for its turn to load.
    Reserved,
    /// Its engines are ordered to load.
    Loading,
    /// It serves while every member acknowledges its epoch.
    Ready,
    /// It takes no new requests and finishes those it has.
    Draining,
    /// A member is missing; it must not serve.
    Broken,
}

impl Phase {
    /// Returns the name that tables and metrics use.
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

/// Tells what makes a record one that must never be written.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum RecordFault {
    /// A box belongs to two replicas.
    #[error("box `{0}` belongs to two replicas")]
    DuplicateBox(BoxId),
    /// A box is assigned while it is still being released.
    #[error("box `{0}` is assigned while an earlier epoch may still act on it")]
    BoxReleasing(BoxId),
    /// An epoch is above the last one given out, or given out twice.
    #[error("epoch {0} was not given out once")]
    InvalidEpoch(Epoch),
}

impl DomainRecord {
    /// Creates the record of a domain that has no replicas.
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

    /// Checks what every written record must satisfy.
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

    /// Returns the record with boxes named otherwise that `other` has another id for.
    pub fn with_boxes_renamed(mut self, other: impl Fn(&BoxId) -> Option<BoxId>) -> Self {
        let named = |id: &BoxId| other(id).unwrap_or_else(|| id.clone());
        let assigned = self.replicas.values_mut().flat_map(|assignment| &mut assignment.boxes);
        assigned.for_each(|id| *id = named(id));
        let releasing = std::mem::take(&mut self.releasing).into_iter();
        self.releasing = releasing.map(|(id, epoch)| (named(&id), epoch)).collect();
        self
    }

    /// Returns the places that a box, in whichever life, was taken out of and may have come to.
    pub fn former_assignments(&self, id: &BoxId) -> impl Iterator<Item = &FormerAssignment> {
        self.former.get(id.name()).into_iter().flatten()
    }

    /// Gives out the next epoch.
    pub fn take_epoch(&mut self) -> Epoch {
        self.last_epoch = self.last_epoch.next();
        self.last_epoch
    }

    /// Tells whether a box is neither assigned nor being released.
    pub fn is_free(&self, id: &BoxId) -> bool {
        let assigned = self.replicas.values().any(|assignment| assignment.boxes.contains(id));
        !assigned && !self.releasing.contains_key(id)
    }

    /// Adds a decision, forgetting the oldest beyond [`MAX_EXPLANATIONS`].
    pub fn explain(&mut self, explanation: Explanation) {
        self.explanations.push(explanation);
        let excess = self.explanations.len().saturating_sub(MAX_EXPLANATIONS);
        self.explanations.drain(..excess);
    }
}
