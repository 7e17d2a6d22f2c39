//! Endpoints that said that they leave.

use std::collections::{BTreeSet, VecDeque};

/// How many lives that leave are remembered, the newest; at 100 bytes each 1.6 MB, and at 1,900 boxes
/// restarted or replaced a day those of eight days.
const MAX_REMEMBERED: usize = 16_384;

/// Keeps which lives of endpoints leave: what has said so once takes nothing new any more, whatever its
/// entry says later.
#[derive(Clone, Debug)]
pub struct DrainingIncarnations<K> {
    incarnations: BTreeSet<K>,
    /// The same, the oldest first.
    by_age: VecDeque<K>,
}

impl<K> Default for DrainingIncarnations<K> {
    fn default() -> Self {
        Self { incarnations: BTreeSet::new(), by_age: VecDeque::new() }
    }
}

impl<K: Ord + Clone> DrainingIncarnations<K> {
    /// Takes in that an endpoint leaves, and tells whether that is new.
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

    /// Tells whether an endpoint leaves.
    pub fn contains(&self, id: &K) -> bool {
        self.incarnations.contains(id)
    }

    /// Tells whether none leaves.
    pub fn is_empty(&self) -> bool {
        self.incarnations.is_empty()
    }
}
