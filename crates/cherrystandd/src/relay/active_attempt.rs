//! One attempt to run a request at an endpoint.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use cherrystand_core::{AttemptEnd, DEFAULT_IDLE_CONNECTIONS, EndpointKey, Millis, SendPermit};
use cherrystand_platform::{
    CALL_ID, IdentifiedAnswer, IdentifiedHead, NOT_RUN_HEADER, PooledBody, RequestedBackoff,
};
use http_body_util::{BodyExt, Full};
use hyper::body::Body;
use hyper::header::{CONTENT_TYPE, HeaderValue};
use hyper::{Request, StatusCode};

use crate::relay::call::Call;
use crate::relay::core::{ChosenEndpoint, Target};
use crate::relay::headers;
use crate::relay::relay_state::Relay;

/// How long connecting to an endpoint may take.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// An answer that is not an event stream is buffered up to this size before any of it is relayed,
/// so that the request can still be retried when the connection breaks.
const MAX_BUFFERED_BYTES: usize = 1 << 20;

/// The end that an attempt records if it is dropped: the caller left, unless another attempt was
/// answered first.
#[derive(Clone)]
pub(crate) struct EndIfDropped(Rc<Cell<AttemptEnd>>);

impl EndIfDropped {
    /// Sets the end.
    pub(crate) fn set(&self, end: AttemptEnd) {
        self.0.set(end);
    }
}

/// An attempt in flight, counted at its endpoint until `end` is called or it is dropped.
pub(crate) struct ActiveAttempt {
    relay: Rc<Relay>,
    call: Rc<Call>,
    endpoint: EndpointKey,
    target: Target,
    /// The permit to send the request, until it is sent.
    permit: Option<SendPermit>,
    started_at: Millis,
    first_byte: Option<Millis>,
    end_if_dropped: EndIfDropped,
    ended: bool,
}

impl ActiveAttempt {
    /// Counts a request that is about to be sent as in flight.
    pub(crate) fn start(relay: Rc<Relay>, call: Rc<Call>, chosen: ChosenEndpoint) -> Self {
        let started_at = relay.now();
        let ChosenEndpoint { endpoint, target, permit } = chosen;
        Self {
            relay,
            call,
            endpoint,
            target,
            permit: Some(permit),
            started_at,
            first_byte: None,
            end_if_dropped: EndIfDropped(Rc::new(Cell::new(AttemptEnd::CallerDisconnected))),
            ended: false,
        }
    }

    /// Returns the end that it records if it is dropped.
    pub(crate) fn end_if_dropped(&self) -> EndIfDropped {
        self.end_if_dropped.clone()
    }

    /// Records the backoff that the endpoint asked for when it refused the request.
    fn record_backoff(&self, requested: RequestedBackoff) {
        let now = self.relay.now();
        match requested {
            RequestedBackoff::After(delay) => {
                self.relay.core.borrow_mut().record_backoff(self.endpoint, delay, now);
            }
            RequestedBackoff::Unreadable => {
                log::debug!("invalid backoff in the answer of endpoint {}", self.target.address);
            }
            RequestedBackoff::None => {}
        }
    }

    /// Records the time until the answer began.
    fn record_first_byte(&mut self) {
        let latency = self.relay.now().since(self.started_at);
        self.first_byte = Some(latency);
        self.relay.cx.metrics.first_byte.observe(latency.as_secs_f64());
    }

    /// Returns whether the endpoint is still routed to. A replica is not if it was found broken, or
    /// if no daemon has had evidence for 3 s that it serves.
    pub(crate) fn is_in_service(&self) -> bool {
        self.relay.core.borrow().has_endpoint(self.endpoint)
    }

    /// Returns whether the caller's deadline has passed.
    pub(crate) fn is_past_deadline(&self) -> bool {
        self.relay.now() >= self.call.deadline
    }

    /// Ends the attempt, once; later calls have no effect.
    pub(crate) fn end(&mut self, end: AttemptEnd) {
        if self.ended {
            return;
        }
        self.ended = true;
        let now = self.relay.now();
        let metrics = &self.relay.cx.metrics;
        metrics.attempts.with_label_values(&[end.as_str()]).inc();
        self.call.record_attempt(&self.target, end);
        let mut core = self.relay.core.borrow_mut();
        core.finish_attempt(self.call.group, self.endpoint, end, now, self.first_byte);
    }
}

impl Drop for ActiveAttempt {
    fn drop(&mut self) {
        self.end(self.end_if_dropped.0.get());
    }
}

/// An answer whose head, and possibly whole body, has arrived.
pub(crate) struct StartedAnswer {
    /// The status and headers of the answer.
    pub(crate) head: IdentifiedHead,
    /// The part of the body read so far.
    pub(crate) buffered: Bytes,
    /// The rest of the body; `None` if it was read completely.
    pub(crate) remaining_body: Option<PooledBody>,
    /// The attempt that got the answer.
    pub(crate) attempt: ActiveAttempt,
}

impl StartedAnswer {
    /// Returns whether the answer is an event stream.
    pub(crate) fn is_event_stream(&self) -> bool {
        is_event_stream(&self.head)
    }
}

fn is_event_stream(head: &IdentifiedHead) -> bool {
    let content_type = head.headers().get(CONTENT_TYPE).map(HeaderValue::as_bytes);
    content_type.is_some_and(|content_type| content_type.starts_with(b"text/event-stream"))
}

/// Sends the request to one endpoint and waits until its answer can be relayed.
pub(crate) async fn run_attempt(mut attempt: ActiveAttempt) -> Result<StartedAnswer, AttemptEnd> {
    match send_request(&mut attempt).await {
        Ok((head, buffered, remaining_body)) => {
            if remaining_body.is_none() {
                attempt.end(AttemptEnd::Answered);
            }
            Ok(StartedAnswer { head, buffered, remaining_body, attempt })
        }
        Err(end) => {
            attempt.end(end);
            Err(end)
        }
    }
}

async fn send_request(
    attempt: &mut ActiveAttempt,
) -> Result<(IdentifiedHead, Bytes, Option<PooledBody>), AttemptEnd> {
    let call = attempt.call.clone();
    let relay = attempt.relay.clone();
    let remaining_time = call.deadline.since(relay.now());
    let req = build_request(&call, &attempt.target, remaining_time);
    let permit = attempt.permit.take().ok_or(AttemptEnd::NotSent)?;
    let send = relay.pool.send(
        permit,
        DEFAULT_IDLE_CONNECTIONS,
        attempt.target.address,
        req,
        CONNECT_TIMEOUT,
    );
    let answer =
        relay.cx.clock.timeout_at(call.deadline, send).await.ok_or(AttemptEnd::TimedOut)?;
    let answer = answer.map_err(|err| err.attempt_end())?;
    if answer.head.headers().contains_key(NOT_RUN_HEADER) {
        attempt.record_backoff(RequestedBackoff::read(answer.head.headers()));
        return Err(match answer.head.status() {
            StatusCode::TOO_MANY_REQUESTS => AttemptEnd::Refused,
            _ => AttemptEnd::NotServing,
        });
    }
    attempt.record_first_byte();
    let buffered = buffer_answer(answer);
    relay.cx.clock.timeout_at(call.deadline, buffered).await.ok_or(AttemptEnd::TimedOut)?
}

fn build_request(call: &Call, target: &Target, remaining_time: Millis) -> Request<Full<Bytes>> {
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
        headers::attempt_headers(&call.head.headers, &host, &call.id, remaining_time, epoch);
    req
}

/// Reads the body of an answer that is not an event stream, up to `MAX_BUFFERED_BYTES`.
async fn buffer_answer(
    mut answer: IdentifiedAnswer,
) -> Result<(IdentifiedHead, Bytes, Option<PooledBody>), AttemptEnd> {
    answer.head.remove(CALL_ID.as_str());
    let IdentifiedAnswer { head, mut body } = answer;
    if is_event_stream(&head) {
        return Ok((head, Bytes::new(), Some(body)));
    }
    let mut buffered = Vec::new();
    while buffered.len() < MAX_BUFFERED_BYTES {
        match body.frame().await {
            None => return Ok((head, Bytes::from(buffered), None)),
            Some(Err(_)) => return Err(AttemptEnd::AnswerCut),
            Some(Ok(frame)) => {
                if let Ok(data) = frame.into_data() {
                    buffered.extend_from_slice(&data);
                }
            }
        }
    }
    let remaining_body = (!body.is_end_stream()).then_some(body);
    Ok((head, Bytes::from(buffered), remaining_body))
}
