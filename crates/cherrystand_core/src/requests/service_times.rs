//! How long the requests to a service take.

use std::collections::VecDeque;

use crate::Millis;

/// How many of the last requests are kept.
const MAX_KEPT: usize = 128;

/// Of so many requests one may take longer than the usual time.
const OUTLIERS_DIVISOR: usize = 64;

/// The times that the last requests to a service took, from when they were whole to the end of their
/// answers.
#[derive(Clone, Debug, Default)]
pub struct ServiceTimes {
    kept: VecDeque<Millis>,
}

impl ServiceTimes {
    /// Adds the time of one request.
    pub fn record(&mut self, took: Millis) {
        if self.kept.len() == MAX_KEPT {
            self.kept.pop_front();
        }
        self.kept.push_back(took);
    }

    /// Returns the time within which nearly all of the last requests had their answer, or `None` if there
    /// are none.
    pub fn usual(&self) -> Option<Millis> {
        let mut times: Vec<Millis> = self.kept.iter().copied().collect();
        times.sort_unstable();
        let outliers = times.len() / OUTLIERS_DIVISOR;
        times.len().checked_sub(outliers + 1).map(|index| times[index])
    }
}
