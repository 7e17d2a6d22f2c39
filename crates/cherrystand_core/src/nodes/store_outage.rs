//! Outages of the store, after which entries may be missing whose boxes live.

use crate::{Millis, RunningTime};

/// After this time without an answer the store counts as having been out; a watch that waits is
/// answered sooner.
const OUT_AFTER: Millis = Millis(2_800);

/// For how long after an outage a box that is listed no more is kept.
///
/// Entries run out while the store is out, though their boxes serve on, and come back within about
/// two seconds.
const KEPT_AFTER_OUTAGE: Millis = Millis(2_200);

/// Keeps when the store answered, and until when what it lists no more is kept.
///
/// A daemon that stood still did not listen: what it did not hear meanwhile is no silence of the store, and a
/// call that ran out meanwhile is no failure of it. One that was cut off cannot tell; a peer that listened all the
/// while can.
#[derive(Clone, Copy, Debug, Default)]
pub struct StoreOutage {
    awake: RunningTime,
    /// Whether the last call failed.
    fails: bool,
    /// When it last answered, by the clock and by the time for which the daemon has been awake.
    answered: Option<(Millis, Millis)>,
    /// Since when it answers without a break.
    steady_since: Millis,
    keeps_until: Millis,
    /// How long it was silent before it answered again, while no peer was asked about that.
    doubted: Option<Millis>,
}

impl StoreOutage {
    /// Notes that the daemon is awake; it is told so every [`RunningTime::TOLD_EVERY`].
    pub fn record_running(&mut self, now: Millis) {
        self.awake.record(now);
    }

    /// Notes that the store answered this daemon.
    pub fn record_answer(&mut self, now: Millis) {
        self.awake.record(now);
        let silence = |(_, awake): (Millis, Millis)| self.awake.total().since(awake);
        let late = self.answered.map(silence).is_some_and(|silence| silence > OUT_AFTER);
        if late || self.fails {
            self.keeps_until = now + KEPT_AFTER_OUTAGE;
            self.doubted = self.answered.map(|(at, _)| now.since(at));
        }
        if late || self.fails || self.answered.is_none() {
            self.steady_since = now;
        }
        self.fails = false;
        self.answered = Some((now, self.awake.total()));
    }

    /// Notes that a peer tells what the store answered it at `at`, and since when that goes on without a break;
    /// that peer judged by itself what to keep.
    pub fn record_peer_answer(&mut self, at: Millis, steady_since: Millis, now: Millis) {
        self.awake.record(now);
        self.fails = false;
        self.answered = Some((at, self.awake.total() - now.since(at)));
        self.steady_since = steady_since;
    }

    /// Notes that the store did not answer, and tells whether that says anything of the store.
    pub fn record_failure(&mut self, now: Millis) -> bool {
        self.awake.record(now);
        let stood_still = self.answered.is_some_and(|(at, awake)| {
            now.since(at) > self.awake.total().since(awake) + RunningTime::MAX_TICK_GAP
        });
        if stood_still {
            // The next failure counts: its call began after that.
            self.answered = Some((now, self.awake.total()));
            return false;
        }
        self.fails = true;
        true
    }

    /// Returns for how long the store had been silent, where that is taken for an outage and no peer was asked yet
    /// whether it answered others; it is told once.
    pub fn take_unconfirmed_outage(&mut self) -> Option<Millis> {
        self.doubted.take()
    }

    /// Notes that the store came back from a copy, which lacks entries whose boxes live.
    pub fn record_restore(&mut self, now: Millis) {
        self.keeps_until = now + KEPT_AFTER_OUTAGE;
        self.doubted = None;
        self.steady_since = now;
    }

    /// Notes that the store answered others all the while.
    pub fn clear_outage(&mut self) {
        self.keeps_until = Millis(0);
    }

    /// Returns for how long the store has answered without a break, as far as this daemon knows.
    pub fn answering_for(&self, now: Millis) -> Millis {
        self.answered.map_or(Millis(0), |_| now.since(self.steady_since))
    }

    /// Tells whether what the store lists no more is kept, since it may only have lost the entry.
    pub fn keeps_unlisted(&self, now: Millis) -> bool {
        now < self.keeps_until
    }
}
