//! Answers that the daemon generates itself.

use bytes::Bytes;
use cherrystand_core::{Claim, Millis, Outcome, Refusal, RefusalReason};
use hyper::header::{CONTENT_TYPE, HeaderName, HeaderValue, RETRY_AFTER};
use hyper::{Response, StatusCode};
use serde::Serialize;

use crate::relay::body::RelayBody;
use crate::relay::headers::{OUTCOME, REQUEST_ID, RETRY_AFTER_MS};

/// Builds a plain-text answer.
pub(crate) fn plain_text(status: StatusCode, text: impl Into<Bytes>) -> Response<RelayBody> {
    let mut response = Response::new(RelayBody::whole(text));
    *response.status_mut() = status;
    response
}

/// Builds a JSON answer.
pub(crate) fn json<T: Serialize>(status: StatusCode, value: &T) -> Response<RelayBody> {
    let text = serde_json::to_vec(value).unwrap_or_default();
    let mut response = plain_text(status, text);
    let content_type = HeaderValue::from_static("application/json");
    response.headers_mut().insert(CONTENT_TYPE, content_type);
    response
}

#[derive(Serialize)]
struct ErrorBody<'a> {
    error: ErrorDetail<'a>,
}

#[derive(Serialize)]
struct ErrorDetail<'a> {
    reason: &'a str,
    outcome: &'a str,
    message: &'a str,
    request: &'a str,
    #[serde(skip_serializing_if = "Option::is_none")]
    retry_after_ms: Option<u64>,
}

/// Why a request got no answer from an endpoint.
#[derive(Clone, Debug)]
pub(crate) struct Failure {
    /// Whether the request was run.
    pub(crate) outcome: Outcome,
    /// The reason, and when the caller may retry.
    pub(crate) refusal: Refusal,
}

impl Failure {
    /// Creates the failure of a request that was certainly not run.
    pub(crate) fn not_run(refusal: Refusal) -> Self {
        Self { outcome: Outcome::NotRun, refusal }
    }

    /// Creates the failure of a request that was not run and that a retry won't help.
    pub(crate) fn permanent(reason: RefusalReason) -> Self {
        Self::not_run(Refusal::final_for(reason))
    }

    /// Creates the failure of a request that may have been run.
    pub(crate) fn unknown(reason: RefusalReason) -> Self {
        Self { outcome: Outcome::Unknown, refusal: Refusal::final_for(reason) }
    }

    /// Creates the failure of a request whose idempotency key was claimed before.
    pub(crate) fn already_claimed(claim: &Claim) -> Self {
        let outcome = match claim.outcome {
            Some(Outcome::Ran) => Outcome::Ran,
            _ => Outcome::Unknown,
        };
        Self { outcome, refusal: Refusal::final_for(RefusalReason::KeyInUse) }
    }
}

/// When a caller may retry if no endpoint was in service or all of them failed.
pub(crate) const DEFAULT_RETRY_AFTER: Millis = Millis(1_000);

/// Returns the failure of a request that was not run and may be sent again.
pub(crate) fn retry_later(reason: RefusalReason) -> Failure {
    Failure::not_run(Refusal::with_retry_after(reason, DEFAULT_RETRY_AFTER))
}

/// Builds the error answer to a request that got no answer from an endpoint.
pub(crate) fn failure_response(failure: &Failure, request: &str) -> Response<RelayBody> {
    let reason = failure.refusal.reason;
    let retry_after = failure.refusal.retry_after;
    let body = ErrorBody {
        error: ErrorDetail {
            reason: reason.as_str(),
            outcome: failure.outcome.as_str(),
            message: message(reason, failure.outcome),
            request,
            retry_after_ms: retry_after.map(|delay| delay.0),
        },
    };
    let status = StatusCode::from_u16(reason.status()).unwrap_or(StatusCode::BAD_GATEWAY);
    let mut response = json(status, &body);
    set_outcome_headers(&mut response, failure.outcome, request);
    if let Some(delay) = retry_after {
        insert_number_header(&mut response, RETRY_AFTER, whole_seconds(delay));
        insert_number_header(&mut response, RETRY_AFTER_MS, delay.0);
    }
    response
}

/// Sets the headers with the outcome and the request's id.
pub(crate) fn set_outcome_headers<B>(response: &mut Response<B>, outcome: Outcome, request: &str) {
    let outcome = HeaderValue::from_static(outcome.as_str());
    response.headers_mut().insert(OUTCOME, outcome);
    if let Ok(id) = HeaderValue::from_str(request) {
        response.headers_mut().insert(REQUEST_ID, id);
    }
}

fn insert_number_header<B>(response: &mut Response<B>, name: HeaderName, number: u64) {
    response.headers_mut().insert(name, HeaderValue::from(number));
}

fn whole_seconds(delay: Millis) -> u64 {
    delay.0.div_ceil(1_000).max(1)
}

fn message(reason: RefusalReason, outcome: Outcome) -> &'static str {
    match (reason, outcome) {
        (RefusalReason::BadRequest, _) => {
            "The request cannot be understood; check its body and headers."
        }
        (RefusalReason::TooLarge, _) => "The request's body is too large.",
        (RefusalReason::UnknownTarget, _) => {
            "No group serves this model or path; GET /v1/models lists the models."
        }
        (RefusalReason::NodeFull, _) => {
            "There is no room for the request now; come back after Retry-After."
        }
        (RefusalReason::WorkspaceShare, _) => {
            "The workspace has its share of a busy node; come back after Retry-After."
        }
        (RefusalReason::WaitTooLong, _) => {
            "The wait would be too long; come back after Retry-After."
        }
        (RefusalReason::NoneServing, _) => {
            "No endpoint of the group serves now; come back after Retry-After."
        }
        (RefusalReason::DeadlinePassed, Outcome::NotRun) => {
            "The deadline passed before the request was sent."
        }
        (RefusalReason::DeadlinePassed, _) => {
            "The deadline passed before an answer came; the request may have been run."
        }
        (RefusalReason::EndpointsFailed, Outcome::NotRun) => {
            "No endpoint could take the request; come back after Retry-After."
        }
        (RefusalReason::EndpointsFailed, _) => {
            "The endpoint failed while it had the request; it may have been run."
        }
        (RefusalReason::KeyInUse, Outcome::Ran) => {
            "The call with this key was run and answered before."
        }
        (RefusalReason::KeyInUse, _) => {
            "The call with this key was taken before; it may have been run or be running."
        }
        (RefusalReason::KeysOutOfReach, _) => {
            "The key cannot be claimed now; come back after Retry-After."
        }
        (RefusalReason::ConfigurationOld, _) => {
            "This node is cut off and does not serve; try another one."
        }
        (RefusalReason::Stopping, _) => "This node is stopping; try another one.",
        (RefusalReason::EndpointsRest, _) => {
            "Every endpoint asked to be left alone for now; come back after Retry-After."
        }
        (RefusalReason::EndsReplicas, _) => {
            "Each replica that ran this request ended; do not send it again unchanged."
        }
    }
}
