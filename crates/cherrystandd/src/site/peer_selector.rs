//! Which peers this node reads from, and whom it asks now and then.

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::time::Duration;

use cherrystand_core::{
    Heartbeat, NodeId, Seed, Source, SourceChooser, between_questions_of, between_watches,
    readers_of,
};

use crate::{DutyContext, clock};

/// One copy of this many is asked of a peer anywhere, so that a zone that knows nothing learns.
const ANY_ZONE_ONE_IN: usize = 3;

/// Chooses them from the newest view.
pub(crate) struct PeerSelector {
    cx: DutyContext,
    source_chooser: RefCell<SourceChooser>,
    seed: Cell<Seed>,
}

impl PeerSelector {
    pub(crate) fn new(cx: DutyContext) -> Self {
        let seed = Cell::new(Seed::new(clock::unix_millis()));
        Self { cx, source_chooser: RefCell::default(), seed }
    }

    /// Tells whether this node is a reader of its zone.
    pub(crate) fn is_reader(&self) -> bool {
        self.with_alive(is_reader)
    }

    /// Answers by this node's heartbeat and those of all that are alive.
    fn with_alive<T>(&self, ask: impl FnOnce(&Heartbeat, &[&Heartbeat]) -> T) -> T {
        let view = self.cx.view_now();
        let alive: Vec<&Heartbeat> = view.alive().collect();
        ask(&view.own, &alive)
    }

    /// Returns where this node reads now: the peer's name and address, or nothing for the store.
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

    /// Returns how long a reader of the store leaves between two watches.
    pub(crate) fn watch_interval(&self) -> Duration {
        Duration::from_millis(self.with_alive(|_, alive| between_watches(alive)).0)
    }

    /// Returns how long this node leaves between two questions to the peer that it reads from.
    pub(crate) fn poll_interval(&self) -> Duration {
        let between = self.with_alive(between_questions_of);
        Duration::from_millis(between.0)
    }

    /// Notes that a peer failed as a source, or that it answered that it knows nothing fresh.
    pub(crate) fn record_source_failure(&self, peer: &NodeId, answered: bool) {
        let mut sources = self.source_chooser.borrow_mut();
        match answered {
            true => sources.knows_nothing(peer, self.cx.clock.now()),
            false => sources.failed(peer, self.cx.clock.now()),
        }
    }

    /// Returns any peer of this zone, or of another where there is none.
    pub(crate) fn nearby_peer(&self) -> Option<SocketAddr> {
        self.pick_peer(false).map(|(_, address)| address)
    }

    /// Returns any peer, the near ones more often.
    pub(crate) fn random_peer(&self) -> Option<(NodeId, SocketAddr)> {
        let far = self.random_below(ANY_ZONE_ONE_IN) == 0;
        self.pick_peer(far)
    }

    /// Returns a time between half of a pause and one and a half, by chance.
    pub(crate) fn jittered(&self, pause: Duration) -> Duration {
        pause / 2 + Duration::from_millis(self.random_below(pause.as_millis() as usize) as u64)
    }

    fn pick_peer(&self, far: bool) -> Option<(NodeId, SocketAddr)> {
        let view = self.cx.view_now();
        let others = view.alive().filter(|beat| beat.node != view.own.node);
        let others: Vec<&Heartbeat> = others.filter(|beat| beat.changes.is_some()).collect();
        let near = others.iter().copied().filter(|beat| beat.zone == view.own.zone);
        let near: Vec<&Heartbeat> = near.collect();
        let from = if far || near.is_empty() { others } else { near };
        let drawn = from.get(self.random_below(from.len()))?;
        Some((drawn.node.clone(), drawn.changes?))
    }

    fn random_below(&self, bound: usize) -> usize {
        let mut seed = self.seed.get();
        let drawn = seed.below(bound);
        self.seed.set(seed);
        drawn
    }
}

fn is_reader(own: &Heartbeat, alive: &[&Heartbeat]) -> bool {
    readers_of(&own.zone, alive).iter().any(|beat| beat.node == own.node)
}
