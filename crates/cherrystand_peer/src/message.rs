//! Questions and replies between daemons, and their encoding.

use std::sync::Arc;

use cherrystand_core::{Digest, Document, Heartbeat, Millis, ReplicaEvidence, Version};
use serde::{Deserialize, Serialize};

use crate::PackedBody;
use crate::packed_body::{compress, decompress};

/// The version of the messages; a daemon rejects messages of another version.
pub const PROTOCOL: u16 = 10;

/// The state of a daemon that asks a peer for news.
///
/// It contains no ages, because the receiver cannot tell how long the question was on its way: either
/// daemon may have been paused meanwhile.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Greeting {
    /// The heartbeat of the sender.
    pub from: Heartbeat,
    /// A fingerprint of the record versions that the sender has.
    pub fingerprint: u64,
    /// A fingerprint of what the sender knows of the other daemons, apart from their heartbeats.
    pub roster: u64,
}

/// The answer of a daemon to a peer that asked for news.
///
/// The asking daemon adds the time since it sent the question to every age in the answer.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct News {
    /// The heartbeat of the sender.
    pub from: Heartbeat,
    /// The daemons that the sender knows, with the ages of their heartbeats.
    pub members: Digest,
    /// The time since the platform was last read by any daemon that the sender knows of.
    pub platform_age: Option<Millis>,
    /// A fingerprint of the record versions that the sender has.
    pub fingerprint: u64,
    /// The evidence that the sender has about replicas.
    pub evidence: Vec<ReplicaEvidence>,
}

/// A record in a message to another daemon.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum TransferredRecord {
    /// The record in full.
    Whole(Document),
    /// The record compressed, possibly against another version of it.
    Packed {
        /// The key of the record.
        key: Arc<str>,
        /// The packed body of the record.
        body: Arc<PackedBody>,
    },
}

/// A question to another daemon.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Question {
    /// Asks for the state of the other daemon.
    News(Greeting),
    /// Asks for the records that are newer on the other side than these versions.
    Compare(Vec<Version>),
    /// Sends records that the other side asked for.
    #[serde(rename = "Take")]
    Store(Vec<TransferredRecord>),
}

/// The answer to a question.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Reply {
    /// The state of the replying daemon.
    News(News),
    /// The result of comparing versions.
    Compared {
        /// The records that are newer here.
        newer: Vec<TransferredRecord>,
        /// The records that are newer on the asking side, with the versions that exist here.
        wanted: Vec<Version>,
    },
    /// The records were stored.
    #[serde(rename = "Taken")]
    Stored,
}

/// The reason why a message could not be encoded or decoded.
#[derive(Debug, thiserror::Error)]
pub enum CodecError {
    /// The bytes are not a valid message.
    #[error("the bytes are not a message of this protocol")]
    Malformed(#[from] postcard::Error),
    /// The message is of another protocol version.
    #[error("the message has protocol version {0}, and this daemon speaks {PROTOCOL}")]
    OtherVersion(u16),
    /// The message exceeds the maximum size, or its compressed bytes are truncated or corrupted.
    #[error("the message's compressed bytes are malformed or too large")]
    Compressed,
}

/// Minimum size of a message that is compressed, in bytes; compressing smaller ones gains nothing.
const MIN_COMPRESSED_BYTES: usize = 2 << 10;

/// Maximum size of a decompressed message, in bytes. The boxes of the domains of 410 daemons are 37,600
/// entries of about 500 bytes.
const MAX_UNCOMPRESSED_BYTES: usize = 32 << 20;

/// The encoding of a message that is compressed if it is large.
#[derive(Serialize, Deserialize)]
enum Envelope {
    Plain(Vec<u8>),
    Compressed { length: u32, bytes: Vec<u8> },
}

/// Encodes a message as [`encode`] does, and compresses it if it is large.
///
/// # Errors
///
/// Returns a [`CodecError`] if the message cannot be encoded.
pub fn encode_compressed<T: Serialize>(message: &T) -> Result<Vec<u8>, CodecError> {
    let plain = encode(message)?;
    let envelope = if plain.len() < MIN_COMPRESSED_BYTES {
        Envelope::Plain(plain)
    } else {
        let bytes = compress(&plain, &[]).map_err(|_| CodecError::Compressed)?;
        Envelope::Compressed { length: plain.len() as u32, bytes }
    };
    encode(&envelope)
}

/// Decodes a message that [`encode_compressed`] encoded.
///
/// # Errors
///
/// Returns a [`CodecError`] if the bytes are not a message of this version, or if it is too large.
pub fn decode_compressed<T: for<'a> Deserialize<'a>>(bytes: &[u8]) -> Result<T, CodecError> {
    match decode(bytes)? {
        Envelope::Plain(plain) => decode(&plain),
        Envelope::Compressed { length, .. } if length as usize > MAX_UNCOMPRESSED_BYTES => {
            Err(CodecError::Compressed)
        }
        Envelope::Compressed { length, bytes } => {
            let plain = decompress(&bytes, &[], length as usize);
            decode(&plain.map_err(|_| CodecError::Compressed)?)
        }
    }
}

/// Encodes a message, preceded by the protocol version.
///
/// # Errors
///
/// Returns [`CodecError::Malformed`] if the message cannot be encoded.
pub fn encode<T: Serialize>(message: &T) -> Result<Vec<u8>, CodecError> {
    Ok(postcard::to_stdvec(&(PROTOCOL, message))?)
}

/// Decodes a message.
///
/// # Errors
///
/// Returns a [`CodecError`] if the bytes are not a message of this version.
pub fn decode<T: for<'a> Deserialize<'a>>(bytes: &[u8]) -> Result<T, CodecError> {
    let (version, rest): (u16, &[u8]) = postcard::take_from_bytes(bytes)?;
    if version != PROTOCOL {
        return Err(CodecError::OtherVersion(version));
    }
    Ok(postcard::from_bytes(rest)?)
}
