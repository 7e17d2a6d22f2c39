//! A pool of HTTP client connections.

use std::cell::RefCell;
use std::collections::HashMap;
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
use hyper::{Request, Response};

use cherrystand_core::{BodyEnd, DEFAULT_IDLE_CONNECTIONS, MalformedAnswer};

use crate::answer_head::check_framing;
use crate::pooled_connection::PooledConnection;
use crate::{AnswerHead, BodyError, PooledAnswer, RequestTries, SendError};

/// A connection that was opened and carries no request.
pub struct OpenConnection(PooledConnection);

impl OpenConnection {
    /// Has the connection closed after the request that it is opened for.
    pub(crate) fn close_after_use(&mut self) {
        self.0.max_idle = 0;
    }
}

/// The outcome of sending a request on an idle connection.
pub enum IdleSend<A> {
    /// The request was sent, or may have been.
    Sent(Result<A, SendError>),
    /// No idle connection was usable; nothing was sent.
    NoneIdle(Box<Request<Full<Bytes>>>),
}

/// Keeps the idle connections of one thread, by address.
///
/// A connection returns to the pool only after its answer has been read to the end, so that a late
/// answer is never taken for the answer to another request.
#[derive(Clone, Default)]
pub struct HttpPool {
    idle: Rc<RefCell<HashMap<SocketAddr, Vec<PooledConnection>>>>,
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
    ) -> Result<PooledAnswer, SendError> {
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
    ) -> Result<PooledAnswer, SendError> {
        let tries = RequestTries::default();
        match self.send_on_idle(max_idle, address, req, &tries).await {
            IdleSend::Sent(answer) => answer,
            IdleSend::NoneIdle(req) => {
                let conn = self.open(max_idle, address, connect_timeout).await?;
                self.send_on(conn, *req, &tries).await
            }
        }
    }

    /// Sends a request on an idle connection to the address, if there is a usable one that may carry it.
    pub(crate) async fn send_on_idle(
        &self,
        max_idle: usize,
        address: SocketAddr,
        req: Request<Full<Bytes>>,
        tries: &RequestTries,
    ) -> IdleSend<PooledAnswer> {
        let mut req = req;
        while let Some(mut conn) = self.take_idle(address, tries) {
            conn.max_idle = max_idle;
            match self.exchange(conn, req, tries).await {
                Ok(answer) => return IdleSend::Sent(Ok(answer)),
                Err((SendError::NotSent(_), Some(unsent))) => req = unsent,
                Err((err, _)) => return IdleSend::Sent(Err(err)),
            }
        }
        IdleSend::NoneIdle(Box::new(req))
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
        PooledConnection::open(&self.open, max_idle, address, timeout).await.map(OpenConnection)
    }

    /// Returns how many connections are open, idle or in use.
    pub fn open_connections(&self) -> u32 {
        self.open.load(Ordering::Relaxed)
    }

    /// Sends a request on a connection that was just opened.
    ///
    /// # Errors
    ///
    /// Returns [`SendError::NotSent`], [`SendError::ConnectionLost`] or [`SendError::Malformed`].
    pub(crate) async fn send_on(
        &self,
        conn: OpenConnection,
        req: Request<Full<Bytes>>,
        tries: &RequestTries,
    ) -> Result<PooledAnswer, SendError> {
        self.exchange(conn.0, req, tries).await.map_err(|(err, _)| err)
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

    fn take_idle(&self, address: SocketAddr, tries: &RequestTries) -> Option<PooledConnection> {
        let mut idle = self.idle.borrow_mut();
        let list = idle.get_mut(&address)?;
        for index in (0..list.len()).rev() {
            if !list[index].is_usable() {
                list.remove(index);
            } else if tries.allow(list[index].usage()) {
                return Some(list.remove(index));
            }
        }
        None
    }

    fn release(&self, mut conn: PooledConnection) {
        conn.begin_idle();
        let mut idle = self.idle.borrow_mut();
        let list = idle.entry(conn.address).or_default();
        if list.len() < conn.max_idle {
            list.push(conn);
        }
    }

    /// Sends a request and checks the head of its answer before anyone reads it.
    async fn exchange(
        &self,
        mut conn: PooledConnection,
        req: Request<Full<Bytes>>,
        tries: &RequestTries,
    ) -> Result<PooledAnswer, (SendError, Option<Request<Full<Bytes>>>)> {
        tries.record(conn.usage());
        conn.begin_request();
        match conn.send.try_send_request(req).await {
            Ok(answer) => {
                // Dropping the connection closes it.
                let end = check_answer(&answer, &conn);
                let end = end.map_err(|err| (SendError::Malformed(err), None))?;
                conn.received.record_part();
                conn.read_keep_alive(answer.headers());
                let (parts, body) = answer.into_parts();
                let body = PooledBody { body, end, conn: Some(conn), pool: self.clone() };
                Ok(PooledAnswer { head: AnswerHead::from(parts), body })
            }
            Err(mut failure) => match failure.take_message() {
                Some(unsent) => Err((SendError::NotSent(failure.into_error()), Some(unsent))),
                None => {
                    let err = match conn.received.malformed() {
                        Some(reason) => SendError::Malformed(reason),
                        None => SendError::ConnectionLost(failure.into_error()),
                    };
                    Err((err, None))
                }
            },
        }
    }
}

/// Checks the head of an answer, and the end of one that has no body. Returns what tells the end of one
/// that has.
fn check_answer(
    answer: &Response<Incoming>,
    conn: &PooledConnection,
) -> Result<BodyEnd, MalformedAnswer> {
    let end = check_framing(answer)?;
    if !answer.body().is_end_stream() {
        return Ok(end);
    }
    conn.received.check_end()?;
    Ok(BodyEnd::Framed)
}

/// The body of an answer. Its connection returns to the pool once the body has been read to the end.
pub struct PooledBody {
    body: Incoming,
    end: BodyEnd,
    conn: Option<PooledConnection>,
    pool: HttpPool,
}

impl PooledBody {
    /// Returns whether its connection has carried no other request.
    pub(crate) fn is_first_on_connection(&self) -> bool {
        self.conn.as_ref().is_some_and(PooledConnection::carries_first)
    }

    /// Has its connection closed once it has been read.
    pub(crate) fn close_after_use(&mut self) {
        if let Some(conn) = &mut self.conn {
            conn.max_idle = 0;
        }
    }

    /// Returns what tells the end of the body.
    pub fn end(&self) -> BodyEnd {
        self.end
    }

    /// Drops the body and closes its connection.
    pub fn discard(mut self) {
        self.conn = None;
    }
}

impl Body for PooledBody {
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        let polled = Pin::new(&mut self.body).poll_frame(cx);
        let polled = polled.map_err(BodyError::Interrupted);
        if let (Poll::Ready(Some(Ok(_))), Some(conn)) = (&polled, &self.conn) {
            conn.received.record_part();
        }
        let ended = matches!(polled, Poll::Ready(None)) || self.body.is_end_stream();
        if ended && let Some(conn) = self.conn.take() {
            // Dropping the connection closes it.
            if let Err(malformed) = conn.received.check_end() {
                return Poll::Ready(Some(Err(BodyError::Malformed(malformed))));
            }
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
