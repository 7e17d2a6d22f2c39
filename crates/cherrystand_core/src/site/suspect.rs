//! What is remembered of one request that was at boxes as these ended.

use std::collections::BTreeSet;

use crate::{BoxId, Millis};

/// After this many ends a request is refused.
///
/// Fewer would refuse requests that met the losses of other causes: a request whose replica is lost is
/// sent to a second one, which may be lost by chance as well.
pub const MAX_CRASHES: usize = 3;

/// Boxes that end within this time have ended at one group: a cause of another kind, as the loss of a rack, ends
/// several at once, and so do copies of one request. Daemons hear of one end within 20 ms of each other.
const CRASH_GROUP_WINDOW: Millis = Millis(100);

/// For how many ends one group counts at the most, so that the loss of a rack alone refuses nothing.
///
/// Counted once, a request of which copies came five times a second ended six to eight replicas until it was
/// refused after the third group.
const MAX_CRASHES_PER_GROUP: usize = 2;

/// How many boxes are remembered that a request was served after, and how many that ended at one
/// group; what a peer tells may hold any number.
const MAX_BOXES: usize = 16;

/// How many crash_groups are remembered of one request; it is sent no more long before.
const MAX_CRASH_GROUPS: usize = 8;

/// How long after the last end a refused request is tried once more, as a circuit breaker that is half
/// open: without it requests that are alike stayed refused where all daemons had started anew and boxes
/// ended under three of them before one was served. Daemons have 3 to 5 s to know of the third end.
const FIRST_TRIAL_DELAY: Millis = Millis(6_000);

/// How many times as long it takes until the next trial: 6 s, 1 minute, 10 minutes, so that a request that
/// does end replicas ends three more in an hour.
const TRIAL_BACKOFF_FACTOR: u64 = 10;

/// How long after the last end the first of several refused requests is tried where nobody else of their
/// service is served: what was under way has ended by then, and whoever is innocent among them is served
/// again. While others are served, a trial so soon costs a replica and helps few.
///
/// Waiting as for a single one, the request that all callers of a service send alike was out for 6 s beside
/// two guilty ones, and for a minute where both trials met at one replica.
const EARLY_TRIAL_DELAY: Millis = Millis(1_000);

/// A request that was refused within this time comes yet, and may be tried.
const REFUSED_RECENTLY_WITHIN: Millis = Millis(2_000);

/// Boxes that ended at one group.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct CrashGroup {
    pub(crate) at: Millis,
    pub(crate) boxes: BTreeSet<BoxId>,
}

/// What is remembered of one request.
#[derive(Clone, Debug, Default)]
pub(crate) struct Suspect {
    pub(crate) crash_groups: Vec<CrashGroup>,
    /// Boxes that ended before the request was served whole elsewhere.
    pub(crate) unrelated: BTreeSet<BoxId>,
    /// When it last ended a box, was served or was refused.
    pub(crate) last_activity: Millis,
    /// How often it was tried though it is refused, and when it last was.
    pub(crate) trials: u32,
    pub(crate) last_trial: Millis,
    /// How often it came while it was refused, and when it last did.
    pub(crate) refusals: u32,
    pub(crate) last_refused: Millis,
}

impl Suspect {
    pub(crate) fn knows_crash_of(&self, box_id: &BoxId) -> bool {
        self.unrelated.contains(box_id)
            || self.crash_groups.iter().any(|group| group.boxes.contains(box_id))
    }

    /// Notes the end of a box that is not known of yet.
    pub(crate) fn add_crash(&mut self, box_id: &BoxId, now: Millis) {
        let has_room = self.crash_groups.len() < MAX_CRASH_GROUPS;
        let is_concurrent = |group: &&mut CrashGroup| now.since(group.at) <= CRASH_GROUP_WINDOW;
        match self.crash_groups.iter_mut().find(is_concurrent) {
            Some(group) if group.boxes.len() < MAX_BOXES => {
                group.boxes.insert(box_id.clone());
            }
            None if has_room => {
                self.crash_groups
                    .push(CrashGroup { at: now, boxes: BTreeSet::from([box_id.clone()]) });
            }
            _ => {}
        }
    }

    /// Returns at how many ends it was, as far as they count.
    pub(crate) fn crash_count(&self) -> usize {
        self.crash_groups.iter().map(|group| group.boxes.len().min(MAX_CRASHES_PER_GROUP)).sum()
    }

    pub(crate) fn is_refused(&self) -> bool {
        self.crash_count() >= MAX_CRASHES
    }

    /// Tells whether it is refused and comes yet.
    pub(crate) fn awaits_trial(&self, now: Millis) -> bool {
        self.is_refused()
            && self.refusals > 0
            && now.since(self.last_refused) < REFUSED_RECENTLY_WITHIN
    }

    /// Tells whether it may be tried by now; `allows_early` where it need not wait as a single one does.
    pub(crate) fn is_trial_due(&self, allows_early: bool, now: Millis) -> bool {
        let last_crash = self.crash_groups.iter().map(|group| group.at).max().unwrap_or_default();
        // An early one comes before all others.
        let earlier_trials = self.trials.saturating_add(u32::from(!allows_early));
        let delay_ms = match earlier_trials.checked_sub(1) {
            None => EARLY_TRIAL_DELAY.0,
            Some(trials) => {
                FIRST_TRIAL_DELAY.0.saturating_mul(TRIAL_BACKOFF_FACTOR.saturating_pow(trials))
            }
        };
        now.since(last_crash.max(self.last_trial)) >= Millis(delay_ms)
    }

    /// Returns at how many ends it was at which none of some others was.
    pub(crate) fn unshared_crash_groups(&self, others: &[&Self]) -> usize {
        let is_unshared = |group: &&CrashGroup| {
            let boxes = &group.boxes;
            !others.iter().any(|other| boxes.iter().any(|box_id| other.knows_crash_of(box_id)))
        };
        self.crash_groups.iter().filter(is_unshared).count()
    }

    /// Tells whether another request, which was not served since, was at each of its ends as well, and so may be the
    /// cause of all.
    pub(crate) fn is_explained_by(&self, other: &Self) -> bool {
        let is_shared =
            |box_id| other.crash_groups.iter().any(|group| group.boxes.contains(box_id));
        self.crash_groups.iter().all(|group| group.boxes.iter().any(is_shared))
    }

    pub(crate) fn dismiss_crashes(&mut self) {
        let boxes =
            std::mem::take(&mut self.crash_groups).into_iter().flat_map(|group| group.boxes);
        self.unrelated.extend(boxes);
        (self.trials, self.refusals) = (0, 0);
        while self.unrelated.len() > MAX_BOXES {
            self.unrelated.pop_first();
        }
    }

    /// Adds boxes that ended at one group by what others tell, unless they are known already.
    pub(crate) fn merge_crash_group(&mut self, boxes: &BTreeSet<BoxId>, now: Millis) {
        let unknown: BTreeSet<BoxId> =
            boxes.iter().filter(|box_id| !self.unrelated.contains(*box_id)).cloned().collect();
        if unknown.is_empty() {
            return;
        }
        let has_room = self.crash_groups.len() < MAX_CRASH_GROUPS;
        let known = self.crash_groups.iter_mut().find(|group| !group.boxes.is_disjoint(&unknown));
        match known {
            Some(group) => group.boxes.extend(unknown),
            None if !has_room => {}
            // What is told later by others is another group.
            None => self
                .crash_groups
                .push(CrashGroup { at: now - CRASH_GROUP_WINDOW - Millis(1), boxes: unknown }),
        }
    }
}
