//! Which daemons carry news between zones, and whom each daemon exchanges news with.
//!
//! Bytes between zones are dear and bytes within one are not. A few relays of each zone, named by
//! rank as readers are, exchange news with those of other zones; all others ask a relay of their
//! own zone. News so takes three exchanges at the most, whatever the number of daemons.
//!
//! Source: docs/design/0012-news-between-zones.md.

use crate::nodes::task_ownership::{rank_in_zone, zones_of};
use crate::{Heartbeat, Liveness, SeededRng, ZoneId};

/// How many daemons of each zone carry news to and from others: one, and one that does while the
/// first is lost and not yet missed.
pub const RELAYS_PER_ZONE: usize = 2;

/// In one exchange of this many, a daemon asks any peer of its zone instead of a relay, so that
/// news spreads while all relays are lost.
const RANDOM_PEER_EVERY: usize = 4;

/// Returns the relays of a zone, the first one first.
pub fn relays_of<'a>(zone: &ZoneId, alive: &[&'a Heartbeat]) -> Vec<&'a Heartbeat> {
    let mut relays = rank_in_zone("relay", zone, alive, |beat| beat.serving);
    relays.truncate(RELAYS_PER_ZONE);
    relays
}

/// Tells whether a daemon is a relay of its zone; `alive` holds it as well.
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

/// Chooses the peer that a daemon exchanges news with in one of its rounds, which it counts, among
/// all that it knows.
///
/// A relay asks the zones in turn, its own by way of the other relay, and of each zone now one
/// relay, now another. Everybody else asks the relays of its own zone in turn, and now and then any
/// peer there. A daemon that is alone in its zone asks whoever there is.
pub fn choose_gossip_peer<'a>(
    own: &Heartbeat,
    known: &[(&'a Heartbeat, Liveness)],
    round: usize,
    seed: &mut SeededRng,
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
            // Nobody passes its news on any more: whoever is left there knows who does next.
            let left: Vec<&Heartbeat> =
                suspects.into_iter().filter(|beat| &beat.zone == *zone).collect();
            return in_turn(&left, seed.below(left.len()));
        }
    }
    if relays.is_empty() || round.is_multiple_of(RANDOM_PEER_EVERY) {
        let mut any = alive.clone();
        any.retain(|beat| not_own(beat) && beat.zone == own.zone);
        if any.is_empty() {
            any.extend(alive.into_iter().filter(not_own));
        }
        return in_turn(&any, seed.below(any.len()));
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
