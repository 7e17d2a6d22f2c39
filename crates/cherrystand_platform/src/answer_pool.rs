//! A pool of connections to servers that name the request in their answers.

use std::marker::PhantomData;
use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper::Request;
use hyper::header::HeaderValue;

use crate::{
    AnswerNames, HttpPool, IdentifiedAnswer, IdleSend, OpenConnection, PooledAnswer, RequestTries,
    SendError,
};

/// Sends requests and identifies their answers.
///
/// A request without a name travels on a connection that has carried nothing and carries nothing
/// afterwards, because only that shows whose answer comes.
pub struct AnswerPool<N> {
    pool: HttpPool,
    names: PhantomData<N>,
}

impl<N> Clone for AnswerPool<N> {
    fn clone(&self) -> Self {
        Self { pool: self.pool.clone(), names: PhantomData }
    }
}

impl<N> Default for AnswerPool<N> {
    fn default() -> Self {
        Self { pool: HttpPool::default(), names: PhantomData }
    }
}

impl<N: AnswerNames> AnswerPool<N> {
    /// Sends a request and returns the answer once its head has arrived. At most `max_idle` idle connections to
    /// the address are kept.
    ///
    /// Dropping the future or the answer's body closes the connection.
    ///
    /// # Errors
    ///
    /// Returns a [`SendError`] that tells whether the request may have reached the server.
    pub async fn send(
        &self,
        max_idle: usize,
        address: SocketAddr,
        req: Request<Full<Bytes>>,
        connect_timeout: Duration,
        tries: &RequestTries,
    ) -> Result<IdentifiedAnswer, SendError> {
        match self.send_on_idle(max_idle, address, req, tries).await {
            IdleSend::Sent(answer) => answer,
            IdleSend::NoneIdle(req) => {
                let conn = self.open(max_idle, address, connect_timeout).await?;
                self.send_on(conn, *req, tries).await
            }
        }
    }

    /// Sends a request on an idle connection to the address, if there is one that may carry it.
    pub async fn send_on_idle(
        &self,
        max_idle: usize,
        address: SocketAddr,
        req: Request<Full<Bytes>>,
        tries: &RequestTries,
    ) -> IdleSend<IdentifiedAnswer> {
        let name = N::request_name(req.headers());
        let sent = match &name {
            Some(_) => self.pool.send_on_idle(max_idle, address, req, tries).await,
            None => self.pool.send_on_idle(0, address, req, &RequestTries::after_unknown()).await,
        };
        match sent {
            IdleSend::Sent(answer) => {
                IdleSend::Sent(answer.and_then(|answer| identify::<N>(name.as_ref(), answer)))
            }
            IdleSend::NoneIdle(req) => IdleSend::NoneIdle(req),
        }
    }

    /// Sends a request on a connection that was just opened.
    ///
    /// # Errors
    ///
    /// Returns the errors of [`AnswerPool::send`], but none of connecting.
    pub async fn send_on(
        &self,
        mut conn: OpenConnection,
        req: Request<Full<Bytes>>,
        tries: &RequestTries,
    ) -> Result<IdentifiedAnswer, SendError> {
        let name = N::request_name(req.headers());
        if name.is_none() {
            conn.close_after_use();
        }
        identify::<N>(name.as_ref(), self.pool.send_on(conn, req, tries).await?)
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
        self.pool.open(max_idle, address, timeout).await
    }

    /// Keeps a connection that was just opened as an idle one.
    pub fn keep(&self, conn: OpenConnection) {
        self.pool.keep(conn);
    }

    /// Returns how many connections are open, idle or in use.
    pub fn open_connections(&self) -> u32 {
        self.pool.open_connections()
    }

    /// Closes the idle connections to an address.
    pub fn close_idle_to(&self, address: SocketAddr) {
        self.pool.close_idle_to(address);
    }

    /// Closes all idle connections.
    pub fn close_idle(&self) {
        self.pool.close_idle();
    }
}

fn identify<N: AnswerNames>(
    name: Option<&HeaderValue>,
    answer: PooledAnswer,
) -> Result<IdentifiedAnswer, SendError> {
    IdentifiedAnswer::identify::<N>(name, answer).ok_or(SendError::ForeignAnswer)
}
