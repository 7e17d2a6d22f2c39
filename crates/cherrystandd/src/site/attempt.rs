//! One attempt to have a request run by an endpoint.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use cherrystand_core::{AttemptEnd, Outcome, SendPermit};
use cherrystand_platform::{HeldBuf, HeldBytes, HeldShare, PooledBody, SendError, SiteDriver};
use http_body_util::BodyExt;
use hyper::body::Body;
use hyper::http::response::Parts;
use hyper::{Response, StatusCode};

use crate::site::Driver;
use crate::site::flight::Flight;
use crate::site::front::Front;
use crate::site::request::SiteRequest;

/// How long a connection may take to come about.
const CONNECT_WITHIN: Duration = Duration::from_millis(250);

/// The head of an answer that an endpoint gave, and the body that follows.
pub(crate) struct Begun {
    /// The head.
    pub(crate) head: Parts,
    /// The body.
    pub(crate) body: PooledBody,
    /// Counts the request.
    pub(crate) flight: Rc<Flight>,
}

/// Sends a request to an endpoint and waits for the head of the answer.
///
/// It ends only by what the endpoint does, or once its replica is known to be lost: how long to wait
/// is for its caller to say.
pub(crate) async fn send(
    front: Rc<Front>,
    req: Rc<SiteRequest>,
    flight: Rc<Flight>,
    last_event: Option<u64>,
) -> Result<Begun, AttemptEnd> {
    let Some(address) = front.address_of(&flight.target) else {
        return Err(AttemptEnd::NotSent);
    };
    let Some(permit) = flight.take_permit() else {
        return Err(AttemptEnd::NotSent);
    };
    req.note_run(true);
    let sent = send_permitted(&front, &req, &flight, permit, address, last_event).await;
    if sent.as_ref().is_err_and(|end| end.outcome() == Outcome::NotRun) {
        req.note_run(false);
    }
    sent.map(|(head, body)| Begun { head, body, flight })
}

async fn send_permitted(
    front: &Front,
    req: &SiteRequest,
    flight: &Flight,
    permit: SendPermit,
    address: SocketAddr,
    last_event: Option<u64>,
) -> Result<(Parts, PooledBody), AttemptEnd> {
    front.note_age_of_news(&flight.target, req);
    let out = req.attempt::<Driver>(&flight.target, last_event, flight.priority, front.now());
    let keep = front.kept_connections(&req.service);
    let answer = tokio::select! {
        answer = front.pool.send(permit, keep, address, out, CONNECT_WITHIN) => answer,
        () = flight.given_up() => return Err(AttemptEnd::ReplicaLost),
    };
    let answer = answer.map_err(|err| {
        match err {
            SendError::Connect { .. } | SendError::ConnectTimedOut(_) => front.unreachable(flight),
            SendError::NotSent(_) => {
                flight.failed();
                flight.avoid();
            }
            SendError::Cut(_) => {
                flight.cut();
                flight.avoid();
            }
        }
        end_of(&err)
    })?;
    check_head(front, req, answer, flight)
}

fn end_of(err: &SendError) -> AttemptEnd {
    match err {
        SendError::Connect { .. } | SendError::ConnectTimedOut(_) => AttemptEnd::ConnectFailed,
        SendError::NotSent(_) => AttemptEnd::NotSent,
        SendError::Cut(_) => AttemptEnd::CutBeforeAnswer,
    }
}

/// Takes only an answer that names the request; any other belongs to somebody else.
fn check_head(
    front: &Front,
    req: &SiteRequest,
    answer: Response<PooledBody>,
    flight: &Flight,
) -> Result<(Parts, PooledBody), AttemptEnd> {
    let facts = Driver::read_answer(answer.status(), answer.headers());
    front.hear_wishes(flight, req, &facts);
    front.hear_limit(flight, req, answer.status(), &facts);
    front.hear_cold(flight, req, &facts);
    let (head, body) = answer.into_parts();
    if facts.not_run {
        if head.status != StatusCode::MISDIRECTED_REQUEST {
            flight.refused();
            return Err(AttemptEnd::Refused);
        }
        front.not_serving(flight);
        return Err(AttemptEnd::NotServing);
    }
    if facts.request != req.facts.id {
        body.discard();
        flight.failed();
        return Err(AttemptEnd::CutBeforeAnswer);
    }
    if head.status.is_success() && !facts.sealed {
        // It is not the endpoint's own word.
        body.discard();
        flight.failed();
        return Err(AttemptEnd::AnswerCut);
    }
    let promise = [
        StatusCode::SERVICE_UNAVAILABLE,
        StatusCode::TOO_MANY_REQUESTS,
        StatusCode::REQUEST_TIMEOUT,
    ];
    if promise.contains(&head.status) {
        // It does not say that it did not run the request, and so neither may this node.
        flight.failed();
        return Err(AttemptEnd::AnswerCut);
    }
    Ok((head, body))
}

/// Reads the rest of an answer whole; what has no room yet is not read, and one that never has is given up.
pub(crate) async fn read_whole(
    mut body: PooledBody,
    room: &HeldBytes,
) -> Result<(Bytes, HeldShare), AttemptEnd> {
    let announced = usize::try_from(body.size_hint().lower()).unwrap_or(usize::MAX);
    let mut read = HeldBuf::new(hold(room, announced, announced).await?);
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|_| AttemptEnd::AnswerCut)?;
        let Ok(data) = frame.into_data() else { continue };
        let more = hold(room, read.beyond(&data), read.len() + data.len()).await?;
        read.push(&data, more);
    }
    Ok(read.finish())
}

/// Waits for room for more of an answer, which has `whole` bytes with that.
async fn hold(room: &HeldBytes, more: usize, whole: usize) -> Result<HeldShare, AttemptEnd> {
    if !room.may_fit(whole) {
        log::warn!(bytes = whole as u64; "an answer is larger than all that may be held");
        return Err(AttemptEnd::AnswerCut);
    }
    Ok(room.hold(more).await)
}
