//! The client for the control interface of model engines.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use cherrystand_core::{EngineReport, Epoch, Order};
use hyper::{Method, StatusCode};

use crate::{AnswerPool, CallError, CallIds, call_box, to_json};

/// Timeout of a call to an engine.
const CALL_TIMEOUT: Duration = Duration::from_millis(800);

/// Header with the epoch that a request is intended for.
pub const EPOCH_HEADER: &str = "cherrystand-epoch";

/// Header by which an endpoint states that it did not run a request.
pub const NOT_RUN_HEADER: &str = "cherrystand-not-run";

/// The reason why a call to an engine failed.
#[derive(Debug, thiserror::Error)]
pub enum EngineError {
    /// The call returned no usable answer.
    #[error(transparent)]
    Call(#[from] CallError),
    /// The engine rejected the order because it has seen a later epoch.
    #[error("the engine rejected the order of epoch {0} because it has seen a later epoch")]
    Fenced(Epoch),
    /// The engine answered with a status that is not part of the protocol.
    #[error("the engine answered with unexpected status {0}")]
    Status(u16),
}

/// Calls the control interface of engines.
#[derive(Clone, Default)]
pub struct EngineClient {
    pool: AnswerPool<CallIds>,
}

impl EngineClient {
    /// Reads the state of an engine.
    ///
    /// # Errors
    ///
    /// Returns an [`EngineError`] if the engine does not answer in time.
    pub async fn report(&self, address: SocketAddr) -> Result<EngineReport, EngineError> {
        let answer = call_box(
            &self.pool,
            address,
            Method::GET,
            "/engine/report",
            Bytes::new(),
            CALL_TIMEOUT,
        )
        .await?;
        match answer.status {
            StatusCode::OK => Ok(answer.json()?),
            status => Err(EngineError::Status(status.as_u16())),
        }
    }

    /// Sends an order to an engine.
    ///
    /// # Errors
    ///
    /// Returns an [`EngineError`] if the engine rejects the order or does not answer in time.
    pub async fn order(&self, address: SocketAddr, order: &Order) -> Result<(), EngineError> {
        let body = to_json(order)?;
        let answer =
            call_box(&self.pool, address, Method::POST, "/engine/order", body, CALL_TIMEOUT)
                .await?;
        match answer.status {
            StatusCode::OK => Ok(()),
            StatusCode::CONFLICT => Err(EngineError::Fenced(order.epoch)),
            status => Err(EngineError::Status(status.as_u16())),
        }
    }
}
