//! Requests that were at boxes as these ended.

use std::collections::{BTreeMap, BTreeSet};

use crate::{BoxId, Fingerprint};

/// How many requests are remembered at the most, 200 bytes each.
const MOST_REMEMBERED: usize = 4_096;

/// Keeps at which boxes' ends requests were.
#[derive(Clone, Debug, Default)]
pub struct CrashSuspects {
    held: BTreeMap<Fingerprint, BTreeSet<BoxId>>,
}

impl CrashSuspects {
    /// Takes in that a box ended while it had a request, and returns at how many ends it was by now.
    pub fn ended(&mut self, life: &BoxId, request: Fingerprint) -> usize {
        if self.held.len() >= MOST_REMEMBERED {
            self.held.retain(|_, lives| lives.len() > 1);
        }
        let lives = self.held.entry(request).or_default();
        lives.insert(life.clone());
        lives.len()
    }
}
