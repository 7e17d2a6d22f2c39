//! Answers that broke off with their connections, until it is known whether their boxes ended.

use std::collections::{BTreeMap, BTreeSet};

use crate::{BoxId, Fingerprint, Millis, SiteView};

/// For how long a box may turn out to have ended after it cut an answer: its entry goes after three
/// heartbeats, of 1.2 s in use.
const UNDECIDED_FOR: Millis = Millis(6_000);

/// For how long it is remembered that a box ended, for answers of it that break off later; one that
/// lost power while they were on their way breaks them after seconds.
const ENDED_FOR: Millis = Millis(30_000);

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
struct Undecided {
    since: Millis,
    requests: BTreeSet<Fingerprint>,
    /// Whether a connection was accepted since.
    accepts: bool,
}

/// Keeps answers that broke off until their boxes are found to have ended, or to live.
///
/// An answer also breaks off since a box garbles it, a connection is reset or a link is cut: only a box
/// that ended says something of the requests that it was working on.
#[derive(Clone, Debug, Default)]
pub struct InterruptedAnswers {
    undecided: BTreeMap<BoxId, Undecided>,
    ended: BTreeMap<BoxId, Millis>,
}

impl InterruptedAnswers {
    /// Takes in that the answer of a box to a request broke off.
    pub fn cut(&mut self, life: &BoxId, request: Fingerprint, now: Millis) -> CrashCheck {
        self.forget(now);
        if self.ended.contains_key(life) {
            return CrashCheck::Crashed;
        }
        let is_asked = self.undecided.get(life).is_some_and(|held| !held.accepts);
        let held = self.undecided.entry(life.clone()).or_default();
        held.requests.insert(request);
        if is_asked {
            return CrashCheck::Pending;
        }
        (held.since, held.accepts) = (now, false);
        CrashCheck::Start
    }

    /// Takes in that somebody accepts connections where a box is: it cut the answers and lives, or what
    /// stands before it does not know yet that it ended.
    pub fn accepts(&mut self, life: &BoxId) {
        if let Some(held) = self.undecided.get_mut(life) {
            held.accepts = true;
        }
    }

    /// Takes in that a box ended, and returns the requests whose answers it cut.
    pub fn ended(&mut self, life: &BoxId, now: Millis) -> Vec<Fingerprint> {
        self.forget(now);
        self.ended.insert(life.clone(), now);
        let held = self.undecided.remove(life).unwrap_or_default();
        held.requests.into_iter().collect()
    }

    /// Tells whether no box is waited for.
    pub fn is_empty(&self) -> bool {
        self.undecided.is_empty()
    }

    /// Lists the boxes that have ended by what is known of them: those that started again, and those
    /// whose entries are gone unless they accept connections.
    pub fn ended_by(&self, view: &SiteView) -> Vec<BoxId> {
        let has_ended = |(life, held): &(&BoxId, &Undecided)| {
            let is_gone = !view.boxes.contains_key(*life) || view.silent.contains(*life);
            view.has_started_again(life) || (is_gone && !held.accepts)
        };
        self.undecided.iter().filter(has_ended).map(|(life, _)| life.clone()).collect()
    }

    /// Returns how many boxes cut a request's answer and may have ended.
    pub fn undecided_of(&self, request: Fingerprint) -> usize {
        let held = self.undecided.values().filter(|held| !held.accepts);
        held.filter(|held| held.requests.contains(&request)).count()
    }

    fn forget(&mut self, now: Millis) {
        self.undecided.retain(|_, held| now.since(held.since) < UNDECIDED_FOR);
        self.ended.retain(|_, at| now.since(*at) < ENDED_FOR);
    }
}
