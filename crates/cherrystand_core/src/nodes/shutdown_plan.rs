//! Divides the grace period of a daemon that is shutting down, and decides what it still takes.

use crate::Millis;

/// The longest time that is reserved at the end of the grace period, to tell the callers of what is left
/// and to end.
const MAX_RESERVE: Millis = Millis(350);

/// In a short grace period, this fraction of it is reserved instead (1/8).
///
/// What still runs may be cut off only in the last sixth of the grace period.
const RESERVE_DIVISOR: u64 = 8;

/// The part of the reserve in which the last answers are written (1/2).
const CLOSING_DIVISOR: u64 = 2;

/// By how much a request may take longer than nearly all before it (1/8).
const MARGIN_DIVISOR: u64 = 8;

/// By how much a request may take longer at least.
const MIN_MARGIN: Millis = Millis(50);

/// The phases of a shutdown.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ShutdownPlan {
    /// How long the daemon goes on accepting connections, since load balancers still send some.
    pub linger: Millis,
    /// How long it then waits for its requests to finish.
    pub drain: Millis,
    /// How long it then writes the answers to those that have not finished.
    pub closing: Millis,
}

impl ShutdownPlan {
    /// Plans a shutdown within `grace`, with `linger` shortened if there is not enough time.
    pub fn new(grace: Millis, linger: Millis) -> Self {
        let reserve = MAX_RESERVE.min(Millis(grace.0 / RESERVE_DIVISOR));
        let closing = Millis(reserve.0 / CLOSING_DIVISOR);
        let usable = grace - reserve;
        let linger = linger.min(usable);
        Self { linger, drain: usable - linger, closing }
    }

    /// Returns how long after its beginning requests are cut off.
    pub fn cut_after(&self) -> Millis {
        self.linger + self.drain
    }
}

/// A request that is about to be sent on while the daemon is shutting down.
#[derive(Clone, Copy, Debug)]
pub struct LateRequest {
    /// The time until requests are cut off.
    pub until_cut: Millis,
    /// The time until the request's deadline, at which it is answered in any case.
    pub until_deadline: Millis,
    /// The time that nearly all requests to its service took, if any has been seen.
    pub usual_time: Option<Millis>,
    /// Whether load balancers may still send requests to this daemon.
    pub is_lingering: bool,
}

impl LateRequest {
    /// Returns whether it can be expected to have its answer before it is cut off. If not, another daemon
    /// can serve it.
    pub fn can_finish(&self) -> bool {
        if self.until_deadline <= self.until_cut {
            return true;
        }
        match self.usual_time {
            Some(usual) => {
                let margin = MIN_MARGIN.max(Millis(usual.0 / MARGIN_DIVISOR));
                usual + margin <= self.until_cut
            }
            None => self.is_lingering,
        }
    }
}
