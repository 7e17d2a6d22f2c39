//! A buffer for a body that is read completely.

use bytes::{Bytes, BytesMut};

use crate::BufferReservation;

/// Collects the received bytes of a body, within a memory reservation.
#[derive(Debug)]
pub struct BodyBuffer {
    received: BytesMut,
    reservation: BufferReservation,
}

impl BodyBuffer {
    /// Creates a buffer with a reservation for the announced length.
    ///
    /// Memory is allocated only as bytes arrive, since the sender's announced length may be wrong.
    pub fn new(reservation: BufferReservation) -> Self {
        Self { received: BytesMut::new(), reservation }
    }

    /// Returns the number of bytes received.
    pub fn len(&self) -> usize {
        self.received.len()
    }

    /// Returns whether no byte has been received yet.
    pub fn is_empty(&self) -> bool {
        self.received.is_empty()
    }

    /// Returns by how many bytes the reservation has to grow before `more` can be added.
    pub fn additional_needed(&self, more: &[u8]) -> usize {
        (self.received.len() + more.len()).saturating_sub(self.reservation.bytes())
    }

    /// Appends bytes, and adds the reservation that they need beyond the present one.
    pub fn push(&mut self, more: &[u8], additional: BufferReservation) {
        self.reservation.merge(additional);
        self.received.extend_from_slice(more);
    }

    /// Returns the complete body and its reservation.
    pub fn finish(self) -> (Bytes, BufferReservation) {
        (self.received.freeze(), self.reservation)
    }
}
