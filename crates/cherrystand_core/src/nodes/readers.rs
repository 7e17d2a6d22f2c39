//! Which daemons read the store for the others, and where each daemon reads.

use std::collections::BTreeMap;

use crate::nodes::task_ownership::{rank_by_hash, rank_in_zone, zones_of};
use crate::{Heartbeat, Millis, NodeId, PropagationBudget, ZoneId};

/// How many daemons of each zone may read the store for the others: one that does, and one that
/// reads from it and takes its place when it fails.
pub const READERS_PER_ZONE: usize = 2;

/// Up to this many daemons of a zone all read from its reader; of a larger zone most read from a branch.
const MAX_DIRECT: usize = 40;

/// How many branches a daemon may read from before it goes to the readers themselves.
const MAX_BRANCHES_TRIED: usize = 2;

/// For how long a peer is not read from after it failed.
const FAILURE_AVOID_TIME: Millis = Millis(2_000);

/// For how long it is not after it answered that it knows nothing fresh, as one that starts does.
const STALE_AVOID_TIME: Millis = Millis(500);

/// How many watches all readers together begin in a second, at the most, while something changes
/// all the time; each is a call to the store.
///
/// With 16 a second each, five readers made 3,392 calls in 44 s of a deployment of 295 daemons.
const MAX_WATCHES_PER_SEC: u64 = 50;

/// How many questions the daemons of a zone ask their reader in a second, at the most.
///
/// At 16 a second each, 58 daemons asked 930, and each question woke both.
const MAX_POLLS_PER_SEC: u64 = 250;

/// The longest time between two questions; nothing that is told this way is bounded by less than
/// seconds.
const MAX_POLL_INTERVAL: Millis = PropagationBudget::MAX_POLL_INTERVAL;

/// Returns how long a reader leaves between two watches, so that changes arrive together.
pub fn watch_interval(alive: &[&Heartbeat]) -> Millis {
    let readers = zones_of(alive).len() as u64;
    Millis(readers * 1_000 / MAX_WATCHES_PER_SEC)
}

/// Returns how long a daemon leaves between two questions to the reader of its zone.
///
/// The first change after a while of nothing is told at once, as the question waits for it; only
/// what follows it arrives together.
pub fn poll_interval(zone: &ZoneId, alive: &[&Heartbeat]) -> Millis {
    poll_interval_for(alive.iter().filter(|beat| &beat.zone == zone).count())
}

/// Returns how long one daemon leaves between two questions to where it reads: a reader nothing, as few ask, a
/// branch by how many of these there are, any other by its zone.
pub fn poll_interval_of(own: &Heartbeat, alive: &[&Heartbeat]) -> Millis {
    let is_own = |beat: &&Heartbeat| beat.node == own.node;
    if readers_of(&own.zone, alive).iter().any(is_own) {
        return Millis(0);
    }
    let branches = branches_of(&own.zone, alive);
    match branches.iter().any(is_own) {
        true => poll_interval_for(branches.len()),
        false => poll_interval(&own.zone, alive),
    }
}

fn poll_interval_for(askers: usize) -> Millis {
    Millis(askers as u64 * 1_000 / MAX_POLLS_PER_SEC).min(MAX_POLL_INTERVAL)
}

/// Says where a daemon reads what changes in the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Source<'a> {
    /// From the store itself.
    Store,
    /// From a peer that reads it.
    Peer(&'a Heartbeat),
}

/// Returns the readers of a zone, the first one first.
///
/// Only daemons that serve, reach the store and pass its changes on are readers.
pub fn readers_of<'a>(zone: &ZoneId, alive: &[&'a Heartbeat]) -> Vec<&'a Heartbeat> {
    let able = |beat: &Heartbeat| beat.serving && beat.decides && beat.changes.is_some();
    let mut readers = rank_in_zone("read", zone, alive, able);
    readers.truncate(READERS_PER_ZONE);
    readers
}

/// Returns the daemons of a large zone that read from its reader and pass on what changes to all others: as many
/// as each of them then answers. A small zone has none.
///
/// A reader that answers its whole zone sends each change as often as there are daemons, and changes grow with
/// the daemons as well. Those that the store turns away may be branches, as they do not read it.
pub fn branches_of<'a>(zone: &ZoneId, alive: &[&'a Heartbeat]) -> Vec<&'a Heartbeat> {
    let able = |beat: &Heartbeat| beat.serving && beat.changes.is_some();
    let mut branches = rank_in_zone("read", zone, alive, able);
    if branches.len() <= MAX_DIRECT {
        return Vec::new();
    }
    let count = (branches.len() as f64).sqrt().ceil() as usize;
    let readers = readers_of(zone, alive);
    branches.retain(|beat| !readers.iter().any(|reader| reader.node == beat.node));
    branches.truncate(count);
    branches
}

/// Returns the branches that a daemon reads from, the first one first; none for a branch itself.
///
/// Each daemon ranks the branches by itself, so that one that comes or goes moves only its own.
fn branches_for<'a>(own: &Heartbeat, alive: &[&'a Heartbeat]) -> Vec<&'a Heartbeat> {
    let branches = branches_of(&own.zone, alive);
    if branches.iter().any(|beat| beat.node == own.node) {
        return Vec::new();
    }
    let mut ranked = rank_by_hash(&format!("branch/{}", own.node), branches);
    ranked.truncate(MAX_BRANCHES_TRIED);
    ranked
}

/// Returns the readers of all zones.
pub fn all_readers<'a>(alive: &[&'a Heartbeat]) -> Vec<&'a Heartbeat> {
    zones_of(alive).into_iter().flat_map(|zone| readers_of(zone, alive)).collect()
}

/// Chooses where one daemon reads.
///
/// The first reader of a zone reads the store, the second one from the first, everyone else from
/// the first of them that does not fail; in a large zone from a branch before that. Where all of these fail, a daemon reads the store itself;
/// one that the store turns away reads from the readers of other zones before that.
#[derive(Clone, Debug, Default)]
pub struct SourceSelector {
    avoided_until: BTreeMap<NodeId, Millis>,
}

impl SourceSelector {
    /// Chooses where the daemon with the heartbeat `own` reads now.
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
            None => _ = near.splice(0..0, branches_for(own, alive)),
        }
        let far = if own.decides { Vec::new() } else { all_readers(alive) };
        let usable = |beat: &&Heartbeat| {
            beat.node != own.node && !self.avoided_until.contains_key(&beat.node)
        };
        near.into_iter().chain(far).find(usable).map_or(Source::Store, Source::Peer)
    }

    /// Notes that a peer failed as a source.
    pub fn record_failure(&mut self, peer: &NodeId, now: Millis) {
        self.avoided_until.insert(peer.clone(), now + FAILURE_AVOID_TIME);
    }

    /// Notes that a peer answered that it knows nothing fresh.
    pub fn record_stale(&mut self, peer: &NodeId, now: Millis) {
        self.avoided_until.insert(peer.clone(), now + STALE_AVOID_TIME);
    }
}
