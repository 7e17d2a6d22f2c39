//! How the answer to a stream ended.

use crate::Millis;

/// The least time for which a caller has to have held its answer up where that explains why it broke off.
const MIN_CALLER_STALL: Millis = Millis(1_000);

/// For how long after that it does.
const CALLER_STALL_EFFECT: Millis = Millis(5_000);

/// Says how a stream ended for its caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StreamEnd {
    /// The caller got it whole.
    Whole,
    /// Its caller's time, or its route's, was over.
    DeadlinePassed,
    /// Its caller left, or the connection to it failed.
    CallerLeft,
    /// Its caller took nothing for so long that the endpoint broke it off.
    CallerSlow,
    /// Endpoints broke it off, and it could not go on at another one.
    BrokenOff,
    /// Its replica was lost, and it could not go on at another one.
    ReplicaLost,
}

impl StreamEnd {
    /// Lists every way in which a stream can end.
    pub const ALL: [Self; 6] = [
        Self::Whole,
        Self::DeadlinePassed,
        Self::CallerLeft,
        Self::CallerSlow,
        Self::BrokenOff,
        Self::ReplicaLost,
    ];

    /// Tells whether an endpoint broke an answer off since its caller had taken nothing of it for a while;
    /// `stalled_at` is when the caller last took something after so long.
    ///
    /// Endpoints bear an answer that nobody reads for some seconds only, and what they had sent before arrives
    /// first. Such an end says nothing of the endpoint, and another one would do the same work for the same
    /// caller.
    pub fn is_caused_by_slow_caller(stalled_at: Option<Millis>, now: Millis) -> bool {
        stalled_at.is_some_and(|at| now.since(at) < CALLER_STALL_EFFECT)
    }

    /// Tells whether a caller that took so long for what it was given holds its answer up.
    pub fn is_caller_stall(took: Millis) -> bool {
        took >= MIN_CALLER_STALL
    }

    /// Returns the name that metrics and logs use.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Whole => "whole",
            Self::DeadlinePassed => "deadline-passed",
            Self::CallerLeft => "caller-left",
            Self::CallerSlow => "caller-slow",
            Self::BrokenOff => "broken-off",
            Self::ReplicaLost => "replica-lost",
        }
    }
}
