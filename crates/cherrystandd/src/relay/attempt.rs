//! One attempt to have a request run by an endpoint.

use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use cherrystand_core::{AttemptEnd, DEFAULT_IDLE_CONNECTIONS, EndpointKey, Millis, SendPermit};
use cherrystand_platform::{AskedRest, NOT_RUN_HEADER, PooledBody, SendError};
use http_body_util::{BodyExt, Full};
use hyper::body::Body;
use hyper::header::{CONTENT_TYPE, HeaderValue};
use hyper::http::response::Parts;
use hyper::{Request, Response, StatusCode};

use crate::relay::call::Call;
use crate::relay::core::{Chosen, Target};
use crate::relay::headers;
use crate::relay::relay_state::Relay;

/// How long a connection may take to come about.
const CONNECT_WITHIN: Duration = Duration::from_millis(500);

/// An answer that is not a stream of events is held back up to this size, so that it can still
/// be asked for again when it breaks off.
const HELD_BACK_BYTES: usize = 1 << 20;

/// Counts a request at its endpoint; it is ended once, by whoever holds it last.
pub(crate) struct InFlight {
    relay: Rc<Relay>,
    call: Rc<Call>,
    endpoint: EndpointKey,
    target: Target,
    /// The leave to send it, until it is sent.
    permit: Option<SendPermit>,
    sent: Millis,
    first_byte: Option<Millis>,
    /// What is counted when nobody ends it: its caller left, or another attempt was faster.
    unless_ended: AttemptEnd,
    ended: bool,
}

impl InFlight {
    /// Counts a request that is about to be sent.
    pub(crate) fn start(relay: Rc<Relay>, call: Rc<Call>, chosen: Chosen) -> Self {
        let sent = relay.now();
        let Chosen { endpoint, target, permit } = chosen;
        Self {
            relay,
            call,
            endpoint,
            target,
            permit: Some(permit),
            sent,
            first_byte: None,
            unless_ended: AttemptEnd::CallerLeft,
            ended: false,
        }
    }

    /// Takes in what rest its endpoint asked for as it turned the request away.
    fn record_backoff(&self, asked: AskedRest) {
        let now = self.relay.now();
        match asked {
            AskedRest::For(rest) => {
                self.relay.core.borrow_mut().record_backoff(self.endpoint, rest, now);
            }
            AskedRest::Unreadable => {
                log::debug!("the rest that {} asks for is no time", self.target.address);
            }
            AskedRest::None => {}
        }
    }

    /// Notes that the answer begins.
    fn begins(&mut self) {
        let took = self.relay.now().since(self.sent);
        self.first_byte = Some(took);
        self.relay.cx.metrics.first_byte.observe(took.as_secs_f64());
    }

    /// Tells whether the endpoint is still one that requests are sent to: a replica that was found
    /// broken, or that nobody bore out for 3 s, is not.
    pub(crate) fn is_in_service(&self) -> bool {
        self.relay.core.borrow().serves(self.endpoint)
    }

    /// Tells whether the caller's time is over.
    pub(crate) fn is_overdue(&self) -> bool {
        self.relay.now() >= self.call.deadline
    }

    /// Ends the count.
    pub(crate) fn end(&mut self, end: AttemptEnd) {
        if self.ended {
            return;
        }
        self.ended = true;
        let now = self.relay.now();
        let metrics = &self.relay.cx.metrics;
        metrics.attempts.with_label_values(&[end.as_str()]).inc();
        self.call.note_attempt(&self.target, end);
        let mut core = self.relay.core.borrow_mut();
        core.finish(self.call.group, self.endpoint, end, now, self.first_byte);
    }
}

impl Drop for InFlight {
    fn drop(&mut self) {
        self.end(self.unless_ended);
    }
}

/// An answer whose head, and maybe whole body, is there.
pub(crate) struct Begun {
    /// The answer's head.
    pub(crate) head: Parts,
    /// What was read of the body.
    pub(crate) held: Bytes,
    /// The rest of the body; nothing where it was read whole.
    pub(crate) rest: Option<PooledBody>,
    /// Counts the request at its endpoint.
    pub(crate) in_flight: InFlight,
}

impl Begun {
    /// Tells whether the answer is a stream of events.
    pub(crate) fn is_event_stream(&self) -> bool {
        let kind = self.head.headers.get(CONTENT_TYPE).map(HeaderValue::as_bytes);
        kind.is_some_and(|kind| kind.starts_with(b"text/event-stream"))
    }
}

/// Sends the request to one endpoint and waits until its answer can be passed on.
pub(crate) async fn attempt(mut in_flight: InFlight, hedged: bool) -> Result<Begun, AttemptEnd> {
    if hedged {
        in_flight.unless_ended = AttemptEnd::Overtaken;
    }
    match run(&mut in_flight).await {
        Ok((head, held, rest)) => {
            in_flight.unless_ended = AttemptEnd::CallerLeft;
            if rest.is_none() {
                in_flight.end(AttemptEnd::Answered);
            }
            Ok(Begun { head, held, rest, in_flight })
        }
        Err(end) => {
            in_flight.end(end);
            Err(end)
        }
    }
}

async fn run(in_flight: &mut InFlight) -> Result<(Parts, Bytes, Option<PooledBody>), AttemptEnd> {
    let call = in_flight.call.clone();
    let relay = in_flight.relay.clone();
    let remaining = call.deadline.since(relay.now());
    let req = request_for(&call, &in_flight.target, remaining);
    let permit = in_flight.permit.take().ok_or(AttemptEnd::NotSent)?;
    let send = relay.pool.send(
        permit,
        DEFAULT_IDLE_CONNECTIONS,
        in_flight.target.address,
        req,
        CONNECT_WITHIN,
    );
    let answer =
        relay.cx.clock.timeout_at(call.deadline, send).await.ok_or(AttemptEnd::TimedOut)?;
    let answer = answer.map_err(|err| end_of(&err))?;
    if answer.headers().contains_key(NOT_RUN_HEADER) {
        in_flight.record_backoff(AskedRest::read(answer.headers()));
        return Err(match answer.status() {
            StatusCode::TOO_MANY_REQUESTS => AttemptEnd::Refused,
            _ => AttemptEnd::NotServing,
        });
    }
    in_flight.begins();
    let held = hold_back(answer);
    relay.cx.clock.timeout_at(call.deadline, held).await.ok_or(AttemptEnd::TimedOut)?
}

fn request_for(call: &Call, target: &Target, remaining: Millis) -> Request<Full<Bytes>> {
    let mut req = Request::new(Full::new(call.body.clone()));
    *req.method_mut() = call.head.method.clone();
    *req.uri_mut() = call
        .head
        .uri
        .path_and_query()
        .and_then(|path| path.as_str().parse().ok())
        .unwrap_or_default();
    let epoch = target.replica.as_ref().map(|(_, epoch)| epoch.0);
    let host = target.address.to_string();
    *req.headers_mut() =
        headers::for_attempt(&call.head.headers, &host, &call.id, remaining, epoch);
    req
}

fn end_of(err: &SendError) -> AttemptEnd {
    match err {
        SendError::Connect { .. } | SendError::ConnectTimedOut(_) => AttemptEnd::ConnectFailed,
        SendError::NotSent(_) => AttemptEnd::NotSent,
        SendError::Cut(_) => AttemptEnd::CutBeforeAnswer,
    }
}

/// Reads the body of an answer that is not a stream of events, up to a size.
async fn hold_back(
    answer: Response<PooledBody>,
) -> Result<(Parts, Bytes, Option<PooledBody>), AttemptEnd> {
    let (head, mut body) = answer.into_parts();
    let kind = head.headers.get(CONTENT_TYPE).map(HeaderValue::as_bytes);
    if kind.is_some_and(|kind| kind.starts_with(b"text/event-stream")) {
        return Ok((head, Bytes::new(), Some(body)));
    }
    let mut held = Vec::new();
    while held.len() < HELD_BACK_BYTES {
        match body.frame().await {
            None => return Ok((head, Bytes::from(held), None)),
            Some(Err(_)) => return Err(AttemptEnd::AnswerCut),
            Some(Ok(frame)) => {
                if let Ok(data) = frame.into_data() {
                    held.extend_from_slice(&data);
                }
            }
        }
    }
    let rest = (!body.is_end_stream()).then_some(body);
    Ok((head, Bytes::from(held), rest))
}
