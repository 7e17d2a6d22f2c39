//! Outages of the store, after which entries of live boxes may be missing.

use crate::{Millis, RunningTime};

/// The time without an answer after which the store counts as having been out; a watch is always
/// answered sooner.
const OUTAGE_AFTER: Millis = Millis(2_800);

/// How long after an outage a box that is no longer listed is retained.
///
/// Entries expire during an outage although their boxes go on serving, and return within about two
/// seconds.
const RETENTION_AFTER_OUTAGE: Millis = Millis(2_200);

/// Tracks when the store answered, and until when entries that it no longer lists are retained.
///
/// A daemon that was paused can't detect an outage: answers that it missed during the pause don't
/// mean that the store was silent, and calls that timed out during it don't mean that the store
/// failed. Neither can a daemon that was cut off, but a peer that was connected all the time can.
#[derive(Clone, Copy, Debug, Default)]
pub struct StoreOutage {
    running_time: RunningTime,
    /// Whether the last call failed.
    is_failing: bool,
    /// When the store last answered, by the clock and by the daemon's running time.
    last_answer: Option<(Millis, Millis)>,
    /// Since when it has answered without interruption.
    answering_since: Millis,
    retains_until: Millis,
    /// How long it was silent before it answered again, until peers have been asked whether it
    /// answered them.
    unconfirmed_outage: Option<Millis>,
    /// By how much later than otherwise answers come because the store is slow.
    slack: Millis,
}

impl StoreOutage {
    /// Records that the daemon is running; has to be called every [`RunningTime::TICK_INTERVAL`].
    pub fn record_running(&mut self, now: Millis) {
        self.running_time.record(now);
    }

    /// Records by how much later than otherwise answers come because the store is slow.
    pub fn record_slack(&mut self, slack: Millis) {
        self.slack = slack;
    }

    /// Records that the store answered this daemon.
    pub fn record_answer(&mut self, now: Millis) {
        self.running_time.record(now);
        let silence =
            |(_, running_time): (Millis, Millis)| self.running_time.total().since(running_time);
        let late = self
            .last_answer
            .map(silence)
            .is_some_and(|silence| silence > OUTAGE_AFTER + self.slack);
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

    /// Records a peer's report that the store answered it at `at`, and has done so without
    /// interruption since `answering_since`. The peer has decided itself what to retain.
    ///
    /// Several peers may be asked at once, and an older report that arrives later is ignored.
    pub fn record_peer_answer(&mut self, at: Millis, answering_since: Millis, now: Millis) {
        self.running_time.record(now);
        if self.last_answer.is_some_and(|(held, _)| held > at) {
            return;
        }
        self.is_failing = false;
        self.last_answer = Some((at, self.running_time.total() - now.since(at)));
        self.answering_since = answering_since;
    }

    /// Records that the store did not answer; returns whether that is evidence of an outage.
    pub fn record_failure(&mut self, now: Millis) -> bool {
        self.running_time.record(now);
        let was_paused = self.last_answer.is_some_and(|(at, running_time)| {
            now.since(at)
                > self.running_time.total().since(running_time) + RunningTime::MAX_TICK_GAP
        });
        if was_paused {
            // The next failure counts, since its call begins after the pause.
            self.last_answer = Some((now, self.running_time.total()));
            return false;
        }
        self.is_failing = true;
        true
    }

    /// Returns, once, how long the store was silent before it answered again, if that counts as an
    /// outage and no peer has been asked whether the store answered it.
    pub fn take_unconfirmed_outage(&mut self) -> Option<Millis> {
        self.unconfirmed_outage.take()
    }

    /// Records that the store was restored from a backup, which lacks entries of live boxes.
    pub fn record_restore(&mut self, now: Millis) {
        self.retains_until = now + RETENTION_AFTER_OUTAGE;
        self.unconfirmed_outage = None;
        self.answering_since = now;
    }

    /// Records that the store answered others all the time, so that there was no outage.
    pub fn clear_outage(&mut self) {
        self.retains_until = Millis(0);
    }

    /// Returns how long the store has answered without interruption, as far as this daemon knows.
    pub fn answering_for(&self, now: Millis) -> Millis {
        self.last_answer.map_or(Millis(0), |_| now.since(self.answering_since))
    }

    /// Returns whether entries that the store no longer lists are retained, since it may have lost
    /// them.
    pub fn keeps_unlisted(&self, now: Millis) -> bool {
        now < self.retains_until
    }
}
