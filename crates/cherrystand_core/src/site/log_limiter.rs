//! How many lines of one kind a log gets.

use crate::Millis;

/// The span over which lines are counted.
const SPAN: Millis = Millis(1_000);

/// Lets a bounded number of lines through each second, and counts the rest.
#[derive(Clone, Copy, Debug)]
pub struct LogLimiter {
    most: u32,
    since: Millis,
    passed: u32,
    left_out: u32,
}

impl LogLimiter {
    /// Creates a gate that lets `most` lines through each second.
    pub fn new(most: u32) -> Self {
        Self { most, since: Millis(0), passed: 0, left_out: 0 }
    }

    /// Returns how many lines were left out before this one, if it may be written.
    pub fn pass(&mut self, now: Millis) -> Option<u32> {
        if now.since(self.since) >= SPAN {
            self.since = now;
            self.passed = 0;
        }
        if self.passed >= self.most {
            self.left_out += 1;
            return None;
        }
        self.passed += 1;
        Some(std::mem::take(&mut self.left_out))
    }
}
