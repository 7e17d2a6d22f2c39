//! Which daemon keeps the account of an endpoint's limit.

use std::fmt::Display;

use crate::{Heartbeat, Liveness, NodeId, RateLimitOwner, owner_of};

/// Names the daemon that keeps the account of an endpoint's limit, as one daemon sees the others.
///
/// One that stops hands its accounts over at once. Daemons that are out of sight may see a keeper of their own,
/// who goes by the same rule: each gives out the part of those whom it sees alive, so that both together
/// give no more than the whole.
pub fn rate_limit_owner_of(
    id: &impl Display,
    own: &NodeId,
    members: &[(Heartbeat, Liveness)],
) -> RateLimitOwner {
    let alive = members.iter().filter(|(_, liveness)| *liveness == Liveness::Alive);
    let alive: Vec<&Heartbeat> = alive.map(|(beat, _)| beat).collect();
    let serving = alive.iter().copied().filter(|beat| beat.serving);
    let task = format!("limit/{id}");
    let owner = owner_of(&task, serving).or_else(|| owner_of(&task, alive.iter().copied()));
    let other = owner.filter(|owner| *owner != own);
    let address = alive.iter().find(|beat| Some(&beat.node) == other).map(|beat| beat.address);
    let share = alive.len().max(1) as f64 / members.len().max(1) as f64;
    RateLimitOwner { address, share }
}
