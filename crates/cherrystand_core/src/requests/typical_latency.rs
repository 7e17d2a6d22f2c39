//! The typical time until an answer begins.

use crate::Millis;

/// The weight of one sample in the moving average.
const SMOOTHING: f64 = 0.05;

/// Tracks a moving average of the time until a group's answers begin.
#[derive(Clone, Copy, Debug, Default)]
pub struct TypicalLatency {
    millis: f64,
}

impl TypicalLatency {
    /// Adds the time of one answer.
    pub fn record(&mut self, took: Millis) {
        let took = took.0 as f64;
        if self.millis == 0.0 {
            self.millis = took;
        }
        self.millis += (took - self.millis) * SMOOTHING;
    }

    /// Returns the time that nearly every answer needs: 1.5 times the average, or zero while there
    /// are no samples.
    ///
    /// A request with less time left than this would likely be run in vain.
    pub fn required_time(&self) -> Millis {
        Millis((self.millis * 1.5) as u64)
    }
}
