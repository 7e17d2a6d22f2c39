//! A rate-limited log of failed requests.

use std::cell::RefCell;

use cherrystand_core::{AttemptEnd, BoxId, LogLimiter, Millis, StallEvidence, StreamEnd};

use crate::Clock;
use crate::site::request::SiteRequest;

/// How many failed requests are logged each second; the others are only counted.
const FAILURES_LOGGED_PER_SECOND: u32 = 10;

/// What is logged about a stream that ended before it was complete.
pub(crate) struct UnfinishedStream<'a> {
    pub(crate) req: &'a SiteRequest,
    /// The boxes that were sent the request; the fields below describe the last one.
    pub(crate) tried: &'a [BoxId],
    /// How it ended for its caller.
    pub(crate) end: StreamEnd,
    /// How the last attempt ended, if that ended the stream.
    pub(crate) attempt_end: Option<AttemptEnd>,
    /// For how long nothing of the stream had arrived.
    pub(crate) silence: Millis,
    /// The evidence of a stall, if its replica was stalled.
    pub(crate) stall: Option<StallEvidence>,
    /// How many more times its route lets it run.
    pub(crate) attempts_left: u32,
    /// Whether this node had a retry left.
    pub(crate) repeat_left: bool,
}

/// Logs failed requests.
pub(crate) struct FailureLog {
    clock: Clock,
    limiter: RefCell<LogLimiter>,
}

impl FailureLog {
    /// Creates a log that has written nothing yet.
    pub(crate) fn new(clock: Clock) -> Self {
        Self { clock, limiter: RefCell::new(LogLimiter::new(FAILURES_LOGGED_PER_SECOND)) }
    }

    /// Logs that no endpoint serves what a request asks for.
    ///
    /// `unavailable_until` returns when the first endpoint ends its backoff, if all that serve the
    /// request are in backoff; it is called only if the line is written.
    pub(crate) fn none_serving(
        &self,
        req: &SiteRequest,
        targets: usize,
        unavailable_until: impl FnOnce() -> Option<Millis>,
    ) {
        let now = self.clock.now();
        let Some(left_out) = self.limiter.borrow_mut().admit(now) else {
            return;
        };
        let unavailable_until = unavailable_until();
        let why = match unavailable_until {
            Some(_) => "every endpoint that serves it asked to be left alone",
            None => "no endpoint serves it",
        };
        log::warn!(
            request = req.headers.id.as_deref().unwrap_or_default(),
            route = req.route.name.as_str(), service = req.service.as_str(),
            model = req.headers.model.as_deref().unwrap_or_default(),
            targets = targets, left_out = left_out,
            rest_ms = unavailable_until.map_or(0, |until| until.since(now).0);
            "a request was refused: {why}"
        );
    }

    /// Logs how the last attempt of a request ended and the status that its caller got.
    pub(crate) fn failed(&self, req: &SiteRequest, tried: &[BoxId], end: &str, result: &str) {
        let now = self.clock.now();
        let Some(left_out) = self.limiter.borrow_mut().admit(now) else {
            return;
        };
        let tried: Vec<&str> = tried.iter().map(BoxId::as_str).collect();
        log::warn!(
            request = req.headers.id.as_deref().unwrap_or_default(),
            fingerprint = fingerprint_of(req),
            route = req.route.name.as_str(), tried = tried.join(" "), end = end,
            left_ms = req.deadline.since(now).0, left_out = left_out;
            "a request failed: {result}"
        );
    }

    /// Logs why a stream ended before it was complete, and which attempts and retries it had left.
    pub(crate) fn unfinished(&self, stream: &UnfinishedStream<'_>) {
        let now = self.clock.now();
        let Some(left_out) = self.limiter.borrow_mut().admit(now) else {
            return;
        };
        let result = match stream.end {
            StreamEnd::Whole => return,
            StreamEnd::DeadlinePassed => "its time was over before the stream was whole",
            StreamEnd::CallerDisconnected => "its caller left, or the connection to it failed",
            StreamEnd::CallerSlow => {
                "its caller took nothing for seconds, and the endpoint broke it off"
            }
            StreamEnd::BrokenOff | StreamEnd::ReplicaLost => "the stream was cut",
        };
        let tried: Vec<&str> = stream.tried.iter().map(BoxId::as_str).collect();
        let stall = stream.stall;
        let age = |age: Option<Millis>| age.map_or(-1, |age| age.0 as i64);
        log::warn!(
            request = stream.req.headers.id.as_deref().unwrap_or_default(),
            fingerprint = fingerprint_of(stream.req),
            route = stream.req.route.name.as_str(), tried = tried.join(" "),
            stream = stream.end.as_str(), end = stream.attempt_end.map_or("", AttemptEnd::as_str),
            left_ms = stream.req.deadline.since(now).0, silent_ms = stream.silence.0,
            replica_silent_ms = age(stall.map(|stall| stall.silence)),
            longest_ms = age(stall.map(|stall| stall.longest_expected)),
            peers = stall.map_or("", |stall| stall.peers.as_str()),
            peers_age_ms = age(stall.and_then(|stall| stall.peers_age)),
            others_progress = stall.and_then(|stall| stall.others_progressed).map_or(-1, i64::from),
            attempts_left = stream.attempts_left, repeat_left = stream.repeat_left,
            left_out = left_out;
            "a request failed: {result}"
        );
    }
}

/// Returns a request's fingerprint if it has been computed, which happens when a box interrupts its
/// answer.
fn fingerprint_of(req: &SiteRequest) -> String {
    req.features
        .get()
        .and_then(|features| features.first())
        .map(ToString::to_string)
        .unwrap_or_default()
}
