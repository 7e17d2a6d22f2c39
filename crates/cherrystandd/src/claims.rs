//! How the relay asks for claims on calls.

use cherrystand_core::{ClaimRequest, ClaimResponse, IdempotencyKey, Outcome};
use tokio::sync::oneshot;

use crate::DutyContext;

/// Asks the claims duty for one change, answered through the channel.
#[derive(Debug)]
pub(crate) struct ClaimCall {
    /// The change.
    pub(crate) request: ClaimRequest,
    /// Where the answer goes; it is dropped when the platform does not answer.
    pub(crate) answer: Option<oneshot::Sender<ClaimResponse>>,
}

/// Claims a call; nothing is returned when the platform does not answer in time.
pub(crate) async fn take(cx: &DutyContext, key: IdempotencyKey) -> Option<ClaimResponse> {
    let (tx, rx) = oneshot::channel();
    let call = ClaimCall { request: ClaimRequest::Acquire(key), answer: Some(tx) };
    cx.claims.try_send(call).ok()?;
    rx.await.ok()
}

/// Gives a claim up, since the call was certainly not run.
pub(crate) fn give_up(cx: &DutyContext, key: IdempotencyKey) {
    note(cx, ClaimRequest::Release(key));
}

/// Notes what became of a claimed call.
pub(crate) fn settle(cx: &DutyContext, key: IdempotencyKey, outcome: Outcome) {
    note(cx, ClaimRequest::Complete(key, outcome));
}

/// A note that is lost leaves the claim as it is, which answers `unknown`: safe, and less helpful.
fn note(cx: &DutyContext, request: ClaimRequest) {
    let call = ClaimCall { request, answer: None };
    if cx.claims.try_send(call).is_err() {
        cx.metrics.ring_full.with_label_values(&["claims"]).inc();
    }
}
