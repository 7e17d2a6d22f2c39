//! A body that holds something for as long as it exists.

use std::pin::Pin;
use std::task::{Context, Poll};

use bytes::Bytes;
use hyper::body::{Body, Frame, SizeHint};

/// A body together with what is dropped with it, such as a slot that an answer takes until its end.
pub struct HoldingBody<B, T> {
    body: B,
    _held: T,
}

impl<B, T> HoldingBody<B, T> {
    /// Holds `held` until the body is dropped.
    pub fn new(body: B, held: T) -> Self {
        Self { body, _held: held }
    }
}

impl<B: Body<Data = Bytes> + Unpin, T: Unpin> Body for HoldingBody<B, T> {
    type Data = Bytes;
    type Error = B::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, B::Error>>> {
        Pin::new(&mut self.body).poll_frame(cx)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}
