//! One request from its arrival to its answer.

use std::rc::Rc;
use std::time::Duration;

use cherrystand_core::{
    AttemptEnd, AttemptLedger, BoxId, FinalFailure, Millis, RefusalReason, RouteKind,
};
use cherrystand_platform::{CallerBody, SiteDriver};
use hyper::body::Incoming;
use hyper::header::HeaderValue;
use hyper::{Request, Response, StatusCode};

use crate::relay::headers::strip_connection;
use crate::site::Driver;
use crate::site::attempt::{self, Begun};
use crate::site::event_stream::EventStream;
use crate::site::flight::Flight;
use crate::site::front::{Front, Urgency};
use crate::site::pages::plain;
use crate::site::request::{SiteRequest, allow, head_bytes, read_body};

/// The time that a caller waits where it says nothing.
const USUAL_WAIT: Millis = Millis(30_000);

/// When a caller may come back who met no endpoint in service.
const COME_BACK: Millis = Millis(300);

/// Answers one request of a caller.
pub(crate) async fn handle(front: Rc<Front>, req: Request<Incoming>) -> Response<CallerBody> {
    let id = Driver::read_request(req.headers()).id.unwrap_or_default();
    let mut answer = match serve_request(&front, req).await {
        Ok(answer) => return answer,
        Err(status) => plain(status),
    };
    let status = answer.status();
    front.count_refusal(refusal_reason(status));
    if matches!(status, StatusCode::SERVICE_UNAVAILABLE | StatusCode::TOO_MANY_REQUESTS) {
        Driver::write_retry_after(answer.headers_mut(), COME_BACK);
    }
    if let Ok(id) = HeaderValue::from_str(&id) {
        Driver::write_request_id(answer.headers_mut(), &id);
    }
    answer
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
) -> Result<Response<CallerBody>, StatusCode> {
    let came = front.now();
    let view = front.follow_once_known().await;
    let table = view.table.as_ref().ok_or(StatusCode::SERVICE_UNAVAILABLE)?;
    let (head, body) = req.into_parts();
    if head_bytes(&head) > table.config().limits.head_bytes {
        return Err(StatusCode::REQUEST_HEADER_FIELDS_TOO_LARGE);
    }
    let facts = Driver::read_request(&head.headers);
    let (route, tenant, service) = allow(table, &head, &facts)?;
    let body = read_body(body, table.config().limits.body_bytes).await?;
    let wait = facts.wait.unwrap_or(USUAL_WAIT).min(route.timeout);
    let deadline = came + wait;
    let req = SiteRequest { facts, head, body, route, tenant, service, came, deadline };
    let req = Rc::new(req);
    front.repeats.earn(&req.service);
    if req.route.kind == RouteKind::Streaming {
        stream(front, req).await
    } else {
        whole(front, &req).await
    }
}

/// Says what a caller is told of a request that no endpoint answered.
fn status_of(failure: FinalFailure) -> StatusCode {
    match failure {
        FinalFailure::NotRun => StatusCode::SERVICE_UNAVAILABLE,
        FinalFailure::TimedOut => StatusCode::GATEWAY_TIMEOUT,
        FinalFailure::AnswerLost => StatusCode::BAD_GATEWAY,
    }
}

/// Keeps what one request was sent to, and what became of it there.
#[derive(Default)]
struct Tries {
    tried: Vec<BoxId>,
    ledger: AttemptLedger,
}

impl Tries {
    /// Chooses an endpoint that was not tried, or else one that was, and counts the attempt.
    fn begin(&mut self, front: &Rc<Front>, req: &SiteRequest) -> Option<Flight> {
        let flight = front.choose(req, &self.tried, Urgency::Begins);
        let Some(flight) = flight else {
            front.note_none_serving(req);
            return None;
        };
        self.tried.push(flight.target.clone());
        self.ledger.sent();
        Some(flight)
    }

    /// Takes in how an attempt ended, and tells whether another one follows.
    fn go_on(&mut self, front: &Front, req: &SiteRequest, end: AttemptEnd) -> bool {
        self.ledger.ended(end);
        let may_send = self.ledger.may_send(&req.route, front.now(), req.deadline);
        may_send && front.may_repeat(req, end)
    }

    /// Writes the failure down and says what the caller is told.
    fn failed(&self, front: &Front, req: &SiteRequest, end: AttemptEnd) -> StatusCode {
        let status = self.status();
        front.failures.failed(req, &self.tried, end.as_str(), status.as_str());
        status
    }

    /// Says what the caller is told if no further attempt is made.
    fn status(&self) -> StatusCode {
        status_of(self.ledger.failure())
    }
}

async fn stream(
    front: &Rc<Front>,
    req: Rc<SiteRequest>,
) -> Result<Response<CallerBody>, StatusCode> {
    let mut tries = Tries::default();
    let begun = loop {
        let flight = tries.begin(front, &req).ok_or_else(|| tries.status())?;
        let may_leave = front.may_resume(&req.route, tries.ledger.runs() + 1);
        match attempt::send(front, &req, flight, req.facts.last_event, may_leave).await {
            Ok(begun) => break begun,
            Err(end) if tries.go_on(front, &req, end) => {}
            Err(end) => return Err(tries.failed(front, &req, end)),
        }
    };
    tries.ledger.ended(AttemptEnd::Answered);
    if begun.head.status != StatusCode::OK {
        return pass_whole(begun).await.map_err(|end| {
            tries.ledger.ended(end);
            tries.failed(front, &req, end)
        });
    }
    let (tx, body) = CallerBody::events();
    let mut head = begun.head.clone();
    strip_connection(&mut head.headers);
    head.headers.remove(hyper::header::CONTENT_LENGTH);
    let stream = EventStream {
        front: front.clone(),
        last: req.facts.last_event,
        req,
        tx,
        tried: tries.tried,
        ledger: tries.ledger,
    };
    tokio::task::spawn_local(stream.pass_on(begun));
    Ok(Response::from_parts(head, body))
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
        if !tries.go_on(front, req, end) {
            return kept.ok_or_else(|| tries.failed(front, req, end));
        }
    }
}

async fn attempt_whole(
    front: &Rc<Front>,
    req: &Rc<SiteRequest>,
    flight: Flight,
) -> Result<Response<CallerBody>, AttemptEnd> {
    let left = Duration::from_millis(req.deadline.since(front.now()).0);
    let exchange = async {
        let begun = attempt::send(front, req, flight, None, false).await?;
        pass_whole(begun).await
    };
    tokio::time::timeout(left, exchange).await.unwrap_or(Err(AttemptEnd::TimedOut))
}

/// Reads an answer whole before its caller gets a byte of it.
async fn pass_whole(begun: Begun) -> Result<Response<CallerBody>, AttemptEnd> {
    let Begun { mut head, body, flight } = begun;
    let bytes = attempt::read_whole(body).await.inspect_err(|_| flight.failed())?;
    if head.status.is_server_error() {
        flight.failed();
    } else {
        flight.succeeded();
    }
    strip_connection(&mut head.headers);
    Ok(Response::from_parts(head, CallerBody::whole(bytes)))
}
