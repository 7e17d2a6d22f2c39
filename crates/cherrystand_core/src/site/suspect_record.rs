//! The store's record of requests that were at boxes as these ended.

use std::collections::BTreeSet;

use serde::{Deserialize, Serialize};

use crate::{BoxId, Fingerprint, SUSPECT_TTL};

/// How many requests the record holds at the most, some 200 bytes each; it goes to every daemon.
const MAX_ENTRIES: usize = 128;

/// A time is written anew only once it is this much later, so that a request that keeps coming costs
/// one call of the store in half an hour.
const REFRESH_INTERVAL_MS: u64 = SUSPECT_TTL.0 / 2;

/// Trials that daemons tell of within this time are one, as their clocks and rounding have it.
const TRIAL_TIME_TOLERANCE_MS: u64 = 500;

/// What the record says of one request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SuspectEntry {
    /// The request.
    pub request: Fingerprint,
    /// The boxes that ended while they had it, those of one moment together.
    #[serde(rename = "ended")]
    pub crash_groups: Vec<BTreeSet<BoxId>>,
    /// Boxes that ended before it was served elsewhere, and so not by it.
    #[serde(default, rename = "acquitted")]
    pub unrelated: BTreeSet<BoxId>,
    /// When it last ended a box or was refused, in Unix milliseconds.
    #[serde(rename = "at")]
    pub last_activity_ms: u64,
    /// How often it was tried though it is refused.
    #[serde(default)]
    pub trials: u32,
    /// When it was last tried, in Unix milliseconds; 0 where it was not.
    #[serde(default, rename = "tried_at")]
    pub last_trial_ms: u64,
}

/// What every daemon has to know of such requests, in the platform's store.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct SuspectRecord {
    /// The requests, in no order.
    pub requests: Vec<SuspectEntry>,
}

impl SuspectEntry {
    /// Tells whether it counts yet at the Unix time `unix_ms`.
    pub(crate) fn is_fresh(&self, unix_ms: u64) -> bool {
        unix_ms.saturating_sub(self.last_activity_ms) < SUSPECT_TTL.0
    }

    /// Adds what a daemon knows beside, and tells whether that says anything new.
    fn merge(&mut self, own: &Self) -> bool {
        let before = self.clone();
        self.unrelated.extend(own.unrelated.iter().cloned());
        for boxes in &own.crash_groups {
            match self.crash_groups.iter_mut().find(|known| !known.is_disjoint(boxes)) {
                Some(known) => known.extend(boxes.iter().cloned()),
                None => self.crash_groups.push(boxes.clone()),
            }
        }
        let unrelated = &self.unrelated;
        self.crash_groups
            .iter_mut()
            .for_each(|boxes| boxes.retain(|box_id| !unrelated.contains(box_id)));
        self.crash_groups.retain(|boxes| !boxes.is_empty());
        // Clocks of daemons differ by less than what lies between two trials.
        let is_new_trial = own.last_trial_ms > self.last_trial_ms + TRIAL_TIME_TOLERANCE_MS;
        if is_new_trial {
            (self.trials, self.last_trial_ms) = (own.trials, own.last_trial_ms);
        }
        let is_refreshed = own.last_activity_ms > self.last_activity_ms + REFRESH_INTERVAL_MS;
        self.last_activity_ms = self.last_activity_ms.max(own.last_activity_ms);
        is_new_trial
            || is_refreshed
            || self.crash_groups != before.crash_groups
            || self.unrelated != before.unrelated
    }
}

impl SuspectRecord {
    /// Tells whether it names a request.
    pub(crate) fn contains(&self, request: Fingerprint) -> bool {
        self.requests.iter().any(|entry| entry.request == request)
    }

    /// Returns it with what a daemon has to say beside, at the Unix time `unix_ms`; nothing where it says
    /// all that already.
    pub fn merged_with(&self, own: &Self, unix_ms: u64) -> Option<Self> {
        let fresh = self.requests.iter().filter(|entry| entry.is_fresh(unix_ms));
        let mut next = Self { requests: fresh.cloned().collect() };
        let mut has_news = false;
        for entry in own.requests.iter().filter(|entry| entry.is_fresh(unix_ms)) {
            match next.requests.iter_mut().find(|known| known.request == entry.request) {
                Some(known) => has_news |= known.merge(entry),
                None if entry.crash_groups.is_empty() => {}
                None => {
                    next.requests.push(entry.clone());
                    has_news = true;
                }
            }
        }
        next.truncate();
        // Where it has no room for what is new, nothing is written for that.
        (has_news && next != *self).then_some(next)
    }

    /// Drops the least suspected and oldest where it holds too many.
    fn truncate(&mut self) {
        if self.requests.len() <= MAX_ENTRIES {
            return;
        }
        self.requests.sort_by_key(|entry| {
            std::cmp::Reverse((entry.crash_groups.len(), entry.last_activity_ms))
        });
        self.requests.truncate(MAX_ENTRIES);
    }
}
