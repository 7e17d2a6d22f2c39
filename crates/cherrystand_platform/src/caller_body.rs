//! The body of an answer to a caller, whole or passed on event by event.

use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll};

use bytes::Bytes;
use hyper::body::{Body, Frame, SizeHint};
use tokio::sync::{OwnedSemaphorePermit, Semaphore, mpsc};

use crate::{BufferBudget, BufferReservation};

/// Tells that an answer ends before it is whole.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("the answer broke off")]
pub struct IncompleteAnswer;

/// Tells that the caller takes nothing more.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("the caller has left")]
pub struct CallerDisconnected;

/// How many parts of a stream wait for a caller that reads slowly, at the most.
const MAX_QUEUED_CHUNKS: usize = 16;

/// How many bytes of them wait, at the most; a larger chunk waits alone.
const MAX_QUEUED_BYTES: usize = 16 << 10;

/// In how large pieces an answer that is held whole goes out: what is written of it is held no more.
const MAX_FRAME_BYTES: usize = 16 << 10;

/// What is passed on to a caller.
enum Chunk {
    /// Events, and the room that they take while they wait.
    Events {
        bytes: Bytes,
        _queue_permit: OwnedSemaphorePermit,
        _reservation: BufferReservation,
    },
    End,
}

/// Passes events on to one caller.
///
/// The answer is whole only once [`EventSender::end`] says so. Where the sender is dropped before
/// that, whatever the reason, the caller's connection is cut: a stream whose task had panicked ended
/// as if it were whole.
pub struct EventSender {
    tx: mpsc::Sender<Chunk>,
    /// The bytes that may wait beside those that do.
    queue_space: Arc<Semaphore>,
    /// Counts those that do.
    budget: BufferBudget,
}

impl EventSender {
    /// Passes events on once there is room.
    ///
    /// # Errors
    ///
    /// Returns [`CallerDisconnected`] where nobody takes them.
    pub async fn send(&self, events: Bytes) -> Result<(), CallerDisconnected> {
        let size = events.len().min(MAX_QUEUED_BYTES) as u32;
        // Events that wait are dropped with their caller, and so their room is free again.
        let permit = self
            .queue_space
            .clone()
            .acquire_many_owned(size)
            .await
            .map_err(|_| CallerDisconnected)?;
        let chunk = Chunk::Events {
            _reservation: self.budget.reserve_unchecked(events.len()),
            bytes: events,
            _queue_permit: permit,
        };
        self.tx.send(chunk).await.map_err(|_| CallerDisconnected)
    }

    /// Ends the answer, which is whole.
    ///
    /// # Errors
    ///
    /// Returns [`CallerDisconnected`] where nobody takes the end.
    pub async fn end(&self) -> Result<(), CallerDisconnected> {
        self.tx.send(Chunk::End).await.map_err(|_| CallerDisconnected)
    }

    /// Waits until the caller takes nothing more.
    pub async fn closed(&self) {
        self.tx.closed().await;
    }
}

/// The body of an answer to a caller.
pub struct CallerBody(Kind);

enum Kind {
    /// What is remaining of an answer, and the room that it takes until it is written.
    Whole {
        remaining: Bytes,
        _reservation: Option<BufferReservation>,
    },
    Stream {
        rx: mpsc::Receiver<Chunk>,
        ended: bool,
    },
}

impl CallerBody {
    /// Makes a body out of bytes.
    pub fn whole(bytes: impl Into<Bytes>) -> Self {
        Self(Kind::Whole { remaining: bytes.into(), _reservation: None })
    }

    /// Makes a body out of bytes that take up room until they are written.
    pub fn reserved(bytes: Bytes, reservation: BufferReservation) -> Self {
        Self(Kind::Whole { remaining: bytes, _reservation: Some(reservation) })
    }

    /// Makes a body that is passed on event by event.
    ///
    /// What waits for its caller is counted in `budget`.
    pub fn event_stream(budget: BufferBudget) -> (EventSender, Self) {
        let (tx, rx) = mpsc::channel(MAX_QUEUED_CHUNKS);
        let queue_space = Arc::new(Semaphore::new(MAX_QUEUED_BYTES));
        (EventSender { tx, queue_space, budget }, Self(Kind::Stream { rx, ended: false }))
    }
}

impl Body for CallerBody {
    type Data = Bytes;
    type Error = IncompleteAnswer;

    fn poll_frame(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, IncompleteAnswer>>> {
        match &mut self.get_mut().0 {
            Kind::Whole { remaining, .. } if remaining.is_empty() => Poll::Ready(None),
            Kind::Whole { remaining, .. } => {
                let frame = remaining.split_to(MAX_FRAME_BYTES.min(remaining.len()));
                Poll::Ready(Some(Ok(Frame::data(frame))))
            }
            Kind::Stream { ended: true, .. } => Poll::Ready(None),
            Kind::Stream { rx, ended } => rx.poll_recv(cx).map(|chunk| match chunk {
                Some(Chunk::Events { bytes, .. }) => Some(Ok(Frame::data(bytes))),
                Some(Chunk::End) => {
                    *ended = true;
                    None
                }
                None => {
                    *ended = true;
                    Some(Err(IncompleteAnswer))
                }
            }),
        }
    }

    fn is_end_stream(&self) -> bool {
        match &self.0 {
            Kind::Whole { remaining, .. } => remaining.is_empty(),
            Kind::Stream { ended, .. } => *ended,
        }
    }

    fn size_hint(&self) -> SizeHint {
        match &self.0 {
            Kind::Whole { remaining, .. } => SizeHint::with_exact(remaining.len() as u64),
            Kind::Stream { .. } => SizeHint::default(),
        }
    }
}
