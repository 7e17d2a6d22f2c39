//! What daemons say to one another.

use std::sync::Arc;

use cherrystand_core::{Document, Heartbeat, Millis, ReplicaEvidence, Version};
use serde::{Deserialize, Serialize};

/// The version of the messages; daemons that differ refuse each other's.
pub const PROTOCOL: u16 = 5;

/// What a daemon says of itself when it asks a peer for news.
///
/// It holds nothing that goes stale: how long a question was on its way, the one asked cannot
/// tell, for either may have been paused meanwhile.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Greeting {
    /// The sender.
    pub from: Heartbeat,
    /// The sum of the versions that the sender holds.
    pub fingerprint: u64,
}

/// What a daemon tells a peer that asked.
///
/// The one that asked knows when it did, and counts the whole time since then as part of every
/// age in the answer.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct News {
    /// The sender.
    pub from: Heartbeat,
    /// The daemons that the sender knows of, and how long ago each gave its heartbeat.
    pub members: Vec<(Heartbeat, Millis)>,
    /// How long ago the platform was last read by anyone the sender heard from.
    pub platform_age: Option<Millis>,
    /// The sum of the versions that the sender holds.
    pub fingerprint: u64,
    /// What the sender knows of replicas.
    pub evidence: Vec<ReplicaEvidence>,
}

/// A question to another daemon.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Question {
    /// Asks for news.
    News(Greeting),
    /// Asks for the records of which the other side has newer copies than these.
    Compare(Vec<Version>),
    /// Hands over records that the other side asked for.
    Take(Vec<Document>),
}

/// The answer to a question.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Reply {
    /// The other side's news.
    News(News),
    /// Newer records, and the keys of those that are older here.
    Compared {
        /// The newer records.
        newer: Vec<Document>,
        /// The keys of which the asking side has newer copies.
        wanted: Vec<Arc<str>>,
    },
    /// The records were taken in.
    Taken,
}

/// Tells why a message could not be read or written.
#[derive(Debug, thiserror::Error)]
pub enum CodecError {
    /// The bytes are not a message.
    #[error("the bytes are not a message of this protocol")]
    Malformed(#[from] postcard::Error),
    /// The message is of another protocol version.
    #[error("the message has protocol version {0}, and this daemon speaks {PROTOCOL}")]
    OtherVersion(u16),
}

/// Writes a message with the protocol's version before it.
///
/// # Errors
///
/// Returns [`CodecError::Malformed`] where the message has no encoding.
pub fn encode<T: Serialize>(message: &T) -> Result<Vec<u8>, CodecError> {
    Ok(postcard::to_stdvec(&(PROTOCOL, message))?)
}

/// Reads a message.
///
/// # Errors
///
/// Returns a [`CodecError`] where the bytes are no message of this version.
pub fn decode<T: for<'a> Deserialize<'a>>(bytes: &[u8]) -> Result<T, CodecError> {
    let (version, rest): (u16, &[u8]) = postcard::take_from_bytes(bytes)?;
    if version != PROTOCOL {
        return Err(CodecError::OtherVersion(version));
    }
    Ok(postcard::from_bytes(rest)?)
}
