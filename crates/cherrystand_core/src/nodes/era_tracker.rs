//! The era of the platform's store, as reported by its answers.

use crate::Era;

/// What one answer of the store reports about its era.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReportedEra {
    /// The answer reports none, like a store that has never been restored from a backup.
    Missing,
    /// The answer reports this era.
    Known(Era),
    /// The answer reports something that is not a number.
    Invalid,
}

/// Tracks the latest era. Answers arrive over several connections and can overtake each other.
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

    /// Records the era that an answer reports and returns the era that the answer belongs to.
    /// Returns `None` if that is earlier than the latest one, in which case the whole answer is out
    /// of date.
    ///
    /// An answer without a valid era counts as belonging to the latest one.
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

    /// Records the era of a revision that is about to be sent to the store, and returns whether the
    /// store will understand its number. If the era is later than the latest known one, a peer
    /// learned of it first.
    pub fn is_current(&mut self, era: Era) -> bool {
        self.latest = self.latest.max(era);
        era == self.latest
    }

    /// Returns how many answers since the last call reported an era that was rejected.
    pub fn take_rejected_count(&mut self) -> u64 {
        std::mem::take(&mut self.rejected)
    }
}
