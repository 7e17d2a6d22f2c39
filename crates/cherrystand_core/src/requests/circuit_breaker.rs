//! Stops requests to an endpoint that fails, and probes whether it has recovered.

use crate::Millis;

/// How long the breaker stays open after the first failure.
pub const INITIAL_OPEN_TIME: Millis = Millis(500);

/// The longest time that the breaker stays open between two probes.
pub const MAX_OPEN_TIME: Millis = Millis(8_000);

/// Opens after a failure, with a delay that doubles at each further one, and then lets a single
/// request through as a probe.
#[derive(Clone, Copy, Debug, Default)]
pub struct CircuitBreaker {
    failures: u32,
    open_until: Millis,
    probe_in_flight: bool,
}

impl CircuitBreaker {
    /// Returns whether a request may be sent to the endpoint now.
    pub fn allows(&self, now: Millis) -> bool {
        self.failures == 0 || (now >= self.open_until && !self.probe_in_flight)
    }

    /// Records that a request was sent.
    pub fn record_start(&mut self) {
        self.probe_in_flight = self.failures > 0;
    }

    /// Records that the endpoint answered, which closes the breaker.
    pub fn record_success(&mut self) {
        *self = Self::default();
    }

    /// Records that an attempt ended without evidence for or against the endpoint.
    pub fn record_abandoned(&mut self) {
        self.probe_in_flight = false;
    }

    /// Records that the endpoint failed.
    pub fn record_failure(&mut self, now: Millis) {
        let open_time_ms = INITIAL_OPEN_TIME.0 << self.failures.min(8);
        self.failures += 1;
        self.probe_in_flight = false;
        self.open_until = now + Millis(open_time_ms.min(MAX_OPEN_TIME.0));
    }
}
