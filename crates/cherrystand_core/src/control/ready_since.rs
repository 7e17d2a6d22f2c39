//! Since when replicas have been ready, as one node has seen it.

use std::collections::BTreeMap;

use crate::{DomainId, Epoch, FormedReplicas, Millis, ReplicaId};

/// After this long every node that is in touch has evidence of a replica that has become ready.
///
/// A record that says `ready` outruns the evidence that nodes route by; whatever relies on a
/// replica being in service waits for this long.
pub const SETTLED_AFTER: Millis = Millis(5_000);

/// Remembers when replicas were first seen to be ready under their epoch.
#[derive(Clone, Debug, Default)]
pub struct ReadySince {
    since: BTreeMap<(DomainId, ReplicaId), (Epoch, Millis)>,
}

impl ReadySince {
    /// Takes in which replicas are ready now.
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

    /// Tells whether a replica has been ready in a domain for so long that all nodes know.
    pub fn is_settled(&self, domain: &DomainId, replica: &ReplicaId, now: Millis) -> bool {
        let since = self.since.get(&(domain.clone(), replica.clone()));
        since.is_some_and(|(_, since)| now.since(*since) >= SETTLED_AFTER)
    }
}
