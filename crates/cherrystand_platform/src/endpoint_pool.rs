//! The connection pool for callers' requests to endpoints.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use cherrystand_core::SendPermit;
use http_body_util::Full;
use hyper::{Request, Response};

use crate::{HttpPool, PooledBody, SendError};

/// Sends callers' requests to endpoints; each request consumes the [`SendPermit`] that allows it.
#[derive(Clone, Default)]
pub struct EndpointPool {
    connections: HttpPool,
}

impl EndpointPool {
    /// Sends a request and returns the answer once its head has arrived. At most `max_idle` idle connections to the
    /// address are kept.
    ///
    /// # Errors
    ///
    /// Returns the errors of [`HttpPool::send`].
    pub async fn send(
        &self,
        _permit: SendPermit,
        max_idle: usize,
        address: SocketAddr,
        req: Request<Full<Bytes>>,
        connect_timeout: Duration,
    ) -> Result<Response<PooledBody>, SendError> {
        self.connections.send_with_max_idle(max_idle, address, req, connect_timeout).await
    }
}
