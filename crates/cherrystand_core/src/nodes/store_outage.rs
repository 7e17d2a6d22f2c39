//! Outages of the store, after which entries may be missing whose boxes live.

use crate::{Millis, RunningTime};

/// After this time without an answer the store counts as having been out; a watch that waits is
/// answered sooner.
const OUTAGE_AFTER: Millis = Millis(2_800);

/// For how long after an outage a box that is listed no more is kept.
///
/// Entries run out while the store is out, though their boxes serve on, and come back within about
/// two seconds.
const RETENTION_AFTER_OUTAGE: Millis = Millis(2_200);

/// Keeps when the store answered, and until when what it lists no more is kept.
///
/// A daemon that stood still did not listen: what it did not hear meanwhile is no silence of the store, and a
/// call that ran out meanwhile is no failure of it. One that was cut off cannot tell; a peer that listened all the
/// while can.
#[derive(Clone, Copy, Debug, Default)]
pub struct StoreOutage {
    running_time: RunningTime,
    /// Whether the last call failed.
    is_failing: bool,
    /// When it last answered, by the clock and by the time for which the daemon has been awake.
    last_answer: Option<(Millis, Millis)>,
    /// Since when it answers without a break.
    answering_since: Millis,
    retains_until: Millis,
    /// How long it was silent before it answered again, while no peer was asked about that.
    unconfirmed_outage: Option<Millis>,
}

impl StoreOutage {
    /// Notes that the daemon is awake; it is told so every [`RunningTime::TOLD_EVERY`].
    pub fn record_running(&mut self, now: Millis) {
        self.running_time.record(now);
    }

    /// Notes that the store answered this daemon.
    pub fn record_answer(&mut self, now: Millis) {
        self.running_time.record(now);
        let silence =
            |(_, running_time): (Millis, Millis)| self.running_time.total().since(running_time);
        let late = self.last_answer.map(silence).is_some_and(|silence| silence > OUTAGE_AFTER);
        if late || self.is_failing {
            self.retains_until = now + RETENTION_AFTER_OUTAGE;
            self.unconfirmed_outage = self.last_answer.map(|(at, _)| now.since(at));
        }
        if late || self.is_failing || self.last_answer.is_none() {
            self.answering_since = now;
        }
        self.is_failing = false;
        self.last_answer = Some((now, self.running_time.total()));
    }

    /// Notes that a peer tells what the store answered it at `at`, and since when that goes on without a break;
    /// that peer judged by itself what to keep.
    pub fn record_peer_answer(&mut self, at: Millis, answering_since: Millis, now: Millis) {
        self.running_time.record(now);
        self.is_failing = false;
        self.last_answer = Some((at, self.running_time.total() - now.since(at)));
        self.answering_since = answering_since;
    }

    /// Notes that the store did not answer, and tells whether that says anything of the store.
    pub fn record_failure(&mut self, now: Millis) -> bool {
        self.running_time.record(now);
        let was_paused = self.last_answer.is_some_and(|(at, running_time)| {
            now.since(at)
                > self.running_time.total().since(running_time) + RunningTime::MAX_TICK_GAP
        });
        if was_paused {
            // The next failure counts: its call began after that.
            self.last_answer = Some((now, self.running_time.total()));
            return false;
        }
        self.is_failing = true;
        true
    }

    /// Returns for how long the store had been silent, where that is taken for an outage and no peer was asked yet
    /// whether it answered others; it is told once.
    pub fn take_unconfirmed_outage(&mut self) -> Option<Millis> {
        self.unconfirmed_outage.take()
    }

    /// Notes that the store came back from a copy, which lacks entries whose boxes live.
    pub fn record_restore(&mut self, now: Millis) {
        self.retains_until = now + RETENTION_AFTER_OUTAGE;
        self.unconfirmed_outage = None;
        self.answering_since = now;
    }

    /// Notes that the store answered others all the while.
    pub fn clear_outage(&mut self) {
        self.retains_until = Millis(0);
    }

    /// Returns for how long the store has answered without a break, as far as this daemon knows.
    pub fn answering_for(&self, now: Millis) -> Millis {
        self.last_answer.map_or(Millis(0), |_| now.since(self.answering_since))
    }

    /// Tells whether what the store lists no more is kept, since it may only have lost the entry.
    pub fn keeps_unlisted(&self, now: Millis) -> bool {
        now < self.retains_until
    }
}
