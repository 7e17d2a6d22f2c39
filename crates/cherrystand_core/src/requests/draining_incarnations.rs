//! Endpoints that said that they leave.

use std::collections::{BTreeSet, VecDeque};

/// How many lives that leave are remembered, the newest; at 100 bytes each 1.6 MB, and at 1,900 boxes
/// restarted or replaced a day those of eight days.
const MOST_LEAVING: usize = 16_384;

/// Keeps which lives of endpoints leave: what has said so once takes nothing new any more, whatever its
/// entry says later.
#[derive(Clone, Debug)]
pub struct DrainingIncarnations<K> {
    lives: BTreeSet<K>,
    /// The same, the oldest first.
    in_order: VecDeque<K>,
}

impl<K> Default for DrainingIncarnations<K> {
    fn default() -> Self {
        Self { lives: BTreeSet::new(), in_order: VecDeque::new() }
    }
}

impl<K: Ord + Clone> DrainingIncarnations<K> {
    /// Takes in that an endpoint leaves, and tells whether that is new.
    pub fn insert(&mut self, id: &K) -> bool {
        if !self.lives.insert(id.clone()) {
            return false;
        }
        self.in_order.push_back(id.clone());
        if self.in_order.len() > MOST_LEAVING
            && let Some(oldest) = self.in_order.pop_front()
        {
            self.lives.remove(&oldest);
        }
        true
    }

    /// Tells whether an endpoint leaves.
    pub fn contains(&self, id: &K) -> bool {
        self.lives.contains(id)
    }

    /// Tells whether none leaves.
    pub fn is_empty(&self) -> bool {
        self.lives.is_empty()
    }
}
