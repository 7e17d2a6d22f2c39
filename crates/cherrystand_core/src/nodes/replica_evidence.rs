//! Evidence that a replica is whole, which goes stale.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::{DomainId, Epoch, Millis, ReplicaId};

/// After this long evidence says nothing any more and the replica counts as not serving.
///
/// Source: docs/design/0002-replica-life.md.
pub const EVIDENCE_TTL: Millis = Millis(3_000);

/// Says that every member of a replica acknowledged an epoch, and how long ago.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReplicaEvidence {
    /// The domain, whose epochs are its own.
    pub domain: DomainId,
    /// The replica.
    pub replica: ReplicaId,
    /// The epoch acknowledged.
    pub epoch: Epoch,
    /// How long ago the oldest of the acknowledgements was given.
    pub age: Millis,
    /// Whether the replica was whole; a later `false` outranks an earlier `true`.
    pub whole: bool,
    /// Requests in flight and waiting at its leader.
    pub load: u32,
}

#[derive(Clone, Debug)]
struct Held {
    epoch: Epoch,
    given: Millis,
    whole: bool,
    load: u32,
}

/// Keeps the newest evidence of each replica.
#[derive(Clone, Debug, Default)]
pub struct EvidenceTable {
    held: BTreeMap<(DomainId, ReplicaId), Held>,
}

impl EvidenceTable {
    /// Takes in evidence, and tells whether it is newer than what was held.
    pub fn merge(&mut self, evidence: &ReplicaEvidence, now: Millis) -> bool {
        let given = now - evidence.age;
        let key = (evidence.domain.clone(), evidence.replica.clone());
        let newer = match self.held.get(&key) {
            Some(held) => (evidence.epoch, given) > (held.epoch, held.given),
            None => true,
        };
        if newer {
            let held =
                Held { epoch: evidence.epoch, given, whole: evidence.whole, load: evidence.load };
            self.held.insert(key, held);
        }
        newer
    }

    /// Returns the load of a domain's replica if it is known to be whole under `epoch` now.
    pub fn load_if_whole(
        &self,
        domain: &DomainId,
        replica: &ReplicaId,
        epoch: Epoch,
        now: Millis,
    ) -> Option<u32> {
        let held = self.held.get(&(domain.clone(), replica.clone()))?;
        let fresh = now.since(held.given) <= EVIDENCE_TTL;
        (fresh && held.whole && held.epoch == epoch).then_some(held.load)
    }

    /// Returns the evidence that is still worth passing on.
    pub fn export(&self, now: Millis) -> Vec<ReplicaEvidence> {
        let fresh = self.held.iter().filter(|(_, held)| now.since(held.given) <= EVIDENCE_TTL);
        let export = |((domain, replica), held): (&(DomainId, ReplicaId), &Held)| ReplicaEvidence {
            domain: domain.clone(),
            replica: replica.clone(),
            epoch: held.epoch,
            age: now.since(held.given),
            whole: held.whole,
            load: held.load,
        };
        fresh.map(export).collect()
    }

    /// Forgets replicas whose evidence is long stale.
    pub fn prune(&mut self, now: Millis) {
        let long = Millis(EVIDENCE_TTL.0 * 4);
        self.held.retain(|_, held| now.since(held.given) <= long);
    }
}
