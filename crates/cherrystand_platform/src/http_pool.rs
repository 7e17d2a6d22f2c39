//! A pool of HTTP client connections.

use std::cell::RefCell;
use std::collections::HashMap;
use std::io::ErrorKind;
use std::net::SocketAddr;
use std::pin::Pin;
use std::rc::Rc;
use std::sync::Arc;
use std::sync::atomic::{AtomicU32, Ordering};
use std::task::{Context, Poll};
use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper::body::{Body, Frame, Incoming};
use hyper::client::conn::http1::{self, SendRequest};
use hyper::header::HeaderMap;
use hyper::{Request, Response};
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;
use tokio::task::JoinHandle;

use cherrystand_core::{AttemptEnd, DEFAULT_IDLE_CONNECTIONS};

use crate::received_bytes::{CountedStream, ReceivedBytes};
use crate::{MAX_HEAD_BYTES, since_boot};

/// The reason why a request failed before its answer began.
#[derive(Debug, thiserror::Error)]
pub enum SendError {
    /// The connection could not be established; nothing was sent.
    #[error("could not connect to {address}")]
    Connect {
        /// The address of the server.
        address: SocketAddr,
        /// The error of the operating system.
        source: std::io::Error,
    },
    /// Connecting timed out; nothing was sent.
    #[error("connecting to {0} took too long")]
    ConnectTimedOut(SocketAddr),
    /// The connection closed before a byte of the request was written.
    #[error("the connection closed before the request was written")]
    NotSent(#[source] hyper::Error),
    /// The connection failed after a byte of the request may have been written.
    #[error("the connection failed before the answer began")]
    ConnectionLost(#[source] hyper::Error),
    /// The peer that carried the request lost its connection to the server after a byte may have been written.
    #[error("the connection of the peer that carried the request failed before the answer began")]
    LostBehindCarrier,
    /// The connection to the peer that carried the request failed; the request may have been sent on.
    #[error("the peer at {0} that carried the request failed before the answer began")]
    CarrierLost(SocketAddr),
}

impl SendError {
    /// Returns how an attempt ended that failed with this error.
    pub fn attempt_end(&self) -> AttemptEnd {
        match self {
            Self::Connect { .. } | Self::ConnectTimedOut(_) => AttemptEnd::ConnectFailed,
            Self::NotSent(_) => AttemptEnd::NotSent,
            Self::ConnectionLost(_) | Self::LostBehindCarrier | Self::CarrierLost(_) => {
                AttemptEnd::CutBeforeAnswer
            }
        }
    }

    /// Returns whether the server's address refused the connection.
    pub fn is_refused(&self) -> bool {
        matches!(self, Self::Connect { source, .. } if source.kind() == ErrorKind::ConnectionRefused)
    }

    /// Returns why the connection could not be established, as metrics name it, or `None` if it was.
    pub fn connect_failure(&self) -> Option<&'static str> {
        match self {
            Self::Connect { source, .. } => Some(match source.kind() {
                ErrorKind::ConnectionRefused => "refused",
                ErrorKind::ConnectionReset => "reset",
                ErrorKind::HostUnreachable | ErrorKind::NetworkUnreachable => "no-route",
                _ => "other",
            }),
            Self::ConnectTimedOut(_) => Some("timed-out"),
            Self::NotSent(_)
            | Self::ConnectionLost(_)
            | Self::LostBehindCarrier
            | Self::CarrierLost(_) => None,
        }
    }
}

/// Maximum time for which an idle connection is kept. Servers commonly close theirs after five seconds, and a
/// request that is sent while the server closes the connection has an unknown outcome.
const MAX_IDLE_TIME: Duration = Duration::from_secs(4);

/// Fraction of the server's keep-alive timeout for which an idle connection is kept.
const KEEP_ALIVE_FRACTION: f64 = 0.8;

/// Returns the idle timeout of a connection after an answer with these headers.
fn idle_timeout(head: &HeaderMap) -> Duration {
    const KEEP_ALIVE: &str = "keep-alive";
    let values = head.get_all(KEEP_ALIVE).into_iter().filter_map(|value| value.to_str().ok());
    let mut params = values.flat_map(|value| value.split(','));
    let secs: Option<u32> = params.find_map(|param| {
        let (name, value) = param.split_once('=')?;
        let is_timeout = name.trim().eq_ignore_ascii_case("timeout");
        is_timeout.then(|| value.trim().parse().ok()).flatten()
    });
    let requested = secs.map(|secs| Duration::from_secs(secs.into()).mul_f64(KEEP_ALIVE_FRACTION));
    requested.map_or(MAX_IDLE_TIME, |requested| requested.min(MAX_IDLE_TIME))
}

/// Counts one open connection of a pool until it is dropped.
struct OpenCount(Arc<AtomicU32>);

impl OpenCount {
    fn new(open: Arc<AtomicU32>) -> Self {
        open.fetch_add(1, Ordering::Relaxed);
        Self(open)
    }
}

impl Drop for OpenCount {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::Relaxed);
    }
}

struct Connection {
    address: SocketAddr,
    send: SendRequest<Full<Bytes>>,
    driver: JoinHandle<()>,
    /// What arrived since the last part of an answer.
    received: ReceivedBytes,
    /// By the clock that includes suspended time, because servers close idle connections meanwhile.
    idle_since: Duration,
    /// For how long it may be idle before it is no longer used.
    idle_timeout: Duration,
    /// Maximum number of idle connections kept to its address.
    max_idle: usize,
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.driver.abort();
    }
}

/// A connection that was opened and carries no request.
pub struct OpenConnection(Connection);

/// The outcome of sending a request on an idle connection.
pub enum IdleSend {
    /// The request was sent, or may have been.
    Sent(Result<Response<PooledBody>, SendError>),
    /// No idle connection was usable; nothing was sent.
    NoneIdle(Request<Full<Bytes>>),
}

/// Keeps the idle connections of one thread, by address.
///
/// A connection returns to the pool only after its answer has been read to the end, so that a late
/// answer is never taken for the answer to another request.
#[derive(Clone, Default)]
pub struct HttpPool {
    idle: Rc<RefCell<HashMap<SocketAddr, Vec<Connection>>>>,
    /// How many connections are open, idle or in use.
    open: Arc<AtomicU32>,
}

impl HttpPool {
    /// Sends a request and returns the answer once its head has arrived.
    ///
    /// Dropping the future or the answer's body closes the connection.
    ///
    /// # Errors
    ///
    /// Returns a [`SendError`] that tells whether the request may have reached the server.
    pub async fn send(
        &self,
        address: SocketAddr,
        req: Request<Full<Bytes>>,
        connect_timeout: Duration,
    ) -> Result<Response<PooledBody>, SendError> {
        self.send_with_max_idle(DEFAULT_IDLE_CONNECTIONS, address, req, connect_timeout).await
    }

    /// Sends a request as [`HttpPool::send`] does, but keeps at most `max_idle` idle connections to the address.
    ///
    /// # Errors
    ///
    /// Returns the errors of [`HttpPool::send`].
    pub async fn send_with_max_idle(
        &self,
        max_idle: usize,
        address: SocketAddr,
        req: Request<Full<Bytes>>,
        connect_timeout: Duration,
    ) -> Result<Response<PooledBody>, SendError> {
        match self.send_on_idle(max_idle, address, req).await {
            IdleSend::Sent(answer) => answer,
            IdleSend::NoneIdle(req) => {
                let conn = self.open(max_idle, address, connect_timeout).await?;
                self.send_on(conn, req).await
            }
        }
    }

    /// Sends a request on an idle connection to the address, if there is a usable one.
    pub async fn send_on_idle(
        &self,
        max_idle: usize,
        address: SocketAddr,
        req: Request<Full<Bytes>>,
    ) -> IdleSend {
        let mut req = req;
        while let Some(mut conn) = self.take_idle(address) {
            conn.max_idle = max_idle;
            match self.exchange(conn, req).await {
                Ok(answer) => return IdleSend::Sent(Ok(answer)),
                Err((SendError::NotSent(_), Some(unsent))) => req = unsent,
                Err((err, _)) => return IdleSend::Sent(Err(err)),
            }
        }
        IdleSend::NoneIdle(req)
    }

    /// Opens a connection without sending anything.
    ///
    /// # Errors
    ///
    /// Returns [`SendError::Connect`] or [`SendError::ConnectTimedOut`].
    pub async fn open(
        &self,
        max_idle: usize,
        address: SocketAddr,
        timeout: Duration,
    ) -> Result<OpenConnection, SendError> {
        connect(&self.open, max_idle, address, timeout).await.map(OpenConnection)
    }

    /// Returns how many connections are open, idle or in use.
    pub fn open_connections(&self) -> u32 {
        self.open.load(Ordering::Relaxed)
    }

    /// Sends a request on a connection that was just opened.
    ///
    /// # Errors
    ///
    /// Returns [`SendError::NotSent`] or [`SendError::ConnectionLost`].
    pub async fn send_on(
        &self,
        conn: OpenConnection,
        req: Request<Full<Bytes>>,
    ) -> Result<Response<PooledBody>, SendError> {
        self.exchange(conn.0, req).await.map_err(|(err, _)| err)
    }

    /// Keeps a connection that was just opened as an idle one.
    pub fn keep(&self, conn: OpenConnection) {
        self.release(conn.0);
    }

    /// Closes the idle connections to an address.
    pub fn close_idle_to(&self, address: SocketAddr) {
        self.idle.borrow_mut().remove(&address);
    }

    /// Closes all idle connections.
    pub fn close_idle(&self) {
        self.idle.borrow_mut().clear();
    }

    fn take_idle(&self, address: SocketAddr) -> Option<Connection> {
        let mut idle = self.idle.borrow_mut();
        let list = idle.get_mut(&address)?;
        while let Some(conn) = list.pop() {
            if conn.send.is_ready()
                && since_boot().saturating_sub(conn.idle_since) < conn.idle_timeout
            {
                return Some(conn);
            }
        }
        None
    }

    fn release(&self, mut conn: Connection) {
        conn.idle_since = since_boot();
        let mut idle = self.idle.borrow_mut();
        let list = idle.entry(conn.address).or_default();
        if list.len() < conn.max_idle {
            list.push(conn);
        }
    }

    async fn exchange(
        &self,
        mut conn: Connection,
        req: Request<Full<Bytes>>,
    ) -> Result<Response<PooledBody>, (SendError, Option<Request<Full<Bytes>>>)> {
        conn.received.record_part();
        match conn.send.try_send_request(req).await {
            Ok(answer) => {
                conn.received.record_part();
                conn.idle_timeout = idle_timeout(answer.headers());
                Ok(answer.map(|body| PooledBody { body, conn: Some(conn), pool: self.clone() }))
            }
            Err(mut failure) => match failure.take_message() {
                Some(unsent) => Err((SendError::NotSent(failure.into_error()), Some(unsent))),
                None => Err((SendError::ConnectionLost(failure.into_error()), None)),
            },
        }
    }
}

async fn connect(
    open: &Arc<AtomicU32>,
    max_idle: usize,
    address: SocketAddr,
    timeout: Duration,
) -> Result<Connection, SendError> {
    let stream = tokio::time::timeout(timeout, TcpStream::connect(address))
        .await
        .map_err(|_| SendError::ConnectTimedOut(address))?
        .map_err(|source| SendError::Connect { address, source })?;
    // Without Nagle's algorithm small requests are sent at once. A failure here only adds latency.
    let _ = stream.set_nodelay(true);
    let received = ReceivedBytes::default();
    let stream = CountedStream::new(stream, received.clone());
    let mut http = http1::Builder::new();
    let handshake = http.max_buf_size(MAX_HEAD_BYTES).handshake(TokioIo::new(stream));
    let (send, conn) = handshake.await.map_err(SendError::NotSent)?;
    let count = OpenCount::new(open.clone());
    let driver = tokio::task::spawn(async move {
        // A connection that the server closed is still listed as idle, and is open no more.
        let _count = count;
        // The future of the request reports the failure.
        let _ = conn.await;
    });
    Ok(Connection {
        address,
        send,
        driver,
        received,
        idle_since: since_boot(),
        idle_timeout: MAX_IDLE_TIME,
        max_idle,
    })
}

/// The body of an answer. Its connection returns to the pool once the body has been read to the end.
pub struct PooledBody {
    body: Incoming,
    conn: Option<Connection>,
    pool: HttpPool,
}

impl PooledBody {
    /// Drops the body and closes its connection.
    pub fn discard(mut self) {
        self.conn = None;
    }
}

impl Body for PooledBody {
    type Data = Bytes;
    type Error = hyper::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, hyper::Error>>> {
        let polled = Pin::new(&mut self.body).poll_frame(cx);
        if let (Poll::Ready(Some(Ok(_))), Some(conn)) = (&polled, &self.conn) {
            conn.received.record_part();
        }
        let ended = matches!(polled, Poll::Ready(None)) || self.body.is_end_stream();
        if ended && let Some(conn) = self.conn.take() {
            self.pool.release(conn);
        }
        polled
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> hyper::body::SizeHint {
        self.body.size_hint()
    }
}

impl Drop for PooledBody {
    fn drop(&mut self) {
        // An answer with an empty body has ended without being polled.
        if self.body.is_end_stream()
            && let Some(conn) = self.conn.take()
        {
            self.pool.release(conn);
        }
    }
}
