//! How long answers usually take to begin.

use crate::Millis;

/// The share by which one answer moves the usual time.
const SMOOTHING: f64 = 0.05;

/// Follows how long a group's answers take to begin.
#[derive(Clone, Copy, Debug, Default)]
pub struct TypicalLatency {
    millis: f64,
}

impl TypicalLatency {
    /// Takes in one answer.
    pub fn record(&mut self, took: Millis) {
        let took = took.0 as f64;
        if self.millis == 0.0 {
            self.millis = took;
        }
        self.millis += (took - self.millis) * SMOOTHING;
    }

    /// Returns the time that nearly every answer needs: half as much again as the usual one, and
    /// nothing while none has been seen.
    ///
    /// A request with less time than this left would likely be run in vain.
    pub fn required_time(&self) -> Millis {
        Millis((self.millis * 1.5) as u64)
    }
}
