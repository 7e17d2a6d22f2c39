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
const MAX_SUSPECTS: usize = 4_096;

/// A request that was served within this time ends no box: many callers send requests that are alike, such
/// as calls without a body, and some of these are at every box that ends.
const SERVED_RECENTLY_WITHIN: Millis = Millis(60_000);

/// How many requests are remembered to have been served, 40 bytes each; a daemon of the target size
/// serves 34 a second.
const MAX_SERVED: usize = 4_096;

/// For how long a trial is waited for at the most until the next begins: no route holds a request longer
/// than that and the time until an end of a box is found.
const TRIAL_TIMEOUT: Millis = Millis(15_000);

/// From this many ends on a request stored in the store, so that a daemon that missed what peers entries, or
/// starts later, knows of it.
const MIN_RECORDED_CRASHES: usize = 2;

/// A refused request that is being tried.
#[derive(Clone, Copy, Debug)]
struct Trial {
    request: Fingerprint,
    started: Millis,
}

/// When a request was last served whole.
#[derive(Clone, Copy, Debug)]
struct Served {
    at: Millis,
    /// Whether it was this daemon that served it, and not a peer that said so.
    served_here: bool,
}

/// Keeps requests that were at boxes as these ended, and says which of them are sent no more.
///
/// What daemons know adds up as a union of boxes by request, whoever tells it and in whatever order.
#[derive(Clone, Debug, Default)]
pub struct CrashSuspects {
    suspects: BTreeMap<Fingerprint, Suspect>,
    /// Requests that were served whole, as far as this daemon knows.
    served: HashMap<Fingerprint, Served>,
    /// The same in the order of time, for forgetting.
    served_order: VecDeque<(Millis, Fingerprint)>,
    /// The one trial that is under way here.
    trial: Option<Trial>,
}

impl CrashSuspects {
    /// Tells whether no request is remembered, so that none needs a fingerprint.
    pub fn is_empty(&self) -> bool {
        self.suspects.is_empty()
    }

    /// Tells whether a request was served a short while ago, by whichever daemon.
    pub fn was_served_recently(&self, request: Fingerprint, now: Millis) -> bool {
        self.served
            .get(&request)
            .is_some_and(|served| now.since(served.at) < SERVED_RECENTLY_WITHIN)
    }

    /// Tells whether this daemon itself served a request a short while ago.
    pub fn was_served_here_recently(&self, request: Fingerprint, now: Millis) -> bool {
        let served_here = self.served.get(&request).is_some_and(|served| served.served_here);
        served_here && self.was_served_recently(request, now)
    }

    fn remember_served(&mut self, request: Fingerprint, now: Millis, served_here: bool) {
        self.served.insert(request, Served { at: now, served_here });
        self.served_order.push_back((now, request));
        while self.served_order.len() > MAX_SERVED {
            let Some((at, oldest)) = self.served_order.pop_front() else { return };
            if self.served.get(&oldest).is_some_and(|served| served.at == at) {
                self.served.remove(&oldest);
            }
        }
    }

    /// Takes in that a box ended while it had a request, and returns at how many ends it was by now; none
    /// where it was served lately.
    pub fn record_crash(&mut self, box_id: &BoxId, request: Fingerprint, now: Millis) -> usize {
        if self.was_served_recently(request, now) {
            return 0;
        }
        self.close_trial(request);
        self.make_room(request, now);
        let suspect = self.suspects.entry(request).or_default();
        if !suspect.knows_crash_of(box_id) {
            suspect.last_activity = now;
            suspect.add_crash(box_id, now);
        }
        suspect.crash_count()
    }

    /// Takes in that a request was served whole: the boxes that ended before did not end by it. Tells
    /// whether that says anything new.
    pub fn record_served(&mut self, request: Fingerprint, now: Millis) -> bool {
        self.remember_served(request, now, true);
        self.dismiss_crashes(request, now)
    }

    /// Takes in that a peer served a request lately. What it says is not passed on as this daemon's own word,
    /// or it would last for ever.
    pub fn record_served_by_peer(&mut self, request: Fingerprint, now: Millis) {
        if !self.was_served_recently(request, now) {
            self.remember_served(request, now, false);
        }
        self.dismiss_crashes(request, now);
    }

    /// Takes back all ends that a request was at, and tells whether there were any.
    fn dismiss_crashes(&mut self, request: Fingerprint, now: Millis) -> bool {
        self.close_trial(request);
        let Some(suspect) = self.suspects.get_mut(&request) else { return false };
        let is_news = !suspect.crash_groups.is_empty();
        suspect.dismiss_crashes();
        suspect.last_activity = now;
        is_news
    }

    /// Returns at how many ends of boxes a request was, since it was last served.
    pub fn crash_count(&self, request: Fingerprint) -> usize {
        self.suspects.get(&request).map_or(0, Suspect::crash_count)
    }

    /// Tells whether a request is refused and nothing else explains its ends: no other request was at each of them.
    pub fn is_sole_cause(&self, request: Fingerprint) -> bool {
        let Some(suspect) = self.suspects.get(&request) else { return false };
        let mut others = self.suspects.iter().filter(|(other, _)| **other != request);
        suspect.is_refused() && !others.any(|(_, other)| suspect.is_explained_by(other))
    }

    /// Tells whether a request is to be refused, which keeps it remembered.
    pub fn check_refused(&mut self, request: Fingerprint, now: Millis) -> bool {
        let Some(suspect) = self.suspects.get_mut(&request) else { return false };
        let refused = suspect.is_refused();
        if refused {
            (suspect.last_activity, suspect.last_refused) = (now, now);
            suspect.refusals = suspect.refusals.saturating_add(1);
        }
        refused
    }

    /// Tells whether a refused request is to be tried now, and counts the trial; for the one daemon that
    /// tries them.
    ///
    /// One is tried at a time, the likeliest innocent first: that which was tried least, whose ends others
    /// explain, and which callers send most. Where its service `is_service_down`, so that nobody else is served, the
    /// first of several comes early.
    pub fn try_start_trial(
        &mut self,
        request: Fingerprint,
        is_service_down: bool,
        now: Millis,
    ) -> bool {
        let is_open = self.trial.is_some_and(|trial| now.since(trial.started) < TRIAL_TIMEOUT);
        if is_open || self.next_trial(is_service_down, now) != Some(request) {
            return false;
        }
        let Some(suspect) = self.suspects.get_mut(&request) else { return false };
        suspect.trials += 1;
        suspect.last_trial = now;
        self.trial = Some(Trial { request, started: now });
        true
    }

    /// Returns which of the refused requests that come yet is tried next, where one is due.
    fn next_trial(&self, is_service_down: bool, now: Millis) -> Option<Fingerprint> {
        let waiting = self.suspects.iter().filter(|(_, suspect)| suspect.awaits_trial(now));
        let waiting: Vec<(Fingerprint, &Suspect)> =
            waiting.map(|(request, suspect)| (*request, suspect)).collect();
        let allows_early = is_service_down && waiting.len() > 1;
        let due = waiting.iter().filter(|(_, suspect)| suspect.is_trial_due(allows_early, now));
        let order = |(request, suspect): &&(Fingerprint, &Suspect)| {
            let others = waiting.iter().filter(|(other, _)| other != request);
            let others: Vec<&Suspect> = others.map(|(_, suspect)| *suspect).collect();
            let often = std::cmp::Reverse(suspect.refusals);
            (suspect.trials, suspect.unshared_crash_groups(&others), often, *request)
        };
        due.min_by_key(order).map(|(request, _)| *request)
    }

    /// Returns the request that is being tried, where there is one.
    pub fn trial_request(&self) -> Option<Fingerprint> {
        self.trial.map(|trial| trial.request)
    }

    /// Tells whether a request is being tried.
    pub fn is_trial_request(&self, request: Fingerprint) -> bool {
        self.trial_request() == Some(request)
    }

    /// Takes in that a trial is over, of which nothing is known that decides it. One that was certainly not
    /// run counts as none.
    ///
    /// One that may have run counts: its box may be found to have ended seconds later, where something
    /// before it accepts connections, and the request was sent each second until then.
    pub fn end_trial(&mut self, request: Fingerprint, may_have_run: bool) {
        if !self.is_trial_request(request) {
            return;
        }
        self.trial = None;
        if let Some(suspect) = self.suspects.get_mut(&request).filter(|_| !may_have_run) {
            suspect.trials = suspect.trials.saturating_sub(1);
        }
    }

    fn close_trial(&mut self, request: Fingerprint) {
        self.trial = self.trial.filter(|trial| trial.request != request);
    }

    /// Takes over what the store's record tells, at the Unix time `unix_ms`.
    pub fn merge_record(&mut self, record: &SuspectRecord, unix_ms: u64, now: Millis) {
        for entry in record.requests.iter().filter(|entry| entry.is_fresh(unix_ms)) {
            self.make_room(entry.request, now);
            let suspect = self.suspects.entry(entry.request).or_default();
            suspect.last_activity = suspect
                .last_activity
                .max(now - Millis(unix_ms.saturating_sub(entry.last_activity_ms)));
            for box_id in &entry.unrelated {
                suspect.crash_groups.iter_mut().for_each(|group| _ = group.boxes.remove(box_id));
                suspect.unrelated.insert(box_id.clone());
            }
            suspect.crash_groups.retain(|group| !group.boxes.is_empty());
            // Another daemon may have tried it, and this one goes on where that has ended.
            let tried = now - Millis(unix_ms.saturating_sub(entry.last_trial_ms));
            if entry.last_trial_ms > 0 && tried > suspect.last_trial {
                (suspect.trials, suspect.last_trial) = (entry.trials, tried);
            }
            for boxes in &entry.crash_groups {
                suspect.merge_crash_group(boxes, now);
            }
            if self.was_served_recently(entry.request, now) {
                self.dismiss_crashes(entry.request, now);
            }
        }
    }

    /// Returns what this daemon has to say beside the store's record, at the Unix time `unix_ms`. One
    /// that hears no peer is `alone` in telling of the first end of a request as well.
    pub fn to_record(
        &self,
        stored: &SuspectRecord,
        is_isolated: bool,
        unix_ms: u64,
        now: Millis,
    ) -> SuspectRecord {
        let from = if is_isolated { 1 } else { MIN_RECORDED_CRASHES };
        let entries = self.suspects.iter().filter(|(request, suspect)| {
            suspect.crash_count() >= from || stored.contains(**request)
        });
        let entry = |(request, suspect): (&Fingerprint, &Suspect)| SuspectEntry {
            request: *request,
            crash_groups: suspect.crash_groups.iter().map(|group| group.boxes.clone()).collect(),
            unrelated: suspect.unrelated.clone(),
            last_activity_ms: unix_ms.saturating_sub(now.since(suspect.last_activity).0),
            trials: suspect.trials,
            last_trial_ms: match suspect.last_trial {
                Millis(0) => 0,
                tried => unix_ms.saturating_sub(now.since(tried).0),
            },
        };
        SuspectRecord { requests: entries.map(entry).collect() }
    }

    /// Forgets what is old, and what is least suspected where there is no room for another request.
    fn make_room(&mut self, request: Fingerprint, now: Millis) {
        if self.suspects.contains_key(&request) || self.suspects.len() < MAX_SUSPECTS {
            return;
        }
        self.suspects.retain(|_, suspect| now.since(suspect.last_activity) < SUSPECT_TTL);
        if self.suspects.len() < MAX_SUSPECTS {
            return;
        }
        let weight = |(_, suspect): &(&Fingerprint, &Suspect)| {
            (suspect.crash_groups.len(), suspect.last_activity)
        };
        let least = self.suspects.iter().min_by_key(weight).map(|(request, _)| *request);
        least.map(|least| self.suspects.remove(&least));
    }

    /// Forgets requests that came no more for long.
    pub fn remove_expired(&mut self, now: Millis) {
        self.suspects.retain(|_, suspect| now.since(suspect.last_activity) < SUSPECT_TTL);
    }

    /// Returns how many requests are refused.
    pub fn refused_count(&self) -> usize {
        self.suspects.values().filter(|suspect| suspect.is_refused()).count()
    }
}
