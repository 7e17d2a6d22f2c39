//! Selects the peers that this node reads from, and those that it asks occasionally.

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::time::Duration;

use cherrystand_core::{
    CatchUp, Heartbeat, Millis, NodeId, SeededRng, Source, SourceSelector, poll_interval_of,
    readers_of, watch_interval,
};

use crate::{DutyContext, clock};

/// One in this many random peers is picked from all zones, so that a zone whose nodes know nothing
/// new can catch up.
const ANY_ZONE_ONE_IN: usize = 3;

/// A source that is asked to catch up.
pub(crate) enum CatchUpSource {
    /// The store.
    Store,
    /// A peer and its address.
    Peer(NodeId, SocketAddr),
}

impl CatchUpSource {
    fn new(source: Source<'_>) -> Option<Self> {
        match source {
            Source::Store => Some(Self::Store),
            Source::Peer(peer) => Some(Self::Peer(peer.node.clone(), peer.changes?)),
        }
    }
}

/// Selects peers by the latest view of the nodes.
pub(crate) struct PeerSelector {
    cx: DutyContext,
    source_chooser: RefCell<SourceSelector>,
    rng: Cell<SeededRng>,
}

impl PeerSelector {
    pub(crate) fn new(cx: DutyContext) -> Self {
        let rng = Cell::new(SeededRng::new(clock::unix_millis()));
        Self { cx, source_chooser: RefCell::default(), rng }
    }

    /// Returns whether this node is a reader of its zone.
    pub(crate) fn is_reader(&self) -> bool {
        self.with_alive(is_reader)
    }

    /// Calls `f` with this node's heartbeat and the heartbeats of all nodes that are alive.
    fn with_alive<T>(&self, f: impl FnOnce(&Heartbeat, &[&Heartbeat]) -> T) -> T {
        let view = self.cx.current_view();
        let alive: Vec<&Heartbeat> = view.alive().collect();
        f(&view.own, &alive)
    }

    /// Returns the name and address of the peer that this node reads from now, or `None` if it
    /// reads the store.
    pub(crate) fn source(&self) -> Option<(NodeId, SocketAddr)> {
        if !self.cx.settings.policy.readers {
            return None;
        }
        let now = self.cx.clock.now();
        self.with_alive(|own, alive| {
            match self.source_chooser.borrow_mut().choose(own, alive, now) {
                Source::Store => None,
                Source::Peer(peer) => peer.changes.map(|address| (peer.node.clone(), address)),
            }
        })
    }

    /// Returns whom to ask now beside the own source to catch up, with knowledge of the given age.
    pub(crate) fn catch_up_round(&self, catch_up: &mut CatchUp, age: Millis) -> Vec<CatchUpSource> {
        let now = self.cx.clock.now();
        self.with_alive(|own, alive| {
            let sources = catch_up.next_round(age, own, alive, now);
            sources.into_iter().filter_map(CatchUpSource::new).collect()
        })
    }

    /// Returns the pause between two watches of the store for a reader.
    pub(crate) fn watch_interval(&self) -> Duration {
        Duration::from_millis(self.with_alive(|_, alive| watch_interval(alive)).0)
    }

    /// Returns the pause between two polls of the peer that this node reads from.
    pub(crate) fn poll_interval(&self) -> Duration {
        let interval = self.with_alive(poll_interval_of);
        Duration::from_millis(interval.0)
    }

    /// Records that a peer failed as a source, or, if it `answered`, that it has no fresh state.
    pub(crate) fn record_source_failure(&self, peer: &NodeId, answered: bool) {
        let mut sources = self.source_chooser.borrow_mut();
        match answered {
            true => sources.record_stale(peer, self.cx.clock.now()),
            false => sources.record_failure(peer, self.cx.clock.now()),
        }
    }

    /// Returns a random peer of this zone, or of another zone if this one has no other node.
    pub(crate) fn nearby_peer(&self) -> Option<SocketAddr> {
        self.pick_peer(false).map(|(_, address)| address)
    }

    /// Returns a random peer, preferring this zone.
    pub(crate) fn random_peer(&self) -> Option<(NodeId, SocketAddr)> {
        let from_all_zones = self.random_below(ANY_ZONE_ONE_IN) == 0;
        self.pick_peer(from_all_zones)
    }

    /// Returns a random duration between 0.5 and 1.5 times a pause.
    pub(crate) fn jittered(&self, pause: Duration) -> Duration {
        pause / 2 + Duration::from_millis(self.random_below(pause.as_millis() as usize) as u64)
    }

    fn pick_peer(&self, from_all_zones: bool) -> Option<(NodeId, SocketAddr)> {
        let view = self.cx.current_view();
        let others = view.alive().filter(|beat| beat.node != view.own.node);
        let others: Vec<&Heartbeat> = others.filter(|beat| beat.changes.is_some()).collect();
        let in_zone = others.iter().copied().filter(|beat| beat.zone == view.own.zone);
        let in_zone: Vec<&Heartbeat> = in_zone.collect();
        let candidates = if from_all_zones || in_zone.is_empty() { others } else { in_zone };
        let picked = candidates.get(self.random_below(candidates.len()))?;
        Some((picked.node.clone(), picked.changes?))
    }

    fn random_below(&self, bound: usize) -> usize {
        let mut rng = self.rng.get();
        let picked = rng.below(bound);
        self.rng.set(rng);
        picked
    }
}

fn is_reader(own: &Heartbeat, alive: &[&Heartbeat]) -> bool {
    readers_of(&own.zone, alive).iter().any(|beat| beat.node == own.node)
}
