//! Claims on calls that must run at most once, which the relay requests from the claims duty.

use cherrystand_core::{ClaimRequest, ClaimResponse, IdempotencyKey, Outcome};
use tokio::sync::oneshot;

use crate::DutyContext;

/// A request to the claims duty for one change to a claim.
#[derive(Debug)]
pub(crate) struct ClaimMessage {
    /// The requested change.
    pub(crate) request: ClaimRequest,
    /// Receives the answer; dropped if the platform does not answer.
    pub(crate) answer: Option<oneshot::Sender<ClaimResponse>>,
}

/// Claims the call with the given key. Returns `None` if the platform does not answer in time, or if the
/// claims duty has too many requests waiting.
pub(crate) async fn acquire(cx: &DutyContext, key: IdempotencyKey) -> Option<ClaimResponse> {
    let (tx, rx) = oneshot::channel();
    let message = ClaimMessage { request: ClaimRequest::Acquire(key), answer: Some(tx) };
    cx.claims.try_send(message).ok()?;
    rx.await.ok()
}

/// Releases the claim of a call that certainly did not run.
pub(crate) fn release(cx: &DutyContext, key: IdempotencyKey) {
    send(cx, ClaimRequest::Release(key));
}

/// Records the outcome of a claimed call.
pub(crate) fn complete(cx: &DutyContext, key: IdempotencyKey, outcome: Outcome) {
    send(cx, ClaimRequest::Complete(key, outcome));
}

/// Sends a change without waiting for the answer. If the change is lost, the claim stays without an
/// outcome and a repeated call is answered with `unknown`. That is safe, but the caller does not learn
/// whether the call ran.
fn send(cx: &DutyContext, request: ClaimRequest) {
    let message = ClaimMessage { request, answer: None };
    if cx.claims.try_send(message).is_err() {
        cx.metrics.ring_full.with_label_values(&["claims"]).inc();
    }
}
