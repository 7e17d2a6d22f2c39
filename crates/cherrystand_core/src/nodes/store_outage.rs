//! Outages of the store, after which entries may be missing whose boxes live.

use crate::Millis;

/// After this time without an answer the store counts as having been out; a watch that waits is
/// answered sooner.
const OUT_AFTER: Millis = Millis(2_800);

/// For how long after an outage a box that is listed no more is kept.
///
/// Entries run out while the store is out, though their boxes serve on, and come back within about
/// two seconds.
const KEPT_AFTER_OUTAGE: Millis = Millis(2_200);

/// Keeps when the store answered, and until when what it lists no more is kept.
#[derive(Clone, Copy, Debug, Default)]
pub struct StoreOutage {
    /// Whether the last call failed.
    fails: bool,
    answered: Option<Millis>,
    keeps_until: Millis,
}

impl StoreOutage {
    /// Notes that the store answered this daemon.
    pub fn answered(&mut self, now: Millis) {
        let late = self.answered.is_some_and(|answered| now.since(answered) > OUT_AFTER);
        if late || self.fails {
            self.keeps_until = now + KEPT_AFTER_OUTAGE;
        }
        self.fails = false;
        self.answered = Some(now);
    }

    /// Notes that a peer tells what the store answered it at `at`; that peer judged by itself what to
    /// keep.
    pub fn answered_peer(&mut self, at: Millis) {
        self.fails = false;
        self.answered = Some(at);
    }

    /// Notes that the store did not answer.
    pub fn failed(&mut self) {
        self.fails = true;
    }

    /// Tells whether what the store lists no more is kept, since it may only have lost the entry.
    pub fn keeps(&self, now: Millis) -> bool {
        now < self.keeps_until
    }
}
