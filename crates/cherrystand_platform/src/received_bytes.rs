//! A connection to a server that ends if what arrives on it brings nothing, or is no head.

use std::io;
use std::pin::Pin;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, OnceLock};
use std::task::{Context, Poll, ready};

use cherrystand_core::{HeadScan, MalformedAnswer, are_too_many_fruitless_bytes};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

/// What is known of the bytes that arrived on a connection, shared by it and its reader.
#[derive(Clone, Debug, Default)]
pub(crate) struct ReceivedBytes(Arc<Received>);

#[derive(Debug, Default)]
struct Received {
    /// How many bytes have arrived since the last part of an answer.
    fruitless: AtomicUsize,
    /// How many requests have been sent.
    requests: AtomicUsize,
    malformed: OnceLock<MalformedAnswer>,
    has_surplus: AtomicBool,
}

impl ReceivedBytes {
    /// Records that a request is about to be sent, so that a head is due.
    pub(crate) fn begin_request(&self) {
        self.0.requests.fetch_add(1, Ordering::Relaxed);
        self.record_part();
    }

    /// Records that a head or a part of a body has arrived.
    pub(crate) fn record_part(&self) {
        self.0.fruitless.store(0, Ordering::Relaxed);
    }

    /// Returns why the connection was ended, if what came is no head.
    pub(crate) fn malformed(&self) -> Option<MalformedAnswer> {
        self.0.malformed.get().copied()
    }

    /// Records that bytes that may belong to the last answer follow its end.
    pub(crate) fn record_surplus(&self) {
        self.0.has_surplus.store(true, Ordering::Relaxed);
    }

    /// Checks that nothing that may belong to the answer that has ended follows its end.
    pub(crate) fn check_end(&self) -> Result<(), MalformedAnswer> {
        match self.0.has_surplus.load(Ordering::Relaxed) {
            true => Err(MalformedAnswer::SurplusBytes),
            false => Ok(()),
        }
    }

    /// Records bytes and returns how many there are.
    fn record(&self, bytes: usize) -> usize {
        self.0.fruitless.fetch_add(bytes, Ordering::Relaxed).saturating_add(bytes)
    }
}

/// A connection whose received bytes are counted and checked. Reading fails once they are no answer any
/// more.
pub(crate) struct CountedStream {
    stream: TcpStream,
    received: ReceivedBytes,
    head: HeadScan,
    /// The number of the request whose answer's head is checked.
    request: usize,
}

impl CountedStream {
    pub(crate) fn new(stream: TcpStream, received: ReceivedBytes) -> Self {
        Self { stream, received, head: HeadScan::default(), request: 0 }
    }

    /// Reads and returns what has arrived already, as far as it fits.
    pub(crate) fn read_arrived<'b>(&self, buf: &'b mut [u8]) -> &'b [u8] {
        // It makes no difference why nothing can be read.
        let count = self.stream.try_read(buf).unwrap_or(0);
        &buf[..count]
    }

    /// Checks the part of a head that has arrived.
    fn check_head(&mut self, bytes: &[u8]) -> io::Result<()> {
        let request = self.received.0.requests.load(Ordering::Relaxed);
        if self.request != request {
            (self.request, self.head) = (request, HeadScan::default());
        }
        self.head.read(bytes).map_err(|malformed| {
            let malformed = self.received.0.malformed.get_or_init(|| malformed);
            io::Error::new(io::ErrorKind::InvalidData, *malformed)
        })
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
        self.check_head(&buf.filled()[before..])?;
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
