//! A connection to a server that ends if what arrives on it brings nothing.

use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::task::{Context, Poll, ready};

use cherrystand_core::are_too_many_fruitless_bytes;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

/// How many bytes have arrived on a connection since the last part of an answer.
#[derive(Clone, Debug, Default)]
pub(crate) struct ReceivedBytes(Arc<AtomicUsize>);

impl ReceivedBytes {
    /// Records that a request begins, or that a head or a part of a body has arrived.
    pub(crate) fn record_part(&self) {
        self.0.store(0, Ordering::Relaxed);
    }

    /// Records bytes and returns how many there are.
    fn record(&self, bytes: usize) -> usize {
        self.0.fetch_add(bytes, Ordering::Relaxed).saturating_add(bytes)
    }
}

/// A connection whose received bytes are counted. Reading fails once they are no answer any more.
pub(crate) struct CountedStream {
    stream: TcpStream,
    received: ReceivedBytes,
}

impl CountedStream {
    pub(crate) fn new(stream: TcpStream, received: ReceivedBytes) -> Self {
        Self { stream, received }
    }
}

impl AsyncRead for CountedStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buf.filled().len();
        ready!(Pin::new(&mut self.stream).poll_read(cx, buf))?;
        let received = self.received.record(buf.filled().len() - before);
        if are_too_many_fruitless_bytes(received) {
            let end = io::Error::new(io::ErrorKind::InvalidData, "the bytes are no answer");
            return Poll::Ready(Err(end));
        }
        Poll::Ready(Ok(()))
    }
}

impl AsyncWrite for CountedStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(cx, buf)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
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
        Pin::new(&mut self.stream).poll_write_vectored(cx, bufs)
    }
}
