//! The connections that short calls use.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use cherrystand_core::DEFAULT_IDLE_CONNECTIONS;
use http_body_util::Full;
use hyper::Request;

use crate::{AnswerNames, AnswerPool, HttpPool, PooledAnswer, RequestTries, SendError};

/// A pool of connections that carries short calls.
#[allow(async_fn_in_trait, reason = "each duty drives its client on its own thread")]
pub trait CallPool {
    /// Sends a call and returns the answer once its head has arrived.
    ///
    /// Dropping the future or the answer's body closes the connection.
    ///
    /// # Errors
    ///
    /// Returns a [`SendError`] that tells whether the call may have reached the server.
    async fn send_call(
        &self,
        address: SocketAddr,
        req: Request<Full<Bytes>>,
        connect_timeout: Duration,
    ) -> Result<PooledAnswer, SendError>;
}

impl CallPool for HttpPool {
    async fn send_call(
        &self,
        address: SocketAddr,
        req: Request<Full<Bytes>>,
        connect_timeout: Duration,
    ) -> Result<PooledAnswer, SendError> {
        self.send(address, req, connect_timeout).await
    }
}

impl<N: AnswerNames> CallPool for AnswerPool<N> {
    async fn send_call(
        &self,
        address: SocketAddr,
        mut req: Request<Full<Bytes>>,
        connect_timeout: Duration,
    ) -> Result<PooledAnswer, SendError> {
        N::name_call(req.headers_mut());
        let tries = RequestTries::default();
        let sent = self.send(DEFAULT_IDLE_CONNECTIONS, address, req, connect_timeout, &tries);
        Ok(sent.await?.into())
    }
}
