//! Until when boxes are cold.

use std::collections::BTreeMap;

use crate::requests::cold_life::LONGEST_COLD;
use crate::{BoxId, Millis};

/// A telling by which a box is cold for longer by no more than this says the same as the one before: each is some
/// time on its way.
const SAME: Millis = Millis(100);

/// Keeps until when boxes are cold, by the life of each, on the clock of the node that was told.
///
/// News takes its time, so that a box is cold no longer than it is held to be.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ColdBoxes {
    until: BTreeMap<BoxId, Millis>,
}

impl ColdBoxes {
    /// Takes in how much longer a box says that it is cold; tells whether that is news.
    ///
    /// The longest word holds until the box says that it is warm.
    pub fn record(&mut self, id: &BoxId, left: Millis, now: Millis) -> bool {
        let until = now + left.min(LONGEST_COLD);
        let held = self.until.get(id).copied();
        match held {
            None if left == Millis(0) => false,
            Some(held) if left == Millis(0) => {
                self.until.remove(id);
                held > now
            }
            Some(held) if until <= held + SAME => false,
            _ => {
                self.until.insert(id.clone(), until);
                true
            }
        }
    }

    /// Takes a box for cold for a while, unless it is longer; it is told otherwise by its next word.
    pub fn assume(&mut self, id: &BoxId, lasts: Millis, now: Millis) {
        let until = self.until.entry(id.clone()).or_default();
        *until = (now + lasts.min(LONGEST_COLD)).max(*until);
    }

    /// Forgets boxes that are cold no more; tells whether there were any.
    pub fn remove_expired(&mut self, now: Millis) -> bool {
        let before = self.until.len();
        self.until.retain(|_, until| now < *until);
        self.until.len() < before
    }

    /// Returns until when a box is cold, where it is.
    pub fn until(&self, id: &BoxId) -> Option<Millis> {
        self.until.get(id).copied()
    }

    /// Lists the boxes, and until when each is cold.
    pub fn iter(&self) -> impl Iterator<Item = (&BoxId, Millis)> {
        self.until.iter().map(|(id, until)| (id, *until))
    }

    /// Tells whether no box is cold.
    pub fn is_empty(&self) -> bool {
        self.until.is_empty()
    }
}
