//! The connection pool for callers' requests to endpoints.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use cherrystand_core::SendPermit;
use http_body_util::Full;
use hyper::Request;

use crate::{AnswerNames, AnswerPool, CallIds, IdentifiedAnswer, RequestTries, SendError};

/// Sends callers' requests to endpoints; each request consumes the [`SendPermit`] that allows it.
#[derive(Clone, Default)]
pub struct EndpointPool {
    connections: AnswerPool<CallIds>,
}

impl EndpointPool {
    /// Sends a request and returns the answer once its head has arrived. At most `max_idle` idle connections to the
    /// address are kept.
    ///
    /// # Errors
    ///
    /// Returns the errors of [`AnswerPool::send`].
    pub async fn send(
        &self,
        _permit: SendPermit,
        max_idle: usize,
        address: SocketAddr,
        mut req: Request<Full<Bytes>>,
        connect_timeout: Duration,
    ) -> Result<IdentifiedAnswer, SendError> {
        CallIds::name_call(req.headers_mut());
        let tries = RequestTries::default();
        self.connections.send(max_idle, address, req, connect_timeout, &tries).await
    }
}
