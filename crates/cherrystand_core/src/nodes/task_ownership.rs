//! Assigns tasks to daemons by rendezvous hashing.

use crate::{Heartbeat, NodeId, ZoneId, hash_bytes, mix};

/// Returns the daemon that owns `task` among those given.
///
/// All daemons with the same view select the same one, and a daemon that joins or leaves moves only
/// the tasks that it owns. It is safe for views to differ: the work is then done twice.
pub fn owner_of<'a>(
    task: &str,
    nodes: impl IntoIterator<Item = &'a Heartbeat>,
) -> Option<&'a NodeId> {
    rank_by_hash(task, nodes).into_iter().next().map(|beat| &beat.node)
}

/// Returns the daemons in rank order for `task`, its owner first.
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

/// Returns the distinct zones of daemons, in the same order everywhere.
pub(crate) fn zones_of<'a>(beats: &[&'a Heartbeat]) -> Vec<&'a ZoneId> {
    let mut zones: Vec<&ZoneId> = beats.iter().map(|beat| &beat.zone).collect();
    zones.sort();
    zones.dedup();
    zones
}

/// Returns the daemons of a zone that are able to perform a duty, in rank order.
///
/// Those with the fastest links come first, since what a zone reads and passes on goes over them.
/// If two of twenty have ten times the bandwidth of the others, sending 20 copies of 0.4 MB takes
/// 0.3 s instead of 3.4 s.
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
