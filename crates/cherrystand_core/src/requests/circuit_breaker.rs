//! Whether an endpoint that failed is tried again.

use crate::Millis;

/// How long an endpoint is left out after its first failure.
pub const INITIAL_OPEN_TIME: Millis = Millis(500);

/// The longest that an endpoint is left out between two trials.
pub const MAX_OPEN_TIME: Millis = Millis(8_000);

/// Leaves an endpoint out after a failure and lets single trials through later.
#[derive(Clone, Copy, Debug, Default)]
pub struct CircuitBreaker {
    failures: u32,
    open_until: Millis,
    probe_in_flight: bool,
}

impl CircuitBreaker {
    /// Tells whether a request may go to the endpoint now.
    pub fn allows(&self, now: Millis) -> bool {
        self.failures == 0 || (now >= self.open_until && !self.probe_in_flight)
    }

    /// Takes in that a request is on its way.
    pub fn record_start(&mut self) {
        self.probe_in_flight = self.failures > 0;
    }

    /// Takes in that the endpoint answered.
    pub fn record_success(&mut self) {
        *self = Self::default();
    }

    /// Takes in that an attempt ended without saying anything about the endpoint.
    pub fn record_abandoned(&mut self) {
        self.probe_in_flight = false;
    }

    /// Takes in that the endpoint failed.
    pub fn record_failure(&mut self, now: Millis) {
        let open_time_ms = INITIAL_OPEN_TIME.0 << self.failures.min(8);
        self.failures += 1;
        self.probe_in_flight = false;
        self.open_until = now + Millis(open_time_ms.min(MAX_OPEN_TIME.0));
    }
}
