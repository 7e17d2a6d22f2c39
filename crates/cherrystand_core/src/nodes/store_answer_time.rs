//! How long the platform's store takes to answer.
//!
//! Source: docs/design/0029-a-store-that-is-slow.md.

use crate::Millis;

/// How many answers are remembered.
const REMEMBERED: usize = 2;

/// The shortest time after which an answer that something waits for is given up.
const MIN_PATIENCE: Millis = Millis(1_000);

/// The longest one.
const MAX_PATIENCE: Millis = Millis(30_000);

/// How many answer times are waited.
const PATIENCE_FACTOR: u64 = 4;

/// How often calls that were given up in a row double the timeout: while the store is out, each holds
/// up what depends on it.
const MAX_DOUBLINGS: u32 = 2;

/// The shortest time after which an answer counts as late.
const MIN_HEDGE_DELAY: Millis = Millis(200);

/// How long a watch took, and how long it could wait for a change.
#[derive(Clone, Copy, Debug)]
pub struct WatchTime {
    /// The time until its answer.
    pub took: Millis,
    /// The longest time that the store waited before it sent the answer.
    pub wait: Millis,
}

/// The shortest and the longest time that the store may have taken for an answer.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
struct AnswerRange {
    least: Millis,
    most: Millis,
}

impl AnswerRange {
    fn exactly(took: Millis) -> Self {
        Self { least: took, most: took }
    }

    /// Returns what of this range agrees with another one: their overlap, the upper end if the other is
    /// above, all of it if the other is below.
    fn narrowed_by(self, other: Self) -> Self {
        if other.least > self.most {
            return Self::exactly(self.most);
        }
        if other.most < self.least {
            return self;
        }
        Self { least: self.least.max(other.least), most: self.most.min(other.most) }
    }
}

/// Tracks how long the store takes to answer one daemon, and derives from it how long to wait.
///
/// A timeout that is shorter than the store's answer time throws away every answer, and what was
/// asked is asked again from nothing. So each wait follows from the answers of late, and a call
/// that was given up doubles the next wait until something is answered.
#[derive(Clone, Copy, Debug, Default)]
pub struct StoreAnswerTime {
    recent: [AnswerRange; REMEMBERED],
    next: usize,
    given_up: u32,
}

impl StoreAnswerTime {
    /// Records that an answer took a time.
    pub fn record_answer(&mut self, took: Millis) {
        self.remember(AnswerRange::exactly(took));
    }

    /// Records that a watch was answered. One without changes was answered at the end of its wait, one
    /// with changes at any moment of it, so that its time bounds the store's from both sides.
    pub fn record_watch(&mut self, WatchTime { took, wait }: WatchTime, has_changes: bool) {
        let least = took.since(wait);
        if !has_changes && took >= wait {
            return self.record_answer(least);
        }
        let known = self.usual_range();
        let narrowed = AnswerRange { least, most: took }.narrowed_by(known);
        if narrowed == known {
            // It says nothing new.
            self.given_up = 0;
            return;
        }
        self.remember(narrowed);
    }

    fn remember(&mut self, answer: AnswerRange) {
        self.recent[self.next] = answer;
        self.next = (self.next + 1) % REMEMBERED;
        self.given_up = 0;
    }

    /// Records that a call was given up before it was answered.
    pub fn record_given_up(&mut self) {
        self.given_up = self.given_up.saturating_add(1);
    }

    /// Returns the shorter of the last two answer times: one late answer may be a stalled connection or
    /// a pause of this daemon, and one quick answer after an outage shows that it is over.
    pub fn usual(&self) -> Millis {
        self.usual_range().least
    }

    fn usual_range(&self) -> AnswerRange {
        let [one, other] = self.recent;
        one.min(other).narrowed_by(one.max(other))
    }

    /// Returns how long to wait for an answer before something else is done beside it.
    pub fn patience(&self) -> Millis {
        let wait = self.usual().0.saturating_mul(PATIENCE_FACTOR);
        Millis(wait.clamp(MIN_PATIENCE.0, MAX_PATIENCE.0))
    }

    /// Returns the timeout of a call that is made once. Calls that were given up make it longer.
    pub fn timeout(&self) -> Millis {
        let doubled = self.patience().0 << self.given_up.min(MAX_DOUBLINGS);
        Millis(doubled.min(MAX_PATIENCE.0))
    }

    /// Returns after which time without any part of an answer another call is sent beside the first
    /// one.
    pub fn hedge_delay(&self) -> Millis {
        let usual = self.usual();
        MIN_HEDGE_DELAY.max(usual + Millis(usual.0 / 4))
    }
}
