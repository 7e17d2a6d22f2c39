//! What daemons say to one another.

use std::sync::Arc;

use cherrystand_core::{Digest, Document, Heartbeat, Millis, ReplicaEvidence, Version};
use serde::{Deserialize, Serialize};

use crate::PackedBody;
use crate::packed_body::{compress, decompress};

/// The version of the messages; daemons that differ refuse each other's.
pub const PROTOCOL: u16 = 9;

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
    /// The sum of what the sender knows of the other daemons beside their beats.
    pub roster: u64,
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
    pub members: Digest,
    /// How long ago the platform was last read by anyone the sender heard from.
    pub platform_age: Option<Millis>,
    /// The sum of the versions that the sender holds.
    pub fingerprint: u64,
    /// What the sender knows of replicas.
    pub evidence: Vec<ReplicaEvidence>,
}

/// A record on its way to another daemon.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum TransferredRecord {
    /// As it was written.
    Whole(Document),
    /// As what changed in it, or compressed.
    Packed {
        /// The record's key.
        key: Arc<str>,
        /// Its text.
        body: Arc<PackedBody>,
    },
}

/// A question to another daemon.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Question {
    /// Asks for news.
    News(Greeting),
    /// Asks for the records of which the other side has newer copies than these.
    Compare(Vec<Version>),
    /// Hands over records that the other side asked for.
    Take(Vec<TransferredRecord>),
}

/// The answer to a question.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Reply {
    /// The other side's news.
    News(News),
    /// Newer records, and the keys of those that are older here.
    Compared {
        /// The newer records.
        newer: Vec<TransferredRecord>,
        /// The records of which the asking side has newer copies, and what is held of them here.
        wanted: Vec<Version>,
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
    /// The message is larger than any may be, or its compressed bytes are cut off or altered.
    #[error("the message's compressed bytes are malformed or too large")]
    Compressed,
}

/// The smallest message that is compressed, in bytes; below it there is nothing to gain.
const MIN_COMPRESSED_BYTES: usize = 2 << 10;

/// The largest message that may come out of compressed bytes: the boxes of 410 daemons' domains,
/// 37,600 entries of some 500 bytes.
const MAX_UNCOMPRESSED_BYTES: usize = 32 << 20;

/// A message that may be large.
#[derive(Serialize, Deserialize)]
enum Envelope {
    Plain(Vec<u8>),
    Compressed { length: u32, bytes: Vec<u8> },
}

/// Writes a message as [`encode`] does, compressed where it is large.
///
/// # Errors
///
/// Returns a [`CodecError`] where the message has no encoding.
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

/// Reads a message that [`encode_compressed`] wrote.
///
/// # Errors
///
/// Returns a [`CodecError`] where the bytes are no message of this version or too large a one.
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
