//! The replicas formed in all domains, as one node knows them.

use std::collections::BTreeMap;

use crate::{Assignment, BoxId, DomainId, DomainRecord, Phase, ReplicaId};

/// The assignments of all domains by replica.
///
/// While a replica moves, it is formed in two domains.
#[derive(Clone, Debug, Default)]
pub struct FormedReplicas {
    replicas: BTreeMap<ReplicaId, Vec<(DomainId, Assignment)>>,
}

impl FormedReplicas {
    /// Collects the assignments of some domains.
    pub fn new<'a>(records: impl IntoIterator<Item = &'a DomainRecord>) -> Self {
        let mut formed = Self::default();
        for record in records {
            for (replica, assignment) in &record.replicas {
                let list = formed.replicas.entry(replica.clone()).or_default();
                list.push((record.domain.clone(), assignment.clone()));
            }
        }
        formed
    }

    /// Returns the ready assignments of a replica, with their domains.
    pub fn ready<'a>(
        &'a self,
        replica: &ReplicaId,
    ) -> impl Iterator<Item = (&'a DomainId, &'a Assignment)> + use<'a> {
        let all = self.replicas.get(replica).into_iter().flatten();
        let ready = all.filter(|(_, assignment)| assignment.phase == Phase::Ready);
        ready.map(|(domain, assignment)| (domain, assignment))
    }

    /// Returns every ready assignment.
    pub fn all_ready(&self) -> impl Iterator<Item = (&DomainId, &ReplicaId, &Assignment)> {
        let all = self.replicas.keys();
        all.flat_map(|replica| {
            self.ready(replica).map(move |(domain, assignment)| (domain, replica, assignment))
        })
    }

    /// Returns the replicas that have an assignment in a domain.
    pub fn in_domain<'a>(&'a self, domain: &'a DomainId) -> impl Iterator<Item = &'a ReplicaId> {
        let has = move |list: &[(DomainId, Assignment)]| list.iter().any(|(at, _)| at == domain);
        self.replicas.iter().filter(move |(_, list)| has(list)).map(|(replica, _)| replica)
    }

    /// Returns the boxes assigned to each replica, in all domains.
    pub fn boxes(&self) -> BTreeMap<ReplicaId, Vec<BoxId>> {
        let boxes = |list: &[(DomainId, Assignment)]| {
            list.iter().flat_map(|(_, assignment)| assignment.boxes.clone()).collect()
        };
        self.replicas.iter().map(|(replica, list)| (replica.clone(), boxes(list))).collect()
    }

    /// Returns the replica to which a box is assigned.
    pub fn replica_with_box(&self, id: &BoxId) -> Option<&ReplicaId> {
        let holds = |list: &[(DomainId, Assignment)]| {
            list.iter().any(|(_, assignment)| assignment.boxes.contains(id))
        };
        self.replicas.iter().find(|(_, list)| holds(list)).map(|(replica, _)| replica)
    }
}
