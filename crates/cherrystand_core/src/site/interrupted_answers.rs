//! Answers that broke off with their connections, until it is known whether their boxes ended.

use std::collections::{BTreeMap, BTreeSet};

use crate::{BoxId, Fingerprint, Millis, SiteView};

/// For how long a box may turn out to have ended after it cut an answer: its entry goes after three
/// heartbeats, of 1.2 s in use.
const CRASH_CHECK_TIMEOUT: Millis = Millis(6_000);

/// For how long it is remembered that a box ended, for answers of it that break off later; one that
/// lost power while they were on their way breaks them after seconds.
const CRASH_MEMORY: Millis = Millis(30_000);

/// Says what follows from an answer that broke off.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CrashCheck {
    /// Whether its box is there is to be found out.
    Start,
    /// That is being found out.
    Pending,
    /// Its box has ended.
    Crashed,
}

/// Requests whose answers one box cut, not long ago.
#[derive(Clone, Debug, Default)]
struct PendingCheck {
    started: Millis,
    requests: BTreeSet<Fingerprint>,
    /// Whether a connection was accepted since.
    is_accepting: bool,
}

/// Keeps answers that broke off until their boxes are found to have ended, or to live.
///
/// An answer also breaks off since a box garbles it, a connection is reset or a link is cut: only a box
/// that ended says something of the requests that it was working on.
#[derive(Clone, Debug, Default)]
pub struct InterruptedAnswers {
    pending: BTreeMap<BoxId, PendingCheck>,
    crashed: BTreeMap<BoxId, Millis>,
}

impl InterruptedAnswers {
    /// Takes in that the answer of a box to a request broke off.
    pub fn record(&mut self, box_id: &BoxId, request: Fingerprint, now: Millis) -> CrashCheck {
        self.remove_expired(now);
        if self.crashed.contains_key(box_id) {
            return CrashCheck::Crashed;
        }
        let is_pending = self.pending.get(box_id).is_some_and(|check| !check.is_accepting);
        let check = self.pending.entry(box_id.clone()).or_default();
        check.requests.insert(request);
        if is_pending {
            return CrashCheck::Pending;
        }
        (check.started, check.is_accepting) = (now, false);
        CrashCheck::Start
    }

    /// Takes in that somebody accepts connections where a box is: it cut the answers and lives, or what
    /// stands before it does not know yet that it ended.
    pub fn record_accepting(&mut self, box_id: &BoxId) {
        if let Some(check) = self.pending.get_mut(box_id) {
            check.is_accepting = true;
        }
    }

    /// Takes in that a box ended, and returns the requests whose answers it cut.
    pub fn record_crash(&mut self, box_id: &BoxId, now: Millis) -> Vec<Fingerprint> {
        self.remove_expired(now);
        self.crashed.insert(box_id.clone(), now);
        let check = self.pending.remove(box_id).unwrap_or_default();
        check.requests.into_iter().collect()
    }

    /// Tells whether no box is waited for.
    pub fn is_empty(&self) -> bool {
        self.pending.is_empty()
    }

    /// Lists the boxes that have ended by what is known of them: those that started again, and those
    /// whose entries are gone unless they accept connections.
    pub fn crashed_boxes(&self, view: &SiteView) -> Vec<BoxId> {
        let has_crashed = |(box_id, check): &(&BoxId, &PendingCheck)| {
            let is_gone = !view.boxes.contains_key(*box_id) || view.silent.contains(*box_id);
            view.has_restarted(box_id) || (is_gone && !check.is_accepting)
        };
        self.pending.iter().filter(has_crashed).map(|(box_id, _)| box_id.clone()).collect()
    }

    /// Returns how many boxes cut a request's answer and may have ended.
    pub fn pending_checks(&self, request: Fingerprint) -> usize {
        let checks = self.pending.values().filter(|check| !check.is_accepting);
        checks.filter(|check| check.requests.contains(&request)).count()
    }

    fn remove_expired(&mut self, now: Millis) {
        self.pending.retain(|_, check| now.since(check.started) < CRASH_CHECK_TIMEOUT);
        self.crashed.retain(|_, at| now.since(*at) < CRASH_MEMORY);
    }
}
