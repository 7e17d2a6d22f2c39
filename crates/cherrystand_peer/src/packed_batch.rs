//! Encoded batches of changes, encoded once for all peers that request the same span.

use std::collections::VecDeque;
use std::sync::Arc;

use cherrystand_core::ChangesSince;
use serde::{Deserialize, Serialize};

use crate::{CodecError, decode_compressed, encode_compressed};

/// Number of cached batches. Peers that were answered together ask again within about 60 ms of each
/// other, and snapshots are requested in between.
const CAPACITY: usize = 8;

/// [`ChangesSince`] in encoded form.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(transparent)]
pub struct PackedBatch(Arc<[u8]>);

impl PackedBatch {
    /// Encodes a batch, and compresses it if it is large.
    ///
    /// # Errors
    ///
    /// Returns a [`CodecError`] if the batch cannot be encoded.
    pub fn new(batch: &ChangesSince) -> Result<Self, CodecError> {
        Ok(Self(encode_compressed(batch)?.into()))
    }

    /// Decodes the batch.
    ///
    /// # Errors
    ///
    /// Returns a [`CodecError`] if the bytes are not a batch of this protocol version, or if it is too large.
    pub fn unpack(&self) -> Result<ChangesSince, CodecError> {
        decode_compressed(&self.0)
    }
}

/// The range of changes in a batch, by the number of changes counted before its ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct BatchSpan {
    /// The count after which the range begins, or nothing for a snapshot.
    pub after: Option<u64>,
    /// The count at which the range ends.
    pub until: u64,
}

/// A cache of the last encoded batches.
///
/// All daemons of a zone ask the same reader of the store, and continue from the same position: 58
/// daemons request the same batch 58 times. Encoding 30 changes takes 29 us, and a snapshot of 1,107
/// boxes takes 0.5 ms (`make slopes`).
#[derive(Clone, Debug, Default)]
pub struct BatchCache {
    batches: VecDeque<(BatchSpan, PackedBatch)>,
}

impl BatchCache {
    /// Returns the batch of a span, and encodes the changes returned by `make` if it is not cached.
    ///
    /// # Errors
    ///
    /// Returns a [`CodecError`] if the batch cannot be encoded.
    pub fn get_or_pack(
        &mut self,
        span: BatchSpan,
        make: impl FnOnce() -> ChangesSince,
    ) -> Result<PackedBatch, CodecError> {
        if let Some((_, packed)) = self.batches.iter().find(|(cached, _)| *cached == span) {
            return Ok(packed.clone());
        }
        let packed = PackedBatch::new(&make())?;
        self.batches.push_back((span, packed.clone()));
        if self.batches.len() > CAPACITY {
            self.batches.pop_front();
        }
        Ok(packed)
    }
}
