//! Which daemons read the store for the others, and where each daemon reads.

use std::collections::BTreeMap;

use crate::nodes::task_ownership::{rank_by_hash, rank_in_zone, zones_of};
use crate::{Heartbeat, Millis, NodeId, PropagationBudget, ZoneId};

/// How many daemons of each zone may read the store for the others: one that reads it, and a
/// standby that reads from the first and replaces it when it fails.
pub const READERS_PER_ZONE: usize = 2;

/// Up to this many daemons of a zone all read from its reader; in a larger zone most read from a
/// distributor.
const MAX_DIRECT: usize = 40;

/// How many distributors a daemon tries before it reads from the readers themselves.
const MAX_DISTRIBUTORS_TRIED: usize = 2;

/// How long a peer is avoided as a source after it failed.
const FAILURE_AVOID_TIME: Millis = Millis(2_000);

/// How long a peer is avoided after it answered that it knows nothing fresh, as a starting one
/// does.
const STALE_AVOID_TIME: Millis = Millis(500);

/// The largest number of watches that all readers together begin in a second while something
/// changes all the time; each is a call to the store.
///
/// At 16 a second each, five readers made 3,392 calls in 44 s of a deployment of 295 daemons.
const MAX_WATCHES_PER_SEC: u64 = 50;

/// The largest number of polls that the daemons of a zone send to their reader in a second.
///
/// At 16 a second each, 58 daemons sent 930, and each poll woke both sides.
const MAX_POLLS_PER_SEC: u64 = 250;

/// The longest time between two polls; everything distributed this way may be seconds old.
const MAX_POLL_INTERVAL: Millis = PropagationBudget::MAX_POLL_INTERVAL;

/// Returns the minimum time between two watches of a reader, so that changes are batched.
pub fn watch_interval(alive: &[&Heartbeat]) -> Millis {
    let readers = zones_of(alive).len() as u64;
    Millis(readers * 1_000 / MAX_WATCHES_PER_SEC)
}

/// Returns the minimum time between two polls by a daemon of the reader of its zone.
///
/// The first change after a quiet time arrives at once, since a poll waits for it; only those that
/// follow are batched.
pub fn poll_interval(zone: &ZoneId, alive: &[&Heartbeat]) -> Millis {
    poll_interval_for(alive.iter().filter(|beat| &beat.zone == zone).count())
}

/// Returns the minimum time between two polls by one daemon of its source: none for a reader, since
/// few poll there, by the number of distributors for a distributor, and by the size of the zone for
/// all others.
pub fn poll_interval_of(own: &Heartbeat, alive: &[&Heartbeat]) -> Millis {
    let is_own = |beat: &&Heartbeat| beat.node == own.node;
    if readers_of(&own.zone, alive).iter().any(is_own) {
        return Millis(0);
    }
    let distributors = distributors_of(&own.zone, alive);
    match distributors.iter().any(is_own) {
        true => poll_interval_for(distributors.len()),
        false => poll_interval(&own.zone, alive),
    }
}

fn poll_interval_for(pollers: usize) -> Millis {
    Millis(pollers as u64 * 1_000 / MAX_POLLS_PER_SEC).min(MAX_POLL_INTERVAL)
}

/// Where a daemon reads the changes of the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Source<'a> {
    /// From the store itself.
    Store,
    /// From a peer.
    Peer(&'a Heartbeat),
}

/// Returns the readers of a zone in rank order.
///
/// Only daemons that serve, reach the store and serve its changes are readers.
pub fn readers_of<'a>(zone: &ZoneId, alive: &[&'a Heartbeat]) -> Vec<&'a Heartbeat> {
    let able = |beat: &Heartbeat| beat.serving && beat.decides && beat.changes.is_some();
    let mut readers = rank_in_zone("read", zone, alive, able);
    readers.truncate(READERS_PER_ZONE);
    readers
}

/// Returns the distributors of a large zone: the daemons that read from its reader and pass the
/// changes on to all others. There are as many of them as each has daemons to answer. A small zone
/// has none.
///
/// A reader that answered its whole zone itself would send each change as often as there are
/// daemons, and the number of changes grows with the daemons as well. Daemons that the store turns
/// away may be distributors, since distributors do not read it.
pub fn distributors_of<'a>(zone: &ZoneId, alive: &[&'a Heartbeat]) -> Vec<&'a Heartbeat> {
    let able = |beat: &Heartbeat| beat.serving && beat.changes.is_some();
    let mut distributors = rank_in_zone("read", zone, alive, able);
    if distributors.len() <= MAX_DIRECT {
        return Vec::new();
    }
    let count = (distributors.len() as f64).sqrt().ceil() as usize;
    let readers = readers_of(zone, alive);
    distributors.retain(|beat| !readers.iter().any(|reader| reader.node == beat.node));
    distributors.truncate(count);
    distributors
}

/// Returns the distributors that a daemon reads from in rank order; none for a distributor itself.
///
/// Each daemon ranks the distributors separately, so that when a distributor joins or leaves only
/// its own daemons move.
pub(crate) fn distributors_for<'a>(own: &Heartbeat, alive: &[&'a Heartbeat]) -> Vec<&'a Heartbeat> {
    let distributors = distributors_of(&own.zone, alive);
    if distributors.iter().any(|beat| beat.node == own.node) {
        return Vec::new();
    }
    let mut ranked = rank_by_hash(&format!("branch/{}", own.node), distributors);
    ranked.truncate(MAX_DISTRIBUTORS_TRIED);
    ranked
}

/// Returns the readers of all zones.
pub fn all_readers<'a>(alive: &[&'a Heartbeat]) -> Vec<&'a Heartbeat> {
    zones_of(alive).into_iter().flat_map(|zone| readers_of(zone, alive)).collect()
}

/// Selects where one daemon reads.
///
/// The first reader of a zone reads the store, the second one reads from the first, and everybody
/// else reads from the first of them that does not fail, in a large zone preferably from a
/// distributor. If all of these fail, a daemon reads the store itself; one that the store turns
/// away tries the readers of other zones before that.
#[derive(Clone, Debug, Default)]
pub struct SourceSelector {
    avoided_until: BTreeMap<NodeId, Millis>,
}

impl SourceSelector {
    /// Selects the current source of the daemon with the heartbeat `own`.
    pub fn choose<'a>(
        &mut self,
        own: &Heartbeat,
        alive: &[&'a Heartbeat],
        now: Millis,
    ) -> Source<'a> {
        self.avoided_until.retain(|_, until| now < *until);
        let mut near = readers_of(&own.zone, alive);
        match near.iter().position(|beat| beat.node == own.node) {
            Some(rank) => near.truncate(rank),
            None => _ = near.splice(0..0, distributors_for(own, alive)),
        }
        let far = if own.decides { Vec::new() } else { all_readers(alive) };
        let usable = |beat: &&Heartbeat| {
            beat.node != own.node && !self.avoided_until.contains_key(&beat.node)
        };
        near.into_iter().chain(far).find(usable).map_or(Source::Store, Source::Peer)
    }

    /// Records that a peer failed as a source.
    pub fn record_failure(&mut self, peer: &NodeId, now: Millis) {
        self.avoided_until.insert(peer.clone(), now + FAILURE_AVOID_TIME);
    }

    /// Records that a peer answered that it knows nothing fresh.
    pub fn record_stale(&mut self, peer: &NodeId, now: Millis) {
        self.avoided_until.insert(peer.clone(), now + STALE_AVOID_TIME);
    }
}
