//! Tombstones: the revisions at which keys were deleted.

use std::collections::{BTreeMap, VecDeque};

use crate::Revision;

/// How many tombstones are kept, the newest ones. At 100 bytes each they take 1.6 MB, and with
/// 1,900 boxes restarted or replaced a day they reach back eight days.
const MAX_TOMBSTONES: usize = 16_384;

/// Remembers the revisions at which keys were deleted, so that no older copy brings them back.
///
/// Of two written values the one with the later revision wins. A deletion needs a revision as well:
/// without it a copy from before, or from a peer that does not know of the deletion, would count as
/// new.
#[derive(Clone, Debug)]
pub struct Tombstones<K> {
    deleted_at: BTreeMap<K, Revision>,
    /// The same keys, the oldest first.
    by_age: VecDeque<K>,
}

impl<K> Default for Tombstones<K> {
    fn default() -> Self {
        Self { deleted_at: BTreeMap::new(), by_age: VecDeque::new() }
    }
}

impl<K: Ord + Clone> Tombstones<K> {
    /// Records that a key was deleted as of a revision.
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

    /// Moves all tombstones, except those of keys that exist, to a revision of a new era. A store
    /// that was restored from a backup lists deleted keys at old revisions, until their owners
    /// write again.
    pub fn advance_to_era(&mut self, deleted_at: Revision, exists: impl Fn(&K) -> bool) {
        for (key, held) in &mut self.deleted_at {
            if !exists(key) {
                *held = deleted_at.max(*held);
            }
        }
    }

    /// Returns whether a value of this revision has been deleted since.
    pub fn hides(&self, key: &K, revision: Revision) -> bool {
        self.deleted_at.get(key).is_some_and(|deleted_at| *deleted_at >= revision)
    }
}
