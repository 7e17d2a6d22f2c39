//! The recent calls of a daemon, from which it can tell whether it is itself slow or the daemons
//! and boxes that it calls.

use std::collections::{BTreeMap, VecDeque};

use crate::Millis;

/// How long an ended call is remembered.
const RETENTION: Millis = Millis(2_000);

/// The largest number of ended calls that are remembered, which bounds the memory of a daemon that
/// calls many boxes at once.
const MAX_ENDED: usize = 1_024;

/// Identifies a call that has begun.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct CallId(u64);

/// A call that ended.
#[derive(Clone, Copy, Debug)]
struct EndedCall {
    started: Millis,
    ended: Millis,
    answered: bool,
}

/// Counts of a daemon's recent calls.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct CallStats {
    /// Calls that have not ended.
    pub open: usize,
    /// Recent calls that ended without an answer.
    pub unanswered: usize,
    /// Recent calls that were answered.
    pub answered: usize,
    /// The longest time that a recent answer took.
    pub slowest: Millis,
}

/// Records the recent calls of a daemon.
#[derive(Clone, Debug, Default)]
pub struct CallHistory {
    next: u64,
    open: BTreeMap<CallId, Millis>,
    ended: VecDeque<EndedCall>,
}

impl CallHistory {
    /// Records that a call begins.
    pub fn begin(&mut self, now: Millis) -> CallId {
        let key = CallId(self.next);
        self.next += 1;
        self.open.insert(key, now);
        key
    }

    /// Records how a call ended, and returns how long it took.
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

    /// Returns the time of the fastest answer among the calls that began from `first` to `last`.
    pub fn fastest_answer_between(&self, first: Millis, last: Millis) -> Option<Millis> {
        let began = |call: &&EndedCall| call.started >= first && call.started <= last;
        let answered = self.ended.iter().filter(|call| call.answered).filter(began);
        answered.map(|call| call.ended.since(call.started)).min()
    }

    /// Returns counts of the recent calls.
    pub fn stats(&self, now: Millis) -> CallStats {
        let recent_calls = self.ended.iter().filter(|call| now.since(call.ended) <= RETENTION);
        let mut stats = CallStats { open: self.open.len(), ..CallStats::default() };
        for call in recent_calls {
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
