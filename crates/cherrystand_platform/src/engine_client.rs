//! The client of model engines' control interface.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use cherrystand_core::{EngineReport, Epoch, Order};
use hyper::{Method, StatusCode};

use crate::{CallError, HttpPool, call, to_json};

/// How long an engine may take to answer.
const CALL_TIMEOUT: Duration = Duration::from_millis(800);

/// The header that names the epoch a request is meant for.
pub const EPOCH_HEADER: &str = "cherrystand-epoch";

/// The header by which an endpoint says that it did not run a request.
pub const NOT_RUN_HEADER: &str = "cherrystand-not-run";

/// Tells why an engine did not follow or answer.
#[derive(Debug, thiserror::Error)]
pub enum EngineError {
    /// The call brought no usable answer.
    #[error(transparent)]
    Call(#[from] CallError),
    /// The engine has seen a later epoch and refused the order.
    #[error("the engine refused the order of epoch {0}, having seen a later one")]
    Fenced(Epoch),
    /// The engine answered with a status that the protocol does not know.
    #[error("the engine answered with status {0}")]
    Status(u16),
}

/// Talks to engines.
#[derive(Clone, Default)]
pub struct EngineClient {
    pool: HttpPool,
}

impl EngineClient {
    /// Asks an engine how it is.
    ///
    /// # Errors
    ///
    /// Returns an [`EngineError`] when it does not answer in time.
    pub async fn report(&self, address: SocketAddr) -> Result<EngineReport, EngineError> {
        let answer =
            call(&self.pool, address, Method::GET, "/engine/report", Bytes::new(), CALL_TIMEOUT)
                .await?;
        match answer.status {
            StatusCode::OK => Ok(answer.json()?),
            status => Err(EngineError::Status(status.as_u16())),
        }
    }

    /// Sends an order.
    ///
    /// # Errors
    ///
    /// Returns an [`EngineError`] when the engine refuses it or does not answer in time.
    pub async fn order(&self, address: SocketAddr, order: &Order) -> Result<(), EngineError> {
        let body = to_json(order)?;
        let answer =
            call(&self.pool, address, Method::POST, "/engine/order", body, CALL_TIMEOUT).await?;
        match answer.status {
            StatusCode::OK => Ok(()),
            StatusCode::CONFLICT => Err(EngineError::Fenced(order.epoch)),
            status => Err(EngineError::Status(status.as_u16())),
        }
    }
}
