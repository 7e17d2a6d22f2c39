//! One request from its arrival to its answer.

use std::rc::Rc;
use std::time::Duration;

use cherrystand_core::{
    AttemptEnd, CLAIM_USE_TIMEOUT, ClaimResponse, FailedAttempt, IdempotencyKey, Millis, NoRetry,
    Outcome, RefusalReason, decide_retry,
};
use hyper::body::Incoming;
use hyper::{Method, Request, Response, StatusCode};

use crate::claims;
use crate::relay::admitted::Admitted;
use crate::relay::answer::{self, Failure, come_back, plain_text};
use crate::relay::attempt::{Begun, InFlight, attempt};
use crate::relay::body::RelayBody;
use crate::relay::call::{Call, read_call};
use crate::relay::headers;
use crate::relay::relay_state::Relay;
use crate::relay::status_pages::{metrics, models, readiness};
use crate::relay::stream::RelayedStream;
use crate::relay::waiting::next_endpoint;

/// A repeatable call to a service is sent to a second endpoint once its answer is this many
/// times as late as usual.
const HEDGE_FACTOR: u64 = 3;

/// The least and the most time before a second endpoint is asked.
const HEDGE_WITHIN: (Millis, Millis) = (Millis(15), Millis(250));

/// Answers one request of a caller, or of the balancer.
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
        Err(reason) => return fail(&relay, &Failure::never(reason), ""),
    };
    match serve_call(&relay, req, id.clone()).await {
        Ok(answer) => answer,
        Err(failure) => fail(&relay, &failure, &id),
    }
}

fn fail(relay: &Relay, failure: &Failure, id: &str) -> Response<RelayBody> {
    let reason = failure.refusal.reason.as_str();
    relay.cx.metrics.refusals.with_label_values(&[reason]).inc();
    let made = answer::failure(failure, id);
    relay.cx.metrics.record_answer(failure.outcome, made.status().as_u16());
    made
}

async fn serve_call(
    relay: &Rc<Relay>,
    req: Request<Incoming>,
    id: String,
) -> Result<Response<RelayBody>, Failure> {
    let view = relay.fresh_view().await;
    let view = view
        .filter(|view| view.serve_by.may_serve())
        .ok_or_else(|| come_back(RefusalReason::ConfigurationOld))?;
    relay.core.borrow_mut().follow(&view.routes, relay.now());
    let call = read_call(&relay.cx, &relay.core, req, id).await.map_err(Failure::never)?;
    let call = Rc::new(call);
    relay.cx.metrics.requests.with_label_values(&[call.class.as_str()]).inc();
    let mut admitted = Admitted::enter(relay, &call).map_err(Failure::not_run)?;
    match run_call(relay, &call, &mut admitted).await {
        Ok(begun) => Ok(pass_on(relay, &call, begun, admitted)),
        Err(failure) => {
            admitted.end(failure.outcome, Some(failure.refusal.reason));
            Err(failure)
        }
    }
}

async fn run_call(
    relay: &Rc<Relay>,
    call: &Rc<Call>,
    admitted: &mut Admitted,
) -> Result<Begun, Failure> {
    let asked = relay.now();
    if let Some(key) = call.key {
        claim(relay, call, key).await?;
        admitted.claimed = true;
    }
    let mut attempts = 0;
    if let Some(group) = relay.core.borrow_mut().group_mut(call.group) {
        group.budget.earn();
    }
    loop {
        let chosen = next_endpoint(relay, call).await?;
        let endpoint = chosen.endpoint;
        let in_flight = InFlight::start(relay.clone(), call.clone(), chosen);
        attempts += 1;
        if call.key.is_some() && relay.now().since(asked) > CLAIM_USE_TIMEOUT {
            // Nothing was sent; a claim this old is given up rather than used.
            return Err(come_back(RefusalReason::KeysOutOfReach));
        }
        let usual = relay.core.borrow().usual(endpoint);
        let end = match try_endpoint(relay, call, in_flight, usual).await {
            Ok(begun) => return Ok(begun),
            Err(end) => end,
        };
        after_failure(relay, call, end, attempts, usual)?;
        let retries = &relay.cx.metrics.retries;
        retries.with_label_values(&[end.as_str()]).inc();
    }
}

/// Claims a keyed call, within the caller's deadline.
async fn claim(relay: &Relay, call: &Call, key: IdempotencyKey) -> Result<(), Failure> {
    let remaining = Duration::from_millis(call.deadline.since(relay.now()).0);
    let answer = tokio::time::timeout(remaining, claims::acquire(&relay.cx, key)).await;
    match answer.ok().flatten() {
        Some(ClaimResponse::Granted) => Ok(()),
        Some(ClaimResponse::AlreadyClaimed(claim)) => Err(Failure::claimed(&claim)),
        // Should the claim yet be written, it stays: this daemon may hold the key for an earlier
        // sending that still runs, and giving it up here would let another daemon run it again.
        Some(ClaimResponse::ShardFull | ClaimResponse::Recorded) | None => {
            Err(come_back(RefusalReason::KeysOutOfReach))
        }
    }
}

/// Makes one attempt, and a second one beside it where the first is late and may be repeated.
async fn try_endpoint(
    relay: &Rc<Relay>,
    call: &Rc<Call>,
    in_flight: InFlight,
    usual: Millis,
) -> Result<Begun, AttemptEnd> {
    let may_hedge = call.repeatable && !call.is_model;
    let mut first = std::pin::pin!(attempt(in_flight, may_hedge));
    if !may_hedge {
        return first.await;
    }
    let late = Millis(usual.0 * HEDGE_FACTOR).clamp(HEDGE_WITHIN.0, HEDGE_WITHIN.1);
    if let Ok(done) = tokio::time::timeout(Duration::from_millis(late.0), &mut first).await {
        return done;
    }
    let Some(second) = second_endpoint(relay, call) else {
        return first.await;
    };
    let mut second = std::pin::pin!(attempt(second, true));
    let (done, first_done) = tokio::select! {
        done = &mut first => (done, true),
        done = &mut second => (done, false),
    };
    match done {
        Ok(begun) => Ok(begun),
        Err(_) if first_done => second.await,
        Err(_) => first.await,
    }
}

fn second_endpoint(relay: &Rc<Relay>, call: &Rc<Call>) -> Option<InFlight> {
    let mut core = relay.core.borrow_mut();
    let group = core.group_mut(call.group)?;
    if !group.budget.spend() {
        return None;
    }
    let chosen = core.start(call.group, None, relay.now()).ok()?;
    drop(core);
    relay.cx.metrics.retries.with_label_values(&[AttemptEnd::Overtaken.as_str()]).inc();
    Some(InFlight::start(relay.clone(), call.clone(), chosen))
}

/// Lets the caller of this function try again, or says what the request's caller is told.
fn after_failure(
    relay: &Relay,
    call: &Call,
    end: AttemptEnd,
    attempts: u32,
    usual: Millis,
) -> Result<(), Failure> {
    let failed = FailedAttempt {
        end,
        attempts,
        is_idempotent: call.repeatable,
        answer_started: false,
        can_resend: true,
        remaining: call.deadline.since(relay.now()),
        typical_duration: usual,
    };
    let mut core = relay.core.borrow_mut();
    let Some(group) = core.group_mut(call.group) else {
        return Err(failure_after(end));
    };
    decide_retry(&failed, &mut group.budget).map_err(|reason: NoRetry| {
        let withheld = &relay.cx.metrics.retries_withheld;
        withheld.with_label_values(&[reason.as_str()]).inc();
        failure_after(end)
    })
}

fn failure_after(end: AttemptEnd) -> Failure {
    let reason = match end {
        AttemptEnd::TimedOut => RefusalReason::DeadlinePassed,
        _ => RefusalReason::EndpointsFailed,
    };
    match end.outcome() {
        Outcome::NotRun => come_back(reason),
        _ => Failure::unknown(reason),
    }
}

/// Makes the answer to the caller from the endpoint's.
fn pass_on(
    relay: &Relay,
    call: &Call,
    begun: Begun,
    mut admitted: Admitted,
) -> Response<RelayBody> {
    let events = begun.is_event_stream();
    let Begun { mut head, held, rest, in_flight } = begun;
    headers::strip_connection(&mut head.headers);
    let body = match rest {
        None => {
            admitted.end(Outcome::Ran, None);
            RelayBody::whole(held)
        }
        Some(rest) => {
            let stream = RelayedStream::new(held, rest, events, in_flight, admitted);
            RelayBody::Stream(Box::new(stream))
        }
    };
    let mut made = Response::from_parts(head, body);
    answer::label(&mut made, Outcome::Ran, &call.id);
    relay.cx.metrics.record_answer(Outcome::Ran, made.status().as_u16());
    made
}
