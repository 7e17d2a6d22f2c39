//! What became of a request, as far as it can be known.

use serde::{Deserialize, Serialize};

/// Says whether a request was run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Outcome {
    /// It was certainly not run, in whole or in part.
    NotRun,
    /// It was run.
    Ran,
    /// It may have been run, in whole or in part.
    Unknown,
}

impl Outcome {
    /// Returns the name that the answer's header carries.
    pub fn as_str(self) -> &'static str {
        match self {
            Outcome::NotRun => "not-run",
            Outcome::Ran => "ran",
            Outcome::Unknown => "unknown",
        }
    }
}

/// Says how one attempt at an endpoint ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum AttemptEnd {
    /// No connection came about.
    ConnectFailed,
    /// The connection closed before a byte of the request was written.
    NotSent,
    /// The endpoint itself answered that it did not run the request, for want of room.
    Refused,
    /// The endpoint itself answered that it did not run the request and does not serve.
    NotServing,
    /// The connection failed after a byte of the request may have been written.
    CutBeforeAnswer,
    /// The endpoint did not begin its answer in time.
    TimedOut,
    /// The answer began and broke off.
    AnswerCut,
    /// The endpoint's replica is known to be lost, and its answer cannot come.
    ReplicaLost,
    /// Another attempt for the same request was faster.
    Overtaken,
    /// The caller left before the answer was complete.
    CallerLeft,
    /// The whole answer came.
    Answered,
}

impl AttemptEnd {
    /// Lists every way in which an attempt can end.
    pub const ALL: [Self; 11] = [
        Self::ConnectFailed,
        Self::NotSent,
        Self::Refused,
        Self::NotServing,
        Self::CutBeforeAnswer,
        Self::TimedOut,
        Self::AnswerCut,
        Self::ReplicaLost,
        Self::Overtaken,
        Self::CallerLeft,
        Self::Answered,
    ];

    /// Returns what this end says about the request.
    ///
    /// Only an end at which no byte can have reached the endpoint, or at which the endpoint said
    /// so itself, is [`Outcome::NotRun`].
    pub fn outcome(self) -> Outcome {
        match self {
            Self::ConnectFailed | Self::NotSent | Self::Refused | Self::NotServing => {
                Outcome::NotRun
            }
            Self::CutBeforeAnswer
            | Self::TimedOut
            | Self::AnswerCut
            | Self::ReplicaLost
            | Self::Overtaken
            | Self::CallerLeft => Outcome::Unknown,
            Self::Answered => Outcome::Ran,
        }
    }

    /// Returns the name that metrics use.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::ConnectFailed => "connect-failed",
            Self::NotSent => "not-sent",
            Self::Refused => "refused-by-endpoint",
            Self::NotServing => "not-serving",
            Self::CutBeforeAnswer => "cut-before-answer",
            Self::TimedOut => "timed-out",
            Self::AnswerCut => "answer-cut",
            Self::ReplicaLost => "replica-lost",
            Self::Overtaken => "overtaken",
            Self::CallerLeft => "caller-left",
            Self::Answered => "answered",
        }
    }

    /// Tells whether the end speaks against the endpoint's health.
    pub fn is_endpoint_failure(self) -> bool {
        !matches!(self, Self::CallerLeft | Self::Answered | Self::Refused)
    }
}
