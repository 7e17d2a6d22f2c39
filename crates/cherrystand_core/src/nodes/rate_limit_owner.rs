//! Selects the daemon that owns the rate limit of an endpoint.

use std::fmt::Display;

use crate::{Heartbeat, Liveness, NodeId, RateLimitOwner, owner_of};

/// Returns the owner of an endpoint's rate limit, as one daemon sees the others.
///
/// A daemon that shuts down hands over its rate limits at once. Daemons that are out of sight may
/// see another owner, selected by the same rule. Each owner therefore grants only the share of the
/// daemons that it sees alive, so that together they do not exceed the limit.
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
