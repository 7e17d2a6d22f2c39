//! The store's record of requests that were at boxes as these ended.

use std::collections::BTreeSet;

use serde::{Deserialize, Serialize};

use crate::{BoxId, Fingerprint, SUSPECT_TTL};

/// How many requests the record holds at the most, some 200 bytes each; it goes to every daemon.
const MOST_RECORDED: usize = 128;

/// A time is written anew only once it is this much later, so that a request that keeps coming costs
/// one call of the store in half an hour.
const RENEWED_AFTER_MS: u64 = SUSPECT_TTL.0 / 2;

/// Trials that daemons tell of within this time are one, as their clocks and rounding have it.
const SAME_TRIAL_MS: u64 = 500;

/// What the record says of one request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SuspectEntry {
    /// The request.
    pub request: Fingerprint,
    /// The boxes that ended while they had it, those of one moment together.
    pub ended: Vec<BTreeSet<BoxId>>,
    /// Boxes that ended before it was served elsewhere, and so not by it.
    #[serde(default)]
    pub acquitted: BTreeSet<BoxId>,
    /// When it last ended a box or was refused, in Unix milliseconds.
    pub at: u64,
    /// How often it was tried though it is refused.
    #[serde(default)]
    pub trials: u32,
    /// When it was last tried, in Unix milliseconds; 0 where it was not.
    #[serde(default)]
    pub tried_at: u64,
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
        unix_ms.saturating_sub(self.at) < SUSPECT_TTL.0
    }

    /// Adds what a daemon knows beside, and tells whether that says anything new.
    fn merge(&mut self, own: &Self) -> bool {
        let before = self.clone();
        self.acquitted.extend(own.acquitted.iter().cloned());
        for lives in &own.ended {
            match self.ended.iter_mut().find(|known| !known.is_disjoint(lives)) {
                Some(known) => known.extend(lives.iter().cloned()),
                None => self.ended.push(lives.clone()),
            }
        }
        let acquitted = &self.acquitted;
        self.ended.iter_mut().for_each(|lives| lives.retain(|life| !acquitted.contains(life)));
        self.ended.retain(|lives| !lives.is_empty());
        // Clocks of daemons differ by less than what lies between two trials.
        let tried = own.tried_at > self.tried_at + SAME_TRIAL_MS;
        if tried {
            (self.trials, self.tried_at) = (own.trials, own.tried_at);
        }
        let renewed = own.at > self.at + RENEWED_AFTER_MS;
        self.at = self.at.max(own.at);
        tried || renewed || self.ended != before.ended || self.acquitted != before.acquitted
    }
}

impl SuspectRecord {
    /// Tells whether it names a request.
    pub(crate) fn names(&self, request: Fingerprint) -> bool {
        self.requests.iter().any(|entry| entry.request == request)
    }

    /// Returns it with what a daemon has to say beside, at the Unix time `unix_ms`; nothing where it says
    /// all that already.
    pub fn with(&self, own: &Self, unix_ms: u64) -> Option<Self> {
        let fresh = self.requests.iter().filter(|entry| entry.is_fresh(unix_ms));
        let mut next = Self { requests: fresh.cloned().collect() };
        let mut says_more = false;
        for entry in own.requests.iter().filter(|entry| entry.is_fresh(unix_ms)) {
            match next.requests.iter_mut().find(|known| known.request == entry.request) {
                Some(known) => says_more |= known.merge(entry),
                None if entry.ended.is_empty() => {}
                None => {
                    next.requests.push(entry.clone());
                    says_more = true;
                }
            }
        }
        next.shorten();
        // Where it has no room for what is new, nothing is written for that.
        (says_more && next != *self).then_some(next)
    }

    /// Drops the least suspected and oldest where it holds too many.
    fn shorten(&mut self) {
        if self.requests.len() <= MOST_RECORDED {
            return;
        }
        self.requests.sort_by_key(|entry| std::cmp::Reverse((entry.ended.len(), entry.at)));
        self.requests.truncate(MOST_RECORDED);
    }
}
