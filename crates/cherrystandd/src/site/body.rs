//! The body of an answer to a caller.

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
pub(crate) struct BrokeOff;

/// How many events wait for a caller that reads slowly.
const EVENTS_WAITING: usize = 16;

/// Passes events on to one caller.
pub(crate) type EventSender = mpsc::Sender<Result<Bytes, BrokeOff>>;

/// The body of an answer to a caller.
pub(crate) enum SiteBody {
    /// All of it.
    Whole(Full<Bytes>),
    /// Events as they come.
    Events(mpsc::Receiver<Result<Bytes, BrokeOff>>),
}

impl SiteBody {
    /// Makes a body out of bytes.
    pub(crate) fn whole(bytes: impl Into<Bytes>) -> Self {
        Self::Whole(Full::new(bytes.into()))
    }

    /// Makes a body that is passed on event by event.
    pub(crate) fn events() -> (EventSender, Self) {
        let (tx, rx) = mpsc::channel(EVENTS_WAITING);
        (tx, Self::Events(rx))
    }
}

impl Body for SiteBody {
    type Data = Bytes;
    type Error = BrokeOff;

    fn poll_frame(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BrokeOff>>> {
        match self.get_mut() {
            Self::Whole(body) => {
                let polled = Pin::new(body).poll_frame(cx);
                polled.map(|frame| frame.map(|frame| frame.map_err(|err: Infallible| match err {})))
            }
            Self::Events(rx) => {
                let polled = rx.poll_recv(cx);
                polled.map(|event| event.map(|event| event.map(Frame::data)))
            }
        }
    }

    fn is_end_stream(&self) -> bool {
        match self {
            Self::Whole(body) => body.is_end_stream(),
            Self::Events(_) => false,
        }
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            Self::Whole(body) => body.size_hint(),
            Self::Events(_) => SizeHint::default(),
        }
    }
}
