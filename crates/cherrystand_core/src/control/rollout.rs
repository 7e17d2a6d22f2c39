//! Which replicas a domain should have, and which may go out of service for a rollout.

use crate::{
    Assignment, DesiredReplica, DomainId, FormedReplicas, Millis, ModelGroup, ReadySince,
    ReplicaId, Slot, WorkspaceRecord,
};

/// The replicas formed in all domains, and since when they have been ready.
#[derive(Clone, Copy, Debug)]
pub struct ServingState<'a> {
    /// The formed replicas, as this node knows them.
    pub formed: &'a FormedReplicas,
    /// Since when they have been ready.
    pub ready_since: &'a ReadySince,
    /// The current time.
    pub now: Millis,
}

impl<'a> ServingState<'a> {
    /// Returns the assignments of a replica that all nodes know to be ready.
    fn settled_assignments(
        self,
        replica: &ReplicaId,
    ) -> impl Iterator<Item = (&'a DomainId, &'a Assignment)> {
        let ready = self.formed.ready(replica);
        ready.filter(move |(domain, _)| self.ready_since.is_settled(domain, replica, self.now))
    }
}

/// Returns what a workspace asks for in one domain.
///
/// A rollout goes through a group's slots in order. A replica may reload once every earlier slot
/// serves the new load, so at most one is out of service on purpose, whichever daemons control the
/// group's domains, and a replica that fails to come back halts the rollout. A replica that moves
/// to another domain stays in the old one until it is in service in the new one.
///
/// Source: docs/design/0005-rollout.md.
pub fn desired_in_domain(
    workspace: &WorkspaceRecord,
    domain: &DomainId,
    service: ServingState<'_>,
) -> Vec<DesiredReplica> {
    let mut desired = Vec::new();
    for slot in &workspace.slots {
        let Some(group) = workspace.config.model(&slot.replica.group.name) else {
            continue;
        };
        if &slot.domain == domain {
            let may_reload = may_reload(group, &slot.replica, service);
            desired.push(desired_of(group, slot, may_reload));
        } else if is_needed_until_moved(slot, domain, service) {
            desired.push(desired_of(group, slot, false));
        }
    }
    desired
}

fn desired_of(group: &ModelGroup, slot: &Slot, may_reload: bool) -> DesiredReplica {
    DesiredReplica {
        replica: slot.replica.clone(),
        load: group.load_spec(),
        span: group.boxes_per_replica,
        planned: slot.planned.clone(),
        may_reload,
        downtime_weight: group.downtime_weight,
        stranded_weight: group.stranded_weight,
    }
}

/// Returns whether a replica that moves away from `domain` is still needed there.
fn is_needed_until_moved(slot: &Slot, domain: &DomainId, service: ServingState<'_>) -> bool {
    let here = service.formed.in_domain(domain).any(|replica| replica == &slot.replica);
    let mut ready = service.settled_assignments(&slot.replica);
    here && !ready.any(|(at, _)| at == &slot.domain)
}

/// Returns whether `replica` may go out of service to load what `group` asks for now.
pub fn may_reload(group: &ModelGroup, replica: &ReplicaId, service: ServingState<'_>) -> bool {
    let load = group.load_spec();
    let span = group.boxes_per_replica as usize;
    let slot = |number| ReplicaId::new(replica.group.clone(), number);
    let done = |number| {
        let slot = slot(number);
        let mut ready = service.settled_assignments(&slot);
        ready.any(|(_, assignment)| assignment.load == load && assignment.boxes.len() == span)
    };
    let ready = (0..group.replicas)
        .filter(|number| service.settled_assignments(&slot(*number)).next().is_some());
    let ready = ready.count();
    (0..replica.slot).all(done) && ready > group.capacity_floor() as usize
}
