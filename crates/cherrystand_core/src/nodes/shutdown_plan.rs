//! How a daemon that is told to stop shares out the time it is given.

use crate::Millis;

/// How much of its grace a stopping daemon keeps in hand at the most, to close what is left.
///
/// Source: chosen, not measured; it covers a signal that is handled late.
const MAX_RESERVE: Millis = Millis(700);

/// The part of a grace that is kept in hand where that is less.
///
/// What still runs may be cut in the last sixth of the grace only; a fixed 0.7 s of a grace of 3 s cut
/// answers 0.2 s before that.
const RESERVE_DIVISOR: u64 = 8;

/// Says how long a stopping daemon does what.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ShutdownPlan {
    /// For how long it goes on taking requests, as balancers still send some.
    pub linger: Millis,
    /// For how long after that it finishes those that it has.
    pub drain: Millis,
}

impl ShutdownPlan {
    /// Plans a stop within `grace`, lingering for `linger` where that leaves time.
    pub fn new(grace: Millis, linger: Millis) -> Self {
        let reserve = MAX_RESERVE.min(Millis(grace.0 / RESERVE_DIVISOR));
        let usable = grace - reserve;
        let linger = linger.min(usable);
        Self { linger, drain: usable - linger }
    }
}
