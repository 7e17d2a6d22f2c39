//! The monotonic clock that all times are measured by.

use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use rustix::time::{ClockId, clock_gettime};

/// Offset added to the machine's clock, in milliseconds. Set by [`advance_clock`] only.
static OFFSET_MS: AtomicU64 = AtomicU64::new(0);

/// Returns the time since the machine booted, including the time for which it was suspended.
///
/// [`std::time::Instant`] stops while a machine is suspended, so cached state and callers' deadlines
/// from before the suspension would appear younger than they are.
pub fn since_boot() -> Duration {
    let now = clock_gettime(ClockId::Boottime);
    let offset = Duration::from_millis(OFFSET_MS.load(Ordering::Relaxed));
    Duration::new(now.tv_sec as u64, now.tv_nsec as u32) + offset
}

/// Advances the clock as a suspension of the machine does, without advancing timers; for tests.
pub fn advance_clock(span: Duration) {
    OFFSET_MS.fetch_add(span.as_millis() as u64, Ordering::Relaxed);
}
