//! How the answer to a stream ended.

/// Says how a stream ended for its caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StreamEnd {
    /// The caller got it whole.
    Whole,
    /// Its caller's time, or its route's, was over.
    DeadlinePassed,
    /// Its caller left, or the connection to it failed.
    CallerLeft,
    /// Endpoints broke it off, and it could not go on at another one.
    BrokenOff,
    /// Its replica was lost, and it could not go on at another one.
    ReplicaLost,
}

impl StreamEnd {
    /// Lists every way in which a stream can end.
    pub const ALL: [Self; 5] =
        [Self::Whole, Self::DeadlinePassed, Self::CallerLeft, Self::BrokenOff, Self::ReplicaLost];

    /// Returns the name that metrics and logs use.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Whole => "whole",
            Self::DeadlinePassed => "deadline-passed",
            Self::CallerLeft => "caller-left",
            Self::BrokenOff => "broken-off",
            Self::ReplicaLost => "replica-lost",
        }
    }
}
