//! What is remembered of one request that was at boxes as these ended.

use std::collections::BTreeSet;

use crate::{BoxId, Millis};

/// After this many ends a request is refused.
///
/// Fewer would refuse requests that met the losses of other causes: a request whose replica is lost is
/// sent to a second one, which may be lost by chance as well.
pub const MAX_CRASHES: usize = 3;

/// Boxes that end within this time have ended at one moment: a cause of another kind, as the loss of a rack, ends
/// several at once, and so do copies of one request. Daemons hear of one end within 20 ms of each other.
const SAME_MOMENT: Millis = Millis(100);

/// For how many ends one moment counts at the most, so that the loss of a rack alone refuses nothing.
///
/// Counted once, a request of which copies came five times a second ended six to eight replicas until it was
/// refused after the third moment.
const ENDS_OF_A_MOMENT: usize = 2;

/// How many boxes are remembered that a request was served after, and how many that ended at one
/// moment; what a peer tells may hold any number.
const MOST_LIVES: usize = 16;

/// How many moments are remembered of one request; it is sent no more long before.
const MOST_MOMENTS: usize = 8;

/// How long after the last end a refused request is tried once more, as a circuit breaker that is half
/// open: without it requests that are alike stayed refused where all daemons had started anew and boxes
/// ended under three of them before one was served. Daemons have 3 to 5 s to know of the third end.
const TRIED_AFTER: Millis = Millis(6_000);

/// How many times as long it takes until the next trial: 6 s, 1 minute, 10 minutes, so that a request that
/// does end replicas ends three more in an hour.
const NEXT_TRIAL: u64 = 10;

/// How long after the last end the first of several refused requests is tried where nobody else of their
/// service is served: what was under way has ended by then, and whoever is innocent among them is served
/// again. While others are served, a trial so soon costs a replica and helps few.
///
/// Waiting as for a single one, the request that all callers of a service send alike was out for 6 s beside
/// two guilty ones, and for a minute where both trials met at one replica.
const RIVALS_TRIED_AFTER: Millis = Millis(1_000);

/// A request that was refused within this time comes yet, and may be tried.
const COMES_YET: Millis = Millis(2_000);

/// Boxes that ended at one moment.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Moment {
    pub(crate) at: Millis,
    pub(crate) lives: BTreeSet<BoxId>,
}

/// What is remembered of one request.
#[derive(Clone, Debug, Default)]
pub(crate) struct Suspect {
    pub(crate) moments: Vec<Moment>,
    /// Boxes that ended before the request was served whole elsewhere.
    pub(crate) acquitted: BTreeSet<BoxId>,
    /// When it last ended a box, was served or was refused.
    pub(crate) last: Millis,
    /// How often it was tried though it is refused, and when it last was.
    pub(crate) trials: u32,
    pub(crate) tried: Millis,
    /// How often it came while it was refused, and when it last did.
    pub(crate) refusals: u32,
    pub(crate) refused_at: Millis,
}

impl Suspect {
    pub(crate) fn has(&self, life: &BoxId) -> bool {
        self.acquitted.contains(life)
            || self.moments.iter().any(|moment| moment.lives.contains(life))
    }

    /// Notes the end of a box that is not known of yet.
    pub(crate) fn note(&mut self, life: &BoxId, now: Millis) {
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

    /// Returns at how many ends it was, as far as they count.
    pub(crate) fn ends(&self) -> usize {
        self.moments.iter().map(|moment| moment.lives.len().min(ENDS_OF_A_MOMENT)).sum()
    }

    pub(crate) fn is_refused(&self) -> bool {
        self.ends() >= MAX_CRASHES
    }

    /// Tells whether it is refused and comes yet.
    pub(crate) fn waits(&self, now: Millis) -> bool {
        self.is_refused() && self.refusals > 0 && now.since(self.refused_at) < COMES_YET
    }

    /// Tells whether it may be tried by now; `is_early` where it need not wait as a single one does.
    pub(crate) fn is_due(&self, is_early: bool, now: Millis) -> bool {
        let ended = self.moments.iter().map(|moment| moment.at).max().unwrap_or_default();
        // An early one comes before all others.
        let earlier = self.trials.saturating_add(u32::from(!is_early));
        let wait = match earlier.checked_sub(1) {
            None => RIVALS_TRIED_AFTER.0,
            Some(trials) => TRIED_AFTER.0.saturating_mul(NEXT_TRIAL.saturating_pow(trials)),
        };
        now.since(ended.max(self.tried)) >= Millis(wait)
    }

    /// Returns at how many ends it was at which none of some others was.
    pub(crate) fn ends_alone(&self, others: &[&Self]) -> usize {
        let is_alone = |moment: &&Moment| {
            let lives = &moment.lives;
            !others.iter().any(|other| lives.iter().any(|life| other.has(life)))
        };
        self.moments.iter().filter(is_alone).count()
    }

    /// Tells whether another request, which was not served since, was at each of its ends as well, and so may be the
    /// cause of all.
    pub(crate) fn is_explained_by(&self, other: &Self) -> bool {
        let was_there = |life| other.moments.iter().any(|moment| moment.lives.contains(life));
        self.moments.iter().all(|moment| moment.lives.iter().any(was_there))
    }

    pub(crate) fn acquit(&mut self) {
        let lives = std::mem::take(&mut self.moments).into_iter().flat_map(|moment| moment.lives);
        self.acquitted.extend(lives);
        (self.trials, self.refusals) = (0, 0);
        while self.acquitted.len() > MOST_LIVES {
            self.acquitted.pop_first();
        }
    }

    /// Adds boxes that ended at one moment by what others tell, unless they are known already.
    pub(crate) fn take_moment(&mut self, lives: &BTreeSet<BoxId>, now: Millis) {
        let unknown: BTreeSet<BoxId> =
            lives.iter().filter(|life| !self.acquitted.contains(*life)).cloned().collect();
        if unknown.is_empty() {
            return;
        }
        let has_room = self.moments.len() < MOST_MOMENTS;
        let known = self.moments.iter_mut().find(|moment| !moment.lives.is_disjoint(&unknown));
        match known {
            Some(moment) => moment.lives.extend(unknown),
            None if !has_room => {}
            // What is told later by others is another moment.
            None => self.moments.push(Moment { at: now - SAME_MOMENT - Millis(1), lives: unknown }),
        }
    }
}
