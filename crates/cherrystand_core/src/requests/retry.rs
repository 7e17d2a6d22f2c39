//! Decides whether a failed attempt is retried.

use crate::{AttemptEnd, Millis, Outcome};

/// The largest number of attempts for one request.
pub const MAX_ATTEMPTS: u32 = 3;

/// How many retries are allowed per 1,000 first attempts.
pub const BUDGET_PER_MILLE: u32 = 100;

/// The largest balance of the budget, in thousandths of a retry.
const MAX_SAVED: u32 = 10 * RETRY_COST;

/// The cost of one retry, in thousandths; each first attempt earns [`BUDGET_PER_MILLE`].
const RETRY_COST: u32 = 1_000;

/// The shortest time between two retries that are granted although none was earned.
pub const RETRY_FLOOR_INTERVAL: Millis = Millis(1_000);

/// Limits retries to a share of first attempts, so that they cannot amplify a failure.
///
/// Where few requests come, a share of them is nothing for seconds. So an empty budget is granted
/// one retry in each [`RETRY_FLOOR_INTERVAL`].
#[derive(Clone, Copy, Debug)]
pub struct RetryBudget {
    saved: u32,
    /// When a retry was last granted to the empty budget.
    granted_at: Option<Millis>,
}

impl Default for RetryBudget {
    fn default() -> Self {
        Self { saved: MAX_SAVED, granted_at: None }
    }
}

impl RetryBudget {
    /// Records a first attempt.
    pub fn earn(&mut self) {
        self.saved = (self.saved + BUDGET_PER_MILLE).min(MAX_SAVED);
    }

    /// Grants a retry if none is left and the last one was granted long enough ago.
    pub fn grant_if_empty(&mut self, now: Millis) {
        let is_due = self.granted_at.is_none_or(|at| now.since(at) >= RETRY_FLOOR_INTERVAL);
        if self.left() == 0 && is_due {
            self.saved += RETRY_COST;
            self.granted_at = Some(now);
        }
    }

    /// Takes one retry out of the budget; returns whether it held one.
    pub fn spend(&mut self) -> bool {
        let Some(left) = self.saved.checked_sub(RETRY_COST) else {
            return false;
        };
        self.saved = left;
        true
    }

    /// Returns how many retries are left.
    pub fn left(&self) -> u32 {
        self.saved / RETRY_COST
    }
}

/// A failed attempt.
#[derive(Clone, Copy, Debug)]
pub struct FailedAttempt {
    /// How it ended.
    pub end: AttemptEnd,
    /// How many attempts have been made, including this one.
    pub attempts: u32,
    /// Whether the request may be run twice.
    pub is_idempotent: bool,
    /// Whether a part of the answer has been sent to the caller.
    pub answer_started: bool,
    /// Whether the request body is kept and can be sent again.
    pub can_resend: bool,
    /// The time left until the caller's deadline.
    pub remaining: Millis,
    /// The time that an attempt usually takes.
    pub typical_duration: Millis,
}

/// Says why no further attempt is made.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum NoRetry {
    /// The request may have been run and must not be run twice.
    NotRepeatable,
    /// A part of the answer has been sent to the caller.
    AnswerBegun,
    /// The request's body was not kept.
    NotReplayable,
    /// The caller disconnected.
    CallerDisconnected,
    /// The request has used all its attempts.
    AttemptsSpent,
    /// The time left is too short for another attempt.
    NoTime,
    /// The budget is empty.
    BudgetSpent,
}

impl NoRetry {
    /// Lists every reason.
    pub const ALL: [Self; 7] = [
        Self::NotRepeatable,
        Self::AnswerBegun,
        Self::NotReplayable,
        Self::CallerDisconnected,
        Self::AttemptsSpent,
        Self::NoTime,
        Self::BudgetSpent,
    ];

    /// Returns the name that metrics use.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::NotRepeatable => "not-repeatable",
            Self::AnswerBegun => "answer-begun",
            Self::NotReplayable => "not-replayable",
            Self::CallerDisconnected => "caller-left",
            Self::AttemptsSpent => "attempts-spent",
            Self::NoTime => "no-time",
            Self::BudgetSpent => "budget-spent",
        }
    }
}

/// Decides whether to retry, and takes the retry out of the budget.
///
/// # Errors
///
/// Returns the reason why the attempt is not retried.
pub fn decide_retry(failed: &FailedAttempt, budget: &mut RetryBudget) -> Result<(), NoRetry> {
    if failed.end == AttemptEnd::CallerDisconnected {
        return Err(NoRetry::CallerDisconnected);
    }
    if failed.answer_started {
        return Err(NoRetry::AnswerBegun);
    }
    if failed.end.outcome() != Outcome::NotRun && !failed.is_idempotent {
        return Err(NoRetry::NotRepeatable);
    }
    if !failed.can_resend {
        return Err(NoRetry::NotReplayable);
    }
    if failed.attempts >= MAX_ATTEMPTS {
        return Err(NoRetry::AttemptsSpent);
    }
    if failed.remaining <= failed.typical_duration {
        return Err(NoRetry::NoTime);
    }
    if !budget.spend() {
        return Err(NoRetry::BudgetSpent);
    }
    Ok(())
}
