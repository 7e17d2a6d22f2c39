//! When this daemon last received anything from any endpoint.

use cherrystand_core::Millis;

use crate::last_time::LastTime;

/// Tracks when anything last arrived from an endpoint over this daemon's own link, for all threads.
#[derive(Debug, Default)]
pub(crate) struct EndpointContact {
    heard: LastTime,
}

impl EndpointContact {
    /// Records that something arrived.
    pub(crate) fn record(&self, now: Millis) {
        self.heard.record(now);
    }

    /// Returns when something last arrived, or 0 before the first time.
    pub(crate) fn heard_at(&self) -> Millis {
        self.heard.get().unwrap_or_default()
    }
}
