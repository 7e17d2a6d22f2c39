//! A caller's connection that may be kept for several requests.

use std::cell::Cell;
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll, ready};

use cherrystand_core::BodyEnd;
use hyper::body::Body;
use hyper::header::CONTENT_LENGTH;
use hyper::rt::{Read, ReadBufCursor, Write};
use hyper::{Response, Version};
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;

use crate::{ConnectionEnd, HoldingBody, TakenConnection};

/// How far a connection is with its requests and answers.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
enum Progress {
    /// The next request may be read, and no head of it has been.
    #[default]
    Reading,
    /// A request is being answered.
    Busy,
    /// The answer has ended, and parts of it may not be written yet.
    Ended,
    /// The answer is written, and nothing of the next request is read.
    Between,
    /// The next request was not taken.
    NotTaken,
}

/// How far a connection is, shared by it and the bodies of its answers.
#[derive(Clone, Debug, Default)]
pub(crate) struct AnswerProgress {
    state: Rc<Cell<Progress>>,
    /// What tells the caller where the answer in progress ends, once that is known.
    end: Rc<Cell<Option<BodyEnd>>>,
}

impl AnswerProgress {
    /// Records that the head of a request was read. It may have come together with the request before.
    pub(crate) fn begin(&self) {
        self.state.set(Progress::Busy);
    }

    /// Records what tells the end of an answer to a request of this version. Before HTTP/1.1 there are no
    /// chunks, so a body whose length isn't known ends with its connection.
    pub(crate) fn begin_answer<B: Body>(&self, version: Version, answer: &Response<B>) {
        let has_length = answer.headers().contains_key(CONTENT_LENGTH)
            || answer.body().size_hint().exact().is_some();
        let end = match version < Version::HTTP_11 && !has_length {
            true => BodyEnd::Connection,
            false => BodyEnd::Framed,
        };
        self.end.set(Some(end));
    }

    /// Returns an answer's body whose end is recorded.
    pub(crate) fn track<B>(&self, body: B) -> HoldingBody<B, EndOfAnswer> {
        HoldingBody::new(body, EndOfAnswer(self.clone()))
    }

    /// Returns how a connection that is this far ends.
    pub(crate) fn end(&self) -> ConnectionEnd {
        match self.state.get() {
            Progress::Busy | Progress::Ended => ConnectionEnd::Unanswered,
            Progress::Reading | Progress::Between => ConnectionEnd::BetweenRequests,
            Progress::NotTaken => ConnectionEnd::NotTaken,
        }
    }
}

/// Records the end of an answer when its body is dropped.
pub(crate) struct EndOfAnswer(AnswerProgress);

impl Drop for EndOfAnswer {
    fn drop(&mut self) {
        self.0.state.set(Progress::Ended);
    }
}

/// A caller's connection. If its next request is not to be taken, it ends with an error before
/// anything of that request is read.
///
/// While an answer is written that ends with the connection, the connection is set to end by a reset,
/// also if the process is killed: an ordinary end would tell the caller that the answer is whole.
pub(crate) struct KeptConnection<C> {
    stream: TokioIo<TcpStream>,
    taken: Rc<C>,
    progress: AnswerProgress,
    /// Whether it ends by a reset.
    resets: bool,
}

impl<C: TakenConnection> KeptConnection<C> {
    pub(crate) fn new(stream: TcpStream, taken: Rc<C>, progress: AnswerProgress) -> Self {
        Self { stream: TokioIo::new(stream), taken, progress, resets: false }
    }

    /// Waits until something has arrived, and decides whether it is read.
    fn poll_next_request(&self, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        ready!(self.stream.inner().poll_read_ready(cx))?;
        if !self.taken.takes_next_request() {
            self.progress.state.set(Progress::NotTaken);
            return Poll::Ready(Err(io::ErrorKind::ConnectionAborted.into()));
        }
        self.progress.state.set(Progress::Reading);
        Poll::Ready(Ok(()))
    }
}

impl<C> KeptConnection<C> {
    /// Has the connection end by a reset if the answer that is about to be written ends with it.
    fn begin_write(&mut self) -> io::Result<()> {
        if !self.resets && self.progress.end.get() == Some(BodyEnd::Connection) {
            self.stream.inner().set_zero_linger()?;
            self.resets = true;
        }
        Ok(())
    }

    /// Has the connection end in the ordinary way, as everything was written to its end.
    fn begin_shutdown(&mut self) -> io::Result<()> {
        if self.resets {
            #[expect(deprecated, reason = "closing blocks only with a time to linger")]
            self.stream.inner().set_linger(None)?;
            self.resets = false;
            self.progress.end.set(None);
        }
        Ok(())
    }
}

impl<C: TakenConnection> Read for KeptConnection<C> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: ReadBufCursor<'_>,
    ) -> Poll<io::Result<()>> {
        if self.progress.state.get() == Progress::Between {
            ready!(self.poll_next_request(cx))?;
        }
        Pin::new(&mut self.stream).poll_read(cx, buf)
    }
}

impl<C> Write for KeptConnection<C> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        self.begin_write()?;
        Pin::new(&mut self.stream).poll_write(cx, buf)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        // Everything that was to be written has been when this is called.
        if self.progress.state.get() == Progress::Ended {
            self.progress.state.set(Progress::Between);
        }
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        self.begin_shutdown()?;
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        self.begin_write()?;
        Pin::new(&mut self.stream).poll_write_vectored(cx, bufs)
    }
}
