//! The queue in front of a group whose endpoints are at their limits.

use crate::{Millis, Refusal, RefusalReason};

/// The longest time that a request waits for an endpoint.
pub const MAX_QUEUE_WAIT: Millis = Millis(2_000);

/// The weight of one completion in the estimate of the drain rate.
const SMOOTHING: f64 = 0.1;

/// The time between completions that is assumed until some have been seen.
const INITIAL_INTERVAL_MS: f64 = 50.0;

/// Decides whether a request may wait, by how fast the group drains.
///
/// It only counts the waiting requests and does not hold them.
#[derive(Clone, Copy, Debug)]
pub struct WaitQueue {
    waiting: u32,
    completion_interval_ms: f64,
    last_completion: Option<Millis>,
}

impl Default for WaitQueue {
    fn default() -> Self {
        Self { waiting: 0, completion_interval_ms: INITIAL_INTERVAL_MS, last_completion: None }
    }
}

impl WaitQueue {
    /// Lets one more request wait, if its turn is likely to come while enough of the `remaining`
    /// time is left for its answer, which takes `answer`.
    ///
    /// # Errors
    ///
    /// Returns the [`Refusal`] with the time after which the queue is expected to have drained.
    pub fn join(&mut self, remaining: Millis, answer: Millis) -> Result<(), Refusal> {
        let expected = self.expected_wait();
        if expected > (remaining - answer).min(MAX_QUEUE_WAIT) {
            return Err(Refusal::with_retry_after(RefusalReason::WaitTooLong, expected));
        }
        self.waiting += 1;
        Ok(())
    }

    /// Records that a request no longer waits, for whatever reason.
    pub fn leave(&mut self) {
        self.waiting = self.waiting.saturating_sub(1);
    }

    /// Records that one of the group's requests completed, which frees a slot.
    pub fn record_completion(&mut self, now: Millis) {
        if let Some(last) = self.last_completion {
            let between = (now.since(last).0 as f64).min(MAX_QUEUE_WAIT.0 as f64);
            if self.waiting > 0 {
                self.completion_interval_ms += (between - self.completion_interval_ms) * SMOOTHING;
            }
        }
        self.last_completion = Some(now);
    }

    /// Returns how long one more request would wait.
    pub fn expected_wait(&self) -> Millis {
        Millis((f64::from(self.waiting + 1) * self.completion_interval_ms) as u64)
    }

    /// Returns how many requests wait.
    pub fn waiting(&self) -> u32 {
        self.waiting
    }
}
