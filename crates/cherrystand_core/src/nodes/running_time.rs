//! For how long a daemon has been awake.

use crate::Millis;

/// Sums the time for which a daemon has run, without the spans for which it or its machine stood still.
///
/// Clocks go on meanwhile. What a daemon did not hear while it stood still is nobody's silence but its own.
#[derive(Clone, Copy, Debug, Default)]
pub struct RunningTime {
    total: Millis,
    last: Option<Millis>,
}

impl RunningTime {
    /// How often a daemon says that it is awake, in milliseconds.
    pub const TICK_INTERVAL: Millis = Millis(250);

    /// A gap of up to this length counts as awake: the processor is busy at times.
    pub const MAX_TICK_GAP: Millis = Millis(500);

    /// Notes that the daemon is awake.
    pub fn record(&mut self, now: Millis) {
        if let Some(last) = self.last {
            self.total = self.total + now.since(last).min(Self::MAX_TICK_GAP);
        }
        self.last = Some(now);
    }

    /// Returns for how long it has been.
    pub fn total(&self) -> Millis {
        self.total
    }
}
