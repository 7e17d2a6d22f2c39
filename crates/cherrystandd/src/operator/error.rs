//! Errors of operators' calls.

use cherrystand_core::{ConfirmError, PlanError, SettingsError, WorkspaceId};
use cherrystand_platform::PlatformError;
use hyper::StatusCode;
use serde_json::{Value, json};

/// Why a call of an operator failed, or that its outcome is unknown.
#[derive(Debug, thiserror::Error)]
pub enum OperatorError {
    /// The configuration is invalid.
    #[error("{0}")]
    Settings(#[from] SettingsError),
    /// No plan can be made for the configuration.
    #[error("{0}")]
    Plan(#[from] PlanError),
    /// The plan cannot be confirmed.
    #[error("{0}")]
    Confirm(#[from] ConfirmError),
    /// The platform did not answer, and nothing was changed.
    #[error("nothing was changed: {0}")]
    Platform(#[from] PlatformError),
    /// The change may have taken effect, or it has but no majority of the daemons has it yet.
    #[error(
        "the platform did not answer; the change may be in force: look at `cherrystand history`"
    )]
    OutcomeUnknown,
    /// This daemon has contact with too few others to accept a change.
    #[error(
        "this daemon reaches {reachable} of {total} daemons and needs more than half to accept a \
         change; ask another one or wait"
    )]
    TooFewDaemons {
        /// How many daemons it has contact with, including itself.
        reachable: usize,
        /// How many daemons there are.
        total: usize,
    },
    /// Concurrent changes to the record won every attempt.
    #[error("others keep changing workspace `{0}`; try again")]
    Contended(WorkspaceId),
    /// The record in the platform's store cannot be parsed.
    #[error("the record of workspace `{0}` is malformed; a newer daemon may have written it")]
    Malformed(WorkspaceId),
    /// The request's body is invalid.
    #[error("{0}")]
    BadRequest(&'static str),
    /// The named thing does not exist.
    #[error("there is no {what} `{name}`")]
    Unknown {
        /// The kind of thing.
        what: &'static str,
        /// Its name.
        name: String,
    },
}

impl OperatorError {
    /// Returns the HTTP status for the error.
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

    /// Returns the kind of error, for programs to match on.
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

    /// Returns the JSON body of the answer with the error.
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
