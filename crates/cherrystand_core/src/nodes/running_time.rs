//! How long a daemon has been running, without pauses.

use crate::Millis;

/// Sums the time that a daemon has run, without the times during which its process or machine was
/// paused.
///
/// The clock advances during a pause. Messages that the daemon missed meanwhile must not count as
/// silence of others.
#[derive(Clone, Copy, Debug, Default)]
pub struct RunningTime {
    total: Millis,
    last: Option<Millis>,
}

impl RunningTime {
    /// How often a daemon calls [`RunningTime::record`].
    pub const TICK_INTERVAL: Millis = Millis(250);

    /// A gap of up to this length counts as running, since the processor is busy at times.
    pub const MAX_TICK_GAP: Millis = Millis(500);

    /// Records that the daemon is running.
    pub fn record(&mut self, now: Millis) {
        if let Some(last) = self.last {
            self.total = self.total + now.since(last).min(Self::MAX_TICK_GAP);
        }
        self.last = Some(now);
    }

    /// Returns the total running time.
    pub fn total(&self) -> Millis {
        self.total
    }
}
