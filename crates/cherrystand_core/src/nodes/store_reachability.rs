//! Whether the store answers a daemon, and since when what it tells is known freshly.

use crate::Millis;

/// A daemon decides only by what the store told within this time.
const MAX_STORE_AGE: Millis = Millis(1_700);

/// How long the store has to answer a daemon, and its state to be known freshly, before the daemon
/// decides: one that just started, or was cut off, learns meanwhile who else decides.
const SETTLE_TIME: Millis = Millis(1_200);

/// After this time without news of the store, peers' copies of what it told count.
const SILENT_AFTER: Millis = Millis(1_500);

/// Keeps when the store was last heard, directly or by way of a peer.
#[derive(Clone, Copy, Debug, Default)]
pub struct StoreReachability {
    last_update: Option<Millis>,
    fresh_since: Option<Millis>,
    is_failing: bool,
}

impl StoreReachability {
    /// Notes that the store answered the daemon itself.
    pub fn record_success(&mut self) {
        self.is_failing = false;
    }

    /// Notes that it did not.
    pub fn record_failure(&mut self) {
        self.is_failing = true;
    }

    /// Notes that the store told something at `at`, to the daemon or to one that it reads from.
    pub fn record_update(&mut self, at: Millis) {
        self.last_update = Some(at);
    }

    /// Tells whether the store did not answer the daemon itself the last time.
    pub fn is_failing(&self) -> bool {
        self.is_failing
    }

    /// Returns how long ago the store told something.
    pub fn age(&self, now: Millis) -> Option<Millis> {
        self.last_update.map(|last_update| now.since(last_update))
    }

    /// Tells whether it has told nothing for long.
    pub fn is_silent(&self, now: Millis) -> bool {
        self.age(now).is_none_or(|age| age > SILENT_AFTER)
    }

    /// Tells whether the daemon has known the store's state freshly for long enough to decide by
    /// it; it is asked at each step.
    pub fn may_decide(&mut self, now: Millis) -> bool {
        let fresh = self.age(now).is_some_and(|age| age <= MAX_STORE_AGE) && !self.is_failing;
        let since = self.fresh_since.unwrap_or(now);
        self.fresh_since = fresh.then_some(since);
        fresh && now.since(since) >= SETTLE_TIME
    }
}
