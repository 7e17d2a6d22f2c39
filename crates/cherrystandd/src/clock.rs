//! The daemon's clocks.

use std::time::{Instant, SystemTime, UNIX_EPOCH};

use cherrystand_core::Millis;

/// Tells the time since the daemon's start, which goes on while the daemon is paused.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    origin: Instant,
}

impl Clock {
    /// Creates a clock that starts now.
    pub fn start() -> Self {
        Self { origin: Instant::now() }
    }

    /// Returns the time now.
    pub fn now(&self) -> Millis {
        Millis(self.origin.elapsed().as_millis() as u64)
    }
}

/// Returns the time for people, in seconds since 1970.
pub(crate) fn unix_secs() -> u64 {
    unix_millis() / 1_000
}

/// Returns the time for people, in milliseconds since 1970.
pub(crate) fn unix_millis() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    since.map(|since| since.as_millis() as u64).unwrap_or_default()
}
