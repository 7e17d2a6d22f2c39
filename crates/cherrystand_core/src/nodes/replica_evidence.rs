//! Evidence that a replica is whole, which expires.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::{DomainId, Epoch, Millis, ReplicaId};

/// The time after which evidence expires and the replica counts as not serving.
///
/// Source: docs/design/0002-replica-life.md.
pub const EVIDENCE_TTL: Millis = Millis(3_000);

/// Says that every member of a replica acknowledged an epoch, and how long ago.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReplicaEvidence {
    /// The domain that the epoch belongs to.
    pub domain: DomainId,
    /// The replica.
    pub replica: ReplicaId,
    /// The epoch that was acknowledged.
    pub epoch: Epoch,
    /// The age of the oldest acknowledgement.
    pub age: Millis,
    /// Whether the replica was whole; a later `false` supersedes an earlier `true`.
    pub whole: bool,
    /// Requests in flight and queued at its leader.
    pub load: u32,
}

#[derive(Clone, Debug)]
struct StoredEvidence {
    epoch: Epoch,
    acknowledged_at: Millis,
    whole: bool,
    load: u32,
}

/// Keeps the newest evidence of each replica.
#[derive(Clone, Debug, Default)]
pub struct EvidenceTable {
    stored: BTreeMap<(DomainId, ReplicaId), StoredEvidence>,
}

impl EvidenceTable {
    /// Merges evidence; returns whether it is newer than what was stored.
    pub fn merge(&mut self, evidence: &ReplicaEvidence, now: Millis) -> bool {
        let acknowledged_at = now - evidence.age;
        let key = (evidence.domain.clone(), evidence.replica.clone());
        let newer = match self.stored.get(&key) {
            Some(stored) => {
                (evidence.epoch, acknowledged_at) > (stored.epoch, stored.acknowledged_at)
            }
            None => true,
        };
        if newer {
            let stored = StoredEvidence {
                epoch: evidence.epoch,
                acknowledged_at,
                whole: evidence.whole,
                load: evidence.load,
            };
            self.stored.insert(key, stored);
        }
        newer
    }

    /// Returns the load of a replica, if the replica is now known to be whole under `epoch`.
    pub fn load_if_whole(
        &self,
        domain: &DomainId,
        replica: &ReplicaId,
        epoch: Epoch,
        now: Millis,
    ) -> Option<u32> {
        let stored = self.stored.get(&(domain.clone(), replica.clone()))?;
        let fresh = now.since(stored.acknowledged_at) <= EVIDENCE_TTL;
        (fresh && stored.whole && stored.epoch == epoch).then_some(stored.load)
    }

    /// Returns the evidence that has not expired, to be passed on.
    pub fn export(&self, now: Millis) -> Vec<ReplicaEvidence> {
        let fresh = self
            .stored
            .iter()
            .filter(|(_, stored)| now.since(stored.acknowledged_at) <= EVIDENCE_TTL);
        let export = |((domain, replica), stored): (&(DomainId, ReplicaId), &StoredEvidence)| {
            ReplicaEvidence {
                domain: domain.clone(),
                replica: replica.clone(),
                epoch: stored.epoch,
                age: now.since(stored.acknowledged_at),
                whole: stored.whole,
                load: stored.load,
            }
        };
        fresh.map(export).collect()
    }

    /// Removes replicas whose evidence expired long ago.
    pub fn prune(&mut self, now: Millis) {
        let retention = Millis(EVIDENCE_TTL.0 * 4);
        self.stored.retain(|_, stored| now.since(stored.acknowledged_at) <= retention);
    }
}
