//! Short calls that carry JSON.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::{HeaderMap, Method, Request, StatusCode};
use serde::Serialize;
use serde::de::DeserializeOwned;

use crate::{BoxCall, HttpPool, SendError};

/// The largest answer that is read, in bytes; the platform's lists are the largest.
const MAX_ANSWER_BYTES: usize = 32 << 20;

/// A connection may take this part of a call's time, so that one that does not come about is told
/// from an answer that does not come.
const CONNECT_TIMEOUT_DIVISOR: u32 = 2;

/// Tells why a call brought no usable answer.
#[derive(Debug, thiserror::Error)]
pub enum CallError {
    /// The call was not sent or its answer did not begin.
    #[error(transparent)]
    Send(#[from] SendError),
    /// The answer did not come in time; the call may have taken effect.
    #[error("no answer within {0:?}")]
    TimedOut(Duration),
    /// The answer broke off; the call may have taken effect.
    #[error("the answer broke off: {0}")]
    AnswerInterrupted(String),
    /// The answer is not what the protocol says.
    #[error("the answer is malformed")]
    Malformed(#[source] serde_json::Error),
    /// The request itself cannot be put into HTTP.
    #[error("the request cannot be sent")]
    InvalidRequest(#[source] hyper::http::Error),
}

/// Holds the answer to a short call.
#[derive(Clone, Debug)]
pub struct Answer {
    /// The status.
    pub status: StatusCode,
    /// The headers.
    pub headers: HeaderMap,
    /// The whole body.
    pub body: Bytes,
}

impl Answer {
    /// Reads the body as JSON.
    ///
    /// # Errors
    ///
    /// Returns [`CallError::Malformed`] where it is not the JSON expected.
    pub fn json<T: DeserializeOwned>(&self) -> Result<T, CallError> {
        serde_json::from_slice(&self.body).map_err(CallError::Malformed)
    }
}

/// Makes a call and reads the whole answer within a time.
///
/// # Errors
///
/// Returns a [`CallError`]; only [`CallError::Send`] with a connection failure tells that the
/// call certainly had no effect.
pub async fn call(
    pool: &HttpPool,
    address: SocketAddr,
    method: Method,
    path: &str,
    body: Bytes,
    timeout: Duration,
) -> Result<Answer, CallError> {
    let request = BoxCall { method, path: path.to_owned(), headers: HeaderMap::new(), body };
    call_with(pool, address, request, timeout).await
}

/// Makes a call with headers of its own, as [`call`] does.
///
/// # Errors
///
/// Those of [`call`].
pub async fn call_with(
    pool: &HttpPool,
    address: SocketAddr,
    request: BoxCall,
    timeout: Duration,
) -> Result<Answer, CallError> {
    let mut req = Request::builder()
        .method(request.method)
        .uri(request.path)
        .header("host", address.to_string())
        .header("content-type", "application/json")
        .body(Full::new(request.body))
        .map_err(CallError::InvalidRequest)?;
    req.headers_mut().extend(request.headers);
    let exchange = async {
        let answer = pool.send(address, req, timeout / CONNECT_TIMEOUT_DIVISOR).await?;
        let (head, body) = answer.into_parts();
        let body = Limited::new(body, MAX_ANSWER_BYTES)
            .collect()
            .await
            .map_err(|err| CallError::AnswerInterrupted(err.to_string()))?
            .to_bytes();
        Ok(Answer { status: head.status, headers: head.headers, body })
    };
    let outcome = tokio::time::timeout(timeout, exchange).await;
    outcome.unwrap_or(Err(CallError::TimedOut(timeout)))
}

/// Writes a value as JSON.
///
/// # Errors
///
/// Returns [`CallError::Malformed`] where the value has no JSON form.
pub fn to_json<T: Serialize>(value: &T) -> Result<Bytes, CallError> {
    let text = serde_json::to_vec(value).map_err(CallError::Malformed)?;
    Ok(Bytes::from(text))
}
