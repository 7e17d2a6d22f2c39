//! The body of an answer to a caller, whole or passed on event by event.

use std::convert::Infallible;
use std::pin::Pin;
use std::task::{Context, Poll};

use bytes::Bytes;
use http_body_util::Full;
use hyper::body::{Body, Frame, SizeHint};
use tokio::sync::mpsc;

/// Tells that an answer ends before it is whole.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("the answer broke off")]
pub struct BrokeOff;

/// Tells that the caller takes nothing more.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("the caller has left")]
pub struct CallerLeft;

/// How many events wait for a caller that reads slowly.
const EVENTS_WAITING: usize = 16;

/// What is passed on to a caller.
enum Part {
    Events(Bytes),
    End,
}

/// Passes events on to one caller.
///
/// The answer is whole only once [`EventSender::end`] says so. Where the sender is dropped before
/// that, whatever the reason, the caller's connection is cut: a stream whose task had panicked ended
/// as if it were whole.
pub struct EventSender {
    tx: mpsc::Sender<Part>,
}

impl EventSender {
    /// Passes events on once there is room.
    ///
    /// # Errors
    ///
    /// Returns [`CallerLeft`] where nobody takes them.
    pub async fn pass(&self, events: Bytes) -> Result<(), CallerLeft> {
        self.tx.send(Part::Events(events)).await.map_err(|_| CallerLeft)
    }

    /// Ends the answer, which is whole.
    ///
    /// # Errors
    ///
    /// Returns [`CallerLeft`] where nobody takes the end.
    pub async fn end(&self) -> Result<(), CallerLeft> {
        self.tx.send(Part::End).await.map_err(|_| CallerLeft)
    }

    /// Waits until the caller takes nothing more.
    pub async fn closed(&self) {
        self.tx.closed().await;
    }
}

/// The body of an answer to a caller.
pub struct CallerBody(Kind);

enum Kind {
    Whole(Full<Bytes>),
    Passed { rx: mpsc::Receiver<Part>, ended: bool },
}

impl CallerBody {
    /// Makes a body out of bytes.
    pub fn whole(bytes: impl Into<Bytes>) -> Self {
        Self(Kind::Whole(Full::new(bytes.into())))
    }

    /// Makes a body that is passed on event by event.
    pub fn events() -> (EventSender, Self) {
        let (tx, rx) = mpsc::channel(EVENTS_WAITING);
        (EventSender { tx }, Self(Kind::Passed { rx, ended: false }))
    }
}

impl Body for CallerBody {
    type Data = Bytes;
    type Error = BrokeOff;

    fn poll_frame(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BrokeOff>>> {
        match &mut self.get_mut().0 {
            Kind::Whole(body) => {
                let polled = Pin::new(body).poll_frame(cx);
                polled.map(|frame| frame.map(|frame| frame.map_err(|err: Infallible| match err {})))
            }
            Kind::Passed { ended: true, .. } => Poll::Ready(None),
            Kind::Passed { rx, ended } => rx.poll_recv(cx).map(|part| match part {
                Some(Part::Events(events)) => Some(Ok(Frame::data(events))),
                Some(Part::End) => {
                    *ended = true;
                    None
                }
                None => {
                    *ended = true;
                    Some(Err(BrokeOff))
                }
            }),
        }
    }

    fn is_end_stream(&self) -> bool {
        match &self.0 {
            Kind::Whole(body) => body.is_end_stream(),
            Kind::Passed { ended, .. } => *ended,
        }
    }

    fn size_hint(&self) -> SizeHint {
        match &self.0 {
            Kind::Whole(body) => body.size_hint(),
            Kind::Passed { .. } => SizeHint::default(),
        }
    }
}
