//! Sending one attempt of a request to an endpoint.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use cherrystand_core::{AttemptEnd, Outcome, SendPermit, are_too_many_small_parts};
use cherrystand_platform::{
    BodyBuffer, BufferBudget, BufferReservation, IdentifiedAnswer, IdentifiedHead, PooledBody,
    SendError, SiteDriver,
};
use http_body_util::BodyExt;
use hyper::StatusCode;
use hyper::body::Body;

use crate::site::Driver;
use crate::site::active_attempt::ActiveAttempt;
use crate::site::box_client::BoxAddress;
use crate::site::frontend::Frontend;
use crate::site::request::SiteRequest;

/// The timeout for establishing a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(250);

/// An answer whose head has arrived.
pub(crate) struct StartedAnswer {
    pub(crate) head: IdentifiedHead,
    /// The body, which is still arriving.
    pub(crate) body: PooledBody,
    /// The attempt that brought it.
    pub(crate) attempt: Rc<ActiveAttempt>,
}

/// Sends a request to an endpoint and waits for the head of the answer.
///
/// It has no timeout of its own; the caller decides how long to wait. It ends when the endpoint
/// answers or fails, or when its replica is known to be lost.
pub(crate) async fn send(
    frontend: Rc<Frontend>,
    req: Rc<SiteRequest>,
    attempt: Rc<ActiveAttempt>,
    last_event_id: Option<u64>,
) -> Result<StartedAnswer, AttemptEnd> {
    let Some(address) = frontend.address_of(&attempt.target) else {
        return Err(AttemptEnd::NotSent);
    };
    let Some(permit) = attempt.take_permit() else {
        return Err(AttemptEnd::NotSent);
    };
    req.set_may_have_run(true);
    let sent = send_permitted(&frontend, &req, &attempt, permit, address, last_event_id).await;
    if sent.as_ref().is_err_and(|end| end.outcome() == Outcome::NotRun) {
        req.set_may_have_run(false);
    }
    sent.map(|IdentifiedAnswer { head, body }| StartedAnswer { head, body, attempt })
}

async fn send_permitted(
    frontend: &Frontend,
    req: &SiteRequest,
    attempt: &ActiveAttempt,
    permit: SendPermit,
    address: SocketAddr,
    last_event_id: Option<u64>,
) -> Result<IdentifiedAnswer, AttemptEnd> {
    frontend.observe_store_age(&attempt.target, attempt.started_at, req);
    let outgoing = req.endpoint_request::<Driver>(
        &attempt.target,
        last_event_id,
        attempt.priority,
        frontend.now(),
    );
    let to = BoxAddress {
        id: attempt.target.clone(),
        address,
        max_idle: frontend.max_idle_connections(&req.service),
        connect_timeout: CONNECT_TIMEOUT,
    };
    let sent = tokio::select! {
        sent = frontend.boxes.send_permitted(permit, &to, outgoing, &attempt.path) => sent,
        () = attempt.aborted() => return Err(AttemptEnd::ReplicaLost),
    };
    let answer = sent.map_err(|err| {
        match err {
            SendError::Connect { .. } | SendError::ConnectTimedOut(_) => {
                frontend.record_connect_failure(&attempt.target, &err);
                frontend.report_unreachable(attempt)
            }
            SendError::NotSent(_) => {
                attempt.failed();
                attempt.eject();
            }
            SendError::ConnectionLost(_) | SendError::LostBehindCarrier => {
                attempt.interrupted();
                attempt.eject();
            }
            SendError::Malformed(_) | SendError::ForeignAnswer => {
                log::info!(
                    target_box = attempt.target.as_str(),
                    request = req.headers.id.as_deref().unwrap_or_default();
                    "{err}"
                );
                attempt.failed();
            }
            // It says nothing of the box.
            SendError::CarrierLost(_) => {}
        }
        err.attempt_end()
    })?;
    check_head(frontend, req, answer, attempt)
}

/// Accepts an answer only if the endpoint itself wrote it and ran the request.
fn check_head(
    frontend: &Frontend,
    req: &SiteRequest,
    answer: IdentifiedAnswer,
    attempt: &ActiveAttempt,
) -> Result<IdentifiedAnswer, AttemptEnd> {
    let headers = Driver::read_answer(&answer.head);
    frontend.apply_signals(attempt, &headers);
    frontend.apply_limit(attempt, answer.head.status(), &headers);
    frontend.apply_cold_start(attempt, req, &headers);
    let status = answer.head.status();
    if headers.not_run {
        if status != StatusCode::MISDIRECTED_REQUEST {
            attempt.refused();
            return Err(AttemptEnd::Refused);
        }
        frontend.report_not_serving(attempt);
        return Err(AttemptEnd::NotServing);
    }
    if status.is_success() && !headers.sealed {
        // An unsealed answer doesn't come from the endpoint itself.
        answer.body.discard();
        attempt.failed();
        return Err(AttemptEnd::AnswerCut);
    }
    let not_run_statuses = [
        StatusCode::SERVICE_UNAVAILABLE,
        StatusCode::TOO_MANY_REQUESTS,
        StatusCode::REQUEST_TIMEOUT,
    ];
    if not_run_statuses.contains(&status) {
        // The endpoint doesn't state that it did not run the request, so this node must not claim
        // it either.
        attempt.failed();
        return Err(AttemptEnd::AnswerCut);
    }
    Ok(answer)
}

/// Reads the rest of an answer. It waits for memory before reading on, and fails if the answer can
/// never fit.
pub(crate) async fn read_to_end(
    mut body: PooledBody,
    buffer_budget: &BufferBudget,
) -> Result<(Bytes, BufferReservation), AttemptEnd> {
    let announced = usize::try_from(body.size_hint().lower()).unwrap_or(usize::MAX);
    check_fits(buffer_budget, announced)?;
    let mut read = BodyBuffer::new(buffer_budget.reserve(announced).await);
    let mut parts = 0;
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|err| {
            log::info!(bytes = read.len() as u64; "an answer is not passed on: {err}");
            AttemptEnd::AnswerCut
        })?;
        let Ok(data) = frame.into_data() else { continue };
        parts += 1;
        if are_too_many_small_parts(parts, read.len()) {
            log::warn!(bytes = read.len() as u64; "an answer comes in too many small parts");
            return Err(AttemptEnd::AnswerCut);
        }
        check_fits(buffer_budget, read.len() + data.len())?;
        let more = buffer_budget.reserve_more(read.len(), read.additional_needed(&data)).await;
        let more = more.map_err(|err| {
            log::warn!(bytes = read.len() as u64; "an answer ends early: {err}");
            AttemptEnd::AnswerCut
        })?;
        read.push(&data, more);
    }
    Ok(read.finish())
}

/// Fails if an answer of so many bytes can never fit into memory.
fn check_fits(buffer_budget: &BufferBudget, bytes: usize) -> Result<(), AttemptEnd> {
    if buffer_budget.fits_when_empty(bytes) {
        return Ok(());
    }
    log::warn!(bytes = bytes as u64; "an answer exceeds the memory limit for buffered bodies");
    Err(AttemptEnd::AnswerCut)
}
