//! Plans, which show the effects of a configuration change before it is confirmed.

use std::collections::{BTreeMap, BTreeSet};
use std::fmt;

use serde::{Deserialize, Serialize};

use crate::{
    BoxId, DomainId, Fleet, Generation, GroupId, ModelGroup, PlacementError, Placer, PlanId,
    ReplicaId, Slot, WorkspaceConfig, WorkspaceRecord,
};

/// What confirming a configuration would change.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Plan {
    /// The plan's id.
    pub id: PlanId,
    /// The generation that the plan is based on.
    pub base: Generation,
    /// The configuration that confirming puts in force.
    pub config: WorkspaceConfig,
    /// Where each replica would be formed.
    pub slots: Vec<Slot>,
    /// The changes, in the order shown to operators.
    pub changes: Vec<Change>,
    /// The serving capacity of each model group during the change.
    pub costs: Vec<CapacityCost>,
}

/// One change that a plan would make.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", tag = "change")]
pub enum Change {
    /// A replica would be formed.
    Form {
        /// The replica.
        replica: ReplicaId,
        /// Its domain.
        domain: DomainId,
        /// Its boxes, by rank.
        boxes: Vec<BoxId>,
    },
    /// A replica would be drained and its boxes freed.
    Remove {
        /// The replica.
        replica: ReplicaId,
        /// The boxes freed.
        boxes: Vec<BoxId>,
    },
    /// A replica would be drained and formed anew on other boxes.
    Reform {
        /// The replica.
        replica: ReplicaId,
        /// The boxes freed.
        from: Vec<BoxId>,
        /// The domain that forms it anew.
        domain: DomainId,
        /// Its new boxes, by rank.
        to: Vec<BoxId>,
    },
    /// A replica would be drained, reloaded and put back into service.
    Reload {
        /// The replica.
        replica: ReplicaId,
        /// The boxes that reload.
        boxes: Vec<BoxId>,
        /// What they load now.
        from: String,
        /// What they would load.
        to: String,
    },
    /// The endpoints or rules of a plain service would change.
    Service {
        /// The group.
        group: GroupId,
        /// Whether it is added, changed or removed.
        what: ServiceChange,
    },
    /// Settings of a model group would change that need no reload.
    Policy {
        /// The group.
        group: GroupId,
    },
}

/// What happens to a service group.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum ServiceChange {
    /// It is added.
    Added,
    /// Its settings change.
    Changed,
    /// It is removed.
    Removed,
}

impl fmt::Display for Change {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Change::Form { replica, domain, boxes } => {
                write!(f, "form {replica} in {domain} on {}", join(boxes))
            }
            Change::Remove { replica, boxes } => {
                write!(f, "drain and remove {replica}, freeing {}", join(boxes))
            }
            Change::Reload { replica, boxes, from, to } => {
                write!(f, "drain and reload {replica} from {from} to {to} on {}", join(boxes))
            }
            Change::Reform { replica, from, domain, to } => {
                let (from, to) = (join(from), join(to));
                write!(f, "drain {replica} on {from} and form it anew in {domain} on {to}")
            }
            Change::Service { group, what } => {
                let what = match what {
                    ServiceChange::Added => "add",
                    ServiceChange::Changed => "change",
                    ServiceChange::Removed => "remove",
                };
                write!(f, "{what} service {group}")
            }
            Change::Policy { group } => write!(f, "change the policy of {group} in place"),
        }
    }
}

fn join(boxes: &[BoxId]) -> String {
    let names: Vec<&str> = boxes.iter().map(BoxId::as_str).collect();
    names.join(" ")
}

/// The number of serving replicas of a group before, during and after a change.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CapacityCost {
    /// The group.
    pub group: GroupId,
    /// Replicas before.
    pub before: u32,
    /// The fewest replicas that the change itself leaves in service.
    pub least: u32,
    /// Replicas afterwards.
    pub after: u32,
}

/// Why no plan could be made.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum PlanError {
    /// No allowed domain has room for a replica.
    #[error(transparent)]
    Placement(#[from] PlacementError),
    /// The change takes replicas out of service one after the other, but the floor permits none.
    #[error(
        "group `{group}` must reload its replicas, but its floor {floor} of {replicas} lets none \
         go out of service; lower `floor` or add a replica first"
    )]
    FloorTooHigh {
        /// The group's name.
        group: String,
        /// The floor.
        floor: u32,
        /// The number of replicas.
        replicas: u32,
    },
    /// The configuration is already in force.
    #[error("nothing would change: the configuration is that of generation {0}")]
    NoChanges(Generation),
}

/// The boxes assigned to each replica now, according to the domains' records.
pub type BoxesByReplica = BTreeMap<ReplicaId, Vec<BoxId>>;

/// Computes the effects of putting `config` in force.
///
/// # Errors
///
/// Returns a [`PlanError`] if a replica fits nowhere, a floor forbids the change, or nothing would
/// change.
pub fn make_plan(
    id: PlanId,
    record: &WorkspaceRecord,
    config: WorkspaceConfig,
    fleet: &Fleet,
    assigned: &BoxesByReplica,
) -> Result<Plan, PlanError> {
    if record.config == config {
        return Err(PlanError::NoChanges(record.generation));
    }
    let slots = assign_slots(record, &config, fleet, assigned)?;
    let changes = list_changes(record, &config, &slots, assigned);
    check_floors(&config, &changes)?;
    let costs = capacity_costs(record, &config, &changes);
    Ok(Plan { id, base: record.generation, config, slots, changes, costs })
}

fn assign_slots(
    record: &WorkspaceRecord,
    config: &WorkspaceConfig,
    fleet: &Fleet,
    assigned: &BoxesByReplica,
) -> Result<Vec<Slot>, PlanError> {
    let kept: BTreeMap<ReplicaId, &Slot> =
        config.models.iter().flat_map(|group| kept_slots(record, config, group)).collect();
    // Boxes of this workspace's other replicas become free once those are drained.
    let stays = |replica: &ReplicaId| {
        kept.contains_key(replica) || replica.group.workspace != config.workspace
    };
    let staying = assigned.iter().filter(|(replica, _)| stays(replica));
    let taken: BTreeSet<BoxId> = staying.flat_map(|(_, boxes)| boxes).cloned().collect();
    let mut placer = Placer::new(fleet, &taken);
    let mut slots = Vec::new();
    for group in &config.models {
        let id = config.group_id(&group.name);
        let own = kept.values().filter(|slot| slot.replica.group == id);
        placer.start_group(own.map(|slot| &slot.domain));
        for number in 0..group.replicas {
            let replica = ReplicaId::new(id.clone(), number);
            let slot = match kept.get(&replica) {
                Some(slot) => (*slot).clone(),
                None => new_slot(&mut placer, group, replica)?,
            };
            slots.push(slot);
        }
    }
    Ok(slots)
}

fn new_slot(
    placer: &mut Placer<'_>,
    group: &ModelGroup,
    replica: ReplicaId,
) -> Result<Slot, PlacementError> {
    let place = placer.place(group)?;
    Ok(Slot { replica, domain: place.domain, planned: place.boxes })
}

/// Returns the slots of `group` that stay in their domains under the new configuration.
fn kept_slots<'a>(
    record: &'a WorkspaceRecord,
    config: &WorkspaceConfig,
    group: &ModelGroup,
) -> BTreeMap<ReplicaId, &'a Slot> {
    let id = config.group_id(&group.name);
    let before = record.config.model(&group.name);
    let same_span = before.is_some_and(|old| old.boxes_per_replica == group.boxes_per_replica);
    let kept = record.slots.iter().filter(|slot| {
        same_span
            && slot.replica.group == id
            && slot.replica.slot < group.replicas
            && group.allows(&slot.domain)
    });
    kept.map(|slot| (slot.replica.clone(), slot)).collect()
}

fn list_changes(
    record: &WorkspaceRecord,
    config: &WorkspaceConfig,
    slots: &[Slot],
    assigned: &BoxesByReplica,
) -> Vec<Change> {
    let mut changes = removals(record, slots, assigned);
    for slot in slots {
        changes.extend(replica_change(record, config, slot, assigned));
    }
    changes.extend(policy_changes(record, config, &changes));
    changes.extend(service_changes(record, config));
    changes
}

fn removals(record: &WorkspaceRecord, slots: &[Slot], assigned: &BoxesByReplica) -> Vec<Change> {
    let stays = |old: &&Slot| slots.iter().any(|new| new.replica == old.replica);
    let removed = record.slots.iter().filter(|old| !stays(old));
    let removal = |slot: &Slot| Change::Remove {
        replica: slot.replica.clone(),
        boxes: boxes_of(slot, assigned),
    };
    removed.map(removal).collect()
}

fn boxes_of(slot: &Slot, assigned: &BoxesByReplica) -> Vec<BoxId> {
    assigned.get(&slot.replica).unwrap_or(&slot.planned).clone()
}

fn replica_change(
    record: &WorkspaceRecord,
    config: &WorkspaceConfig,
    slot: &Slot,
    assigned: &BoxesByReplica,
) -> Option<Change> {
    let replica = slot.replica.clone();
    let new_group = config.model(&replica.group.name)?;
    let (domain, planned) = (slot.domain.clone(), slot.planned.clone());
    let Some(old_slot) = record.slots.iter().find(|old| old.replica == replica) else {
        return Some(Change::Form { replica, domain, boxes: planned });
    };
    if old_slot != slot {
        let from = boxes_of(old_slot, assigned);
        return Some(Change::Reform { replica, from, domain, to: planned });
    }
    let old_group = record.config.model(&replica.group.name)?;
    if old_group.load_spec() == new_group.load_spec() {
        return None;
    }
    Some(Change::Reload {
        replica,
        boxes: boxes_of(old_slot, assigned),
        from: describe_load(old_group),
        to: describe_load(new_group),
    })
}

fn describe_load(group: &ModelGroup) -> String {
    let mut text = format!("{}@{}", group.model, group.version);
    for adapter in &group.adapters {
        text.push('+');
        text.push_str(adapter);
    }
    text.push(' ');
    text.push_str(&group.role);
    text
}

fn policy_changes(
    record: &WorkspaceRecord,
    config: &WorkspaceConfig,
    changes: &[Change],
) -> Vec<Change> {
    let touched = |id: &GroupId| {
        changes.iter().any(|change| match change {
            Change::Form { replica, .. }
            | Change::Remove { replica, .. }
            | Change::Reform { replica, .. }
            | Change::Reload { replica, .. } => &replica.group == id,
            Change::Service { .. } | Change::Policy { .. } => false,
        })
    };
    let differs = |group: &&ModelGroup| record.config.model(&group.name) != Some(group);
    let ids = config.models.iter().filter(differs).map(|group| config.group_id(&group.name));
    ids.filter(|id| !touched(id)).map(|group| Change::Policy { group }).collect()
}

fn service_changes(record: &WorkspaceRecord, config: &WorkspaceConfig) -> Vec<Change> {
    let mut changes = Vec::new();
    let find = |config: &WorkspaceConfig, name: &str| {
        config.services.iter().find(|group| group.name == name).cloned()
    };
    for group in &config.services {
        let what = match find(&record.config, &group.name) {
            None => ServiceChange::Added,
            Some(old) if &old != group => ServiceChange::Changed,
            Some(_) => continue,
        };
        let group = config.group_id(&group.name);
        changes.push(Change::Service { group, what });
    }
    for old in &record.config.services {
        if find(config, &old.name).is_none() {
            let group = config.group_id(&old.name);
            changes.push(Change::Service { group, what: ServiceChange::Removed });
        }
    }
    changes
}

fn check_floors(config: &WorkspaceConfig, changes: &[Change]) -> Result<(), PlanError> {
    for group in &config.models {
        let id = config.group_id(&group.name);
        if restarts_replicas(changes, &id) && group.capacity_floor() >= group.replicas {
            return Err(PlanError::FloorTooHigh {
                group: group.name.clone(),
                floor: group.capacity_floor(),
                replicas: group.replicas,
            });
        }
    }
    Ok(())
}

/// Returns whether a change takes replicas of a group out of service one after the other.
fn restarts_replicas(changes: &[Change], group: &GroupId) -> bool {
    changes.iter().any(|change| match change {
        Change::Reload { replica, .. } | Change::Reform { replica, .. } => &replica.group == group,
        _ => false,
    })
}

fn capacity_costs(
    record: &WorkspaceRecord,
    config: &WorkspaceConfig,
    changes: &[Change],
) -> Vec<CapacityCost> {
    let mut costs = Vec::new();
    let mut names: BTreeSet<&str> = config.models.iter().map(|group| group.name.as_str()).collect();
    names.extend(record.config.models.iter().map(|group| group.name.as_str()));
    for name in names {
        let group = config.group_id(name);
        let before = record.config.model(name).map_or(0, |group| group.replicas);
        let after = config.model(name).map_or(0, |group| group.replicas);
        let restarts = restarts_replicas(changes, &group);
        let removed = changes
            .iter()
            .filter(
                |change| matches!(change, Change::Remove { replica, .. } if replica.group == group),
            )
            .count() as u32;
        let least = before.saturating_sub(removed).saturating_sub(u32::from(restarts));
        costs.push(CapacityCost { group, before, least, after });
    }
    costs
}
