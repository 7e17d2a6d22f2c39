//! How a daemon's own calls fared recent, by which it can tell its own trouble from that of others.

use std::collections::{BTreeMap, VecDeque};

use crate::Millis;

/// For how long a call is remembered after it ended.
const RETENTION: Millis = Millis(2_000);

/// How many ended calls are remembered at the most, which bounds the memory of a daemon that calls
/// many boxes at once.
const MAX_ENDED: usize = 1_024;

/// Names a call that has begun.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct CallId(u64);

/// A call that ended.
#[derive(Clone, Copy, Debug)]
struct EndedCall {
    started: Millis,
    ended: Millis,
    answered: bool,
}

/// How a daemon's calls fare at one moment.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct CallStats {
    /// Calls that have begun and not ended.
    pub open: usize,
    /// Calls that ended without an answer recent.
    pub unanswered: usize,
    /// Calls that were answered recent.
    pub answered: usize,
    /// The longest that an answer took recent.
    pub slowest: Millis,
}

/// Keeps the calls that a daemon made recent.
#[derive(Clone, Debug, Default)]
pub struct CallHistory {
    next: u64,
    open: BTreeMap<CallId, Millis>,
    ended: VecDeque<EndedCall>,
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
        let Some(started) = self.open.remove(&key) else {
            return Millis(0);
        };
        self.ended.push_back(EndedCall { started, ended: now, answered });
        let is_old = |call: &EndedCall| now.since(call.ended) > RETENTION;
        while self.ended.len() > MAX_ENDED || self.ended.front().is_some_and(is_old) {
            self.ended.pop_front();
        }
        now.since(started)
    }

    /// Returns how long the quickest answer took among the calls that began from `first` to `last`.
    pub fn fastest_answer_between(&self, first: Millis, last: Millis) -> Option<Millis> {
        let began = |call: &&EndedCall| call.started >= first && call.started <= last;
        let answered = self.ended.iter().filter(|call| call.answered).filter(began);
        answered.map(|call| call.ended.since(call.started)).min()
    }

    /// Returns how the calls fare.
    pub fn stats(&self, now: Millis) -> CallStats {
        let recent = self.ended.iter().filter(|call| now.since(call.ended) <= RETENTION);
        let mut stats = CallStats { open: self.open.len(), ..CallStats::default() };
        for call in recent {
            if call.answered {
                stats.answered += 1;
                stats.slowest = stats.slowest.max(call.ended.since(call.started));
            } else {
                stats.unanswered += 1;
            }
        }
        stats
    }
}
