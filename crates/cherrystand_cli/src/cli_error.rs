//! Errors of the command, and their exit codes.

use std::path::PathBuf;

use cherrystand_platform::{CallError, SendError};

/// The reason why the command failed.
#[derive(Debug, thiserror::Error)]
pub(crate) enum CliError {
    /// A file could not be read.
    #[error("{} cannot be read: {source}", .file.display())]
    ReadFile {
        /// The path of the file.
        file: PathBuf,
        /// The error of the operating system.
        source: std::io::Error,
    },
    /// The event loop could not be started.
    #[error("the event loop could not be started: {0}")]
    Runtime(#[from] std::io::Error),
    /// The call to the daemon failed.
    #[error("no answer from the daemon: {0}")]
    Call(#[from] CallError),
    /// The daemon rejected the request.
    #[error("{message}")]
    Rejected {
        /// The kind of error, as the daemon names it.
        kind: String,
        /// The daemon's error message.
        message: String,
    },
}

impl CliError {
    /// Returns the exit code; the command's help lists the codes.
    pub(crate) fn exit_code(&self) -> u8 {
        match self {
            Self::ReadFile { .. } | Self::Runtime(_) => 1,
            Self::Call(CallError::Send(
                SendError::Connect { .. } | SendError::ConnectTimedOut(_),
            )) => 4,
            Self::Call(_) => 5,
            Self::Rejected { kind, .. } => match kind.as_str() {
                "conflict" | "contended" => 3,
                "platform" | "too-few-daemons" | "malformed-record" => 4,
                "may-be-done" => 5,
                _ => 2,
            },
        }
    }
}
