//! Which daemon does what for all.

use crate::{Heartbeat, NodeId, ZoneId, hash_bytes, mix};

/// Returns the daemon that has the highest claim to `task` among those given.
///
/// All daemons with one view name the same one, and a daemon that comes or goes moves only the
/// tasks that it had. Nothing unsafe follows when views differ: the work is done twice.
pub fn owner_of<'a>(
    task: &str,
    nodes: impl IntoIterator<Item = &'a Heartbeat>,
) -> Option<&'a NodeId> {
    rank_by_hash(task, nodes).into_iter().next().map(|beat| &beat.node)
}

/// Returns the daemons in the order of their claim to `task`.
pub fn rank_by_hash<'a>(
    task: &str,
    nodes: impl IntoIterator<Item = &'a Heartbeat>,
) -> Vec<&'a Heartbeat> {
    let task_hash = hash_bytes(task.as_bytes());
    let score = |node: &NodeId| mix(task_hash ^ hash_bytes(node.as_str().as_bytes()));
    let mut beats: Vec<&Heartbeat> = nodes.into_iter().collect();
    beats.sort_by_cached_key(|beat| std::cmp::Reverse(score(&beat.node)));
    beats
}

/// Returns the zones of daemons, each once and in the same order everywhere.
pub(crate) fn zones_of<'a>(beats: &[&'a Heartbeat]) -> Vec<&'a ZoneId> {
    let mut zones: Vec<&ZoneId> = beats.iter().map(|beat| &beat.zone).collect();
    zones.sort();
    zones.dedup();
    zones
}

/// Returns the daemons of a zone that are able to do a duty of it, in the order of their claim.
///
/// Those with the widest links come first: what a zone reads and passes on goes over them. Where
/// two of twenty have ten times the link of the others, 20 copies of 0.4 MB are 0.3 s instead of
/// 3.4 s.
pub(crate) fn rank_in_zone<'a>(
    duty: &str,
    zone: &ZoneId,
    alive: &[&'a Heartbeat],
    able: impl Fn(&Heartbeat) -> bool,
) -> Vec<&'a Heartbeat> {
    let in_zone = alive.iter().copied().filter(|beat| &beat.zone == zone && able(beat));
    let mut able = rank_by_hash(&format!("{duty}/{zone}"), in_zone);
    able.sort_by_key(|beat| std::cmp::Reverse(beat.link_mbps));
    able
}
