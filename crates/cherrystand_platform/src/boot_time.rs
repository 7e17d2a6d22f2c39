//! The one clock that times are measured by.

use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use rustix::time::{ClockId, clock_gettime};

/// By how much the clock runs ahead of the machine's, in milliseconds; only tests set it.
static OFFSET_MS: AtomicU64 = AtomicU64::new(0);

/// Returns the time since the machine's start, the time for which it was suspended included.
///
/// [`std::time::Instant`] stands still while a machine is suspended: what a daemon knew before, and
/// the deadlines of its callers, would count as fresh for as long again.
pub fn since_boot() -> Duration {
    let now = clock_gettime(ClockId::Boottime);
    let offset = Duration::from_millis(OFFSET_MS.load(Ordering::Relaxed));
    Duration::new(now.tv_sec as u64, now.tv_nsec as u32) + offset
}

/// Moves the clock on as a suspension does, which no timer counts; for tests.
pub fn advance_clock(span: Duration) {
    OFFSET_MS.fetch_add(span.as_millis() as u64, Ordering::Relaxed);
}
