//! As of when keys are known to be gone.

use std::collections::{BTreeMap, VecDeque};

use crate::Revision;

/// How many keys that are gone are remembered, the newest; at 100 bytes each 1.6 MB, and at 1,900 boxes
/// restarted or replaced a day those of eight days.
const MAX_TOMBSTONES: usize = 16_384;

/// Keeps as of which revision keys are gone, so that no older copy brings them back.
///
/// What is written has a revision, and a later one goes before. What is gone needs one as well: without it a copy
/// from before, or from a peer that did not hear of the end, counts as news.
#[derive(Clone, Debug)]
pub struct Tombstones<K> {
    deleted_at: BTreeMap<K, Revision>,
    /// The same, the oldest first.
    by_age: VecDeque<K>,
}

impl<K> Default for Tombstones<K> {
    fn default() -> Self {
        Self { deleted_at: BTreeMap::new(), by_age: VecDeque::new() }
    }
}

impl<K: Ord + Clone> Tombstones<K> {
    /// Takes in that a key is gone as of a revision.
    pub fn insert(&mut self, key: &K, deleted_at: Revision) {
        if let Some(held) = self.deleted_at.get_mut(key) {
            *held = deleted_at.max(*held);
            return;
        }
        self.deleted_at.insert(key.clone(), deleted_at);
        self.by_age.push_back(key.clone());
        if self.by_age.len() > MAX_TOMBSTONES
            && let Some(oldest) = self.by_age.pop_front()
        {
            self.deleted_at.remove(&oldest);
        }
    }

    /// Takes in that all keys but those that are there are gone as of a revision of a new era: a copy of the store
    /// lists what was gone, at revisions of before, until whoever is there writes again.
    pub fn advance_to_era(&mut self, deleted_at: Revision, exists: impl Fn(&K) -> bool) {
        for (key, held) in &mut self.deleted_at {
            if !exists(key) {
                *held = deleted_at.max(*held);
            }
        }
    }

    /// Tells whether a value of this revision was gone later.
    pub fn hides(&self, key: &K, revision: Revision) -> bool {
        self.deleted_at.get(key).is_some_and(|deleted_at| *deleted_at >= revision)
    }
}
