//! When something last happened, for all threads.

use std::sync::atomic::{AtomicU64, Ordering};

use cherrystand_core::Millis;

/// The latest time at which something happened.
#[derive(Debug, Default)]
pub(crate) struct LastTime {
    /// On the daemon's clock, in milliseconds, plus one; 0 before the first time.
    at: AtomicU64,
}

impl LastTime {
    /// Records that it happened. An earlier time changes nothing.
    pub(crate) fn record(&self, now: Millis) {
        self.at.fetch_max(now.0 + 1, Ordering::Relaxed);
    }

    /// Returns when it last happened, if it ever did.
    pub(crate) fn get(&self) -> Option<Millis> {
        self.at.load(Ordering::Relaxed).checked_sub(1).map(Millis)
    }
}
