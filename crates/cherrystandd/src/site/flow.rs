//! One request from its arrival to its answer.

use std::cell::OnceCell;
use std::rc::Rc;

use cherrystand_core::{AttemptEnd, Millis, RefusalReason, RouteKind};
use cherrystand_platform::{CallerBody, SiteDriver};
use hyper::body::Incoming;
use hyper::header::HeaderValue;
use hyper::{Request, Response, StatusCode};

use crate::relay::headers::strip_connection;
use crate::site::Driver;
use crate::site::attempt::{self, Begun};
use crate::site::event_stream::EventStream;
use crate::site::flight::Flight;
use crate::site::front::{Front, ReplicaLook, Urgency};
use crate::site::open_attempts::{LOOK_EVERY, OpenAttempts};
use crate::site::pages::empty_response;
use crate::site::request::{AllowedBy, SiteRequest, allow, head_bytes, read_body};
use crate::site::trials::Permission;
use crate::site::tries::Tries;

/// The time that a caller waits where it says nothing.
const USUAL_WAIT: Millis = Millis(30_000);

/// When a caller may come back who met no endpoint in service.
const COME_BACK: Millis = Millis(300);

/// Answers one request of a caller.
pub(crate) async fn handle(front: Rc<Front>, req: Request<Incoming>) -> Response<CallerBody> {
    let id = Driver::read_request(req.headers()).id.unwrap_or_default();
    let mut answer = match serve_request(&front, req).await {
        Ok(answer) => return answer,
        Err(refused) => {
            front.count_refusal(refused.reason);
            let mut answer = empty_response(refused.status);
            if let Some(after) = refused.come_back {
                Driver::write_retry_after(answer.headers_mut(), after);
            }
            answer
        }
    };
    if let Ok(id) = HeaderValue::from_str(&id) {
        Driver::write_request_id(answer.headers_mut(), &id);
    }
    answer
}

/// An answer of the node's own.
struct Refused {
    status: StatusCode,
    /// As metrics name it.
    reason: &'static str,
    /// When the caller may come back, where that makes sense.
    come_back: Option<Millis>,
}

impl From<StatusCode> for Refused {
    fn from(status: StatusCode) -> Self {
        let comes_back = [StatusCode::SERVICE_UNAVAILABLE, StatusCode::TOO_MANY_REQUESTS];
        let come_back = comes_back.contains(&status).then_some(COME_BACK);
        Self { status, reason: refusal_reason(status), come_back }
    }
}

/// Refuses a request that ended each replica that ran it.
///
/// No promise goes with it, as its earlier tries have run, and no time to come back.
fn refuse_for_ends() -> Refused {
    let reason = RefusalReason::EndsReplicas;
    let status = StatusCode::from_u16(reason.status()).unwrap_or(StatusCode::BAD_GATEWAY);
    Refused { status, reason: reason.as_str(), come_back: None }
}

/// Makes the refusal of a request that was not served, which says so where all endpoints rest.
fn refuse(front: &Front, req: &SiteRequest, status: StatusCode) -> Refused {
    let refused = Refused::from(status);
    if status != StatusCode::SERVICE_UNAVAILABLE {
        return refused;
    }
    match front.unavailable_until(req) {
        None => refused,
        Some(until) => Refused {
            reason: RefusalReason::EndpointsRest.as_str(),
            come_back: Some(front.come_back_after(until)),
            ..refused
        },
    }
}

/// Returns the reason for an answer of the node's own, as metrics name it.
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

async fn serve_request(
    front: &Rc<Front>,
    req: Request<Incoming>,
) -> Result<Response<CallerBody>, Refused> {
    let came = front.now();
    let view = front.follow_once_known().await;
    let table = view.table.as_ref().ok_or(StatusCode::SERVICE_UNAVAILABLE)?;
    let (head, body) = req.into_parts();
    if head_bytes(&head) > table.config().limits.header_bytes {
        return Err(StatusCode::REQUEST_HEADER_FIELDS_TOO_LARGE.into());
    }
    let facts = Driver::read_request(&head.headers);
    let AllowedBy { route, tenant, tenant_homes, service } = allow(table, &head, &facts)?;
    let most = table.config().limits.body_bytes;
    let (body, held) = read_body(body, most, &front.room).await?;
    let wait = facts.wait.unwrap_or(USUAL_WAIT).min(route.timeout);
    let deadline = came + wait;
    let (fingerprint, trial) = (OnceCell::new(), OnceCell::new());
    let req = SiteRequest {
        facts,
        head,
        body,
        _held: held,
        route,
        tenant,
        tenant_homes,
        service,
        came,
        deadline,
        fingerprint,
        trial,
    };
    let req = Rc::new(req);
    front.repeats.earn(&req.service);
    match front.crashes.permission(&req) {
        Permission::Send => {}
        Permission::Try(trial) => {
            // There is none yet.
            let _ = req.trial.set(trial);
        }
        Permission::Refuse => return Err(refuse_for_ends()),
    }
    front.await_permit(&req).await;
    let answer = match req.route.kind {
        RouteKind::Streaming => stream(front, req.clone()).await,
        _ => whole(front, &req).await,
    };
    answer.map_err(|status| refuse(front, &req, status))
}

async fn stream(
    front: &Rc<Front>,
    req: Rc<SiteRequest>,
) -> Result<Response<CallerBody>, StatusCode> {
    let mut tries = Tries::default();
    let begun = first_answer(front, &req, &mut tries).await?;
    if begun.head.status != StatusCode::OK {
        let answer = within_deadline(front, &req, pass_whole(front, begun)).await;
        return answer.map_err(|end| {
            tries.ledger.record_end(end);
            tries.failed(front, &req, end)
        });
    }
    let (tx, body) = CallerBody::events(front.room.clone());
    let mut head = begun.head.clone();
    strip_connection(&mut head.headers);
    head.headers.remove(hyper::header::CONTENT_LENGTH);
    let last = req.facts.last_event;
    let stream = EventStream { front: front.clone(), req, tx, tries, last };
    tokio::task::spawn_local(stream.pass_on(begun));
    Ok(Response::from_parts(head, body))
}

/// Waits for the head of the first answer to a stream, from whichever replica it comes.
///
/// A replica that stands still keeps its attempt while another one is asked beside it: dropped at
/// once, answers were lost that it would have brought, where the other one refused, failed or
/// stood still as well.
async fn first_answer(
    front: &Rc<Front>,
    req: &Rc<SiteRequest>,
    tries: &mut Tries,
) -> Result<Begun, StatusCode> {
    let send = |flight: Rc<Flight>| {
        let (front, req) = (front.clone(), req.clone());
        async move {
            let last = req.facts.last_event;
            (flight.clone(), attempt::send(front, req, flight, last).await)
        }
    };
    let mut open = OpenAttempts::new();
    let first = tries.begin(front, req).ok_or_else(|| tries.status())?;
    open.push(first.clone(), send(first));
    loop {
        let looked = front.now();
        let ended = tokio::select! {
            ended = open.next() => ended,
            () = tokio::time::sleep(LOOK_EVERY) => {
                if front.now() >= req.deadline {
                    tries.ledger.record_remaining_ends(AttemptEnd::TimedOut);
                    return Err(tries.failed(front, req, AttemptEnd::TimedOut));
                }
                let look = (!front.was_busy(looked)).then(|| open.look(front, req)).flatten();
                if look == Some(ReplicaLook::StandsStill)
                    && tries.ledger.may_send(&req.route, front.now(), req.deadline)
                    && let Some(flight) =
                        tries.begin_beside(front, req, Urgency::Begins, AttemptEnd::TimedOut)
                {
                    open.push(flight.clone(), send(flight));
                }
                continue;
            }
        };
        match ended {
            Ok(begun) => {
                tries.ledger.record_end(AttemptEnd::Answered);
                tries.ledger.record_remaining_ends(AttemptEnd::Overtaken);
                return Ok(begun);
            }
            // The others may bring the answer yet.
            Err(end) if !open.is_empty() => tries.ledger.record_end(end),
            Err(end) if tries.go_on(front, req, end).await => {
                let flight = tries.begin(front, req).ok_or_else(|| tries.status())?;
                open.push(flight.clone(), send(flight));
            }
            Err(end) => return Err(tries.failed(front, req, end)),
        }
    }
}

async fn whole(
    front: &Rc<Front>,
    req: &Rc<SiteRequest>,
) -> Result<Response<CallerBody>, StatusCode> {
    let mut tries = Tries::default();
    // An endpoint's own failure, which is passed on unless a later attempt brings a better answer.
    let mut kept: Option<Response<CallerBody>> = None;
    loop {
        let Some(flight) = tries.begin(front, req) else {
            return kept.ok_or_else(|| tries.status());
        };
        let end = match attempt_whole(front, req, flight).await {
            Ok(answer) if !answer.status().is_server_error() => return Ok(answer),
            Ok(answer) => {
                kept = Some(answer);
                AttemptEnd::Answered
            }
            Err(end) => end,
        };
        if !tries.go_on(front, req, end).await {
            return kept.ok_or_else(|| tries.failed(front, req, end));
        }
    }
}

async fn attempt_whole(
    front: &Rc<Front>,
    req: &Rc<SiteRequest>,
    flight: Rc<Flight>,
) -> Result<Response<CallerBody>, AttemptEnd> {
    let exchange = async {
        let begun = attempt::send(front.clone(), req.clone(), flight, None).await?;
        pass_whole(front, begun).await
    };
    within_deadline(front, req, exchange).await
}

/// Waits for an exchange until the request's time is over.
async fn within_deadline<T>(
    front: &Front,
    req: &SiteRequest,
    exchange: impl Future<Output = Result<T, AttemptEnd>>,
) -> Result<T, AttemptEnd> {
    front.by(req.deadline, exchange).await.unwrap_or(Err(AttemptEnd::TimedOut))
}

/// Reads an answer whole before its caller gets a byte of it.
async fn pass_whole(front: &Front, begun: Begun) -> Result<Response<CallerBody>, AttemptEnd> {
    let Begun { mut head, body, flight } = begun;
    let read = attempt::read_whole(body, &front.room).await;
    let (bytes, share) = read.inspect_err(|_| flight.cut())?;
    if head.status.is_server_error() {
        flight.failed();
    } else {
        flight.succeeded();
    }
    strip_connection(&mut head.headers);
    Ok(Response::from_parts(head, CallerBody::held(bytes, share)))
}
