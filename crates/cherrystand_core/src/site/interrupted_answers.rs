//! Answers that broke off with their connections, kept until it is known whether their boxes
//! crashed.

use std::collections::{BTreeMap, BTreeSet};

use crate::{BoxId, CrashTime, Fingerprint, Millis, SiteView};

/// How long after an interrupted answer its box may still be found to have crashed: a box's entry
/// disappears after three heartbeats, which are 1.2 s apart in production.
const CRASH_CHECK_TIMEOUT: Millis = Millis(6_000);

/// How long a crash is remembered for answers that break off later. If a box loses power while
/// answers are in transit, their connections fail only after seconds.
const CRASH_MEMORY: Millis = Millis(30_000);

/// What to do about an answer that broke off.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CrashCheck {
    /// Check whether its box still runs.
    Start,
    /// A check of its box is already pending.
    Pending,
    /// Its box is known to have crashed.
    Crashed,
}

/// A check of one box, and the requests whose answers it interrupted.
#[derive(Clone, Debug, Default)]
struct PendingCheck {
    started: Millis,
    requests: BTreeSet<Fingerprint>,
    /// How long each had run as its answer broke off, the longest of its attempts.
    times: BTreeMap<Fingerprint, Millis>,
    /// Whether its address has accepted a connection since.
    is_accepting: bool,
}

/// Tracks answers that broke off until their boxes are found to have crashed or to be running.
///
/// An answer also breaks off because a box garbles it, a connection is reset or a link fails. Only
/// the crash of a box says something about the requests it was running.
#[derive(Clone, Debug, Default)]
pub struct InterruptedAnswers {
    pending: BTreeMap<BoxId, PendingCheck>,
    crashed: BTreeMap<BoxId, Millis>,
}

impl InterruptedAnswers {
    /// Records that a box's answer to a request broke off, given the fingerprints of all of it that may
    /// have crashed the box.
    pub fn record(&mut self, box_id: &BoxId, features: &[Fingerprint], now: Millis) -> CrashCheck {
        self.remove_expired(now);
        if self.crashed.contains_key(box_id) {
            return CrashCheck::Crashed;
        }
        let is_pending = self.pending.get(box_id).is_some_and(|check| !check.is_accepting);
        let check = self.pending.entry(box_id.clone()).or_default();
        check.requests.extend(features);
        if is_pending {
            return CrashCheck::Pending;
        }
        (check.started, check.is_accepting) = (now, false);
        CrashCheck::Start
    }

    /// Records how long a request whose answer broke off had run at its box.
    pub fn record_time(&mut self, box_id: &BoxId, features: &[Fingerprint], ran: Millis) {
        let Some(check) = self.pending.get_mut(box_id) else { return };
        for feature in features {
            let longest = check.times.entry(*feature).or_default();
            *longest = ran.max(*longest);
        }
    }

    /// Returns how long what a box ran had run as its answers broke off.
    pub fn times_at(&self, box_id: &BoxId) -> Vec<CrashTime> {
        let times = self.pending.get(box_id).into_iter().flat_map(|check| &check.times);
        let time = |(feature, ran): (&Fingerprint, &Millis)| CrashTime {
            box_id: box_id.clone(),
            feature: *feature,
            ran: *ran,
        };
        times.map(time).collect()
    }

    /// Returns whether a box is known to have crashed lately.
    pub fn has_crashed(&self, box_id: &BoxId) -> bool {
        self.crashed.contains_key(box_id)
    }

    /// Returns whether a box interrupted answers and may have crashed.
    pub fn may_have_crashed(&self, box_id: &BoxId) -> bool {
        self.pending.contains_key(box_id) || self.has_crashed(box_id)
    }

    /// Records that a box's address accepts connections: either the box runs and interrupted the
    /// answers itself, or a proxy in front of it hasn't noticed the crash yet.
    pub fn record_accepting(&mut self, box_id: &BoxId) {
        if let Some(check) = self.pending.get_mut(box_id) {
            check.is_accepting = true;
        }
    }

    /// Records that a box crashed, and returns the requests whose answers it interrupted.
    pub fn record_crash(&mut self, box_id: &BoxId, now: Millis) -> Vec<Fingerprint> {
        self.remove_expired(now);
        self.crashed.insert(box_id.clone(), now);
        let check = self.pending.remove(box_id).unwrap_or_default();
        check.requests.into_iter().collect()
    }

    /// Returns whether no check is pending.
    pub fn is_empty(&self) -> bool {
        self.pending.is_empty()
    }

    /// Returns the boxes that have crashed according to `view`: those that restarted, and those
    /// whose entries are gone unless their addresses accept connections.
    pub fn crashed_boxes(&self, view: &SiteView) -> Vec<BoxId> {
        let has_crashed = |(box_id, check): &(&BoxId, &PendingCheck)| {
            let is_gone = !view.boxes.contains_key(*box_id) || view.dead.contains(*box_id);
            view.has_restarted(box_id) || (is_gone && !check.is_accepting)
        };
        self.pending.iter().filter(has_crashed).map(|(box_id, _)| box_id.clone()).collect()
    }

    /// Returns how many boxes interrupted a request's answer and may have crashed.
    pub fn pending_checks(&self, request: Fingerprint) -> usize {
        let checks = self.pending.values().filter(|check| !check.is_accepting);
        checks.filter(|check| check.requests.contains(&request)).count()
    }

    fn remove_expired(&mut self, now: Millis) {
        self.pending.retain(|_, check| now.since(check.started) < CRASH_CHECK_TIMEOUT);
        self.crashed.retain(|_, at| now.since(*at) < CRASH_MEMORY);
    }
}
