//! How the relay asks for claims on calls.

use cherrystand_core::{ClaimRequest, ClaimResponse, IdempotencyKey, Outcome};
use tokio::sync::oneshot;

use crate::DutyContext;

/// Asks the claims duty for one change, answered through the channel.
#[derive(Debug)]
pub(crate) struct ClaimMessage {
    /// The change.
    pub(crate) request: ClaimRequest,
    /// Where the answer goes; it is dropped when the platform does not answer.
    pub(crate) answer: Option<oneshot::Sender<ClaimResponse>>,
}

/// Claims a call; nothing is returned when the platform does not answer in time.
pub(crate) async fn acquire(cx: &DutyContext, key: IdempotencyKey) -> Option<ClaimResponse> {
    let (tx, rx) = oneshot::channel();
    let call = ClaimMessage { request: ClaimRequest::Acquire(key), answer: Some(tx) };
    cx.claims.try_send(call).ok()?;
    rx.await.ok()
}

/// Gives a claim up, since the call was certainly not run.
pub(crate) fn release(cx: &DutyContext, key: IdempotencyKey) {
    send(cx, ClaimRequest::Release(key));
}

/// Notes what became of a claimed call.
pub(crate) fn complete(cx: &DutyContext, key: IdempotencyKey, outcome: Outcome) {
    send(cx, ClaimRequest::Complete(key, outcome));
}

/// A note that is lost leaves the claim as it is, which answers `unknown`: safe, and less helpful.
fn send(cx: &DutyContext, request: ClaimRequest) {
    let call = ClaimMessage { request, answer: None };
    if cx.claims.try_send(call).is_err() {
        cx.metrics.ring_full.with_label_values(&["claims"]).inc();
    }
}
