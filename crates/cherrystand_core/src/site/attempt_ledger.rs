//! Tracks the attempts of one request and the answer to the caller if all of them fail.

use crate::{AttemptEnd, Millis, Outcome, Route};

/// The most endpoints that one request is sent to, including those that rejected it.
///
/// Once a third endpoint rejects a request, the shortage is general and a fourth would share it.
const MAX_ATTEMPTS_SENT: u32 = 3;

/// The answer to a caller whose request no endpoint answered.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FinalFailure {
    /// No endpoint executed it, and none will: the caller can safely retry.
    NotRun,
    /// An endpoint may have executed it, and did not answer in time.
    TimedOut,
    /// An endpoint may have executed it, and its answer was lost.
    AnswerLost,
}

/// Counts the attempts of one request and keeps the last failure after which it may have been
/// executed.
#[derive(Clone, Copy, Debug, Default)]
pub struct AttemptLedger {
    sent: u32,
    /// Attempts that have not ended yet.
    unfinished: u32,
    executions: u32,
    /// How the last attempt ended that may have executed the request.
    last_possible_execution: Option<AttemptEnd>,
}

impl AttemptLedger {
    /// Records that an attempt was sent.
    pub fn record_sent(&mut self) {
        self.sent += 1;
        self.unfinished += 1;
    }

    /// Records how an attempt ended, or that its answer has begun.
    pub fn record_end(&mut self, end: AttemptEnd) {
        self.unfinished = self.unfinished.saturating_sub(1);
        if end.outcome() != Outcome::NotRun {
            self.executions += 1;
            self.last_possible_execution = Some(end);
        }
    }

    /// Records the same end for all unfinished attempts, as when their answers are no longer
    /// awaited.
    pub fn record_remaining_ends(&mut self, end: AttemptEnd) {
        while self.unfinished > 0 {
            self.record_end(end);
        }
    }

    /// Returns the number of unfinished attempts.
    pub fn open_attempts(&self) -> u32 {
        self.unfinished
    }

    /// Returns the most endpoints that may have executed the request, counting unfinished attempts.
    pub fn max_executions(&self) -> u32 {
        self.executions + self.unfinished
    }

    /// Returns whether the route, the attempts so far and the deadline allow sending the request to
    /// a further endpoint.
    pub fn may_send(&self, route: &Route, now: Millis, deadline: Millis) -> bool {
        let is_unexecuted = self.last_possible_execution.is_none() && self.unfinished == 0;
        let may_execute_again = is_unexecuted || route.may_retry();
        let has_executions_left = self.max_executions() < route.attempts.max(1);
        may_execute_again && has_executions_left && self.sent < MAX_ATTEMPTS_SENT && now < deadline
    }

    /// Returns the answer to the caller if no attempt produced one.
    ///
    /// All attempts count: one that certainly did not execute the request says nothing about
    /// another that may have.
    pub fn failure(&self) -> FinalFailure {
        match self.last_possible_execution {
            None => FinalFailure::NotRun,
            Some(AttemptEnd::TimedOut) => FinalFailure::TimedOut,
            Some(_) => FinalFailure::AnswerLost,
        }
    }
}
