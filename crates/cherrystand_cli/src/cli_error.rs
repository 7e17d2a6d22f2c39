//! Failures of the command, and their exit codes.

use std::path::PathBuf;

use cherrystand_platform::{CallError, SendError};

/// Tells why the command failed.
#[derive(Debug, thiserror::Error)]
pub(crate) enum CliError {
    /// A file could not be read.
    #[error("{} cannot be read: {source}", .file.display())]
    Unreadable {
        /// The file.
        file: PathBuf,
        /// The reason.
        source: std::io::Error,
    },
    /// The event loop could not be started.
    #[error("the event loop could not be started: {0}")]
    Runtime(#[from] std::io::Error),
    /// The daemon gave no answer.
    #[error("no answer from the daemon: {0}")]
    Call(#[from] CallError),
    /// The daemon answered that it did not do it.
    #[error("{message}")]
    Refused {
        /// The kind of refusal.
        kind: String,
        /// What the daemon says about it.
        message: String,
    },
}

impl CliError {
    /// Returns the exit code, as the command's help lists them.
    pub(crate) fn exit_code(&self) -> u8 {
        match self {
            Self::Unreadable { .. } | Self::Runtime(_) => 1,
            Self::Call(CallError::Send(
                SendError::Connect { .. } | SendError::ConnectTimedOut(_),
            )) => 4,
            Self::Call(_) => 5,
            Self::Refused { kind, .. } => match kind.as_str() {
                "conflict" | "contended" => 3,
                "platform" | "too-few-daemons" | "malformed-record" => 4,
                "may-be-done" => 5,
                _ => 2,
            },
        }
    }
}
