//! The reasons for which a request is refused.

use serde::{Deserialize, Serialize};

use crate::Millis;

/// Says why a request was refused without being run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum RefusalReason {
    /// The request is malformed.
    BadRequest,
    /// The request is larger than allowed.
    TooLarge,
    /// No group serves the model or path.
    UnknownTarget,
    /// The node has reached its limit for the request's class.
    NodeFull,
    /// The workspace already has its share of a busy node.
    WorkspaceShare,
    /// The wait for an endpoint would outlast the deadline or the longest wait allowed.
    WaitTooLong,
    /// The group has no endpoint in service.
    NoneServing,
    /// The deadline passed before the request was sent.
    DeadlinePassed,
    /// Every endpoint tried was unreachable or refused.
    EndpointsFailed,
    /// The key of the call is in use or has been used.
    KeyInUse,
    /// The platform service that stores the keys does not answer.
    KeysOutOfReach,
    /// The node is cut off, and its configuration may be out of date.
    ConfigurationOld,
    /// The node is shutting down.
    Stopping,
    /// Each replica that ran the request crashed.
    EndsReplicas,
    /// Every endpoint that could serve the request has asked this node for a backoff.
    EndpointsRest,
}

impl RefusalReason {
    /// Lists every reason.
    pub const ALL: [Self; 15] = [
        Self::BadRequest,
        Self::TooLarge,
        Self::UnknownTarget,
        Self::NodeFull,
        Self::WorkspaceShare,
        Self::WaitTooLong,
        Self::NoneServing,
        Self::DeadlinePassed,
        Self::EndpointsFailed,
        Self::KeyInUse,
        Self::KeysOutOfReach,
        Self::ConfigurationOld,
        Self::Stopping,
        Self::EndsReplicas,
        Self::EndpointsRest,
    ];

    /// Returns the name that answers and metrics use.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::BadRequest => "bad-request",
            Self::TooLarge => "too-large",
            Self::UnknownTarget => "unknown-target",
            Self::NodeFull => "node-full",
            Self::WorkspaceShare => "workspace-share",
            Self::WaitTooLong => "wait-too-long",
            Self::NoneServing => "none-serving",
            Self::DeadlinePassed => "deadline-passed",
            Self::EndpointsFailed => "endpoints-failed",
            Self::KeyInUse => "key-in-use",
            Self::KeysOutOfReach => "keys-out-of-reach",
            Self::ConfigurationOld => "configuration-old",
            Self::Stopping => "stopping",
            Self::EndsReplicas => "ends-replicas",
            Self::EndpointsRest => "endpoints-rest",
        }
    }

    /// Returns the HTTP status that goes with the reason.
    pub fn status(self) -> u16 {
        match self {
            Self::BadRequest => 400,
            Self::TooLarge => 413,
            Self::UnknownTarget => 404,
            Self::KeyInUse => 409,
            Self::NodeFull | Self::WorkspaceShare | Self::WaitTooLong => 429,
            Self::DeadlinePassed => 504,
            // Earlier attempts may have run, so the status promises nothing about that.
            Self::EndpointsFailed | Self::EndsReplicas => 502,
            Self::NoneServing
            | Self::KeysOutOfReach
            | Self::ConfigurationOld
            | Self::Stopping
            | Self::EndpointsRest => 503,
        }
    }
}

/// A refusal, with the time after which the caller may retry.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Refusal {
    /// The reason.
    pub reason: RefusalReason,
    /// The time after which a retry makes sense; `None` if it never does.
    pub retry_after: Option<Millis>,
}

impl Refusal {
    /// Creates a refusal that a retry of the same request would meet again.
    pub fn final_for(reason: RefusalReason) -> Self {
        Self { reason, retry_after: None }
    }

    /// Creates a refusal after which the caller may retry.
    pub fn with_retry_after(reason: RefusalReason, span: Millis) -> Self {
        Self { reason, retry_after: Some(span) }
    }
}
