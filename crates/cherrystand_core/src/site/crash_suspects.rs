//! Requests that were at boxes as these ended.
//!
//! A request that crashes whatever runs it comes again and is sent on like any other: without a memory of
//! it, one ended 25 replicas within 40 s, each of which took 12 to 16 s to mend.
//!
//! Source: docs/design/0018-requests-that-crash-replicas.md.

use std::collections::{BTreeMap, BTreeSet, HashMap, VecDeque};

use crate::{BoxId, Fingerprint, Millis, SuspectEntry, SuspectRecord};

/// After this many ends a request is refused.
///
/// Fewer would refuse requests that met the losses of other causes: a request whose replica is lost is
/// sent to a second one, which may be lost by chance as well.
pub const ENDS_BORNE: usize = 3;

/// Boxes that end within this time count once: one request is at one of them at a time, and whatever
/// ends several at once is another cause. Daemons hear of one end within 20 ms of each other.
const SAME_MOMENT: Millis = Millis(100);

/// For how long a request is remembered after it last ended a box or was refused: one that comes more
/// seldom costs three replicas an hour.
pub const REMEMBERED_FOR: Millis = Millis(3_600_000);

/// How many requests are remembered at the most, 300 bytes each.
const MOST_REMEMBERED: usize = 4_096;

/// How many boxes are remembered that a request was served after, and how many that ended at one
/// moment; what a peer tells may hold any number.
const MOST_LIVES: usize = 16;

/// How many moments are remembered of one request; it is sent no more long before.
const MOST_MOMENTS: usize = 8;

/// A request that was served within this time ends no box: many callers send requests that are alike, such
/// as calls without a body, and some of these are at every box that ends.
const SERVED_LATELY: Millis = Millis(60_000);

/// How many requests are remembered to have been served, 40 bytes each; a daemon of the target size
/// serves 34 a second.
const MOST_SERVED: usize = 4_096;

/// How long after the last end a refused request is tried once more, as a circuit breaker that is half
/// open: without it requests that are alike stayed refused where all daemons had started anew and boxes
/// ended under three of them before one was served. Daemons have 3 to 5 s to know of the third end.
const TRIED_AFTER: Millis = Millis(6_000);

/// How many times as long it takes until the next trial: 6 s, 1 minute, 10 minutes, so that a request that
/// does end replicas ends three more in an hour.
const NEXT_TRIAL: u64 = 10;

/// How long after the last end the first of several refused requests is tried: what was under way has
/// ended by then, and whoever is innocent among them is served again.
///
/// Waiting as for a single one, the request that all callers of a service send alike was out for 6 s beside
/// two guilty ones, and for a minute where both trials met at one replica.
const RIVALS_TRIED_AFTER: Millis = Millis(1_000);

/// A request that was refused within this time comes yet, and may be tried.
const COMES_YET: Millis = Millis(2_000);

/// For how long a trial is waited for at the most until the next begins: no route holds a request longer
/// than that and the time until an end of a box is found.
const TRIAL_LASTS: Millis = Millis(15_000);

/// From this many ends on a request stands in the store, so that a daemon that missed what peers told, or
/// starts later, knows of it.
const RECORDED_FROM: usize = 2;

/// Boxes that ended at one moment.
#[derive(Clone, Debug, PartialEq, Eq)]
struct Moment {
    at: Millis,
    lives: BTreeSet<BoxId>,
}

/// What is remembered of one request.
#[derive(Clone, Debug, Default)]
struct Suspect {
    moments: Vec<Moment>,
    /// Boxes that ended before the request was served whole elsewhere.
    acquitted: BTreeSet<BoxId>,
    /// When it last ended a box, was served or was refused.
    last: Millis,
    /// How often it was tried though it is refused, and when it last was.
    trials: u32,
    tried: Millis,
    /// How often it came while it was refused, and when it last did.
    refusals: u32,
    refused_at: Millis,
}

impl Suspect {
    fn has(&self, life: &BoxId) -> bool {
        self.acquitted.contains(life)
            || self.moments.iter().any(|moment| moment.lives.contains(life))
    }

    /// Notes the end of a box that is not known of yet.
    fn note(&mut self, life: &BoxId, now: Millis) {
        let has_room = self.moments.len() < MOST_MOMENTS;
        let at_once = |moment: &&mut Moment| now.since(moment.at) <= SAME_MOMENT;
        match self.moments.iter_mut().find(at_once) {
            Some(moment) if moment.lives.len() < MOST_LIVES => {
                moment.lives.insert(life.clone());
            }
            None if has_room => {
                self.moments.push(Moment { at: now, lives: BTreeSet::from([life.clone()]) });
            }
            _ => {}
        }
    }

    fn is_refused(&self) -> bool {
        self.moments.len() >= ENDS_BORNE
    }

    /// Tells whether it is refused and comes yet.
    fn waits(&self, now: Millis) -> bool {
        self.is_refused() && self.refusals > 0 && now.since(self.refused_at) < COMES_YET
    }

    /// Tells whether it may be tried by now, beside others that wait for the same or alone.
    fn is_due(&self, has_rivals: bool, now: Millis) -> bool {
        let ended = self.moments.iter().map(|moment| moment.at).max().unwrap_or_default();
        let wait = match (self.trials, has_rivals) {
            (0, true) => RIVALS_TRIED_AFTER.0,
            (trials, true) => TRIED_AFTER.0.saturating_mul(NEXT_TRIAL.saturating_pow(trials - 1)),
            (trials, false) => TRIED_AFTER.0.saturating_mul(NEXT_TRIAL.saturating_pow(trials)),
        };
        now.since(ended.max(self.tried)) >= Millis(wait)
    }

    /// Returns at how many ends it was at which none of some others was.
    fn ends_alone(&self, others: &[&Self]) -> usize {
        let is_alone = |moment: &&Moment| {
            let lives = &moment.lives;
            !others.iter().any(|other| lives.iter().any(|life| other.has(life)))
        };
        self.moments.iter().filter(is_alone).count()
    }

    fn acquit(&mut self) {
        let lives = std::mem::take(&mut self.moments).into_iter().flat_map(|moment| moment.lives);
        self.acquitted.extend(lives);
        (self.trials, self.refusals) = (0, 0);
        while self.acquitted.len() > MOST_LIVES {
            self.acquitted.pop_first();
        }
    }
}

/// A refused request that is being tried.
#[derive(Clone, Copy, Debug)]
struct Trial {
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
    trial: Option<Trial>,
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
        suspect.moments.len()
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
        self.held.get(&request).map_or(0, |suspect| suspect.moments.len())
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
    /// explain, and which callers send most.
    pub fn takes_trial(&mut self, request: Fingerprint, now: Millis) -> bool {
        let is_open = self.trial.is_some_and(|trial| now.since(trial.since) < TRIAL_LASTS);
        if is_open || self.next_trial(now) != Some(request) {
            return false;
        }
        let Some(suspect) = self.held.get_mut(&request) else { return false };
        suspect.trials += 1;
        suspect.tried = now;
        self.trial = Some(Trial { request, since: now });
        true
    }

    /// Returns which of the refused requests that come yet is tried next, where one is due.
    fn next_trial(&self, now: Millis) -> Option<Fingerprint> {
        let waiting = self.held.iter().filter(|(_, suspect)| suspect.waits(now));
        let waiting: Vec<(Fingerprint, &Suspect)> =
            waiting.map(|(request, suspect)| (*request, suspect)).collect();
        let has_rivals = waiting.len() > 1;
        let due = waiting.iter().filter(|(_, suspect)| suspect.is_due(has_rivals, now));
        let innocence = |(request, suspect): &&(Fingerprint, &Suspect)| {
            let others = waiting.iter().filter(|(other, _)| other != request);
            let others: Vec<&Suspect> = others.map(|(_, suspect)| *suspect).collect();
            let often = std::cmp::Reverse(suspect.refusals);
            (suspect.trials, suspect.ends_alone(&others), often, *request)
        };
        due.min_by_key(innocence).map(|(request, _)| *request)
    }

    /// Tells whether a request is being tried.
    pub fn is_tried(&self, request: Fingerprint) -> bool {
        self.trial.is_some_and(|trial| trial.request == request)
    }

    /// Takes in that a trial is over that showed nothing: no box ended, and no answer came whole. It counts
    /// as none.
    pub fn trial_showed_nothing(&mut self, request: Fingerprint) {
        if !self.is_tried(request) {
            return;
        }
        self.trial = None;
        if let Some(suspect) = self.held.get_mut(&request) {
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
                take_moment(suspect, lives, now);
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
            .filter(|(request, suspect)| suspect.moments.len() >= from || stands.names(**request));
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
        self.held.retain(|_, suspect| now.since(suspect.last) < REMEMBERED_FOR);
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
        self.held.retain(|_, suspect| now.since(suspect.last) < REMEMBERED_FOR);
    }

    /// Returns how many requests are refused.
    pub fn refused(&self) -> usize {
        self.held.values().filter(|suspect| suspect.is_refused()).count()
    }
}

/// Adds boxes that ended at one moment, unless they are known already.
fn take_moment(suspect: &mut Suspect, lives: &BTreeSet<BoxId>, now: Millis) {
    let unknown: BTreeSet<BoxId> =
        lives.iter().filter(|life| !suspect.acquitted.contains(*life)).cloned().collect();
    if unknown.is_empty() {
        return;
    }
    let has_room = suspect.moments.len() < MOST_MOMENTS;
    let known = suspect.moments.iter_mut().find(|moment| !moment.lives.is_disjoint(&unknown));
    match known {
        Some(moment) => moment.lives.extend(unknown),
        None if !has_room => {}
        // What is told later by others is another moment.
        None => suspect.moments.push(Moment { at: now - SAME_MOMENT - Millis(1), lives: unknown }),
    }
}
