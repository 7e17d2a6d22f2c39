//! In which era the platform's store is, as its answers tell.

use crate::Era;

/// What one answer of the store tells of its era.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReportedEra {
    /// Nothing, as a store that never came back from a copy.
    Missing,
    /// This era.
    Known(Era),
    /// What is no number.
    Invalid,
}

/// Keeps the latest era; answers come over several connections and overtake each other.
#[derive(Clone, Copy, Debug, Default)]
pub struct EraTracker {
    latest: Era,
    rejected: u64,
}

impl EraTracker {
    /// Returns the latest era.
    pub fn latest(&self) -> Era {
        self.latest
    }

    /// Takes in what an answer tells, and returns the era that it is of; nothing where that is an earlier one than is
    /// known, so that nothing of the answer holds any more.
    ///
    /// An answer that tells none, or what is no number, counts as of the latest one.
    pub fn observe(&mut self, reported: ReportedEra) -> Option<Era> {
        match reported {
            ReportedEra::Known(era) if era < self.latest => {
                self.rejected += 1;
                return None;
            }
            ReportedEra::Known(era) => self.latest = era,
            ReportedEra::Invalid => self.rejected += 1,
            ReportedEra::Missing => {}
        }
        Some(self.latest)
    }

    /// Takes in the era of a revision that is to be named to the store, and tells whether its number means there what
    /// it says; a later era was told by a peer that has heard of it first.
    pub fn is_current(&mut self, era: Era) -> bool {
        self.latest = self.latest.max(era);
        era == self.latest
    }

    /// Returns how many answers told an era that could not be used since the last call.
    pub fn take_rejected_count(&mut self) -> u64 {
        std::mem::take(&mut self.rejected)
    }
}
