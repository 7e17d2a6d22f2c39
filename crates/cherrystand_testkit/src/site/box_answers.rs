//! How boxes of the stand-in answer requests, liveness probes and orders.

use std::collections::BTreeMap;
use std::pin::Pin;
use std::rc::Rc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use futures_util::stream;
use http_body_util::{BodyExt, Full, StreamBody};
use hyper::body::{Body, Frame, Incoming};
use hyper::{Method, Request, Response, StatusCode};
use serde_json::Value;

use crate::http::read_json;
use crate::site::box_wishes::{LimitIn, SentSignal, Sheds, Signal};
use crate::site::site_box::ColdReport;
use crate::site::site_stand_in::SiteStandIn;
use crate::{Arrival, BoxMode};

pub(super) type AnswerBody = Pin<Box<dyn Body<Data = Bytes, Error = std::io::Error>>>;

pub(super) type Answer = Response<AnswerBody>;

/// Number of events in a stream.
pub const EVENTS: u64 = 40;
/// Time between two events.
const EVENT_INTERVAL: Duration = Duration::from_millis(20);

/// Prefix of the body of a request that crashes the box that runs it. The number of events that the box sends before
/// the crash follows; without a number the box crashes before it answers.
pub const CRASHES: &str = "crashes after ";

impl SiteStandIn {
    pub(super) async fn answer(&self, id: &str, req: Request<Incoming>) -> Answer {
        let successor = self.state.borrow().successors.get(id).cloned();
        let id = successor.as_deref().unwrap_or(id);
        if self.mode(id) == BoxMode::Dark {
            std::future::pending::<()>().await;
        }
        self.wait_while_held().await;
        while self.mode(id) == BoxMode::Silent {
            tokio::time::sleep(EVENT_INTERVAL).await;
        }
        let request = req.headers().get("cherrystand-request-id").cloned();
        let mut answer = self.handle(id, req).await;
        if self.ends_limit(id, answer.status())
            && let Some(request) = request.as_ref().and_then(|request| request.to_str().ok())
        {
            self.record_signal(id, request, Signal::RateLimit(f64::INFINITY));
        }
        if let Some(limit) = self.limit_in_answer(id, answer.status()) {
            set_header(&mut answer, "server-limit", limit);
            let limit_per_s = limit.parse().ok().filter(|limit: &f64| *limit >= 0.0);
            let request = request.as_ref().and_then(|request| request.to_str().ok());
            if let Some((limit, request)) = limit_per_s.zip(request) {
                self.record_signal(id, request, Signal::RateLimit(limit));
            }
        }
        if let Some(left) = self.cold_time_in_answer(id) {
            set_header(&mut answer, "cherrystand-cold-ms", &left.as_millis().to_string());
        }
        if self.is_leaving(id) {
            set_header(&mut answer, "server-leaving", "1");
            if let Some(request) = request.as_ref().and_then(|request| request.to_str().ok()) {
                self.record_signal(id, request, Signal::Leaving);
            }
        }
        answer
    }

    pub(super) async fn handle(&self, id: &str, req: Request<Incoming>) -> Answer {
        match (req.method(), req.uri().path()) {
            (_, "/report" | "/order" | "/health") if !is_addressed_to(&req, id) => {
                plain_answer(StatusCode::MISDIRECTED_REQUEST, "")
            }
            (&Method::GET, "/report") => plain_answer(StatusCode::OK, "{}"),
            (&Method::GET, "/health") => self.health(id),
            (&Method::POST, "/order") => match read_json::<Value>(req).await {
                Some(order) => self.order(id, &order),
                None => plain_answer(StatusCode::BAD_REQUEST, ""),
            },
            _ => self.run_request(id, req).await,
        }
    }

    /// Answers a health check, which says how long the box stays cold unless nothing does.
    fn health(&self, id: &str) -> Answer {
        let mut answer = plain_answer(StatusCode::OK, "");
        let cold = self.state.borrow().boxes.get(id).and_then(|site_box| site_box.cold);
        if let Some((until, _)) = cold.filter(|(_, report)| *report != ColdReport::Nowhere) {
            let left = until.saturating_duration_since(Instant::now()).as_millis();
            set_header(&mut answer, "cherrystand-cold-ms", &left.to_string());
        }
        answer
    }

    pub(super) async fn run_request(&self, id: &str, req: Request<Incoming>) -> Answer {
        let headers: BTreeMap<String, String> = req
            .headers()
            .iter()
            .map(|(name, value)| {
                (name.to_string(), String::from_utf8_lossy(value.as_bytes()).into_owned())
            })
            .collect();
        let request = headers.get("cherrystand-request-id").cloned().unwrap_or_default();
        let is_addressed =
            headers.get("cherrystand-expect-instance").is_some_and(|meant| meant == id);
        let last: Option<u64> = headers.get("last-event-id").and_then(|id| id.parse().ok());
        let (service, is_leader) = {
            let state = self.state.borrow();
            let site_box = &state.boxes[id];
            let open = site_box.membership.as_ref().is_some_and(|group| group.state == "open");
            (site_box.service, open)
        };
        let arrival = Arrival {
            request: request.clone(),
            body: String::new(),
            target: id.to_owned(),
            incarnation: self.start_of(id).filter(|_| is_addressed),
            at: Instant::now(),
        };
        self.state.borrow_mut().arrivals.push(arrival);
        let arrival = self.state.borrow().arrivals.len() - 1;
        if !is_addressed || (service == "models" && !is_leader) {
            let mut answer = plain_answer(StatusCode::MISDIRECTED_REQUEST, "");
            set_header(&mut answer, "cherrystand-request-id", &request);
            return answer;
        }
        // An incomplete body means that the caller has disconnected.
        let body = req.into_body().collect().await.map(|body| body.to_bytes()).unwrap_or_default();
        let body = String::from_utf8_lossy(&body).into_owned();
        self.state.borrow_mut().arrivals[arrival].body.clone_from(&body);
        if self.should_refuse(id, &request) {
            return self.refusal(id, &request);
        }
        if service == "models" {
            self.check_run(id);
        }
        if let Some(site_box) = self.state.borrow_mut().boxes.get_mut(id) {
            site_box.runs.push((request.clone(), last));
            site_box.request_headers.push(headers);
        }
        let crash_after = body.strip_prefix(CRASHES).map(|rest| {
            let events = rest.split_once(',').map_or(rest, |(events, _)| events);
            events.parse::<u64>().ok()
        });
        if crash_after == Some(None) {
            return self.crash(id, &body).await;
        }
        while matches!(self.mode(id), BoxMode::Pauses | BoxMode::Silent) {
            tokio::time::sleep(EVENT_INTERVAL).await;
        }
        let mut answer = match self.mode(id) {
            BoxMode::LosesAnswers => interrupted_answer(),
            BoxMode::Fails => plain_answer(StatusCode::INTERNAL_SERVER_ERROR, "failed"),
            _ if service == "models" => {
                let wishes = self.state.borrow().boxes.get(id).map(|site_box| site_box.wishes);
                let id_gap = wishes.map_or(0, |wishes| wishes.id_gap);
                let first = last.map_or(0, |id| id / (id_gap + 1) + 1);
                let crash = crash_after.flatten().map(|events| (first + events, body));
                self.stream(id, &request, first, crash)
            }
            _ => plain_answer(StatusCode::OK, &format!("answer to {request}")),
        };
        set_header(&mut answer, "cherrystand-request-id", &request);
        if !self.state.borrow().boxes.get(id).is_some_and(|site_box| site_box.wishes.unsealed) {
            set_header(&mut answer, "cherrystand-response-seal", &format!("seal.{id}"));
        }
        answer
    }

    /// Tells whether a box refuses a request without running it.
    pub(super) fn should_refuse(&self, id: &str, request: &str) -> bool {
        let mut state = self.state.borrow_mut();
        let Some(site_box) = state.boxes.get_mut(id) else { return false };
        site_box.requests += 1;
        let is_shed = match site_box.wishes.sheds {
            Sheds::None => false,
            Sheds::All => true,
            Sheds::EverySecond => site_box.requests.is_multiple_of(2),
            Sheds::Beyond(most) => Rc::strong_count(&site_box.active) > most,
            Sheds::From(daemon) => request.starts_with(daemon),
        };
        is_shed || site_box.mode == BoxMode::Sheds
    }

    /// Builds a box's answer to a request that it refuses.
    pub(super) fn refusal(&self, id: &str, request: &str) -> Answer {
        let wishes =
            self.state.borrow().boxes.get(id).map(|site_box| site_box.wishes).unwrap_or_default();
        let mut answer = plain_answer(StatusCode::SERVICE_UNAVAILABLE, "");
        set_header(&mut answer, "cherrystand-not-executed", "1");
        set_header(&mut answer, "cherrystand-request-id", wishes.names.unwrap_or(request));
        if let Some(retry_after) = wishes.rest {
            set_header(&mut answer, "retry-after", retry_after);
            let secs =
                retry_after.parse().ok().and_then(|secs| Duration::try_from_secs_f64(secs).ok());
            if let Some(backoff) = secs {
                self.record_signal(id, request, Signal::Backoff(backoff));
            }
        }
        answer
    }

    pub(super) fn record_signal(&self, id: &str, request: &str, signal: Signal) {
        let Some(incarnation) = self.start_of(id) else { return };
        let (request, target) = (request.to_owned(), id.to_owned());
        let sent = SentSignal { request, target, incarnation, at: Instant::now(), signal };
        self.state.borrow_mut().signals.push(sent);
    }

    /// Returns the rate limit that a box advertises in its next answer, if it does.
    fn limit_in_answer(&self, id: &str, status: StatusCode) -> Option<&'static str> {
        let mut state = self.state.borrow_mut();
        let site_box = state.boxes.get_mut(id)?;
        site_box.answers += 1;
        let is_advertised = match site_box.wishes.limit_in {
            LimitIn::All => true,
            LimitIn::EverySecond => site_box.answers.is_multiple_of(2),
            LimitIn::Served => status.is_success(),
        };
        site_box.wishes.limit.filter(|_| is_advertised)
    }

    /// Returns whether an answer is the first good one of a box that no longer limits its rate.
    fn ends_limit(&self, id: &str, status: StatusCode) -> bool {
        let start = self.start_of(id);
        let state = self.state.borrow();
        let is_limited =
            state.boxes.get(id).is_some_and(|site_box| site_box.wishes.limit.is_some());
        let own = state.signals.iter().rev().filter(|sent| sent.target == id);
        let mut own = own.filter(|sent| Some(sent.incarnation) == start);
        let named = own.find_map(|sent| match sent.signal {
            Signal::RateLimit(limit) => Some(limit),
            _ => None,
        });
        status.is_success() && !is_limited && named.is_some_and(f64::is_finite)
    }

    /// Records that a box aborted an answer that was not read.
    fn record_unread_abort(&self, id: &str) {
        self.state.borrow_mut().unread_aborts.push(id.to_owned());
    }

    /// Returns how much longer a box is cold, if it reports that in its answers.
    fn cold_time_in_answer(&self, id: &str) -> Option<Duration> {
        let cold = self.state.borrow().boxes.get(id)?.cold;
        let (until, _) = cold.filter(|(_, report)| *report == ColdReport::Answers)?;
        let remaining = until.saturating_duration_since(Instant::now());
        (!remaining.is_zero()).then_some(remaining)
    }

    pub(super) fn is_leaving(&self, id: &str) -> bool {
        self.state.borrow().boxes.get(id).is_some_and(|site_box| site_box.wishes.leaves)
    }

    pub(crate) fn start_of(&self, id: &str) -> Option<u64> {
        self.state.borrow().boxes.get(id).map(|site_box| site_box.start_ms)
    }

    /// Builds a stream that starts at event `first`. `crash` holds the event at which the request crashes the box,
    /// and the request's body.
    pub(super) fn stream(
        &self,
        id: &str,
        request: &str,
        first: u64,
        crash: Option<(u64, String)>,
    ) -> Answer {
        let (site, id, request) = (self.clone(), id.to_owned(), request.to_owned());
        let start = self.start_of(&id);
        let active = self.state.borrow().boxes.get(&id).map(|site_box| site_box.active.clone());
        let wishes =
            self.state.borrow().boxes.get(&id).map(|site_box| site_box.wishes).unwrap_or_default();
        let padding = "x".repeat(wishes.event_bytes);
        let events = stream::unfold((first, Instant::now()), move |(number, sent_at)| {
            // The request counts as active until its last event.
            let _active = &active;
            let (site, id, request) = (site.clone(), id.clone(), request.clone());
            let (crash, padding) = (crash.clone(), padding.clone());
            async move {
                if wishes.cuts_unread.is_some_and(|unread| sent_at.elapsed() > unread) {
                    site.record_unread_abort(&id);
                    return Some((
                        Err(std::io::ErrorKind::ConnectionReset.into()),
                        (EVENTS, sent_at),
                    ));
                }
                if let Some((_, body)) = crash.filter(|(event, _)| number >= *event) {
                    return site.crash(&id, &body).await;
                }
                if number >= EVENTS {
                    return None;
                }
                tokio::time::sleep(EVENT_INTERVAL).await;
                site.wait_while_held().await;
                while site.start_of(&id) == start && !site.is_complete(&id)
                    || matches!(site.mode(&id), BoxMode::Pauses | BoxMode::Silent)
                {
                    tokio::time::sleep(EVENT_INTERVAL).await;
                }
                if site.start_of(&id) != start {
                    // The connections of a box close when its incarnation ends.
                    return Some((
                        Err(std::io::ErrorKind::ConnectionReset.into()),
                        (EVENTS, sent_at),
                    ));
                }
                if wishes.ends_inside == Some(number) {
                    let begun = Frame::data(Bytes::from(format!("id: {number}\ndata: {request}")));
                    return Some((Ok(begun), (EVENTS, sent_at)));
                }
                let event_id = number * (wishes.id_gap + 1);
                let event = format!("id: {event_id}\ndata: {request} {number}{padding}\n\n");
                let frame = Frame::data(Bytes::from(event));
                Some((Ok::<_, std::io::Error>(frame), (number + 1, Instant::now())))
            }
        });
        let mut answer = Response::new(Box::pin(StreamBody::new(events)) as AnswerBody);
        set_header(&mut answer, "content-type", "text/event-stream");
        answer
    }
}

pub(super) fn full_body(body: Full<Bytes>) -> AnswerBody {
    Box::pin(body.map_err(|never| match never {}))
}

pub(super) fn plain_answer(status: StatusCode, text: &str) -> Answer {
    let mut answer = Response::new(full_body(Full::new(Bytes::from(text.to_owned()))));
    *answer.status_mut() = status;
    answer
}

/// Builds an answer whose body is interrupted at once.
fn interrupted_answer() -> Answer {
    let failed = stream::once(async { Err(std::io::ErrorKind::ConnectionReset.into()) });
    Response::new(Box::pin(StreamBody::new(failed)))
}

/// Tells whether a call is addressed to this box, or names no box.
fn is_addressed_to(req: &Request<Incoming>, id: &str) -> bool {
    req.headers().get("cherrystand-expect-instance").is_none_or(|meant| meant == id)
}

fn set_header(answer: &mut Answer, name: &'static str, value: &str) {
    if let Ok(value) = value.parse() {
        answer.headers_mut().insert(name, value);
    }
}
