//! The stored record of requests that were in flight on boxes as these crashed.

use std::collections::BTreeSet;

use serde::{Deserialize, Serialize};

use crate::{BoxId, Fingerprint, SUSPECT_TTL};

/// The number of entries the record holds. Each takes about 200 bytes, and every daemon receives
/// the record.
const MAX_ENTRIES: usize = 128;

/// A newer activity time is written only if it is this much later.
const REFRESH_INTERVAL_MS: u64 = SUSPECT_TTL.0 / 2;

/// Two trial times that differ by less are the same trial, given clock differences and rounding.
const TRIAL_TIME_TOLERANCE_MS: u64 = 500;

/// The record's entry for one request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SuspectEntry {
    /// The request.
    pub request: Fingerprint,
    /// The boxes that crashed while running it, grouped by crashes at about the same time.
    #[serde(rename = "ended")]
    pub crash_groups: Vec<BTreeSet<BoxId>>,
    /// Boxes that crashed before it was served elsewhere, and so not because of it.
    #[serde(default, rename = "acquitted")]
    pub unrelated: BTreeSet<BoxId>,
    /// When it last crashed a box or was served, in Unix milliseconds.
    #[serde(rename = "at")]
    pub last_activity_ms: u64,
    /// How often it was tried while refused.
    #[serde(default)]
    pub trials: u32,
    /// When it was last tried, in Unix milliseconds; 0 if never.
    #[serde(default, rename = "tried_at")]
    pub last_trial_ms: u64,
}

/// Every daemon's shared knowledge of requests that crash boxes, kept in the platform's store.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct SuspectRecord {
    /// The entries, in no particular order.
    pub requests: Vec<SuspectEntry>,
}

impl SuspectEntry {
    /// Returns whether the entry is not yet expired at the Unix time `unix_ms`.
    pub(crate) fn is_fresh(&self, unix_ms: u64) -> bool {
        unix_ms.saturating_sub(self.last_activity_ms) < SUSPECT_TTL.0
    }

    /// Merges a daemon's own entry and returns whether the result has to be written.
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
        // Clocks of daemons differ by less than the time between two trials.
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
    /// Returns whether daemons may have written it: none writes more entries than [`MAX_ENTRIES`].
    pub fn is_bounded(&self) -> bool {
        self.requests.len() <= MAX_ENTRIES
    }

    /// Returns whether it has an entry for a request.
    pub(crate) fn contains(&self, request: Fingerprint) -> bool {
        self.requests.iter().any(|entry| entry.request == request)
    }

    /// Returns the record merged with a daemon's own one at the Unix time `unix_ms`, or `None` if
    /// that adds nothing.
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
        // If the record is full and the new entries were dropped again, there is nothing to write.
        (has_news && next != *self).then_some(next)
    }

    /// Drops the entries with the fewest crash groups, then the oldest, beyond [`MAX_ENTRIES`].
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
