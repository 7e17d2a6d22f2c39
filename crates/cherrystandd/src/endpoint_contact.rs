//! When this daemon last received anything from any endpoint.

use std::sync::atomic::{AtomicU64, Ordering};

use cherrystand_core::Millis;

/// Tracks when anything last arrived from an endpoint over this daemon's own link, for all threads.
#[derive(Debug, Default)]
pub(crate) struct EndpointContact {
    /// On the daemon's clock, in milliseconds; 0 before the first time.
    heard_at: AtomicU64,
}

impl EndpointContact {
    /// Records that something arrived.
    pub(crate) fn record(&self, now: Millis) {
        self.heard_at.fetch_max(now.0, Ordering::Relaxed);
    }

    /// Returns when something last arrived.
    pub(crate) fn heard_at(&self) -> Millis {
        Millis(self.heard_at.load(Ordering::Relaxed))
    }
}
