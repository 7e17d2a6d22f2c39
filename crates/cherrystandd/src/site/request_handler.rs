//! Handles one caller's request from its arrival to its answer.

use std::cell::OnceCell;
use std::convert::Infallible;
use std::rc::Rc;
use std::time::Duration;

use cherrystand_core::{AttemptEnd, Millis, RouteKind};
use cherrystand_platform::{CallerBody, SiteDriver};
use hyper::body::Incoming;
use hyper::header::{CONNECTION, HeaderValue};
use hyper::{Request, Response, StatusCode};

use crate::site::Driver;
use crate::site::active_attempt::ActiveAttempt;
use crate::site::body_reading::read_body;
use crate::site::endpoint_call::{self, StartedAnswer};
use crate::site::event_stream::EventStream;
use crate::site::frontend::{AttemptPurpose, Frontend, ReplicaHealth};
use crate::site::open_attempts::{CHECK_INTERVAL, OpenAttempts};
use crate::site::pages::empty_response;
use crate::site::refused_request::{RefusedRequest, refusal_for};
use crate::site::request::{Authorization, SiteRequest, authorize, head_size};
use crate::site::request_attempts::RequestAttempts;
use crate::site::trials::Permission;

/// The timeout of a request whose caller names none.
const DEFAULT_TIMEOUT: Millis = Millis(30_000);

/// After this time without an answer, the way to an endpoint is checked if none has sent anything.
const MIN_ANSWER_WAIT: Duration = Duration::from_millis(120);

/// After this time without an answer, it is checked in any case.
const MAX_ANSWER_WAIT: Duration = Duration::from_millis(400);

/// Answers one caller's request.
pub(crate) async fn handle(frontend: Rc<Frontend>, req: Request<Incoming>) -> Response<CallerBody> {
    let id = Driver::read_request(req.headers()).id.unwrap_or_default();
    let mut answer = match serve_request(&frontend, req).await {
        Ok(answer) => return answer,
        Err(refused) => {
            frontend.count_refusal(refused.reason);
            let mut answer = empty_response(refused.status);
            if let Some(after) = refused.retry_after {
                Driver::write_retry_after(answer.headers_mut(), after);
            }
            if frontend.is_stopping() {
                // The caller's next request goes to another daemon.
                answer.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
            }
            answer
        }
    };
    if let Ok(id) = HeaderValue::from_str(&id) {
        Driver::write_request_id(answer.headers_mut(), &id);
    }
    answer
}

async fn serve_request(
    frontend: &Rc<Frontend>,
    req: Request<Incoming>,
) -> Result<Response<CallerBody>, RefusedRequest> {
    let arrived = frontend.now();
    let in_flight = frontend.callers.begin_request();
    let view = frontend.view_once_known().await;
    let table = view.routes.as_ref().ok_or(StatusCode::SERVICE_UNAVAILABLE)?;
    let (head, body) = req.into_parts();
    if head_size(&head) > table.config().limits.header_bytes {
        return Err(StatusCode::REQUEST_HEADER_FIELDS_TOO_LARGE.into());
    }
    let headers = Driver::read_request(&head.headers);
    let Authorization { route, tenant, tenant_regions, service } =
        authorize(table, &head, &headers)?;
    let max_bytes = table.config().limits.body_bytes;
    let (body, reservation) = read_body(body, max_bytes, &frontend.buffer_budget).await?;
    let whole_at = frontend.now();
    let timeout = headers.timeout.unwrap_or(DEFAULT_TIMEOUT).min(route.timeout);
    let deadline = arrived + timeout;
    let (features, trial) = (OnceCell::new(), OnceCell::new());
    let req = SiteRequest {
        _in_flight: in_flight,
        headers,
        head,
        body,
        _reservation: reservation,
        route,
        tenant,
        tenant_regions,
        service,
        arrived,
        whole_at,
        deadline,
        features,
        trial,
        tries: Rc::default(),
    };
    let req = Rc::new(req);
    if !frontend.grace.takes(&req) {
        return Err(RefusedRequest::stopping());
    }
    frontend.retries.record_request(&req.service);
    match frontend.crashes.permission(&req) {
        Permission::Send => {}
        Permission::Trial(trial) => {
            // Setting it cannot fail, as the request was created without a trial.
            let _ = req.trial.set(trial);
        }
        Permission::Refuse => return Err(RefusedRequest::crashing()),
    }
    let serving = async {
        frontend.await_permit(&req).await;
        match req.route.kind {
            RouteKind::Streaming => serve_stream(frontend, req.clone()).await,
            _ => serve_whole(frontend, &req).await.inspect(|_| frontend.grace.record_end(&req)),
        }
    };
    let answer = tokio::select! {
        biased;
        answer = serving => answer,
        () = frontend.closing() => return Err(RefusedRequest::unfinished(&req)),
    };
    answer.map_err(|status| refusal_for(frontend, &req, status))
}

async fn serve_stream(
    frontend: &Rc<Frontend>,
    req: Rc<SiteRequest>,
) -> Result<Response<CallerBody>, StatusCode> {
    let mut attempts = RequestAttempts::default();
    let started = first_answer(frontend, &req, &mut attempts).await?;
    if started.head.status() != StatusCode::OK {
        let answer = within_deadline(frontend, &req, buffer_answer(frontend, &req, started)).await;
        return answer.map_err(|end| {
            attempts.ledger.record_end(end);
            attempts.log_failure(frontend, &req, end)
        });
    }
    let (tx, body) = CallerBody::event_stream(frontend.buffer_budget.clone());
    let answer = started.head.clone().into_response(&req.head.method, body);
    let last_event_id = req.headers.last_event_id;
    let stream = EventStream { frontend: frontend.clone(), req, tx, attempts, last_event_id };
    tokio::task::spawn_local(stream.run(started));
    Ok(answer)
}

/// Waits for the head of a stream's first answer, from whichever replica it comes.
///
/// The attempt at a stalled replica stays open while another replica is tried. If it were dropped,
/// its answer would be lost in cases where the other replica refuses, fails or stalls as well.
async fn first_answer(
    frontend: &Rc<Frontend>,
    req: &Rc<SiteRequest>,
    attempts: &mut RequestAttempts,
) -> Result<StartedAnswer, StatusCode> {
    let send = |attempt: Rc<ActiveAttempt>| {
        let (frontend, req) = (frontend.clone(), req.clone());
        async move {
            let last_event_id = req.headers.last_event_id;
            (attempt.clone(), endpoint_call::send(frontend, req, attempt, last_event_id).await)
        }
    };
    let mut open = OpenAttempts::new();
    let first = attempts.start(frontend, req).ok_or_else(|| attempts.failure_status())?;
    open.push(first.clone(), send(first));
    loop {
        let checked_at = frontend.now();
        let ended = tokio::select! {
            ended = open.next() => ended,
            () = tokio::time::sleep(CHECK_INTERVAL) => {
                if frontend.now() >= req.deadline {
                    attempts.ledger.record_remaining_ends(AttemptEnd::TimedOut);
                    return Err(attempts.log_failure(frontend, req, AttemptEnd::TimedOut));
                }
                let health = (!frontend.was_busy(checked_at))
                    .then(|| open.check_replicas(frontend, req))
                    .flatten();
                if health == Some(ReplicaHealth::Stalled)
                    && attempts.ledger.may_send(&req.route, frontend.now(), req.deadline)
                    && let Some(attempt) = attempts.start_another(
                        frontend,
                        req,
                        AttemptPurpose::FirstAnswer,
                        AttemptEnd::TimedOut,
                    )
                {
                    open.push(attempt.clone(), send(attempt));
                }
                continue;
            }
        };
        match ended {
            Ok(started) => {
                attempts.ledger.record_end(AttemptEnd::Answered);
                attempts.ledger.record_remaining_ends(AttemptEnd::Overtaken);
                return Ok(started);
            }
            // One of the other attempts may still bring the answer.
            Err(end) if !open.is_empty() => attempts.ledger.record_end(end),
            Err(end) if attempts.try_again(frontend, req, end).await => {
                let attempt =
                    attempts.start(frontend, req).ok_or_else(|| attempts.failure_status())?;
                open.push(attempt.clone(), send(attempt));
            }
            Err(end) => return Err(attempts.log_failure(frontend, req, end)),
        }
    }
}

async fn serve_whole(
    frontend: &Rc<Frontend>,
    req: &Rc<SiteRequest>,
) -> Result<Response<CallerBody>, StatusCode> {
    let mut attempts = RequestAttempts::default();
    // An endpoint's own error, which is passed on unless a later attempt brings a better answer.
    let mut last_answer: Option<Response<CallerBody>> = None;
    loop {
        let Some(attempt) = attempts.start(frontend, req) else {
            return last_answer.ok_or_else(|| attempts.failure_status());
        };
        let end = match attempt_whole(frontend, req, attempt).await {
            Ok(answer) if !answer.status().is_server_error() => return Ok(answer),
            Ok(answer) => {
                last_answer = Some(answer);
                AttemptEnd::Answered
            }
            Err(end) => end,
        };
        if !attempts.try_again(frontend, req, end).await {
            return last_answer.ok_or_else(|| attempts.log_failure(frontend, req, end));
        }
    }
}

async fn attempt_whole(
    frontend: &Rc<Frontend>,
    req: &Rc<SiteRequest>,
    attempt: Rc<ActiveAttempt>,
) -> Result<Response<CallerBody>, AttemptEnd> {
    let watched = attempt.clone();
    let exchange = async {
        let started = endpoint_call::send(frontend.clone(), req.clone(), attempt, None).await?;
        buffer_answer(frontend, req, started).await
    };
    tokio::select! {
        answer = within_deadline(frontend, req, exchange) => answer,
        never = watch_path(frontend, &watched) => match never {},
    }
}

/// Has the way of an attempt checked as long as no answer arrives, so that later requests take
/// another one. The attempt itself goes on.
async fn watch_path(frontend: &Rc<Frontend>, attempt: &Rc<ActiveAttempt>) -> Infallible {
    tokio::time::sleep(MIN_ANSWER_WAIT).await;
    if frontend.heard_nothing_since(attempt.started_at) {
        frontend.check_path(attempt);
    }
    loop {
        tokio::time::sleep(MAX_ANSWER_WAIT).await;
        frontend.check_path(attempt);
    }
}

/// Waits for an exchange until the request's deadline.
async fn within_deadline<T>(
    frontend: &Frontend,
    req: &SiteRequest,
    exchange: impl Future<Output = Result<T, AttemptEnd>>,
) -> Result<T, AttemptEnd> {
    frontend.timeout_at(req.deadline, exchange).await.unwrap_or(Err(AttemptEnd::TimedOut))
}

/// Reads an answer completely before the caller gets the first byte of it.
async fn buffer_answer(
    frontend: &Frontend,
    req: &SiteRequest,
    started: StartedAnswer,
) -> Result<Response<CallerBody>, AttemptEnd> {
    let StartedAnswer { head, body, attempt } = started;
    let read = endpoint_call::read_to_end(body, &frontend.buffer_budget).await;
    let (bytes, reservation) = read.inspect_err(|_| attempt.interrupted())?;
    if head.status().is_server_error() {
        attempt.failed();
    } else {
        attempt.succeeded();
    }
    frontend.callers.record_sent(bytes.len());
    Ok(head.into_response(&req.head.method, CallerBody::reserved(bytes, reservation)))
}
