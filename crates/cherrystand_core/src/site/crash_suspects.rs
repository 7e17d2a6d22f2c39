//! Requests that were at boxes as these ended.
//!
//! A request that crashes whatever runs it comes again and is sent on like any other: without a memory of
//! it, one ended 25 replicas within 40 s, each of which took 12 to 16 s to mend.
//!
//! Source: docs/design/0018-requests-that-crash-replicas.md.

use std::collections::{BTreeMap, HashMap, VecDeque};

use crate::site::suspect::Suspect;
use crate::{BoxId, Fingerprint, Millis, SuspectEntry, SuspectRecord};

/// For how long a request is remembered after it last ended a box or was refused: one that comes more
/// seldom costs three replicas an hour.
pub const SUSPECT_TTL: Millis = Millis(3_600_000);

/// How many requests are remembered at the most, 300 bytes each.
const MOST_REMEMBERED: usize = 4_096;

/// A request that was served within this time ends no box: many callers send requests that are alike, such
/// as calls without a body, and some of these are at every box that ends.
const SERVED_LATELY: Millis = Millis(60_000);

/// How many requests are remembered to have been served, 40 bytes each; a daemon of the target size
/// serves 34 a second.
const MOST_SERVED: usize = 4_096;

/// For how long a trial is waited for at the most until the next begins: no route holds a request longer
/// than that and the time until an end of a box is found.
const TRIAL_LASTS: Millis = Millis(15_000);

/// From this many ends on a request stands in the store, so that a daemon that missed what peers told, or
/// starts later, knows of it.
const RECORDED_FROM: usize = 2;

/// A refused request that is being tried.
#[derive(Clone, Copy, Debug)]
struct OpenTrial {
    request: Fingerprint,
    since: Millis,
}

/// When a request was last served whole.
#[derive(Clone, Copy, Debug)]
struct Served {
    at: Millis,
    /// Whether it was this daemon that served it, and not a peer that said so.
    here: bool,
}

/// Keeps requests that were at boxes as these ended, and says which of them are sent no more.
///
/// What daemons know adds up as a union of boxes by request, whoever tells it and in whatever order.
#[derive(Clone, Debug, Default)]
pub struct CrashSuspects {
    held: BTreeMap<Fingerprint, Suspect>,
    /// Requests that were served whole, as far as this daemon knows.
    served: HashMap<Fingerprint, Served>,
    /// The same in the order of time, for forgetting.
    served_order: VecDeque<(Millis, Fingerprint)>,
    /// The one trial that is under way here.
    trial: Option<OpenTrial>,
}

impl CrashSuspects {
    /// Tells whether no request is remembered, so that none needs a fingerprint.
    pub fn is_empty(&self) -> bool {
        self.held.is_empty()
    }

    /// Tells whether a request was served a short while ago, by whichever daemon.
    pub fn was_served_lately(&self, request: Fingerprint, now: Millis) -> bool {
        self.served.get(&request).is_some_and(|served| now.since(served.at) < SERVED_LATELY)
    }

    /// Tells whether this daemon itself served a request a short while ago.
    pub fn served_lately_here(&self, request: Fingerprint, now: Millis) -> bool {
        let here = self.served.get(&request).is_some_and(|served| served.here);
        here && self.was_served_lately(request, now)
    }

    fn note_served(&mut self, request: Fingerprint, now: Millis, here: bool) {
        self.served.insert(request, Served { at: now, here });
        self.served_order.push_back((now, request));
        while self.served_order.len() > MOST_SERVED {
            let Some((at, oldest)) = self.served_order.pop_front() else { return };
            if self.served.get(&oldest).is_some_and(|served| served.at == at) {
                self.served.remove(&oldest);
            }
        }
    }

    /// Takes in that a box ended while it had a request, and returns at how many ends it was by now; none
    /// where it was served lately.
    pub fn ended(&mut self, life: &BoxId, request: Fingerprint, now: Millis) -> usize {
        if self.was_served_lately(request, now) {
            return 0;
        }
        self.decide_trial(request);
        self.make_room(request, now);
        let suspect = self.held.entry(request).or_default();
        if !suspect.has(life) {
            suspect.last = now;
            suspect.note(life, now);
        }
        suspect.ends()
    }

    /// Takes in that a request was served whole: the boxes that ended before did not end by it. Tells
    /// whether that says anything new.
    pub fn served(&mut self, request: Fingerprint, now: Millis) -> bool {
        self.note_served(request, now, true);
        self.acquit(request, now)
    }

    /// Takes in that a peer served a request lately. What it says is not passed on as this daemon's own word,
    /// or it would last for ever.
    pub fn served_by_peer(&mut self, request: Fingerprint, now: Millis) {
        if !self.was_served_lately(request, now) {
            self.note_served(request, now, false);
        }
        self.acquit(request, now);
    }

    /// Takes back all ends that a request was at, and tells whether there were any.
    fn acquit(&mut self, request: Fingerprint, now: Millis) -> bool {
        self.decide_trial(request);
        let Some(suspect) = self.held.get_mut(&request) else { return false };
        let is_news = !suspect.moments.is_empty();
        suspect.acquit();
        suspect.last = now;
        is_news
    }

    /// Returns at how many ends of boxes a request was, since it was last served.
    pub fn ends_of(&self, request: Fingerprint) -> usize {
        self.held.get(&request).map_or(0, Suspect::ends)
    }

    /// Tells whether a request is refused and nothing else explains its ends: no other request was at each of them.
    pub fn is_sole_cause(&self, request: Fingerprint) -> bool {
        let Some(suspect) = self.held.get(&request) else { return false };
        let mut others = self.held.iter().filter(|(other, _)| **other != request);
        suspect.is_refused() && !others.any(|(_, other)| suspect.is_explained_by(other))
    }

    /// Tells whether a request is to be refused, which keeps it remembered.
    pub fn refuses(&mut self, request: Fingerprint, now: Millis) -> bool {
        let Some(suspect) = self.held.get_mut(&request) else { return false };
        let refused = suspect.is_refused();
        if refused {
            (suspect.last, suspect.refused_at) = (now, now);
            suspect.refusals = suspect.refusals.saturating_add(1);
        }
        refused
    }

    /// Tells whether a refused request is to be tried now, and counts the trial; for the one daemon that
    /// tries them.
    ///
    /// One is tried at a time, the likeliest innocent first: that which was tried least, whose ends others
    /// explain, and which callers send most. Where its service `is_out`, so that nobody else is served, the
    /// first of several comes early.
    pub fn takes_trial(&mut self, request: Fingerprint, is_out: bool, now: Millis) -> bool {
        let is_open = self.trial.is_some_and(|trial| now.since(trial.since) < TRIAL_LASTS);
        if is_open || self.next_trial(is_out, now) != Some(request) {
            return false;
        }
        let Some(suspect) = self.held.get_mut(&request) else { return false };
        suspect.trials += 1;
        suspect.tried = now;
        self.trial = Some(OpenTrial { request, since: now });
        true
    }

    /// Returns which of the refused requests that come yet is tried next, where one is due.
    fn next_trial(&self, is_out: bool, now: Millis) -> Option<Fingerprint> {
        let waiting = self.held.iter().filter(|(_, suspect)| suspect.waits(now));
        let waiting: Vec<(Fingerprint, &Suspect)> =
            waiting.map(|(request, suspect)| (*request, suspect)).collect();
        let is_early = is_out && waiting.len() > 1;
        let due = waiting.iter().filter(|(_, suspect)| suspect.is_due(is_early, now));
        let innocence = |(request, suspect): &&(Fingerprint, &Suspect)| {
            let others = waiting.iter().filter(|(other, _)| other != request);
            let others: Vec<&Suspect> = others.map(|(_, suspect)| *suspect).collect();
            let often = std::cmp::Reverse(suspect.refusals);
            (suspect.trials, suspect.ends_alone(&others), often, *request)
        };
        due.min_by_key(innocence).map(|(request, _)| *request)
    }

    /// Returns the request that is being tried, where there is one.
    pub fn tried(&self) -> Option<Fingerprint> {
        self.trial.map(|trial| trial.request)
    }

    /// Tells whether a request is being tried.
    pub fn is_tried(&self, request: Fingerprint) -> bool {
        self.tried() == Some(request)
    }

    /// Takes in that a trial is over, of which nothing is known that decides it. One that was certainly not
    /// run counts as none.
    ///
    /// One that may have run counts: its box may be found to have ended seconds later, where something
    /// before it accepts connections, and the request was sent each second until then.
    pub fn trial_over(&mut self, request: Fingerprint, may_have_run: bool) {
        if !self.is_tried(request) {
            return;
        }
        self.trial = None;
        if let Some(suspect) = self.held.get_mut(&request).filter(|_| !may_have_run) {
            suspect.trials = suspect.trials.saturating_sub(1);
        }
    }

    fn decide_trial(&mut self, request: Fingerprint) {
        self.trial = self.trial.filter(|trial| trial.request != request);
    }

    /// Takes over what the store's record tells, at the Unix time `unix_ms`.
    pub fn take_record(&mut self, record: &SuspectRecord, unix_ms: u64, now: Millis) {
        for entry in record.requests.iter().filter(|entry| entry.is_fresh(unix_ms)) {
            self.make_room(entry.request, now);
            let suspect = self.held.entry(entry.request).or_default();
            suspect.last = suspect.last.max(now - Millis(unix_ms.saturating_sub(entry.at)));
            for life in &entry.acquitted {
                suspect.moments.iter_mut().for_each(|moment| _ = moment.lives.remove(life));
                suspect.acquitted.insert(life.clone());
            }
            suspect.moments.retain(|moment| !moment.lives.is_empty());
            // Another daemon may have tried it, and this one goes on where that has ended.
            let tried = now - Millis(unix_ms.saturating_sub(entry.tried_at));
            if entry.tried_at > 0 && tried > suspect.tried {
                (suspect.trials, suspect.tried) = (entry.trials, tried);
            }
            for lives in &entry.ended {
                suspect.take_moment(lives, now);
            }
            if self.was_served_lately(entry.request, now) {
                self.acquit(entry.request, now);
            }
        }
    }

    /// Returns what this daemon has to say beside the store's record, at the Unix time `unix_ms`. One
    /// that hears no peer is `alone` in telling of the first end of a request as well.
    pub fn to_record(
        &self,
        stands: &SuspectRecord,
        alone: bool,
        unix_ms: u64,
        now: Millis,
    ) -> SuspectRecord {
        let from = if alone { 1 } else { RECORDED_FROM };
        let told = self
            .held
            .iter()
            .filter(|(request, suspect)| suspect.ends() >= from || stands.names(**request));
        let entry = |(request, suspect): (&Fingerprint, &Suspect)| SuspectEntry {
            request: *request,
            ended: suspect.moments.iter().map(|moment| moment.lives.clone()).collect(),
            acquitted: suspect.acquitted.clone(),
            at: unix_ms.saturating_sub(now.since(suspect.last).0),
            trials: suspect.trials,
            tried_at: match suspect.tried {
                Millis(0) => 0,
                tried => unix_ms.saturating_sub(now.since(tried).0),
            },
        };
        SuspectRecord { requests: told.map(entry).collect() }
    }

    /// Forgets what is old, and what is least suspected where there is no room for another request.
    fn make_room(&mut self, request: Fingerprint, now: Millis) {
        if self.held.contains_key(&request) || self.held.len() < MOST_REMEMBERED {
            return;
        }
        self.held.retain(|_, suspect| now.since(suspect.last) < SUSPECT_TTL);
        if self.held.len() < MOST_REMEMBERED {
            return;
        }
        let weight =
            |(_, suspect): &(&Fingerprint, &Suspect)| (suspect.moments.len(), suspect.last);
        let least = self.held.iter().min_by_key(weight).map(|(request, _)| *request);
        least.map(|least| self.held.remove(&least));
    }

    /// Forgets requests that came no more for long.
    pub fn forget(&mut self, now: Millis) {
        self.held.retain(|_, suspect| now.since(suspect.last) < SUSPECT_TTL);
    }

    /// Returns how many requests are refused.
    pub fn refused(&self) -> usize {
        self.held.values().filter(|suspect| suspect.is_refused()).count()
    }
}
