//! Which replica may go out of service for a rollout.

use std::collections::BTreeMap;

use crate::{Assignment, Desired, ModelGroup, Phase, ReplicaId, WorkspaceRecord};

/// Lists what a workspace asks for in one domain.
///
/// `formed` holds the assignments of all domains as this node knows them. A rollout goes through
/// a group's slots in their order: a replica may reload once every earlier slot serves the new
/// load, so at most one is out on purpose wherever the group's domains are controlled from, and
/// a replica that fails to come back halts the rest.
///
/// Source: docs/design/0005-rollout.md.
pub fn desired_in_domain(
    workspace: &WorkspaceRecord,
    domain: &crate::DomainId,
    formed: &BTreeMap<ReplicaId, Assignment>,
) -> Vec<Desired> {
    let slots = workspace.slots.iter().filter(|slot| &slot.domain == domain);
    let mut desired = Vec::new();
    for slot in slots {
        let Some(group) = workspace.config.model(&slot.replica.group.name) else {
            continue;
        };
        desired.push(Desired {
            replica: slot.replica.clone(),
            load: group.load_spec(),
            span: group.boxes_per_replica,
            planned: slot.planned.clone(),
            may_reload: may_reload(group, &slot.replica, formed),
            downtime_weight: group.downtime_weight,
            stranded_weight: group.stranded_weight,
        });
    }
    desired
}

/// Tells whether `replica` may go out of service to load what `group` asks for now.
pub fn may_reload(
    group: &ModelGroup,
    replica: &ReplicaId,
    formed: &BTreeMap<ReplicaId, Assignment>,
) -> bool {
    let load = group.load_spec();
    let is_ready = |slot: &u32| {
        let held = formed.get(&ReplicaId::new(replica.group.clone(), *slot));
        held.filter(|held| held.phase == Phase::Ready)
    };
    let done = |slot: u32| is_ready(&slot).is_some_and(|held| held.load == load);
    let ready = (0..group.replicas)
        .filter(|slot| is_ready(slot).is_some())
        .count();
    let floor = group.capacity_floor() as usize;
    (0..replica.slot).all(done) && ready > floor
}
