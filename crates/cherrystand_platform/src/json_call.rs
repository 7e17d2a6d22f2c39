//! Short HTTP calls with JSON bodies.

use std::cell::Cell;
use std::net::SocketAddr;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use cherrystand_core::ProbeFailure;
use http_body_util::{BodyExt, Full, Limited};
use hyper::{HeaderMap, Method, Request, StatusCode};
use serde::Serialize;
use serde::de::DeserializeOwned;

use crate::{BoxCall, CallPool, PooledAnswer, SendError, since_boot};

/// Maximum size of an answer, in bytes; the platform's lists are the largest answers.
const MAX_ANSWER_BYTES: usize = 32 << 20;

/// Maximum size of an answer of a box or a peer to a short call, in bytes. Many are read at the same time.
pub(crate) const MAX_BOX_ANSWER_BYTES: usize = 1 << 20;

/// Connecting may take the call's timeout divided by this, so that a failure to connect can be told
/// from a missing answer.
const CONNECT_TIMEOUT_DIVISOR: u32 = 2;

/// The reason why a call returned no usable answer.
#[derive(Debug, thiserror::Error)]
pub enum CallError {
    /// The request could not be sent or its answer did not begin.
    #[error(transparent)]
    Send(#[from] SendError),
    /// The call timed out; it may have taken effect.
    #[error("no answer within {0:?}")]
    TimedOut(Duration),
    /// The answer was interrupted; the call may have taken effect.
    #[error("the answer was interrupted: {0}")]
    AnswerInterrupted(String),
    /// The answer does not have the expected format.
    #[error("the answer is malformed")]
    Malformed(#[source] serde_json::Error),
    /// The path or a header is not valid in HTTP.
    #[error("the request is not valid in HTTP")]
    InvalidRequest(#[source] hyper::http::Error),
}

impl CallError {
    /// Returns how a probe or an order failed that ended with this error.
    pub fn probe_failure(&self) -> ProbeFailure {
        match self {
            Self::Send(err) => err.probe_failure(),
            Self::TimedOut(_) => ProbeFailure::Unanswered,
            Self::AnswerInterrupted(_) | Self::Malformed(_) | Self::InvalidRequest(_) => {
                ProbeFailure::Cut
            }
        }
    }
}

/// The answer to a short call.
#[derive(Clone, Debug)]
pub struct Answer {
    /// The HTTP status.
    pub status: StatusCode,
    /// The headers.
    pub headers: HeaderMap,
    /// The complete body.
    pub body: Bytes,
}

impl Answer {
    /// Parses the body as JSON.
    ///
    /// # Errors
    ///
    /// Returns [`CallError::Malformed`] if the body is not JSON of the expected type.
    pub fn json<T: DeserializeOwned>(&self) -> Result<T, CallError> {
        serde_json::from_slice(&self.body).map_err(CallError::Malformed)
    }
}

/// Makes a call and reads the complete answer within a timeout.
///
/// # Errors
///
/// Returns a [`CallError`]. Only [`CallError::Send`] with a failure to connect guarantees that the
/// call had no effect.
pub async fn call(
    pool: &impl CallPool,
    address: SocketAddr,
    method: Method,
    path: &str,
    body: Bytes,
    timeout: Duration,
) -> Result<Answer, CallError> {
    let request = BoxCall { method, path: path.to_owned(), headers: HeaderMap::new(), body };
    let req = request.into_request(address)?;
    call_within(pool, address, req, timeout, MAX_ANSWER_BYTES).await
}

/// Makes a call as [`call`] does to a box or a peer, whose answers are small.
///
/// # Errors
///
/// Returns the errors of [`call`].
pub async fn call_box(
    pool: &impl CallPool,
    address: SocketAddr,
    method: Method,
    path: &str,
    body: Bytes,
    timeout: Duration,
) -> Result<Answer, CallError> {
    let request = BoxCall { method, path: path.to_owned(), headers: HeaderMap::new(), body };
    let req = request.into_request(address)?;
    call_within(pool, address, req, timeout, MAX_BOX_ANSWER_BYTES).await
}

async fn call_within(
    pool: &impl CallPool,
    address: SocketAddr,
    req: Request<Full<Bytes>>,
    timeout: Duration,
    max_bytes: usize,
) -> Result<Answer, CallError> {
    let exchange = async {
        read_limited(pool.send_call(address, req, connect_timeout(timeout)).await?, max_bytes).await
    };
    let outcome = tokio::time::timeout(timeout, exchange).await;
    outcome.unwrap_or(Err(CallError::TimedOut(timeout)))
}

/// Tells when the first and the last part of an answer arrived, by the time since the machine's start.
#[derive(Debug, Default)]
pub struct AnswerProgress {
    first: Cell<Option<Duration>>,
    last: Cell<Option<Duration>>,
}

impl AnswerProgress {
    fn record(&self) {
        let now = since_boot();
        self.first.set(self.first.get().or(Some(now)));
        self.last.set(Some(now));
    }

    /// Returns when the answer began to arrive, or `None` if it has not.
    pub fn began_at(&self) -> Option<Duration> {
        self.first.get()
    }

    /// Returns how long ago the last part arrived, or `None` if none has.
    pub fn idle_for(&self) -> Option<Duration> {
        self.last.get().map(|at| since_boot().saturating_sub(at))
    }
}

/// How long the parts of a call may take.
#[derive(Clone, Copy, Debug)]
pub struct CallLimits {
    /// Connecting.
    pub connect: Duration,
    /// The time until the answer begins.
    pub first_part: Duration,
    /// The time between two parts of the answer.
    pub next_part: Duration,
}

/// Makes a call that may take as long as parts of its answer arrive.
///
/// # Errors
///
/// Returns the errors of [`call`].
pub async fn call_while_arriving(
    pool: &impl CallPool,
    address: SocketAddr,
    request: BoxCall,
    limits: CallLimits,
    progress: &AnswerProgress,
) -> Result<Answer, CallError> {
    let req = request.into_request(address)?;
    let answer =
        tokio::time::timeout(limits.first_part, pool.send_call(address, req, limits.connect));
    let answer = answer.await.map_err(|_| CallError::TimedOut(limits.first_part))??;
    progress.record();
    let PooledAnswer { head, body } = answer;
    let mut body = Limited::new(body, MAX_ANSWER_BYTES);
    let mut buf = BytesMut::new();
    loop {
        let part = tokio::time::timeout(limits.next_part, body.frame()).await;
        let part = part.map_err(|_| CallError::TimedOut(limits.next_part))?;
        progress.record();
        let Some(part) = part else { break };
        let part = part.map_err(|err| CallError::AnswerInterrupted(err.to_string()))?;
        part.data_ref().into_iter().for_each(|data| buf.extend_from_slice(data));
    }
    Ok(Answer { status: head.status(), headers: head.into_headers(), body: buf.freeze() })
}

/// Returns how long connecting may take in a call with a timeout.
pub fn connect_timeout(timeout: Duration) -> Duration {
    timeout / CONNECT_TIMEOUT_DIVISOR
}

impl BoxCall {
    /// Builds the HTTP request of this call.
    ///
    /// # Errors
    ///
    /// Returns [`CallError::InvalidRequest`] if the path or a header is not valid in HTTP.
    pub fn into_request(self, address: SocketAddr) -> Result<Request<Full<Bytes>>, CallError> {
        let mut req = Request::builder()
            .method(self.method)
            .uri(self.path)
            .header("host", address.to_string())
            .header("content-type", "application/json")
            .body(Full::new(self.body))
            .map_err(CallError::InvalidRequest)?;
        req.headers_mut().extend(self.headers);
        Ok(req)
    }
}

/// Reads a whole answer.
async fn read_limited(answer: PooledAnswer, max_bytes: usize) -> Result<Answer, CallError> {
    let PooledAnswer { head, body } = answer;
    let body = Limited::new(body, max_bytes)
        .collect()
        .await
        .map_err(|err| CallError::AnswerInterrupted(err.to_string()))?
        .to_bytes();
    Ok(Answer { status: head.status(), headers: head.into_headers(), body })
}

/// Serializes a value as JSON.
///
/// # Errors
///
/// Returns [`CallError::Malformed`] if the value cannot be represented in JSON.
pub fn to_json<T: Serialize>(value: &T) -> Result<Bytes, CallError> {
    let text = serde_json::to_vec(value).map_err(CallError::Malformed)?;
    Ok(Bytes::from(text))
}
