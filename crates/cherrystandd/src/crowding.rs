//! Whether this daemon turns callers away.

use cherrystand_core::Millis;

use crate::last_time::LastTime;

/// A daemon that turned a caller away within this time takes no other work on.
const CROWDED_FOR: Millis = Millis(250);

/// Tracks when this daemon last turned a caller away, for all threads.
#[derive(Debug, Default)]
pub(crate) struct Crowding {
    turned_away: LastTime,
}

impl Crowding {
    /// Records that a caller is turned away.
    pub(crate) fn record(&self, now: Millis) {
        self.turned_away.record(now);
    }

    /// Returns whether a caller was turned away just now.
    pub(crate) fn is_crowded(&self, now: Millis) -> bool {
        self.turned_away.get().is_some_and(|at| now.since(at) < CROWDED_FOR)
    }
}
