//! How a daemon's own calls fared lately, by which it can tell its own trouble from that of others.

use std::collections::{BTreeMap, VecDeque};

use crate::Millis;

/// For how long a call is remembered after it ended.
const KEPT: Millis = Millis(2_000);

/// How many ended calls are remembered at the most, which bounds the memory of a daemon that calls
/// many boxes at once.
const MOST_KEPT: usize = 1_024;

/// Names a call that has begun.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct CallId(u64);

/// A call that ended.
#[derive(Clone, Copy, Debug)]
struct Ended {
    begun: Millis,
    ended: Millis,
    answered: bool,
}

/// How a daemon's calls fare at one moment.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct CallStats {
    /// Calls that have begun and not ended.
    pub open: usize,
    /// Calls that ended without an answer lately.
    pub unanswered: usize,
    /// Calls that were answered lately.
    pub answered: usize,
    /// The longest that an answer took lately.
    pub slowest: Millis,
}

/// Keeps the calls that a daemon made lately.
#[derive(Clone, Debug, Default)]
pub struct CallHistory {
    next: u64,
    open: BTreeMap<CallId, Millis>,
    ended: VecDeque<Ended>,
}

impl CallHistory {
    /// Notes that a call begins.
    pub fn begin(&mut self, now: Millis) -> CallId {
        let key = CallId(self.next);
        self.next += 1;
        self.open.insert(key, now);
        key
    }

    /// Notes how a call ended, and returns how long it took.
    pub fn end(&mut self, key: CallId, answered: bool, now: Millis) -> Millis {
        let Some(begun) = self.open.remove(&key) else {
            return Millis(0);
        };
        self.ended.push_back(Ended { begun, ended: now, answered });
        let is_old = |call: &Ended| now.since(call.ended) > KEPT;
        while self.ended.len() > MOST_KEPT || self.ended.front().is_some_and(is_old) {
            self.ended.pop_front();
        }
        now.since(begun)
    }

    /// Returns how long the quickest answer took among the calls that began from `first` to `last`.
    pub fn fastest_answer_between(&self, first: Millis, last: Millis) -> Option<Millis> {
        let began = |call: &&Ended| call.begun >= first && call.begun <= last;
        let answered = self.ended.iter().filter(|call| call.answered).filter(began);
        answered.map(|call| call.ended.since(call.begun)).min()
    }

    /// Returns how the calls fare.
    pub fn stats(&self, now: Millis) -> CallStats {
        let lately = self.ended.iter().filter(|call| now.since(call.ended) <= KEPT);
        let mut state = CallStats { open: self.open.len(), ..CallStats::default() };
        for call in lately {
            if call.answered {
                state.answered += 1;
                state.slowest = state.slowest.max(call.ended.since(call.begun));
            } else {
                state.unanswered += 1;
            }
        }
        state
    }
}
