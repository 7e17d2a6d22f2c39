//! Crash history of one request: the boxes that crashed while they were running it.

use std::collections::{BTreeMap, BTreeSet};

use crate::{BoxId, Millis};

/// A request is refused or confined once this many boxes have crashed while running it.
///
/// A lower limit would refuse requests whose boxes failed for other reasons: a request whose
/// replica is lost is retried on a second one, which may be lost by coincidence as well.
pub const MAX_CRASHES: usize = 3;

/// Boxes that crash within this time form one crash group. A common cause, such as the loss of a
/// rack, takes several boxes down at once, and so do copies of one request. Daemons learn of a
/// crash within 20 ms of each other.
const CRASH_GROUP_WINDOW: Millis = Millis(100);

/// How many crashes of one group count towards the limit, so that the loss of a rack alone refuses
/// nothing.
///
/// While each group counted as one crash, a request that arrived five times a second crashed six to
/// eight replicas before it was refused after the third group.
const MAX_CRASHES_PER_GROUP: usize = 2;

/// Bounds the boxes remembered per crash group and as unrelated to the request, because peers may
/// report any number.
const MAX_BOXES: usize = 16;

/// The number of crash groups remembered per request. A request is refused long before it reaches
/// it.
const MAX_CRASH_GROUPS: usize = 8;

/// How many boxes to which a suspect is confined have to crash for it to be refused while others run it
/// for longer than it took to crash boxes.
const CRASHES_THAT_PROVE_OUTLIVED: usize = 2;

/// By how much the times differ that one request takes to crash boxes, as a fraction.
const TIME_SPREAD: (u64, u64) = (9, 8);

/// How long after the last crash a refused request is tried again, like a half-open circuit
/// breaker. Without trials, a frequent harmless request stays refused if three boxes crash under it
/// before it is served once, for example just after all daemons were restarted. Daemons take 3 to 5
/// s to learn of the third crash.
const FIRST_TRIAL_DELAY: Millis = Millis(6_000);

/// The factor between two trial delays: 6 s, 1 minute, 10 minutes. A request that does crash
/// replicas then crashes three more in an hour.
const TRIAL_BACKOFF_FACTOR: u64 = 10;

/// The delay of the first trial if several requests of one service are refused and nothing else of
/// that service is served. Attempts already in flight have finished by then, and harmless requests
/// among the refused ones get served again. While others are served, a trial this early would cost
/// a replica for little gain.
///
/// With the regular delay, a request that all callers of a service send identically was refused for
/// 6 s alongside two requests that crash replicas, and for a minute if both trials ran on one
/// replica.
const EARLY_TRIAL_DELAY: Millis = Millis(1_000);

/// A request refused within this time is taken to be still arriving and may be tried.
const REFUSED_RECENTLY_WITHIN: Millis = Millis(2_000);

/// Boxes that crashed at about the same time.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct CrashGroup {
    pub(crate) at: Millis,
    pub(crate) boxes: BTreeSet<BoxId>,
}

impl CrashGroup {
    /// Returns how many of its crashes count.
    fn crash_count(&self) -> usize {
        self.boxes.len().min(MAX_CRASHES_PER_GROUP)
    }
}

/// What is remembered of one request, or of one part of prompts.
#[derive(Clone, Debug, Default)]
pub(crate) struct Suspect {
    pub(crate) crash_groups: Vec<CrashGroup>,
    /// Boxes that crashed before the request was served elsewhere, and so not because of it.
    pub(crate) unrelated: BTreeSet<BoxId>,
    /// When it last crashed a box, was served or was refused.
    pub(crate) last_activity: Millis,
    /// How often it was tried while refused, and when last.
    pub(crate) trials: u32,
    pub(crate) last_trial: Millis,
    /// How often it arrived while refused, and when last.
    pub(crate) refusals: u32,
    pub(crate) last_refused: Millis,
    /// How long it had run at boxes as these crashed.
    pub(crate) times: BTreeMap<BoxId, Millis>,
    /// Boxes that live and speak for it: they run it for longer than it took to crash the others.
    pub(crate) outlived_by: BTreeSet<BoxId>,
    /// Boxes that live and run it for longer than the quickest crash took.
    pub(crate) longer_at: BTreeSet<BoxId>,
    /// How many boxes crashed to which it was confined.
    pub(crate) crashes_where_confined: usize,
    /// Whether a daemon told of a crash of it, and not the store's record alone.
    pub(crate) is_witnessed: bool,
}

/// What is known of a suspect beside the number of its crashes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Testimony {
    /// Boxes crashed to which it was confined.
    CrashedWhereConfined,
    /// Boxes that live run it for longer than it took to crash the others.
    Outlived,
    /// None does, as far as this daemon knows.
    NotOutlived,
    /// Nobody told how long it took to crash boxes.
    Unknown,
    /// It stands in the store's record, and no daemon told of it.
    StoreOnly,
}

impl Suspect {
    pub(crate) fn knows_crash_of(&self, box_id: &BoxId) -> bool {
        self.unrelated.contains(box_id)
            || self.crash_groups.iter().any(|group| group.boxes.contains(box_id))
    }

    /// Adds the crash of a box that is not known yet.
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

    /// Returns how many boxes crashed while running it, with at most [`MAX_CRASHES_PER_GROUP`] per
    /// group.
    pub(crate) fn crash_count(&self) -> usize {
        self.crash_groups.iter().map(CrashGroup::crash_count).sum()
    }

    pub(crate) fn reaches_limit(&self) -> bool {
        self.crash_count() >= MAX_CRASHES
    }

    pub(crate) fn testimony(&self) -> Testimony {
        match self {
            _ if self.crashes_where_confined >= self.crashes_that_prove() => {
                Testimony::CrashedWhereConfined
            }
            Self { is_witnessed: false, .. } => Testimony::StoreOnly,
            _ if self.is_outlived() => Testimony::Outlived,
            _ if !self.times.is_empty() => Testimony::NotOutlived,
            _ => Testimony::Unknown,
        }
    }

    /// Returns whether boxes that live run it for longer than it took to crash others.
    pub(crate) fn is_outlived(&self) -> bool {
        !self.outlived_by.is_empty()
    }

    /// Returns how many boxes to which it is confined have to crash for it to be refused.
    fn crashes_that_prove(&self) -> usize {
        if self.is_outlived() { CRASHES_THAT_PROVE_OUTLIVED } else { 1 }
    }

    /// Records how long it had run at a box as that crashed; the longest of its attempts there counts.
    pub(crate) fn record_time(&mut self, box_id: &BoxId, ran: Millis) {
        let is_blamed = self.crash_groups.iter().any(|group| group.boxes.contains(box_id));
        if !is_blamed || self.times.len() >= MAX_BOXES {
            return;
        }
        let longest = self.times.entry(box_id.clone()).or_default();
        *longest = ran.max(*longest);
    }

    /// Records how long it has run at a box that lives, and returns whether the box speaks for it anew:
    /// alone where it runs it for longer than a crash typically took, and together with others where
    /// they do for longer than the quickest crash.
    pub(crate) fn record_running(&mut self, box_id: &BoxId, ran: Millis) -> bool {
        let is_longer = |time: Option<Millis>| {
            time.is_some_and(|time| ran.0 * TIME_SPREAD.1 > time.0 * TIME_SPREAD.0)
        };
        if is_longer(self.typical_time()) {
            return self.record_outlived(box_id);
        }
        let shortest = self.times.values().copied().min();
        if !is_longer(shortest) || self.knows_crash_of(box_id) {
            return false;
        }
        if self.longer_at.len() < MAX_BOXES {
            self.longer_at.insert(box_id.clone());
        }
        self.longer_at.len() >= MAX_CRASHES && self.record_outlived(box_id)
    }

    /// Records that a box that lives speaks for it, and returns whether that is new.
    pub(crate) fn record_outlived(&mut self, box_id: &BoxId) -> bool {
        !self.knows_crash_of(box_id)
            && self.outlived_by.len() < MAX_BOXES
            && self.outlived_by.insert(box_id.clone())
    }

    /// Returns the median of the times that it took to crash boxes, the lower one of two.
    fn typical_time(&self) -> Option<Millis> {
        let mut times: Vec<Millis> = self.times.values().copied().collect();
        times.sort_unstable();
        times.get(times.len().saturating_sub(1) / 2).copied()
    }

    /// Returns the longest time that it took to crash a box.
    pub(crate) fn longest_time(&self) -> Option<Millis> {
        self.times.values().copied().max()
    }

    /// Returns whether it is refused and still arriving.
    pub(crate) fn awaits_trial(&self, now: Millis) -> bool {
        self.reaches_limit()
            && self.refusals > 0
            && now.since(self.last_refused) < REFUSED_RECENTLY_WITHIN
    }

    /// Returns whether it may be tried now. With `allows_early`, the first trial comes after
    /// [`EARLY_TRIAL_DELAY`].
    pub(crate) fn is_trial_due(&self, allows_early: bool, now: Millis) -> bool {
        let last_crash = self.crash_groups.iter().map(|group| group.at).max().unwrap_or_default();
        // The early trial precedes the regular ones.
        let earlier_trials = self.trials.saturating_add(u32::from(!allows_early));
        let delay_ms = match earlier_trials.checked_sub(1) {
            None => EARLY_TRIAL_DELAY.0,
            Some(trials) => {
                FIRST_TRIAL_DELAY.0.saturating_mul(TRIAL_BACKOFF_FACTOR.saturating_pow(trials))
            }
        };
        now.since(last_crash.max(self.last_trial)) >= Millis(delay_ms)
    }

    /// Returns the number of its crash groups in which none of `others` was involved.
    pub(crate) fn unshared_crash_groups(&self, others: &[&Self]) -> usize {
        self.unshared(others).count()
    }

    /// Returns how many boxes crashed while running it in groups in which none of `others` was involved.
    pub(crate) fn unexplained_crash_count(&self, others: &[&Self]) -> usize {
        self.unshared(others).map(CrashGroup::crash_count).sum()
    }

    fn unshared<'a>(&'a self, others: &'a [&Self]) -> impl Iterator<Item = &'a CrashGroup> {
        self.crash_groups.iter().filter(|group| {
            let boxes = &group.boxes;
            !others.iter().any(|other| boxes.iter().any(|box_id| other.knows_crash_of(box_id)))
        })
    }

    /// Returns whether `other`, which has not been served since, was involved in each of its crash
    /// groups and so may have caused all of them.
    pub(crate) fn is_explained_by(&self, other: &Self) -> bool {
        let is_shared =
            |box_id| other.crash_groups.iter().any(|group| group.boxes.contains(box_id));
        self.crash_groups.iter().all(|group| group.boxes.iter().any(is_shared))
    }

    /// Marks all crashes so far as unrelated to the request, which was served.
    pub(crate) fn dismiss_crashes(&mut self) {
        let boxes =
            std::mem::take(&mut self.crash_groups).into_iter().flat_map(|group| group.boxes);
        self.unrelated.extend(boxes);
        (self.trials, self.refusals) = (0, 0);
        self.times.clear();
        self.outlived_by.clear();
        self.longer_at.clear();
        self.crashes_where_confined = 0;
        while self.unrelated.len() > MAX_BOXES {
            self.unrelated.pop_first();
        }
    }

    /// Merges a crash group reported by others, without the boxes already known to be unrelated.
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
            // Dated before the window, so that a crash recorded from now on starts a group of its
            // own.
            None => self
                .crash_groups
                .push(CrashGroup { at: now - CRASH_GROUP_WINDOW - Millis(1), boxes: unknown }),
        }
    }
}
