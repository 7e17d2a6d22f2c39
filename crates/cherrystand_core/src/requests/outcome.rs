//! How a request or an attempt ended, as far as that can be known.

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
    /// Returns the name that the response header carries.
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
    /// The connection could not be established.
    ConnectFailed,
    /// The connection closed before a byte of the request was written.
    NotSent,
    /// The endpoint itself answered that it did not run the request, because it is full.
    Refused,
    /// The endpoint itself answered that it did not run the request, because it is not serving.
    NotServing,
    /// The connection failed after a byte of the request may have been written.
    CutBeforeAnswer,
    /// The endpoint did not begin its answer in time.
    TimedOut,
    /// The answer began and was interrupted.
    AnswerCut,
    /// The endpoint's replica is known to be lost, so its answer cannot arrive.
    ReplicaLost,
    /// A later attempt for the same request was answered first.
    Overtaken,
    /// An earlier attempt for the same request was answered first.
    NotNeeded,
    /// The caller disconnected before the answer was complete.
    CallerDisconnected,
    /// The whole answer arrived.
    Answered,
}

impl AttemptEnd {
    /// Lists every way in which an attempt can end.
    pub const ALL: [Self; 12] = [
        Self::ConnectFailed,
        Self::NotSent,
        Self::Refused,
        Self::NotServing,
        Self::CutBeforeAnswer,
        Self::TimedOut,
        Self::AnswerCut,
        Self::ReplicaLost,
        Self::Overtaken,
        Self::NotNeeded,
        Self::CallerDisconnected,
        Self::Answered,
    ];

    /// Returns what this end says about whether the request was run.
    ///
    /// The outcome is [`Outcome::NotRun`] only if no byte can have reached the endpoint, or if the
    /// endpoint said so itself.
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
            | Self::NotNeeded
            | Self::CallerDisconnected => Outcome::Unknown,
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
            Self::NotNeeded => "not-needed",
            Self::CallerDisconnected => "caller-left",
            Self::Answered => "answered",
        }
    }

    /// Returns whether the end counts as a failure of the endpoint.
    pub fn is_endpoint_failure(self) -> bool {
        !matches!(self, Self::Answered | Self::Refused) && !self.is_abandoned()
    }

    /// Returns whether the attempt was given up without evidence for or against the endpoint.
    pub fn is_abandoned(self) -> bool {
        matches!(self, Self::CallerDisconnected | Self::NotNeeded)
    }
}
