//! Why a request got no answer.

use std::io::ErrorKind;
use std::net::SocketAddr;

use cherrystand_core::{AttemptEnd, MalformedAnswer, ProbeFailure};

/// The reason why a request failed before its answer began.
#[derive(Debug, thiserror::Error)]
pub enum SendError {
    /// The connection could not be established; nothing was sent.
    #[error("could not connect to {address}")]
    Connect {
        /// The address of the server.
        address: SocketAddr,
        /// The error of the operating system.
        source: std::io::Error,
    },
    /// Connecting timed out; nothing was sent.
    #[error("connecting to {0} took too long")]
    ConnectTimedOut(SocketAddr),
    /// The connection closed before a byte of the request was written.
    #[error("the connection closed before the request was written")]
    NotSent(#[source] hyper::Error),
    /// The connection failed after a byte of the request may have been written.
    #[error("the connection failed before the answer began")]
    ConnectionLost(#[source] hyper::Error),
    /// The peer that carried the request lost its connection to the server after a byte may have been written.
    #[error("the connection of the peer that carried the request failed before the answer began")]
    LostBehindCarrier,
    /// What came can't be read as one whole answer; the request may have been run.
    #[error("the answer is malformed: {0}")]
    Malformed(#[source] MalformedAnswer),
    /// An answer came that belongs to another request, in the place of this one's.
    #[error("an answer to another request came in place of the answer")]
    ForeignAnswer,
    /// The connection to the peer that carried the request failed; the request may have been sent on.
    #[error("the peer at {0} that carried the request failed before the answer began")]
    CarrierLost(SocketAddr),
}

impl SendError {
    /// Returns how an attempt ended that failed with this error.
    pub fn attempt_end(&self) -> AttemptEnd {
        match self {
            Self::Connect { .. } | Self::ConnectTimedOut(_) => AttemptEnd::ConnectFailed,
            Self::NotSent(_) => AttemptEnd::NotSent,
            Self::ConnectionLost(_)
            | Self::LostBehindCarrier
            | Self::Malformed(_)
            | Self::ForeignAnswer
            | Self::CarrierLost(_) => AttemptEnd::CutBeforeAnswer,
        }
    }

    /// Returns whether the server's address refused the connection.
    pub fn is_refused(&self) -> bool {
        matches!(self, Self::Connect { source, .. } if source.kind() == ErrorKind::ConnectionRefused)
    }

    /// Returns how a probe or an order failed.
    pub(crate) fn probe_failure(&self) -> ProbeFailure {
        match self {
            Self::Connect { source, .. } => match source.kind() {
                // A reset may arrive before the opened connection is noticed.
                ErrorKind::ConnectionReset | ErrorKind::ConnectionAborted => ProbeFailure::Cut,
                _ => ProbeFailure::Refused,
            },
            Self::ConnectTimedOut(_) => ProbeFailure::Unanswered,
            Self::NotSent(_)
            | Self::ConnectionLost(_)
            | Self::LostBehindCarrier
            | Self::Malformed(_)
            | Self::ForeignAnswer
            | Self::CarrierLost(_) => ProbeFailure::Cut,
        }
    }

    /// Returns why the connection could not be established, as metrics name it, or `None` if it was.
    pub fn connect_failure(&self) -> Option<&'static str> {
        match self {
            Self::Connect { source, .. } => Some(match source.kind() {
                ErrorKind::ConnectionRefused => "refused",
                ErrorKind::ConnectionReset => "reset",
                ErrorKind::HostUnreachable | ErrorKind::NetworkUnreachable => "no-route",
                _ => "other",
            }),
            Self::ConnectTimedOut(_) => Some("timed-out"),
            Self::NotSent(_)
            | Self::ConnectionLost(_)
            | Self::LostBehindCarrier
            | Self::Malformed(_)
            | Self::ForeignAnswer
            | Self::CarrierLost(_) => None,
        }
    }
}
