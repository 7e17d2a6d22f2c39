//! Keeps until when boxes are cold, that is, take fewer requests after their start.

use std::collections::BTreeMap;

use crate::requests::cold_period::MAX_COLD_PERIOD;
use crate::{BoxId, Millis};

/// Reports that extend a cold period by no more than this change nothing: they differ only by their
/// time in transit.
const JITTER: Millis = Millis(100);

/// Keeps until when boxes are cold, by incarnation and on this node's clock.
///
/// Reports take time to arrive, so a box is never cold for longer than it is assumed to be.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ColdBoxes {
    until: BTreeMap<BoxId, Millis>,
}

impl ColdBoxes {
    /// Records how much longer a box says that it is cold, and returns whether that changes
    /// anything.
    ///
    /// The longest report holds until the box says that it is warm.
    pub fn record(&mut self, id: &BoxId, remaining: Millis, now: Millis) -> bool {
        let until = now + remaining.min(MAX_COLD_PERIOD);
        let known_until = self.until.get(id).copied();
        match known_until {
            None if remaining == Millis(0) => false,
            Some(known_until) if remaining == Millis(0) => {
                self.until.remove(id);
                known_until > now
            }
            Some(known_until) if until <= known_until + JITTER => false,
            _ => {
                self.until.insert(id.clone(), until);
                true
            }
        }
    }

    /// Assumes that a box is cold for at least the given time, until its next report says
    /// otherwise.
    pub fn assume(&mut self, id: &BoxId, duration: Millis, now: Millis) {
        let until = self.until.entry(id.clone()).or_default();
        *until = (now + duration.min(MAX_COLD_PERIOD)).max(*until);
    }

    /// Removes the boxes that are no longer cold, and returns whether there were any.
    pub fn remove_expired(&mut self, now: Millis) -> bool {
        let before = self.until.len();
        self.until.retain(|_, until| now < *until);
        self.until.len() < before
    }

    /// Returns until when a box is cold, if it is.
    pub fn until(&self, id: &BoxId) -> Option<Millis> {
        self.until.get(id).copied()
    }

    /// Lists the boxes, and until when each is cold.
    pub fn iter(&self) -> impl Iterator<Item = (&BoxId, Millis)> {
        self.until.iter().map(|(id, until)| (id, *until))
    }

    /// Returns whether no box is cold.
    pub fn is_empty(&self) -> bool {
        self.until.is_empty()
    }
}
