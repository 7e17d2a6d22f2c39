//! Whom a daemon tells what is in flight.
//!
//! Where daemons are few each tells all others. In a large zone each tells its relays alone, which
//! sum up what all of the fleet have in flight and tell that to everybody: a daemon of 295 then
//! sends 10 datagrams a second and hears 5, in place of 60 and 60, and knows what is 0.4 s old in
//! place of 1 s.
//!
//! Source: docs/design/0012-news-between-zones.md.

use crate::{Heartbeat, is_relay, relays_elsewhere, relays_of};

/// Up to this many peers are told directly.
pub const TOLD_DIRECTLY: usize = 12;

/// Says whom a daemon tells what.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct LoadAudience<'a> {
    /// Those that are told what the daemon itself has in flight.
    pub own: Vec<&'a Heartbeat>,
    /// Those that are told the sum of its zone.
    pub zone: Vec<&'a Heartbeat>,
    /// Those that are told the sum of all zones.
    pub total: Vec<&'a Heartbeat>,
}

/// Returns whom a daemon tells in one of its tellings, which it counts; `alive` holds it as well.
pub fn load_audience<'a>(
    own: &Heartbeat,
    alive: &[&'a Heartbeat],
    turn: usize,
) -> LoadAudience<'a> {
    let mut others = alive.to_vec();
    others.retain(|beat| beat.node != own.node);
    if others.len() <= TOLD_DIRECTLY {
        return LoadAudience { own: others, ..LoadAudience::default() };
    }
    let mut near = others;
    near.retain(|beat| beat.zone == own.zone);
    let zone = if is_relay(own, alive) { relays_elsewhere(&own.zone, alive) } else { Vec::new() };
    if near.len() <= TOLD_DIRECTLY {
        return LoadAudience { own: near, zone, total: Vec::new() };
    }
    let mut relays = relays_of(&own.zone, alive);
    let rank = relays.iter().position(|beat| beat.node == own.node);
    let count = relays.len();
    let total = rank.map(|rank| {
        near.retain(|beat| !relays.contains(beat));
        // Each relay tells its part of them, another one each time, so that those who hear of one
        // relay only are told half as often.
        let parts = near.into_iter().enumerate();
        let told = parts.filter(|(place, _)| (place + turn + rank).is_multiple_of(count));
        told.map(|(_, beat)| beat).collect()
    });
    relays.retain(|beat| beat.node != own.node);
    LoadAudience { own: relays, zone, total: total.unwrap_or_default() }
}
