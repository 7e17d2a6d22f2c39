//! Adaptive limit on the number of concurrent requests to one endpoint.

use crate::Millis;

/// An answer that takes this many times as long as usual to begin counts as a sign of overload.
const OVERLOAD_LATENCY_FACTOR: f64 = 3.0;

/// The factor by which a sign of overload reduces the limit.
const DECREASE_FACTOR: f64 = 0.9;

/// The weight of one sample in the moving average of the latency.
const SMOOTHING: f64 = 0.05;

/// Adapts the number of requests in flight at one endpoint to how it answers (additive increase,
/// multiplicative decrease).
///
/// The limit grows by one for each full round of answers in time, and shrinks by a tenth for an
/// answer that is late or refused, at most once per typical latency.
#[derive(Clone, Copy, Debug)]
pub struct ConcurrencyLimit {
    limit: f64,
    max: f64,
    typical_ms: f64,
    last_decrease: Millis,
}

impl ConcurrencyLimit {
    /// Creates a limit that starts at `start` and never exceeds `max`.
    pub fn new(start: u32, max: u32) -> Self {
        Self {
            limit: f64::from(start.clamp(1, max.max(1))),
            max: f64::from(max.max(1)),
            typical_ms: 0.0,
            last_decrease: Millis(0),
        }
    }

    /// Returns the current limit, which is at least 1.
    pub fn get(&self) -> u32 {
        self.limit as u32
    }

    /// Returns the moving average of the time until an answer begins.
    pub fn typical_latency(&self) -> Millis {
        Millis(self.typical_ms as u64)
    }

    /// Records that an answer began after `took`, while `in_flight` requests were at the endpoint.
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

    /// Records that the endpoint refused a request or did not answer in time.
    pub fn record_overload(&mut self, now: Millis) {
        if now.since(self.last_decrease) < self.typical_latency() && self.last_decrease != Millis(0)
        {
            return;
        }
        self.last_decrease = now;
        self.limit = (self.limit * DECREASE_FACTOR).max(1.0);
    }
}
