//! The daemon's clocks.

use std::time::{Duration, SystemTime, UNIX_EPOCH};

use cherrystand_core::Millis;
use cherrystand_platform::since_boot;

/// The longest stretch of a wait until a time: timers stand still while the machine is suspended, so
/// that a wait which a suspension outlasts ends by this much too late at the most.
pub(crate) const MAX_SLEEP: Duration = Duration::from_millis(200);

/// Tells the time since the daemon's start, which goes on while the daemon is paused and while its
/// machine is suspended.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    origin: Duration,
}

impl Clock {
    /// Creates a clock that starts now.
    pub fn start() -> Self {
        Self { origin: since_boot() }
    }

    /// Returns the time now.
    pub fn now(&self) -> Millis {
        Millis(since_boot().saturating_sub(self.origin).as_millis() as u64)
    }

    /// Waits until a time of this clock.
    pub(crate) async fn sleep_until(&self, at: Millis) {
        loop {
            let left = Duration::from_millis(at.since(self.now()).0);
            if left.is_zero() {
                return;
            }
            tokio::time::sleep(left.min(MAX_SLEEP)).await;
        }
    }

    /// Waits for something until a time of this clock at the longest; nothing where it does not come.
    pub(crate) async fn timeout_at<T>(
        &self,
        at: Millis,
        awaited: impl Future<Output = T>,
    ) -> Option<T> {
        tokio::select! {
            // What is there by then counts.
            biased;
            out = awaited => Some(out),
            () = self.sleep_until(at) => None,
        }
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
