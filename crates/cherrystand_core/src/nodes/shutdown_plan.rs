//! Divides the grace period of a daemon that is shutting down.

use crate::Millis;

/// The longest time that is reserved at the end of the grace period to close what is left; it
/// covers a signal that is handled late.
const MAX_RESERVE: Millis = Millis(700);

/// In a short grace period, this fraction of it is reserved instead (1/8).
///
/// What still runs may be cut off only in the last sixth of the grace period; a fixed reserve of
/// 0.7 s in a grace period of 3 s cut answers 0.2 s before that.
const RESERVE_DIVISOR: u64 = 8;

/// The phases of a shutdown.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ShutdownPlan {
    /// How long the daemon goes on accepting requests, since load balancers still send some.
    pub linger: Millis,
    /// How long it then waits for its requests to finish.
    pub drain: Millis,
}

impl ShutdownPlan {
    /// Plans a shutdown within `grace`, with `linger` shortened if there is not enough time.
    pub fn new(grace: Millis, linger: Millis) -> Self {
        let reserve = MAX_RESERVE.min(Millis(grace.0 / RESERVE_DIVISOR));
        let usable = grace - reserve;
        let linger = linger.min(usable);
        Self { linger, drain: usable - linger }
    }
}
