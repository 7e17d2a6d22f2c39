//! As of when keys are known to be gone.

use std::collections::{BTreeMap, VecDeque};

use crate::Revision;

/// How many keys that are gone are remembered, the newest; at 100 bytes each 1.6 MB, and at 1,900 boxes
/// restarted or replaced a day those of eight days.
const MOST_ABSENT: usize = 16_384;

/// Keeps as of which revision keys are gone, so that no older copy brings them back.
///
/// What is written has a revision, and a later one goes before. What is gone needs one as well: without it a copy
/// from before, or from a peer that did not hear of the end, counts as news.
#[derive(Clone, Debug)]
pub struct Tombstones<K> {
    as_of: BTreeMap<K, Revision>,
    /// The same, the oldest first.
    in_order: VecDeque<K>,
}

impl<K> Default for Tombstones<K> {
    fn default() -> Self {
        Self { as_of: BTreeMap::new(), in_order: VecDeque::new() }
    }
}

impl<K: Ord + Clone> Tombstones<K> {
    /// Takes in that a key is gone as of a revision.
    pub fn insert(&mut self, key: &K, as_of: Revision) {
        if let Some(held) = self.as_of.get_mut(key) {
            *held = as_of.max(*held);
            return;
        }
        self.as_of.insert(key.clone(), as_of);
        self.in_order.push_back(key.clone());
        if self.in_order.len() > MOST_ABSENT
            && let Some(oldest) = self.in_order.pop_front()
        {
            self.as_of.remove(&oldest);
        }
    }

    /// Takes in that all keys but those that are there are gone as of a revision of a new era: a copy of the store
    /// lists what was gone, at revisions of before, until whoever is there writes again.
    pub fn advance_to_era(&mut self, as_of: Revision, is_there: impl Fn(&K) -> bool) {
        for (key, held) in &mut self.as_of {
            if !is_there(key) {
                *held = as_of.max(*held);
            }
        }
    }

    /// Tells whether a value of this revision was gone later.
    pub fn hides(&self, key: &K, revision: Revision) -> bool {
        self.as_of.get(key).is_some_and(|as_of| *as_of >= revision)
    }
}
