//! Whether the store answers a daemon, and since when its state is known.

use crate::Millis;

/// A daemon makes decisions only while its knowledge of the store is no older than this.
const MAX_STORE_AGE: Millis = Millis(1_700);

/// How long the store has to answer a daemon, and its state to be fresh, before the daemon makes
/// decisions. A daemon that has just started, or was cut off, learns meanwhile which others do.
const SETTLE_TIME: Millis = Millis(1_200);

/// After this time without an update from the store, peers' copies of its state are used.
const SILENT_AFTER: Millis = Millis(1_500);

/// Tracks when the store's state was last read, by the daemon or by the peer that it reads from.
#[derive(Clone, Copy, Debug, Default)]
pub struct StoreReachability {
    last_update: Option<Millis>,
    fresh_since: Option<Millis>,
    is_failing: bool,
    /// By how much older the store's state is because the store is slow.
    slack: Millis,
}

impl StoreReachability {
    /// Records that the store answered the daemon itself.
    pub fn record_success(&mut self) {
        self.is_failing = false;
    }

    /// Records that the store did not answer the daemon itself.
    pub fn record_failure(&mut self) {
        self.is_failing = true;
    }

    /// Records by how much older the store's state is because the store is slow.
    pub fn record_slack(&mut self, slack: Millis) {
        self.slack = slack;
    }

    /// Records that the store's state was read at `at`, by the daemon or by the peer that it reads
    /// from. An older reading that arrives later is ignored.
    pub fn record_update(&mut self, at: Millis) {
        self.last_update = self.last_update.max(Some(at));
    }

    /// Returns whether the last call of the daemon itself to the store failed.
    pub fn is_failing(&self) -> bool {
        self.is_failing
    }

    /// Returns the age of what is known of the store.
    pub fn age(&self, now: Millis) -> Option<Millis> {
        self.last_update.map(|last_update| now.since(last_update))
    }

    /// Returns whether the store's state was never read, or last read longer ago than
    /// [`SILENT_AFTER`].
    pub fn is_silent(&self, now: Millis) -> bool {
        self.age(now).is_none_or(|age| age > SILENT_AFTER + self.slack)
    }

    /// Returns whether the daemon has had fresh knowledge of the store for long enough to make
    /// decisions; has to be called at each step.
    pub fn may_decide(&mut self, now: Millis) -> bool {
        let fresh = self.age(now).is_some_and(|age| age <= MAX_STORE_AGE + self.slack);
        let fresh = fresh && !self.is_failing;
        let since = self.fresh_since.unwrap_or(now);
        self.fresh_since = fresh.then_some(since);
        fresh && now.since(since) >= SETTLE_TIME
    }
}
