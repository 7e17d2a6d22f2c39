//! The body of an answer to a caller.

use std::pin::Pin;
use std::task::{Context, Poll};

use bytes::Bytes;
use http_body_util::Full;
use hyper::body::{Body, Frame, SizeHint};

use crate::relay::stream::RelayedStream;

/// A body that is complete, or one that is still being received.
pub(crate) enum RelayBody {
    /// A complete body.
    Whole(Full<Bytes>),
    /// An endpoint's answer that is relayed while it is received.
    Stream(Box<RelayedStream>),
}

impl RelayBody {
    /// Creates a complete body.
    pub(crate) fn whole(bytes: impl Into<Bytes>) -> Self {
        Self::Whole(Full::new(bytes.into()))
    }
}

impl Body for RelayBody {
    type Data = Bytes;
    type Error = std::io::Error;

    fn poll_frame(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, std::io::Error>>> {
        match self.get_mut() {
            Self::Whole(body) => {
                let polled = Pin::new(body).poll_frame(cx);
                polled.map(|frame| frame.map(|frame| frame.map_err(|never| match never {})))
            }
            Self::Stream(body) => Pin::new(body.as_mut()).poll_frame(cx),
        }
    }

    fn is_end_stream(&self) -> bool {
        match self {
            Self::Whole(body) => body.is_end_stream(),
            Self::Stream(body) => body.is_end_stream(),
        }
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            Self::Whole(body) => body.size_hint(),
            Self::Stream(body) => body.size_hint(),
        }
    }
}
