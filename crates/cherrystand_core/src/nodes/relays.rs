//! Gossip between zones: which daemons relay it, and which peer each daemon gossips with.
//!
//! Traffic between zones is expensive, traffic within a zone is not. A few relays of each zone,
//! selected by rank like readers, gossip with those of other zones, and all others ask a relay of
//! their own zone. An update thus takes at most three exchanges, whatever the number of daemons.
//!
//! Source: docs/design/0012-news-between-zones.md.

use crate::nodes::task_ownership::{rank_in_zone, zones_of};
use crate::{Heartbeat, Liveness, SeededRng, ZoneId};

/// How many daemons of each zone relay gossip to and from other zones: one, and a second that does
/// so while the loss of the first has not been detected.
pub const RELAYS_PER_ZONE: usize = 2;

/// In every fourth exchange a daemon asks a random peer of its zone instead of a relay, so that
/// gossip spreads even while all relays are lost.
const RANDOM_PEER_EVERY: usize = 4;

/// Returns the relays of a zone in rank order.
pub fn relays_of<'a>(zone: &ZoneId, alive: &[&'a Heartbeat]) -> Vec<&'a Heartbeat> {
    let mut relays = rank_in_zone("relay", zone, alive, |beat| beat.serving);
    relays.truncate(RELAYS_PER_ZONE);
    relays
}

/// Returns whether a daemon is a relay of its zone; `alive` has to include it.
pub fn is_relay(own: &Heartbeat, alive: &[&Heartbeat]) -> bool {
    relays_of(&own.zone, alive).iter().any(|beat| beat.node == own.node)
}

/// Returns the relays of all zones but one.
pub fn relays_elsewhere<'a>(zone: &ZoneId, alive: &[&'a Heartbeat]) -> Vec<&'a Heartbeat> {
    other_zone_totals(zone, alive).into_iter().flat_map(|other| relays_of(other, alive)).collect()
}

fn other_zone_totals<'a>(zone: &ZoneId, alive: &[&'a Heartbeat]) -> Vec<&'a ZoneId> {
    let mut zones = zones_of(alive);
    zones.retain(|other| *other != zone);
    zones
}

/// Selects the peer that a daemon gossips with in a given round, among all that it knows.
///
/// A relay asks the zones in turn, its own zone through the other relay, and alternates between the
/// relays of each zone. Every other daemon asks the relays of its own zone in turn, and sometimes a
/// random peer there. A daemon that is alone in its zone asks any daemon.
pub fn choose_gossip_peer<'a>(
    own: &Heartbeat,
    known: &[(&'a Heartbeat, Liveness)],
    round: usize,
    rng: &mut SeededRng,
) -> Option<&'a Heartbeat> {
    let alive = with_liveness(known, Liveness::Alive);
    let not_own = |beat: &&Heartbeat| beat.node != own.node;
    let mut relays = relays_of(&own.zone, &alive);
    let rank = relays.iter().position(|beat| beat.node == own.node);
    relays.retain(not_own);
    if let Some(rank) = rank {
        let suspects = with_liveness(known, Liveness::Suspect);
        let reachable: Vec<&Heartbeat> = alive.iter().chain(&suspects).copied().collect();
        let others = other_zone_totals(&own.zone, &reachable);
        let turn = round % (others.len() + 1);
        if let Some(zone) = others.get(turn) {
            let far = relays_of(zone, &alive);
            if !far.is_empty() {
                return in_turn(&far, rank + round / (others.len() + 1));
            }
            // The zone has no live relay. Any daemon left there knows which one takes over next.
            let left: Vec<&Heartbeat> =
                suspects.into_iter().filter(|beat| &beat.zone == *zone).collect();
            return in_turn(&left, rng.below(left.len()));
        }
    }
    if relays.is_empty() || round.is_multiple_of(RANDOM_PEER_EVERY) {
        let mut others = alive.clone();
        others.retain(|beat| not_own(beat) && beat.zone == own.zone);
        if others.is_empty() {
            others.extend(alive.into_iter().filter(not_own));
        }
        return in_turn(&others, rng.below(others.len()));
    }
    in_turn(&relays, round)
}

fn with_liveness<'a>(
    known: &[(&'a Heartbeat, Liveness)],
    liveness: Liveness,
) -> Vec<&'a Heartbeat> {
    known.iter().filter(|(_, held)| *held == liveness).map(|(beat, _)| *beat).collect()
}

fn in_turn<'a>(among: &[&'a Heartbeat], turn: usize) -> Option<&'a Heartbeat> {
    among.get(turn % among.len().max(1)).copied()
}
