//! Decides whom a daemon asks beside its own source once its knowledge of the store is old.
//!
//! Source: docs/design/0027-age-decides.md.

use std::collections::BTreeSet;

use crate::nodes::readers::{Source, distributors_for, readers_of};
use crate::nodes::task_ownership::{rank_in_zone, zones_of};
use crate::{Heartbeat, Millis, NodeId, PropagationBudget, READERS_PER_ZONE, hash_bytes, mix};

/// How many peers a daemon asks in the first round. Each further round asks twice as many.
const FIRST_ROUND: usize = 2;

/// The pause after all sources were asked in vain, so that late answers can still arrive. It doubles
/// each time.
const FIRST_PAUSE: Millis = Millis(400);

/// The longest such pause: in an outage of the store no source knows anything newer.
const MAX_PAUSE: Millis = Millis(4_000);

/// The sources that a daemon may ask beside its own, in the order in which it asks them.
#[derive(Clone, Debug)]
struct CatchUpSources<'a> {
    peers: Vec<&'a Heartbeat>,
    /// The round in which it asks the store.
    store_round: u32,
}

impl<'a> CatchUpSources<'a> {
    /// Returns the sources of the daemon `own`: its distributors, the readers of its zone, the first
    /// readers of other zones, then the second ones.
    ///
    /// Every daemon has another order of zones, so that a zone without a source spreads its
    /// questions over all others.
    fn of(own: &Heartbeat, alive: &[&'a Heartbeat]) -> Self {
        let near = readers_of(&own.zone, alive);
        let is_reader = near.iter().any(|beat| beat.node == own.node);
        let mut peers = if is_reader { Vec::new() } else { distributors_for(own, alive) };
        peers.extend(near);
        let own_hash = hash_bytes(own.node.as_str().as_bytes());
        let mut zones = zones_of(alive);
        zones.retain(|zone| **zone != own.zone);
        zones.sort_by_key(|zone| mix(own_hash ^ hash_bytes(zone.as_str().as_bytes())));
        let far: Vec<Vec<&Heartbeat>> =
            zones.into_iter().map(|zone| readers_of(zone, alive)).collect();
        for rank in 0..READERS_PER_ZONE {
            peers.extend(far.iter().filter_map(|readers| readers.get(rank).copied()));
        }
        peers.retain(|beat| beat.node != own.node && beat.changes.is_some());
        Self { peers, store_round: store_round(own, alive) }
    }
}

/// Returns the round in which a daemon asks the store: two daemons of each zone in the first one, and
/// as many as before in each further one.
///
/// When a large zone loses its readers, the first two that hear the store can tell all others.
fn store_round(own: &Heartbeat, alive: &[&Heartbeat]) -> u32 {
    let ranked = rank_in_zone("read", &own.zone, alive, |beat| beat.changes.is_some());
    let rank = ranked.iter().position(|beat| beat.node == own.node).unwrap_or(ranked.len());
    rank.max(1).ilog2()
}

/// Keeps the knowledge of one daemon within the bound, whatever its own source does.
///
/// A daemon follows one source at a time, and a source that fails costs a timeout. Several that fail
/// one after the other cost the sum of their timeouts. So the age of the knowledge decides, not the
/// failures: from [`PropagationBudget::catch_up_age`] on, a daemon asks further sources beside its
/// own, more in each round, and whatever stays unanswered delays nothing else.
#[derive(Clone, Debug)]
pub struct CatchUp {
    budget: PropagationBudget,
    round: u32,
    asked: BTreeSet<NodeId>,
    store_asked: bool,
    next_round_at: Millis,
    pause: Millis,
}

impl CatchUp {
    /// Creates the state of a daemon whose knowledge is fresh.
    pub fn new(budget: PropagationBudget) -> Self {
        Self {
            budget,
            round: 0,
            asked: BTreeSet::new(),
            store_asked: false,
            next_round_at: Millis(0),
            pause: FIRST_PAUSE,
        }
    }

    /// Sets the budget, which depends on how long the store takes to answer.
    pub fn set_budget(&mut self, budget: PropagationBudget) {
        self.budget = budget;
    }

    /// Returns when to call [`CatchUp::next_round`] again, given the current age of the knowledge.
    pub fn check_at(&self, age: Millis, now: Millis) -> Millis {
        self.next_round_at.max(now + self.budget.catch_up_age().since(age))
    }

    /// Returns the sources to ask now, none of which is to be waited for.
    pub fn next_round<'a>(
        &mut self,
        age: Millis,
        own: &Heartbeat,
        alive: &[&'a Heartbeat],
        now: Millis,
    ) -> Vec<Source<'a>> {
        if age < self.budget.catch_up_age() {
            // After a small gain the next source is to be asked, not the first one again.
            if age + self.budget.min_catch_up_gain() < self.budget.catch_up_age() {
                *self = Self::new(self.budget);
            }
            return Vec::new();
        }
        if now < self.next_round_at {
            return Vec::new();
        }
        let sources = CatchUpSources::of(own, alive);
        let left: Vec<&Heartbeat> =
            sources.peers.into_iter().filter(|beat| !self.asked.contains(&beat.node)).collect();
        let may_ask_store = !self.store_asked && age >= self.budget.store_ask_age();
        if left.is_empty() && !may_ask_store {
            self.pause_before_next_pass(now);
            return Vec::new();
        }
        let picked = left.into_iter().take(FIRST_ROUND << self.round);
        let mut asks: Vec<Source<'a>> = picked.map(Source::Peer).collect();
        if may_ask_store && self.round >= sources.store_round {
            self.store_asked = true;
            asks.push(Source::Store);
        }
        self.record_asked(&asks);
        self.round += 1;
        self.next_round_at = now + PropagationBudget::CATCH_UP_INTERVAL;
        asks
    }

    fn record_asked(&mut self, asks: &[Source<'_>]) {
        for ask in asks {
            if let Source::Peer(peer) = ask {
                self.asked.insert(peer.node.clone());
            }
        }
    }

    fn pause_before_next_pass(&mut self, now: Millis) {
        let pause = self.pause;
        *self = Self {
            next_round_at: now + pause,
            pause: (pause + pause).min(MAX_PAUSE),
            ..Self::new(self.budget)
        };
    }
}
