//! The body of an answer to a caller, either complete or streamed event by event.

use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll};

use bytes::Bytes;
use hyper::body::{Body, Frame, SizeHint};
use tokio::sync::{OwnedSemaphorePermit, Semaphore, mpsc};

use crate::{BufferBudget, BufferReservation};

/// The answer ended before it was complete.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("the answer ended before it was complete")]
pub struct IncompleteAnswer;

/// The caller no longer receives the answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("the caller disconnected")]
pub struct CallerDisconnected;

/// Maximum number of chunks of a stream queued for a slow caller.
const MAX_QUEUED_CHUNKS: usize = 16;

/// Maximum number of bytes queued for a slow caller; a larger chunk is queued alone.
const MAX_QUEUED_BYTES: usize = 16 << 10;

/// Maximum size of a frame of a complete answer. Each frame is released once it has been written.
const MAX_FRAME_BYTES: usize = 16 << 10;

/// An item of the queue between [`EventSender`] and [`CallerBody`].
enum Chunk {
    /// Events, with the memory that is reserved for them while they are queued.
    Events {
        bytes: Bytes,
        _queue_permit: OwnedSemaphorePermit,
        _reservation: BufferReservation,
    },
    End,
}

/// Streams events to one caller.
///
/// The answer is complete only after [`EventSender::end`]. If the sender is dropped before that, for
/// example by a panic of its task, the caller's connection is closed, so that the caller cannot take
/// the truncated answer for a complete one.
pub struct EventSender {
    tx: mpsc::Sender<Chunk>,
    /// Has one permit per byte that may still be queued.
    queue_space: Arc<Semaphore>,
    /// Accounts for the queued bytes.
    budget: BufferBudget,
}

impl EventSender {
    /// Queues events, waiting until there is space in the queue.
    ///
    /// # Errors
    ///
    /// Returns [`CallerDisconnected`] if the body was dropped.
    pub async fn send(&self, events: Bytes) -> Result<(), CallerDisconnected> {
        let size = events.len().min(MAX_QUEUED_BYTES) as u32;
        // Queued events are dropped with the body, which releases their permits.
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

    /// Marks the answer as complete and ends it.
    ///
    /// # Errors
    ///
    /// Returns [`CallerDisconnected`] if the body was dropped.
    pub async fn end(&self) -> Result<(), CallerDisconnected> {
        self.tx.send(Chunk::End).await.map_err(|_| CallerDisconnected)
    }

    /// Waits until the caller disconnects.
    pub async fn closed(&self) {
        self.tx.closed().await;
    }
}

/// The body of an answer to a caller.
pub struct CallerBody(Kind);

enum Kind {
    /// The unwritten rest of a complete answer, with the memory reserved for it.
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
    /// Creates a complete body.
    pub fn whole(bytes: impl Into<Bytes>) -> Self {
        Self(Kind::Whole { remaining: bytes.into(), _reservation: None })
    }

    /// Creates a complete body whose memory reservation is released once it is written.
    pub fn reserved(bytes: Bytes, reservation: BufferReservation) -> Self {
        Self(Kind::Whole { remaining: bytes, _reservation: Some(reservation) })
    }

    /// Creates a body that is streamed event by event.
    ///
    /// Queued bytes are counted in `budget`, but bounded by the queue's own limits.
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
