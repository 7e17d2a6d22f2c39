//! Whether a box that does not answer is dead, or the daemon that asks is held up itself.
//!
//! A daemon judges only while it is shown to be well: a call to somebody else that began together
//! with the question was answered in a fraction of the time that the box had. Where none was, the
//! daemon's link or processor may be what is slow, and it asks again with more time.
//!
//! Source: docs/design/0014-who-may-judge.md.

use crate::{CallHistory, Millis};

/// How long a box may take to answer, by how often it was asked before: 200 ms finds a dead box
/// well within the half second in which it has to be known; a daemon that was held up gives more.
const PROBE_TIMEOUTS: [Millis; 4] = [Millis(200), Millis(300), Millis(400), Millis(500)];

/// How many times as long as others the box has to have had; a link that is so busy that others
/// took a third of the time may well have taken all of it.
const MIN_WAIT_RATIO: u64 = 3;

/// A call shows how the daemon is doing only if it began within this part of the wait; one that
/// began later may have met a link that had just become free.
const WITNESS_WINDOW_DIVISOR: u64 = 4;

/// A call that began this much before the question shows the same as one that began with it.
pub const WITNESS_LEAD_TIME: Millis = Millis(20);

/// A timer this much too late tells that the daemon's own processor was busy.
const MAX_TIMER_DELAY: Millis = Millis(60);

/// Says what follows where a box did not answer in time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ProbeVerdict {
    /// The box is silent, while others answer.
    Silent,
    /// The daemon may be held up itself: the box is asked again.
    AskAgain,
    /// The daemon was held up all the time, and says nothing of the box.
    Undecided,
}

impl ProbeVerdict {
    /// Returns the name that metrics use.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Silent => "silent",
            Self::AskAgain => "ask-again",
            Self::Undecided => "undecided",
        }
    }
}

/// Says why a box is asked whether it is there.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum ProbeReason {
    /// Requests or orders to it, or to its replica, got no answer.
    NoAnswer,
    /// The store lists it no more, and nothing else speaks against it.
    NotListed,
}

/// Follows the questions to one box until it answers or a verdict is given.
#[derive(Clone, Copy, Debug, Default)]
pub struct LivenessProbe {
    timeouts: usize,
}

impl LivenessProbe {
    /// Returns how long the box may take to answer this time.
    pub fn timeout(&self) -> Millis {
        PROBE_TIMEOUTS[self.timeouts.min(PROBE_TIMEOUTS.len() - 1)]
    }

    /// Says what follows where a box refused the connection.
    ///
    /// A box that is cut off from the store refuses questions and orders as one that is dead does,
    /// and may go on serving. While nobody saw its replica stand still the refusal says nothing; one
    /// that is dead is found by its streams, within 0.4 s.
    pub fn verdict_on_refusal(reason: ProbeReason) -> ProbeVerdict {
        match reason {
            ProbeReason::NoAnswer => ProbeVerdict::Silent,
            ProbeReason::NotListed => ProbeVerdict::Undecided,
        }
    }

    /// Takes in that a question that began at `begun` was not answered by `now`, and says what
    /// follows.
    pub fn record_timeout(
        &mut self,
        started: Millis,
        now: Millis,
        calls: &CallHistory,
    ) -> ProbeVerdict {
        let timeout = self.timeout();
        self.timeouts += 1;
        if is_silent(started, timeout, now, calls) {
            ProbeVerdict::Silent
        } else if self.timeouts < PROBE_TIMEOUTS.len() {
            ProbeVerdict::AskAgain
        } else {
            ProbeVerdict::Undecided
        }
    }
}

/// Tells whether silence over a time that was to last `within` says something of the silent one.
fn is_silent(started: Millis, timeout: Millis, now: Millis, calls: &CallHistory) -> bool {
    let waited = now.since(started);
    if waited > timeout + MAX_TIMER_DELAY {
        return false;
    }
    let latest_start = started + Millis(timeout.0 / WITNESS_WINDOW_DIVISOR);
    let quickest = calls.fastest_answer_between(started - WITNESS_LEAD_TIME, latest_start);
    quickest.is_some_and(|took| took.0 * MIN_WAIT_RATIO <= waited.0)
}
