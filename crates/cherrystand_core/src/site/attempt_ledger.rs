//! What became of all the attempts that one request got.

use crate::{AttemptEnd, Millis, Outcome, Route};

/// How many endpoints one request is sent to at the most, those that did not run it included.
///
/// Source: a third endpoint that refuses tells of a shortage that a fourth one shares.
const MOST_SENT: u32 = 3;

/// Says what a caller is told of a request that no endpoint answered.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FinalFailure {
    /// No endpoint ran it, and none will: the caller may come back.
    NotRun,
    /// An endpoint may have run it, and did not answer in time.
    TimedOut,
    /// An endpoint may have run it, and its answer is lost.
    AnswerLost,
}

/// Counts the attempts of one request and remembers the worst of their ends.
#[derive(Clone, Copy, Debug, Default)]
pub struct AttemptLedger {
    sent: u32,
    /// Attempts whose end is not known yet.
    open: u32,
    runs: u32,
    /// The last end after which the request may have been run.
    may_have_run: Option<AttemptEnd>,
}

impl AttemptLedger {
    /// Counts an attempt as begun.
    pub fn record_sent(&mut self) {
        self.sent += 1;
        self.open += 1;
    }

    /// Takes in how an attempt ended, or that its answer has begun.
    pub fn record_end(&mut self, end: AttemptEnd) {
        self.open = self.open.saturating_sub(1);
        if end.outcome() != Outcome::NotRun {
            self.runs += 1;
            self.may_have_run = Some(end);
        }
    }

    /// Ends all attempts whose answers are not waited for any more.
    pub fn record_remaining_ends(&mut self, end: AttemptEnd) {
        while self.open > 0 {
            self.record_end(end);
        }
    }

    /// Returns how many attempts are open.
    pub fn open_attempts(&self) -> u32 {
        self.open
    }

    /// Returns on how many endpoints the request may have been run or may yet be, attempts that are
    /// open among them.
    pub fn max_executions(&self) -> u32 {
        self.runs + self.open
    }

    /// Tells whether the request may go to a further endpoint, beside those that have it, as far as
    /// its route, its attempts so far and its deadline go.
    pub fn may_send(&self, route: &Route, now: Millis, deadline: Millis) -> bool {
        let ran_nowhere = self.may_have_run.is_none() && self.open == 0;
        let may_run_again = ran_nowhere || route.may_retry();
        let runs_left = self.max_executions() < route.attempts.max(1);
        may_run_again && runs_left && self.sent < MOST_SENT && now < deadline
    }

    /// Returns what the caller is told where no attempt brought an answer.
    ///
    /// It follows from all attempts: one that was certainly not run says nothing about another
    /// that may have been.
    pub fn failure(&self) -> FinalFailure {
        match self.may_have_run {
            None => FinalFailure::NotRun,
            Some(AttemptEnd::TimedOut) => FinalFailure::TimedOut,
            Some(_) => FinalFailure::AnswerLost,
        }
    }
}
