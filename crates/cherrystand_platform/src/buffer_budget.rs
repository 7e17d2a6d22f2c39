//! The memory budget for buffered requests and answers.

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

use tokio::sync::Notify;

/// Counts and limits the bytes of requests and answers that a daemon buffers for slow callers and endpoints.
///
/// A reservation that exceeds the budget fails, or waits until others are released. Buffered bytes are never
/// dropped to make room, and bytes are read only after memory has been reserved for them.
#[derive(Clone, Debug)]
pub struct BufferBudget {
    used: Arc<AtomicUsize>,
    capacity: usize,
    freed: Arc<Notify>,
}

/// A reserved part of a [`BufferBudget`], released on drop.
#[derive(Debug)]
#[must_use = "the reservation is released when this is dropped"]
pub struct BufferReservation {
    budget: BufferBudget,
    bytes: usize,
}

impl BufferBudget {
    /// Creates a budget of `capacity` bytes whose usage is counted in `used`.
    pub fn new(capacity: usize, used: Arc<AtomicUsize>) -> Self {
        Self { used, capacity, freed: Arc::default() }
    }

    /// Returns the number of bytes in use.
    pub fn used(&self) -> usize {
        self.used.load(Ordering::Relaxed)
    }

    /// Reserves bytes if they fit. A reservation larger than the capacity succeeds while the budget is unused.
    pub fn try_reserve(&self, bytes: usize) -> Option<BufferReservation> {
        let grow = |used: usize| {
            let fits = bytes == 0 || used == 0 || used.saturating_add(bytes) <= self.capacity;
            fits.then_some(used.saturating_add(bytes))
        };
        let reserved = self.used.fetch_update(Ordering::Relaxed, Ordering::Relaxed, grow);
        reserved.is_ok().then(|| BufferReservation { budget: self.clone(), bytes })
    }

    /// Returns whether bytes fit into the budget while nothing else is reserved.
    pub fn fits_when_empty(&self, bytes: usize) -> bool {
        bytes <= self.capacity
    }

    /// Reserves bytes regardless of the capacity, for buffers with a limit of their own.
    pub fn reserve_unchecked(&self, bytes: usize) -> BufferReservation {
        self.used.fetch_add(bytes, Ordering::Relaxed);
        BufferReservation { budget: self.clone(), bytes }
    }

    /// Reserves bytes, waiting until they fit.
    pub async fn reserve(&self, bytes: usize) -> BufferReservation {
        loop {
            let freed = self.freed.notified();
            tokio::pin!(freed);
            // Registers for releases before trying, so that none is missed in between.
            freed.as_mut().enable();
            if let Some(reservation) = self.try_reserve(bytes) {
                return reservation;
            }
            freed.await;
        }
    }
}

impl BufferReservation {
    /// Returns the number of reserved bytes.
    pub fn bytes(&self) -> usize {
        self.bytes
    }

    /// Adds another reservation to this one.
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
