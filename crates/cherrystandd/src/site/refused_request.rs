//! The answers to requests that this node itself refuses.

use cherrystand_core::{Millis, RefusalReason};
use hyper::StatusCode;

use crate::site::frontend::Frontend;
use crate::site::request::SiteRequest;

/// The `Retry-After` of a request for which no endpoint is in service.
const DEFAULT_RETRY_AFTER: Millis = Millis(300);

/// The `Retry-After` of a request that another daemon can serve.
const STOPPING_RETRY_AFTER: Millis = Millis(50);

/// A refusal by this node itself.
pub(super) struct RefusedRequest {
    pub(super) status: StatusCode,
    /// The reason, as metrics name it.
    pub(super) reason: &'static str,
    /// When the caller may retry, if that makes sense.
    pub(super) retry_after: Option<Millis>,
}

impl From<StatusCode> for RefusedRequest {
    fn from(status: StatusCode) -> Self {
        let retryable = [StatusCode::SERVICE_UNAVAILABLE, StatusCode::TOO_MANY_REQUESTS];
        let retry_after = retryable.contains(&status).then_some(DEFAULT_RETRY_AFTER);
        Self { status, reason: refusal_reason(status), retry_after }
    }
}

impl RefusedRequest {
    /// Refuses a request with the status of the reason.
    fn new(reason: RefusalReason, retry_after: Option<Millis>) -> Self {
        let status = StatusCode::from_u16(reason.status()).unwrap_or(StatusCode::BAD_GATEWAY);
        Self { status, reason: reason.as_str(), retry_after }
    }

    /// Refuses a request that crashed each replica that ran it.
    ///
    /// The refusal doesn't claim that the request wasn't run, because earlier attempts have run, and it
    /// names no time to retry.
    pub(super) fn crashing() -> Self {
        Self::new(RefusalReason::EndsReplicas, None)
    }

    /// Refuses a request that this daemon, which is shutting down, can't be expected to finish. Other daemons
    /// take it at once.
    pub(super) fn stopping() -> Self {
        Self::new(RefusalReason::Stopping, Some(STOPPING_RETRY_AFTER))
    }

    /// Ends a request that has not finished when this daemon closes. It may have run, unless no connection has
    /// carried it.
    pub(super) fn unfinished(req: &SiteRequest) -> Self {
        if req.tries.is_empty() {
            return Self::stopping();
        }
        let reason = RefusalReason::Stopping.as_str();
        Self { status: StatusCode::BAD_GATEWAY, reason, retry_after: None }
    }
}

/// Builds the refusal of a request that was not served. If every endpoint is in backoff or at its
/// limit, the reason and the `Retry-After` say so.
pub(super) fn refusal_for(
    frontend: &Frontend,
    req: &SiteRequest,
    status: StatusCode,
) -> RefusedRequest {
    let refused = RefusedRequest::from(status);
    if status != StatusCode::SERVICE_UNAVAILABLE {
        return refused;
    }
    match frontend.unavailable_until(req) {
        None => refused,
        Some(until) => RefusedRequest {
            reason: RefusalReason::EndpointsRest.as_str(),
            retry_after: Some(frontend.retry_after(until)),
            ..refused
        },
    }
}

/// Returns the reason for a refusal by this node, as metrics name it.
fn refusal_reason(status: StatusCode) -> &'static str {
    match status {
        StatusCode::UNAUTHORIZED => "no-key",
        StatusCode::NOT_FOUND => "no-route",
        StatusCode::PAYLOAD_TOO_LARGE | StatusCode::REQUEST_HEADER_FIELDS_TOO_LARGE => {
            RefusalReason::TooLarge.as_str()
        }
        StatusCode::SERVICE_UNAVAILABLE => RefusalReason::NoneServing.as_str(),
        StatusCode::GATEWAY_TIMEOUT => RefusalReason::DeadlinePassed.as_str(),
        StatusCode::BAD_REQUEST => RefusalReason::BadRequest.as_str(),
        _ => RefusalReason::EndpointsFailed.as_str(),
    }
}
