//! Which daemon does what for all.

use crate::{Heartbeat, NodeId, hash_bytes, mix};

/// Returns the daemon that has the highest claim to `task` among those given.
///
/// All daemons with one view name the same one, and a daemon that comes or goes moves only the
/// tasks that it had. Nothing unsafe follows when views differ: the work is done twice.
pub fn owner_of<'a>(
    task: &str,
    nodes: impl IntoIterator<Item = &'a Heartbeat>,
) -> Option<&'a NodeId> {
    ranked(task, nodes).into_iter().next()
}

/// Returns the daemons in the order of their claim to `task`.
pub fn ranked<'a>(task: &str, nodes: impl IntoIterator<Item = &'a Heartbeat>) -> Vec<&'a NodeId> {
    let task_hash = hash_bytes(task.as_bytes());
    let score = |node: &NodeId| mix(task_hash ^ hash_bytes(node.as_str().as_bytes()));
    let mut names: Vec<&NodeId> = nodes.into_iter().map(|beat| &beat.node).collect();
    names.sort_by_key(|node| std::cmp::Reverse(score(node)));
    names
}
