//! A body that is read whole.

use bytes::{Bytes, BytesMut};

use crate::BufferReservation;

/// Holds what has come of a body, and the room that it takes.
#[derive(Debug)]
pub struct BodyBuffer {
    received: BytesMut,
    reservation: BufferReservation,
}

impl BodyBuffer {
    /// Creates it with the room for what is announced.
    ///
    /// Only what comes takes memory: a length is the word of whoever sends.
    pub fn new(reservation: BufferReservation) -> Self {
        Self { received: BytesMut::new(), reservation }
    }

    /// Returns how many bytes it holds.
    pub fn len(&self) -> usize {
        self.received.len()
    }

    /// Tells whether nothing has come yet.
    pub fn is_empty(&self) -> bool {
        self.received.is_empty()
    }

    /// Returns how much more room it takes with some more bytes.
    pub fn additional_needed(&self, more: &[u8]) -> usize {
        (self.received.len() + more.len()).saturating_sub(self.reservation.bytes())
    }

    /// Adds bytes, and the room that they take beyond what it has.
    pub fn push(&mut self, more: &[u8], additional: BufferReservation) {
        self.reservation.merge(additional);
        self.received.extend_from_slice(more);
    }

    /// Returns the whole body and its room.
    pub fn finish(self) -> (Bytes, BufferReservation) {
        (self.received.freeze(), self.reservation)
    }
}
