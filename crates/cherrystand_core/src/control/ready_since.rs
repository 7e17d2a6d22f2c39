//! Since when replicas have been ready, as one node has seen it.

use std::collections::BTreeMap;

use crate::{DomainId, Epoch, FormedReplicas, Millis, ReplicaId};

/// The time after which every connected node has evidence that a replica became ready.
///
/// A record that says `ready` spreads faster than the evidence by which nodes route. Whatever
/// relies on a replica being in service waits for this long.
pub const SETTLED_AFTER: Millis = Millis(5_000);

/// Since when each replica has been ready under its epoch.
#[derive(Clone, Debug, Default)]
pub struct ReadySince {
    since: BTreeMap<(DomainId, ReplicaId), (Epoch, Millis)>,
}

impl ReadySince {
    /// Updates which replicas are ready.
    pub fn observe(&mut self, formed: &FormedReplicas, now: Millis) {
        let mut since = BTreeMap::new();
        for (domain, replica, assignment) in formed.all_ready() {
            let key = (domain.clone(), replica.clone());
            let known = self.since.get(&key).filter(|(epoch, _)| *epoch == assignment.epoch);
            let noted = known.copied().unwrap_or((assignment.epoch, now));
            since.insert(key, noted);
        }
        self.since = since;
    }

    /// Returns whether a replica has been ready in a domain for [`SETTLED_AFTER`].
    pub fn is_settled(&self, domain: &DomainId, replica: &ReplicaId, now: Millis) -> bool {
        let since = self.since.get(&(domain.clone(), replica.clone()));
        since.is_some_and(|(_, since)| now.since(*since) >= SETTLED_AFTER)
    }
}
