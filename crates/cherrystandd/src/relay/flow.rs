//! One request from its arrival to its answer.

use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;

use cherrystand_core::{
    AttemptEnd, CLAIM_USE_WITHIN, CallKey, ClaimAnswer, FailedAttempt, LONGEST_WAIT, Millis,
    NoEndpoint, NoRetry, Outcome, Refusal, RefusalReason, decide_retry,
};
use cherrystand_platform::HttpPool;
use hyper::body::Incoming;
use hyper::{Method, Request, Response, StatusCode};
use serde_json::json;

use crate::relay::answer::{self, Failure, plain_text};
use crate::relay::attempt::{Begun, InFlight, attempt};
use crate::relay::body::RelayBody;
use crate::relay::call::{Call, read_call};
use crate::relay::core::{RelayCore, Target};
use crate::relay::headers;
use crate::relay::notes::{Notes, RequestNote};
use crate::relay::stream::RelayedStream;
use crate::state::{RouteKind, View};
use crate::{DutyContext, StopPhase, claims, clock};

/// A view older than this tells that the process was paused or its state duty is held up.
const VIEW_LIFE: Millis = Millis(1_500);

/// How long a request waits for a newer view.
const NEW_VIEW_WITHIN: Duration = Duration::from_millis(300);

/// When a caller may come back who met no endpoint in service, or only failing ones.
const COME_BACK: Millis = Millis(1_000);

/// A repeatable call to a service is sent to a second endpoint once its answer is this many
/// times as late as usual.
const HEDGE_FACTOR: u64 = 3;

/// The least and the most time before a second endpoint is asked.
const HEDGE_WITHIN: (Millis, Millis) = (Millis(15), Millis(250));

/// Serves callers on one thread.
pub(crate) struct Relay {
    /// The duty's context.
    pub(crate) cx: DutyContext,
    /// What it decides from.
    pub(crate) core: RefCell<RelayCore>,
    /// Its connections to endpoints.
    pub(crate) pool: HttpPool,
    /// What it decided lately.
    pub(crate) notes: RefCell<Notes>,
    made: std::cell::Cell<u64>,
}

impl Relay {
    /// Creates a relay that knows no group yet.
    pub(crate) fn new(cx: DutyContext) -> Self {
        let room = cx.settings.limits.room();
        Self {
            core: RefCell::new(RelayCore::new(room, clock::unix_millis())),
            pool: HttpPool::default(),
            notes: RefCell::default(),
            made: std::cell::Cell::new(0),
            cx,
        }
    }

    /// Returns the time now.
    pub(crate) fn now(&self) -> Millis {
        self.cx.clock.now()
    }

    fn note_end(&self, call: &Call, outcome: Outcome, refusal: Option<RefusalReason>) {
        self.notes.borrow_mut().push(RequestNote {
            request: call.id.clone(),
            group: call.group_id.to_string(),
            attempts: call.attempts.take(),
            outcome: outcome.as_str().to_owned(),
            refusal: refusal.map(|reason| reason.as_str().to_owned()),
        });
    }

    fn request_id(&self, req: &Request<Incoming>) -> Result<String, RefusalReason> {
        let kept = headers::name_in(req.headers(), &headers::REQUEST_ID);
        let kept = kept.map_err(|_| RefusalReason::BadRequest)?;
        Ok(kept.unwrap_or_else(|| self.make_id()))
    }

    fn make_id(&self) -> String {
        let number = self.made.get();
        self.made.set(number + 1);
        let own = &self.cx.view_now().own;
        format!("{}-{:x}-{number:x}", own.node, own.incarnation.0)
    }

    /// Returns the newest view, waiting a moment for one where the last one is old.
    async fn fresh_view(&self) -> Option<std::sync::Arc<View>> {
        let is_fresh = |view: &View| self.now().since(view.made) <= VIEW_LIFE;
        let mut view = self.cx.view.clone();
        let known = view.borrow().clone();
        if is_fresh(&known) {
            return Some(known);
        }
        let newer = view.wait_for(|view| is_fresh(view));
        let newer = tokio::time::timeout(NEW_VIEW_WITHIN, newer).await.ok()?.ok()?;
        Some(newer.clone())
    }
}

/// The room that a request takes on the node, given back once when it is done.
pub(crate) struct Admitted {
    relay: Rc<Relay>,
    call: Rc<Call>,
    claimed: bool,
    ended: bool,
}

impl Admitted {
    fn enter(relay: &Rc<Relay>, call: &Rc<Call>) -> Result<Self, Refusal> {
        let mut core = relay.core.borrow_mut();
        core.admission.enter(call.class, &call.workspace)?;
        relay.cx.metrics.in_flight.inc();
        Ok(Self { relay: relay.clone(), call: call.clone(), claimed: false, ended: false })
    }

    /// Gives the room back and notes what became of the request.
    pub(crate) fn end(&mut self, outcome: Outcome, refusal: Option<RefusalReason>) {
        if self.ended {
            return;
        }
        self.ended = true;
        let call = &self.call;
        self.relay.cx.metrics.in_flight.dec();
        self.relay.core.borrow_mut().admission.leave(call.class, &call.workspace);
        self.relay.note_end(call, outcome, refusal);
        if let Some(key) = call.key.filter(|_| self.claimed) {
            match outcome {
                Outcome::NotRun => claims::give_up(&self.relay.cx, key),
                other => claims::settle(&self.relay.cx, key, other),
            }
        }
    }
}

impl Drop for Admitted {
    fn drop(&mut self) {
        // Nobody ended it: the caller left while the request may have been running.
        self.end(Outcome::Unknown, None);
    }
}

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

fn readiness(relay: &Relay) -> Response<RelayBody> {
    let view = relay.cx.view_now();
    let fresh = relay.now().since(view.made) <= VIEW_LIFE;
    if relay.cx.stop_phase() > StopPhase::Running {
        return plain_text(StatusCode::SERVICE_UNAVAILABLE, "stopping\n");
    }
    if !fresh || !view.serve_by.may_serve() {
        let text = format!("not ready: {:?}\n", view.serve_by);
        return plain_text(StatusCode::SERVICE_UNAVAILABLE, text);
    }
    plain_text(StatusCode::OK, "ready\n")
}

fn metrics(relay: &Relay) -> Response<RelayBody> {
    match relay.cx.metrics.render() {
        Ok(text) => plain_text(StatusCode::OK, text),
        Err(err) => plain_text(StatusCode::INTERNAL_SERVER_ERROR, err.to_string()),
    }
}

fn models(relay: &Relay) -> Response<RelayBody> {
    let view = relay.cx.view_now();
    relay.core.borrow_mut().follow(&view.routes, relay.now());
    let core = relay.core.borrow();
    let models = core.groups().filter_map(|group| match &group.kind {
        RouteKind::Model { model } => Some(json!({
            "id": model, "object": "model", "owned_by": group.id.workspace.as_str(),
        })),
        RouteKind::Service { .. } => None,
    });
    let list = json!({"object": "list", "data": models.collect::<Vec<_>>()});
    answer::json(StatusCode::OK, &list)
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
    relay.cx.metrics.answered(failure.outcome, made.status().as_u16());
    made
}

async fn serve_call(
    relay: &Rc<Relay>,
    req: Request<Incoming>,
    id: String,
) -> Result<Response<RelayBody>, Failure> {
    let view = relay.fresh_view().await;
    let view = view.filter(|view| view.serve_by.may_serve()).ok_or_else(cut_off)?;
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

fn cut_off() -> Failure {
    let reason = RefusalReason::ConfigurationOld;
    Failure::not_run(Refusal::with_retry_after(reason, COME_BACK))
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
        let (endpoint, target) = next_endpoint(relay, call).await?;
        let in_flight = InFlight::start(relay.clone(), call.clone(), endpoint, target);
        attempts += 1;
        if call.key.is_some() && relay.now().since(asked) > CLAIM_USE_WITHIN {
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
async fn claim(relay: &Relay, call: &Call, key: CallKey) -> Result<(), Failure> {
    let remaining = Duration::from_millis(call.deadline.since(relay.now()).0);
    let answer = tokio::time::timeout(remaining, claims::take(&relay.cx, key)).await;
    match answer.ok().flatten() {
        Some(ClaimAnswer::Granted) => Ok(()),
        Some(ClaimAnswer::Taken(claim)) => Err(Failure::claimed(&claim)),
        Some(ClaimAnswer::Full | ClaimAnswer::Noted) => {
            Err(come_back(RefusalReason::KeysOutOfReach))
        }
        None => {
            // The claim may yet be written; it is not used, so the key is set free again.
            claims::give_up(&relay.cx, key);
            Err(come_back(RefusalReason::KeysOutOfReach))
        }
    }
}

fn come_back(reason: RefusalReason) -> Failure {
    Failure::not_run(Refusal::with_retry_after(reason, COME_BACK))
}

/// Waits for an endpoint with room, within what the queue allows.
async fn next_endpoint(
    relay: &Rc<Relay>,
    call: &Call,
) -> Result<(cherrystand_core::EndpointKey, Target), Failure> {
    let mut waiting: Option<Waiting> = None;
    loop {
        let now = relay.now();
        if now >= call.deadline {
            return Err(Failure::never(RefusalReason::DeadlinePassed));
        }
        if let Some(waiting) = &waiting
            && !waiting.has_time_for_answer(call.deadline)
        {
            return Err(waiting.too_long());
        }
        let chosen = relay.core.borrow_mut().start(call.group, call.prefix, now);
        match chosen {
            Ok(chosen) => return Ok(chosen),
            Err(NoEndpoint::NoneServing) => return Err(come_back(RefusalReason::NoneServing)),
            Err(NoEndpoint::AllFull) => {}
        }
        if waiting.is_none() {
            waiting = Some(Waiting::join(relay, call).map_err(Failure::not_run)?);
        }
        let Some(waiting) = &waiting else { continue };
        if !waiting.for_room(call.deadline).await {
            return Err(waiting.too_long());
        }
    }
}

/// A place in a group's queue, given up when it is dropped.
struct Waiting {
    relay: Rc<Relay>,
    group: cherrystand_core::GroupKey,
    room: Rc<tokio::sync::Notify>,
    since: Millis,
}

impl Waiting {
    fn join(relay: &Rc<Relay>, call: &Call) -> Result<Self, Refusal> {
        let now = relay.now();
        let mut core = relay.core.borrow_mut();
        let group = core
            .group_mut(call.group)
            .ok_or(Refusal::with_retry_after(RefusalReason::NoneServing, COME_BACK))?;
        group.queue.join(call.deadline.since(now), group.usual.needed())?;
        let room = group.room.clone();
        Ok(Self { relay: relay.clone(), group: call.group, room, since: now })
    }

    /// Tells whether an answer that begins now would likely come in time.
    fn has_time_for_answer(&self, deadline: Millis) -> bool {
        let core = self.relay.core.borrow();
        let needed = core.group(self.group).map(|group| group.usual.needed());
        deadline.since(self.relay.now()) >= needed.unwrap_or_default()
    }

    /// Waits until there may be room, and tells whether there is still time.
    async fn for_room(&self, deadline: Millis) -> bool {
        let until = (self.since + LONGEST_WAIT).min(deadline);
        let left = until.since(self.relay.now());
        let woken = tokio::time::timeout(Duration::from_millis(left.0), self.room.notified());
        woken.await.is_ok()
    }

    fn too_long(&self) -> Failure {
        let core = self.relay.core.borrow();
        let wait = core.group(self.group).map(|group| group.queue.expected_wait());
        let wait = wait.unwrap_or(COME_BACK);
        Failure::not_run(Refusal::with_retry_after(RefusalReason::WaitTooLong, wait))
    }
}

impl Drop for Waiting {
    fn drop(&mut self) {
        let mut core = self.relay.core.borrow_mut();
        if let Some(group) = core.group_mut(self.group) {
            group.queue.left();
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
    let (endpoint, target) = core.start(call.group, None, relay.now()).ok()?;
    drop(core);
    relay.cx.metrics.retries.with_label_values(&[AttemptEnd::Overtaken.as_str()]).inc();
    Some(InFlight::start(relay.clone(), call.clone(), endpoint, target))
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
        repeatable: call.repeatable,
        answer_begun: false,
        replayable: true,
        remaining: call.deadline.since(relay.now()),
        usual,
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
    relay.cx.metrics.answered(Outcome::Ran, made.status().as_u16());
    made
}
