//! How a stream ended.

use crate::Millis;

/// How long a caller must have stopped reading before an interrupted answer is attributed to it.
const MIN_CALLER_STALL: Millis = Millis(1_000);

/// How long after the caller resumed reading an interruption is still attributed to it.
const CALLER_STALL_WINDOW: Millis = Millis(5_000);

/// How a stream ended for its caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StreamEnd {
    /// The caller received it completely.
    Whole,
    /// The deadline of the caller or of the route passed.
    DeadlinePassed,
    /// The caller disconnected, or the connection to it failed.
    CallerDisconnected,
    /// The caller didn't read for so long that the endpoint broke the stream off.
    CallerSlow,
    /// Endpoints broke it off, and no other one could continue it.
    BrokenOff,
    /// Its replica was lost, and no other one could continue it.
    ReplicaLost,
}

impl StreamEnd {
    /// All ways in which a stream can end.
    pub const ALL: [Self; 6] = [
        Self::Whole,
        Self::DeadlinePassed,
        Self::CallerDisconnected,
        Self::CallerSlow,
        Self::BrokenOff,
        Self::ReplicaLost,
    ];

    /// Returns whether an endpoint broke an answer off because its caller had stopped reading.
    /// `resumed_at` is when the caller last continued to read after such a pause.
    ///
    /// Endpoints close an answer that nobody reads after a few seconds, and what they sent before
    /// arrives first. Such an end says nothing about the endpoint, and another one would repeat the
    /// work for the same caller.
    pub fn is_caused_by_slow_caller(resumed_at: Option<Millis>, now: Millis) -> bool {
        resumed_at.is_some_and(|at| now.since(at) < CALLER_STALL_WINDOW)
    }

    /// Returns whether a caller that took this long to read what it was given is stalling its
    /// answer.
    pub fn is_caller_stall(took: Millis) -> bool {
        took >= MIN_CALLER_STALL
    }

    /// Returns the name used in metrics and logs.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Whole => "whole",
            Self::DeadlinePassed => "deadline-passed",
            Self::CallerDisconnected => "caller-left",
            Self::CallerSlow => "caller-slow",
            Self::BrokenOff => "broken-off",
            Self::ReplicaLost => "replica-lost",
        }
    }
}
