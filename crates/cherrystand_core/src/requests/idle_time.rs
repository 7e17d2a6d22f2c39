//! How long an event loop waits because it has nothing to do.

use std::time::Duration;

/// The time over which the shortest wait is kept.
const FLOOR_TIME: Duration = Duration::from_secs(1);

/// The longest that a call for events takes by itself, also on a small part of a core.
const MAX_FLOOR: Duration = Duration::from_micros(500);

/// Sums the waits of an event loop, without what a wait takes when events are there already.
///
/// A loop that is never without work still asks for events at each turn. On a slow machine these
/// calls alone take a fifth of its time, so they count as work.
#[derive(Clone, Copy, Debug, Default)]
pub struct IdleTime {
    total: Duration,
    /// The shortest wait in this interval, and in the one before.
    shortest: [Option<Duration>; 2],
    interval_began: Duration,
}

impl IdleTime {
    /// Records a wait that ended at `now`.
    pub fn record(&mut self, now: Duration, waited: Duration) {
        if now.saturating_sub(self.interval_began) >= FLOOR_TIME {
            self.interval_began = now;
            self.shortest = [None, self.shortest[0]];
        }
        let shortest = self.shortest[0].map_or(waited, |shortest| shortest.min(waited));
        self.shortest[0] = Some(shortest);
        let floor = self.shortest[1].map_or(shortest, |before| before.min(shortest));
        self.total += waited - floor.min(MAX_FLOOR);
    }

    /// Returns the sum of all waits.
    pub fn total(&self) -> Duration {
        self.total
    }
}
