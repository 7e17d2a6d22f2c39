//! The room for what a daemon holds for callers and endpoints that read slowly.

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

use tokio::sync::Notify;

/// Counts the bytes of requests and answers that a daemon holds, and bounds them.
///
/// Whoever wants to hold more than there is room for is refused, or waits until others have let go: nothing is
/// dropped, and nothing is read that has no room.
#[derive(Clone, Debug)]
pub struct BufferBudget {
    used: Arc<AtomicUsize>,
    capacity: usize,
    freed: Arc<Notify>,
}

/// A part of that room, which is free again once this is dropped.
#[derive(Debug)]
#[must_use = "the room is free again once this is dropped"]
pub struct BufferReservation {
    budget: BufferBudget,
    bytes: usize,
}

impl BufferBudget {
    /// Creates room for `capacity` bytes, which are counted in `held`.
    pub fn new(capacity: usize, used: Arc<AtomicUsize>) -> Self {
        Self { used, capacity, freed: Arc::default() }
    }

    /// Returns how many bytes are held.
    pub fn used(&self) -> usize {
        self.used.load(Ordering::Relaxed)
    }

    /// Takes room, where there is enough; what is larger than all of it gets it while nothing else is held.
    pub fn try_reserve(&self, bytes: usize) -> Option<BufferReservation> {
        let grow = |used: usize| {
            let fits = bytes == 0 || used == 0 || used.saturating_add(bytes) <= self.capacity;
            fits.then_some(used.saturating_add(bytes))
        };
        let reserved = self.used.fetch_update(Ordering::Relaxed, Ordering::Relaxed, grow);
        reserved.is_ok().then(|| BufferReservation { budget: self.clone(), bytes })
    }

    /// Tells whether bytes fit while nothing else is held.
    pub fn fits_when_empty(&self, bytes: usize) -> bool {
        bytes <= self.capacity
    }

    /// Counts bytes that have a bound of their own.
    pub fn reserve_unchecked(&self, bytes: usize) -> BufferReservation {
        self.used.fetch_add(bytes, Ordering::Relaxed);
        BufferReservation { budget: self.clone(), bytes }
    }

    /// Waits for room and takes it.
    pub async fn reserve(&self, bytes: usize) -> BufferReservation {
        loop {
            let freed = self.freed.notified();
            tokio::pin!(freed);
            // What is freed from here on wakes it.
            freed.as_mut().enable();
            if let Some(reservation) = self.try_reserve(bytes) {
                return reservation;
            }
            freed.await;
        }
    }
}

impl BufferReservation {
    /// Returns how many bytes it has room for.
    pub fn bytes(&self) -> usize {
        self.bytes
    }

    /// Adds another share to this one.
    pub fn merge(&mut self, mut other: Self) {
        self.bytes += std::mem::take(&mut other.bytes);
    }
}

impl Drop for BufferReservation {
    fn drop(&mut self) {
        if self.bytes > 0 {
            self.budget.used.fetch_sub(self.bytes, Ordering::Relaxed);
            self.budget.freed.notify_waiters();
        }
    }
}
