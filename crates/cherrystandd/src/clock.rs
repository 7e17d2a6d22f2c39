//! The daemon's clocks.

use std::time::{Duration, SystemTime, UNIX_EPOCH};

use cherrystand_core::Millis;
use cherrystand_platform::since_boot;

/// The longest single sleep while waiting for a point in time. Timers stop while the machine is
/// suspended, so a wait that should have ended during a suspension ends at most this long after it.
pub(crate) const MAX_SLEEP: Duration = Duration::from_millis(200);

/// Measures the time since the daemon's start. It advances while the daemon is paused and while its
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

    /// Returns the current time.
    pub fn now(&self) -> Millis {
        Millis(since_boot().saturating_sub(self.origin).as_millis() as u64)
    }

    /// Sleeps until `at` on this clock.
    pub(crate) async fn sleep_until(&self, at: Millis) {
        loop {
            let remaining = Duration::from_millis(at.since(self.now()).0);
            if remaining.is_zero() {
                return;
            }
            tokio::time::sleep(remaining.min(MAX_SLEEP)).await;
        }
    }

    /// Awaits a future until `at` on this clock. Returns `None` if it has not completed by then.
    pub(crate) async fn timeout_at<T>(
        &self,
        at: Millis,
        future: impl Future<Output = T>,
    ) -> Option<T> {
        tokio::select! {
            // A result that is ready at the deadline still counts.
            biased;
            output = future => Some(output),
            () = self.sleep_until(at) => None,
        }
    }
}

/// Returns the wall-clock time in seconds since the Unix epoch.
pub(crate) fn unix_secs() -> u64 {
    unix_millis() / 1_000
}

/// Returns the wall-clock time in milliseconds since the Unix epoch.
pub(crate) fn unix_millis() -> u64 {
    let elapsed = SystemTime::now().duration_since(UNIX_EPOCH);
    elapsed.map(|elapsed| elapsed.as_millis() as u64).unwrap_or_default()
}
