//! How many requests one endpoint may have at once.

use crate::Millis;

/// An answer that begins this many times later than the usual one speaks of overload.
const OVERLOAD_LATENCY_FACTOR: f64 = 3.0;

/// What one sign of overload leaves of the limit.
const DECREASE_FACTOR: f64 = 0.9;

/// The share by which one sample moves the usual time.
const SMOOTHING: f64 = 0.05;

/// Adapts the number of requests in flight at one endpoint to how it answers.
///
/// It grows by one for each full round of answers in time and shrinks by a tenth for a late or
/// refused one, at most once in the usual time.
#[derive(Clone, Copy, Debug)]
pub struct ConcurrencyLimit {
    limit: f64,
    max: f64,
    typical_ms: f64,
    last_decrease: Millis,
}

impl ConcurrencyLimit {
    /// Creates a limit that starts at `start` and never exceeds `most`.
    pub fn new(start: u32, max: u32) -> Self {
        Self {
            limit: f64::from(start.clamp(1, max.max(1))),
            max: f64::from(max.max(1)),
            typical_ms: 0.0,
            last_decrease: Millis(0),
        }
    }

    /// Returns the limit now; at least 1.
    pub fn get(&self) -> u32 {
        self.limit as u32
    }

    /// Returns the usual time until an answer begins.
    pub fn typical_latency(&self) -> Millis {
        Millis(self.typical_ms as u64)
    }

    /// Takes in that an answer began after `took`, with `in_flight` requests at the endpoint.
    pub fn record_answer(&mut self, now: Millis, took: Millis, in_flight: u32) {
        let took = took.0 as f64;
        if self.typical_ms == 0.0 {
            self.typical_ms = took;
        }
        if took > self.typical_ms * OVERLOAD_LATENCY_FACTOR + 1.0 {
            self.record_overload(now);
        } else if f64::from(in_flight) * 2.0 >= self.limit {
            self.limit = (self.limit + 1.0 / self.limit).min(self.max);
        }
        let bounded = took.min(self.typical_ms * OVERLOAD_LATENCY_FACTOR + 1.0);
        self.typical_ms += (bounded - self.typical_ms) * SMOOTHING;
    }

    /// Takes in that the endpoint refused a request or did not answer in time.
    pub fn record_overload(&mut self, now: Millis) {
        if now.since(self.last_decrease) < self.typical_latency() && self.last_decrease != Millis(0)
        {
            return;
        }
        self.last_decrease = now;
        self.limit = (self.limit * DECREASE_FACTOR).max(1.0);
    }
}
