//! Endpoints that are leaving: they have announced that they are shutting down.

use std::collections::{BTreeSet, VecDeque};

/// How many leaving incarnations are remembered, the newest ones. At 100 bytes each they take 1.6
/// MB, and with 1,900 boxes restarted or replaced a day they reach back eight days.
const MAX_REMEMBERED: usize = 16_384;

/// Remembers which incarnations of endpoints are leaving. Once an incarnation has announced that it
/// is leaving, it is sent no new requests, whatever its entry in the store says later.
#[derive(Clone, Debug)]
pub struct LeavingIncarnations<K> {
    incarnations: BTreeSet<K>,
    /// The same incarnations, the oldest first.
    by_age: VecDeque<K>,
}

impl<K> Default for LeavingIncarnations<K> {
    fn default() -> Self {
        Self { incarnations: BTreeSet::new(), by_age: VecDeque::new() }
    }
}

impl<K: Ord + Clone> LeavingIncarnations<K> {
    /// Records that an endpoint is leaving; returns whether that is new.
    pub fn insert(&mut self, id: &K) -> bool {
        if !self.incarnations.insert(id.clone()) {
            return false;
        }
        self.by_age.push_back(id.clone());
        if self.by_age.len() > MAX_REMEMBERED
            && let Some(oldest) = self.by_age.pop_front()
        {
            self.incarnations.remove(&oldest);
        }
        true
    }

    /// Returns whether an endpoint is leaving.
    pub fn contains(&self, id: &K) -> bool {
        self.incarnations.contains(id)
    }

    /// Lists the endpoints that are leaving.
    pub fn iter(&self) -> impl Iterator<Item = &K> {
        self.incarnations.iter()
    }

    /// Returns whether no endpoint is leaving.
    pub fn is_empty(&self) -> bool {
        self.incarnations.is_empty()
    }
}
