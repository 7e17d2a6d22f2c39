//! Handles a request from its arrival to its answer.

use std::rc::Rc;
use std::time::Duration;

use cherrystand_core::{
    AttemptEnd, CLAIM_USE_TIMEOUT, ClaimResponse, EndpointKey, FailedAttempt, IdempotencyKey,
    Millis, NoRetry, Outcome, RefusalReason, decide_retry,
};
use hyper::body::Incoming;
use hyper::{Method, Request, Response, StatusCode};

use crate::claims;
use crate::relay::active_attempt::{ActiveAttempt, StartedAnswer, run_attempt};
use crate::relay::admitted_request::AdmittedRequest;
use crate::relay::answer::{self, Failure, plain_text, retry_later};
use crate::relay::body::RelayBody;
use crate::relay::call::{Call, read_call};
use crate::relay::queued_request::wait_for_endpoint;
use crate::relay::relay_state::Relay;
use crate::relay::status_pages::{metrics, models, readiness};
use crate::relay::stream::RelayedStream;

/// An idempotent call to a service is hedged, which means sent to a second endpoint as well, once
/// it has waited this many times the typical latency.
const HEDGE_LATENCY_FACTOR: u64 = 3;

/// The shortest and the longest wait before a call is hedged.
const HEDGE_DELAY_RANGE: (Millis, Millis) = (Millis(15), Millis(250));

/// How often a late call that could not be hedged is tried again.
const HEDGE_RETRY_INTERVAL: Duration = Duration::from_millis(50);

/// Answers one request of a caller, the load balancer or the metrics collector.
pub(crate) async fn handle(relay: Rc<Relay>, req: Request<Incoming>) -> Response<RelayBody> {
    match (req.method(), req.uri().path()) {
        (&Method::GET, "/livez") => plain_text(StatusCode::OK, "live\n"),
        (&Method::GET, "/readyz") => readiness(&relay),
        (&Method::GET, "/metrics") => metrics(&relay),
        (&Method::GET, "/v1/models") => models(&relay),
        _ => serve(relay, req).await,
    }
}

async fn serve(relay: Rc<Relay>, req: Request<Incoming>) -> Response<RelayBody> {
    let id = match relay.request_id(&req) {
        Ok(id) => id,
        Err(reason) => return respond_with_failure(&relay, &Failure::permanent(reason), ""),
    };
    match serve_call(&relay, req, id.clone()).await {
        Ok(answer) => answer,
        Err(failure) => respond_with_failure(&relay, &failure, &id),
    }
}

fn respond_with_failure(relay: &Relay, failure: &Failure, id: &str) -> Response<RelayBody> {
    let reason = failure.refusal.reason.as_str();
    relay.cx.metrics.refusals.with_label_values(&[reason]).inc();
    let response = answer::failure_response(failure, id);
    relay.cx.metrics.record_answer(failure.outcome, response.status().as_u16());
    response
}

async fn serve_call(
    relay: &Rc<Relay>,
    req: Request<Incoming>,
    id: String,
) -> Result<Response<RelayBody>, Failure> {
    let view = relay.fresh_view().await;
    let view = view
        .filter(|view| view.serve_by.may_serve())
        .ok_or_else(|| retry_later(RefusalReason::ConfigurationOld))?;
    relay.core.borrow_mut().apply_routes(&view.routes, relay.now());
    let call = read_call(&relay.cx, &relay.core, req, id).await.map_err(Failure::permanent)?;
    let call = Rc::new(call);
    relay.cx.metrics.requests.with_label_values(&[call.class.as_str()]).inc();
    let mut admitted = AdmittedRequest::admit(relay, &call).map_err(Failure::not_run)?;
    match run_call(relay, &call, &mut admitted).await {
        Ok(started) => Ok(relay_answer(relay, &call, started, admitted)),
        Err(failure) => {
            admitted.end(failure.outcome, Some(failure.refusal.reason));
            Err(failure)
        }
    }
}

async fn run_call(
    relay: &Rc<Relay>,
    call: &Rc<Call>,
    admitted: &mut AdmittedRequest,
) -> Result<StartedAnswer, Failure> {
    let arrived_at = relay.now();
    if let Some(key) = call.key {
        acquire_claim(relay, call, key).await?;
        admitted.claimed = true;
    }
    let mut attempts = 0;
    if let Some(group) = relay.core.borrow_mut().group_mut(call.group) {
        group.retry_budget.earn();
    }
    loop {
        let chosen = wait_for_endpoint(relay, call).await?;
        let endpoint = chosen.endpoint;
        let attempt = ActiveAttempt::start(relay.clone(), call.clone(), chosen);
        attempts += 1;
        if call.key.is_some() && relay.now().since(arrived_at) > CLAIM_USE_TIMEOUT {
            // Nothing was sent yet; a claim this old is released instead of used.
            return Err(retry_later(RefusalReason::KeysOutOfReach));
        }
        let typical_latency = relay.core.borrow().typical_latency(endpoint);
        let end = match attempt_with_hedge(relay, call, attempt, endpoint).await {
            Ok(started) => return Ok(started),
            Err(end) => end,
        };
        check_retry(relay, call, end, attempts, typical_latency)?;
        let retries = &relay.cx.metrics.retries;
        retries.with_label_values(&[end.as_str()]).inc();
    }
}

/// Claims the idempotency key of a call, within the caller's deadline.
async fn acquire_claim(relay: &Relay, call: &Call, key: IdempotencyKey) -> Result<(), Failure> {
    let remaining = Duration::from_millis(call.deadline.since(relay.now()).0);
    let answer = tokio::time::timeout(remaining, claims::acquire(&relay.cx, key)).await;
    match answer.ok().flatten() {
        Some(ClaimResponse::Granted) => Ok(()),
        Some(ClaimResponse::AlreadyClaimed(claim)) => Err(Failure::already_claimed(&claim)),
        // The claim isn't released, even if it turns out to be written: this daemon may hold the
        // key for an earlier copy of the request that still runs, and a release would let another
        // daemon run it again.
        Some(ClaimResponse::ShardFull | ClaimResponse::Recorded) | None => {
            Err(retry_later(RefusalReason::KeysOutOfReach))
        }
    }
}

/// Makes one attempt, and a second one in parallel if the first is late and may be hedged.
async fn attempt_with_hedge(
    relay: &Rc<Relay>,
    call: &Rc<Call>,
    attempt: ActiveAttempt,
    endpoint: EndpointKey,
) -> Result<StartedAnswer, AttemptEnd> {
    let first_end = attempt.end_if_dropped();
    let mut first = std::pin::pin!(run_attempt(attempt));
    if !call.is_idempotent || call.is_model {
        return first.await;
    }
    let second = tokio::select! {
        biased;
        done = &mut first => return done,
        second = hedge(relay, call, endpoint) => second,
    };
    let second_end = second.end_if_dropped();
    let mut second = std::pin::pin!(run_attempt(second));
    let (done, first_done) = tokio::select! {
        done = &mut first => (done, true),
        done = &mut second => (done, false),
    };
    match (done, first_done) {
        (Ok(started), true) => {
            second_end.set(AttemptEnd::NotNeeded);
            Ok(started)
        }
        (Ok(started), false) => {
            first_end.set(AttemptEnd::Overtaken);
            Ok(started)
        }
        (Err(_), true) => second.await,
        (Err(_), false) => first.await,
    }
}

/// Waits until a call is late, and then until a retry is left and another endpoint can take it.
async fn hedge(relay: &Rc<Relay>, call: &Rc<Call>, first: EndpointKey) -> ActiveAttempt {
    let typical_latency = relay.core.borrow().typical_latency(first);
    let delay = Millis(typical_latency.0 * HEDGE_LATENCY_FACTOR)
        .clamp(HEDGE_DELAY_RANGE.0, HEDGE_DELAY_RANGE.1);
    tokio::time::sleep(Duration::from_millis(delay.0)).await;
    loop {
        if let Some(second) = start_hedge(relay, call, first) {
            return second;
        }
        tokio::time::sleep(HEDGE_RETRY_INTERVAL).await;
    }
}

fn start_hedge(relay: &Rc<Relay>, call: &Rc<Call>, first: EndpointKey) -> Option<ActiveAttempt> {
    let mut core = relay.core.borrow_mut();
    let now = relay.now();
    let budget = &mut core.group_mut(call.group)?.retry_budget;
    budget.grant_if_empty(now);
    if budget.left() == 0 {
        return None;
    }
    let chosen = core.start_other_attempt(call.group, first, now)?;
    core.group_mut(call.group)?.retry_budget.spend();
    drop(core);
    relay.cx.metrics.retries.with_label_values(&[AttemptEnd::Overtaken.as_str()]).inc();
    Some(ActiveAttempt::start(relay.clone(), call.clone(), chosen))
}

/// Returns `Ok` if the request may be retried, or else the failure to answer its caller with.
fn check_retry(
    relay: &Relay,
    call: &Call,
    end: AttemptEnd,
    attempts: u32,
    typical_latency: Millis,
) -> Result<(), Failure> {
    let failed_attempt = FailedAttempt {
        end,
        attempts,
        is_idempotent: call.is_idempotent,
        answer_started: false,
        can_resend: true,
        remaining: call.deadline.since(relay.now()),
        typical_duration: typical_latency,
    };
    let mut core = relay.core.borrow_mut();
    let Some(group) = core.group_mut(call.group) else {
        return Err(failure_from(end));
    };
    group.retry_budget.grant_if_empty(relay.now());
    decide_retry(&failed_attempt, &mut group.retry_budget).map_err(|reason: NoRetry| {
        let rejected = &relay.cx.metrics.retries_withheld;
        rejected.with_label_values(&[reason.as_str()]).inc();
        failure_from(end)
    })
}

fn failure_from(end: AttemptEnd) -> Failure {
    let reason = match end {
        AttemptEnd::TimedOut => RefusalReason::DeadlinePassed,
        _ => RefusalReason::EndpointsFailed,
    };
    match end.outcome() {
        Outcome::NotRun => retry_later(reason),
        _ => Failure::unknown(reason),
    }
}

/// Builds the answer to the caller from the endpoint's answer.
fn relay_answer(
    relay: &Relay,
    call: &Call,
    started: StartedAnswer,
    mut admitted: AdmittedRequest,
) -> Response<RelayBody> {
    let is_event_stream = started.is_event_stream();
    let StartedAnswer { head, buffered, remaining_body, attempt } = started;
    let body = match remaining_body {
        None => {
            admitted.end(Outcome::Ran, None);
            RelayBody::whole(buffered)
        }
        Some(remaining_body) => {
            let stream =
                RelayedStream::new(buffered, remaining_body, is_event_stream, attempt, admitted);
            RelayBody::Stream(Box::new(stream))
        }
    };
    let mut response = head.into_response(&call.head.method, body);
    answer::set_outcome_headers(&mut response, Outcome::Ran, &call.id);
    relay.cx.metrics.record_answer(Outcome::Ran, response.status().as_u16());
    response
}
