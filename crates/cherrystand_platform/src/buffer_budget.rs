//! The memory budget for buffered requests and answers.

use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use cherrystand_core::{WaitingAnswer, WaitingAnswers};
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
    waiting: Arc<Mutex<WaitingAnswers>>,
}

/// Answers that hold memory wait for each other, and this one is the largest.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("answers that hold memory wait for each other")]
pub struct MemoryContended;

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
        Self { used, capacity, freed: Arc::default(), waiting: Arc::default() }
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

    /// Reserves bytes for an answer that holds `held` bytes already, waiting until they fit.
    ///
    /// # Errors
    ///
    /// Returns [`MemoryContended`] if the answer has to end so that others go on.
    pub async fn reserve_more(
        &self,
        held: usize,
        bytes: usize,
    ) -> Result<BufferReservation, MemoryContended> {
        if let Some(reservation) = self.try_reserve(bytes) {
            return Ok(reservation);
        }
        let waiting = Waiting { budget: self, answer: self.waiting().begin(held) };
        // The others may have to end now.
        self.freed.notify_waiters();
        loop {
            let freed = self.freed.notified();
            tokio::pin!(freed);
            freed.as_mut().enable();
            if let Some(reservation) = self.try_reserve(bytes) {
                return Ok(reservation);
            }
            if self.waiting().must_end(waiting.answer, self.capacity) {
                return Err(MemoryContended);
            }
            freed.await;
        }
    }

    fn waiting(&self) -> MutexGuard<'_, WaitingAnswers> {
        self.waiting.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// An answer that waits for memory until this is dropped.
struct Waiting<'b> {
    budget: &'b BufferBudget,
    answer: WaitingAnswer,
}

impl Drop for Waiting<'_> {
    fn drop(&mut self) {
        self.budget.waiting().end(self.answer);
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
