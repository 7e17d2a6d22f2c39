//! Rate limit for log lines of one kind.

use crate::Millis;

/// The interval over which lines are counted.
const WINDOW: Millis = Millis(1_000);

/// Admits a bounded number of lines per second and counts the suppressed ones.
#[derive(Clone, Copy, Debug)]
pub struct LogLimiter {
    max_lines: u32,
    window_start: Millis,
    admitted: u32,
    suppressed: u32,
}

impl LogLimiter {
    /// Creates a limiter that admits `max_lines` lines per second.
    pub fn new(max_lines: u32) -> Self {
        Self { max_lines, window_start: Millis(0), admitted: 0, suppressed: 0 }
    }

    /// Returns how many lines were suppressed before this one, or `None` if this one is suppressed
    /// too.
    pub fn admit(&mut self, now: Millis) -> Option<u32> {
        if now.since(self.window_start) >= WINDOW {
            self.window_start = now;
            self.admitted = 0;
        }
        if self.admitted >= self.max_lines {
            self.suppressed += 1;
            return None;
        }
        self.admitted += 1;
        Some(std::mem::take(&mut self.suppressed))
    }
}
