//! What operators are told when something cannot be done.

use cherrystand_core::{ConfirmError, PlanError, SettingsError, WorkspaceId};
use cherrystand_platform::PlatformError;
use hyper::StatusCode;
use serde_json::{Value, json};

/// Tells an operator why something was not done, or that it may have been.
#[derive(Debug, thiserror::Error)]
pub enum OperatorError {
    /// The configuration is at fault.
    #[error("{0}")]
    Settings(#[from] SettingsError),
    /// No plan can be made.
    #[error("{0}")]
    Plan(#[from] PlanError),
    /// The plan cannot be confirmed.
    #[error("{0}")]
    Confirm(#[from] ConfirmError),
    /// The platform did not answer, and nothing was changed.
    #[error("nothing was changed: {0}")]
    Platform(#[from] PlatformError),
    /// The change may have taken effect, or has and is not yet held by a majority.
    #[error(
        "the platform did not answer; the change may be in force: look at `cherrystand history`"
    )]
    OutcomeUnknown,
    /// This daemon is out of touch with too many others to accept a change.
    #[error(
        "this daemon hears {reachable} of {total} daemons and needs more than half to accept a change; \
         ask another one or wait"
    )]
    TooFewDaemons {
        /// How many it hears, itself included.
        reachable: usize,
        /// How many there are.
        total: usize,
    },
    /// Others kept changing the record.
    #[error("others keep changing workspace `{0}`; try again")]
    Contended(WorkspaceId),
    /// The record in the platform cannot be read.
    #[error("the record of workspace `{0}` is malformed; a newer daemon may have written it")]
    Malformed(WorkspaceId),
    /// The request cannot be understood.
    #[error("{0}")]
    BadRequest(&'static str),
    /// There is no such thing.
    #[error("there is no {what} `{name}`")]
    Unknown {
        /// What was asked for.
        what: &'static str,
        /// Its name.
        name: String,
    },
}

impl OperatorError {
    /// Returns the HTTP status that goes with the error.
    pub fn status(&self) -> StatusCode {
        match self {
            Self::Settings(_) | Self::Plan(_) | Self::BadRequest(_) => StatusCode::BAD_REQUEST,
            Self::Confirm(ConfirmError::UnknownPlan(_)) | Self::Unknown { .. } => {
                StatusCode::NOT_FOUND
            }
            Self::Confirm(ConfirmError::Conflict { .. }) | Self::Contended(_) => {
                StatusCode::CONFLICT
            }
            Self::Platform(_) | Self::TooFewDaemons { .. } | Self::Malformed(_) => {
                StatusCode::SERVICE_UNAVAILABLE
            }
            Self::OutcomeUnknown => StatusCode::GATEWAY_TIMEOUT,
        }
    }

    /// Returns the kind of error, for programs.
    pub fn kind(&self) -> &'static str {
        match self {
            Self::Settings(_) => "settings",
            Self::Plan(_) => "plan",
            Self::Confirm(ConfirmError::UnknownPlan(_)) => "unknown-plan",
            Self::Confirm(ConfirmError::Conflict { .. }) => "conflict",
            Self::Platform(_) => "platform",
            Self::OutcomeUnknown => "may-be-done",
            Self::TooFewDaemons { .. } => "too-few-daemons",
            Self::Contended(_) => "contended",
            Self::Malformed(_) => "malformed-record",
            Self::BadRequest(_) => "bad-request",
            Self::Unknown { .. } => "unknown",
        }
    }

    /// Returns the error as operators' programs read it.
    pub fn body(&self) -> Value {
        let (line, key) = match self {
            Self::Settings(err) => (err.line(), Some(err.key())),
            _ => (None, None),
        };
        json!({"error": {
            "kind": self.kind(), "message": self.to_string(), "line": line, "key": key,
        }})
    }
}
