//! One HTTP client connection of a pool.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU32, AtomicU64, Ordering};
use std::time::Duration;

use bytes::Bytes;
use cherrystand_core::{ConnectionId, ConnectionUse};
use http_body_util::Full;
use hyper::client::conn::http1::{self, SendRequest};
use hyper::header::HeaderMap;
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;
use tokio::task::JoinHandle;

use crate::connection_driver::drive;
use crate::received_bytes::{CountedStream, ReceivedBytes};
use crate::{MAX_HEAD_BYTES, SendError, since_boot};

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

pub(crate) struct PooledConnection {
    id: ConnectionId,
    /// How many requests it has carried.
    carried: u64,
    pub(crate) address: SocketAddr,
    pub(crate) send: SendRequest<Full<Bytes>>,
    driver: JoinHandle<()>,
    /// What arrived on it.
    pub(crate) received: ReceivedBytes,
    /// By the clock that includes suspended time, because servers close idle connections meanwhile.
    idle_since: Duration,
    /// For how long it may be idle before it is no longer used.
    idle_timeout: Duration,
    /// Maximum number of idle connections kept to its address.
    pub(crate) max_idle: usize,
}

impl PooledConnection {
    /// Opens a connection that counts in `open` until it ends.
    pub(crate) async fn open(
        open: &Arc<AtomicU32>,
        max_idle: usize,
        address: SocketAddr,
        timeout: Duration,
    ) -> Result<Self, SendError> {
        static NEXT_ID: AtomicU64 = AtomicU64::new(0);
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
        let driven = drive(conn, received.clone());
        let driver = tokio::task::spawn(async move {
            // A connection that the server closed is still listed as idle, and is open no more.
            let _count = count;
            driven.await;
        });
        Ok(Self {
            id: ConnectionId(NEXT_ID.fetch_add(1, Ordering::Relaxed)),
            carried: 0,
            address,
            send,
            driver,
            received,
            idle_since: since_boot(),
            idle_timeout: MAX_IDLE_TIME,
            max_idle,
        })
    }

    /// Returns what it has carried, as far as that decides what else it may carry.
    pub(crate) fn usage(&self) -> ConnectionUse {
        ConnectionUse { id: self.id, has_carried: self.carried > 0 }
    }

    /// Returns whether the request that it carries is its first.
    pub(crate) fn carries_first(&self) -> bool {
        self.carried == 1
    }

    /// Returns whether an idle connection may still be used.
    pub(crate) fn is_usable(&self) -> bool {
        self.send.is_ready() && since_boot().saturating_sub(self.idle_since) < self.idle_timeout
    }

    /// Records that a request is about to be sent on it.
    pub(crate) fn begin_request(&mut self) {
        self.carried += 1;
        self.received.begin_request();
    }

    /// Records what the head of an answer says of how long it may be idle.
    pub(crate) fn read_keep_alive(&mut self, head: &HeaderMap) {
        self.idle_timeout = idle_timeout(head);
    }

    /// Records that it is idle from now on.
    pub(crate) fn begin_idle(&mut self) {
        self.idle_since = since_boot();
    }
}

impl Drop for PooledConnection {
    fn drop(&mut self) {
        self.driver.abort();
    }
}
