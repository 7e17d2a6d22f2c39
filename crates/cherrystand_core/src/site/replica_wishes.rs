//! What replicas ask of this node: to be left alone for a while, or for good.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use crate::{BoxId, Millis};

/// The longest rest that is taken.
///
/// A rest lets a queue drain, which takes seconds; what lasts longer is a planned end, which a box says
/// otherwise. One that asks for more is asked again after this, once a time.
pub const LONGEST_REST: Millis = Millis(600_000);

/// How many lives that leave are remembered, the newest; at 100 bytes each 1.6 MB, and at 1,900 boxes
/// restarted or replaced a day those of eight days.
const MOST_LEAVING: usize = 16_384;

/// Keeps what replicas asked of this node, by the life of their leaders.
///
/// It is kept apart from the list of endpoints: an entry may go and come back within a rest.
#[derive(Clone, Debug, Default)]
pub struct ReplicaWishes {
    rests: BTreeMap<BoxId, Millis>,
    leaving: BTreeSet<BoxId>,
    leaving_since: VecDeque<BoxId>,
}

impl ReplicaWishes {
    /// Takes in that a replica asked for rest just now, and returns until when it has it.
    ///
    /// A later wish never shortens an earlier one.
    pub fn hear_rest(&mut self, id: &BoxId, asked: Millis, now: Millis) -> Millis {
        let until = now + asked.min(LONGEST_REST);
        let held = self.rests.entry(id.clone()).or_default();
        *held = until.max(*held);
        *held
    }

    /// Takes in that a replica leaves, and tells whether that is new.
    pub fn hear_leaving(&mut self, id: &BoxId) -> bool {
        if !self.leaving.insert(id.clone()) {
            return false;
        }
        self.leaving_since.push_back(id.clone());
        if self.leaving_since.len() > MOST_LEAVING
            && let Some(oldest) = self.leaving_since.pop_front()
        {
            self.leaving.remove(&oldest);
        }
        true
    }

    /// Returns until when a replica rests; nothing where it does not.
    pub fn rests_until(&self, id: &BoxId, now: Millis) -> Option<Millis> {
        self.rests.get(id).copied().filter(|until| now < *until)
    }

    /// Tells whether a replica said that it leaves.
    pub fn is_leaving(&self, id: &BoxId) -> bool {
        self.leaving.contains(id)
    }

    /// Forgets rests that are over.
    pub fn forget(&mut self, now: Millis) {
        self.rests.retain(|_, until| now < *until);
    }
}
