//! What endpoints signal in their answers: backoff, leaving, rate limits and cold starts.
//!
//! Source: docs/design/0020-rest-and-leaving.md.

use cherrystand_core::{BoxId, ColdPeriodUpdate, Millis, ObservedRateLimit};
use cherrystand_peer::LoadMessage;
use cherrystand_platform::{AdvertisedLimit, AnswerHeaders, RequestedBackoff};
use hyper::StatusCode;

use crate::site::Hint;
use crate::site::active_attempt::ActiveAttempt;
use crate::site::frontend::Frontend;
use crate::site::request::SiteRequest;

/// The period over which callers are spread that were refused because every endpoint is in backoff.
///
/// The answer to the first of them begins within 0.1 to 0.2 s; the others find room as more answers
/// begin.
const RETRY_AFTER_SPREAD: Millis = Millis(500);

/// The longest time for which a request waits for a permit: a round trip to another daemon with
/// both daemons busy.
const MAX_PERMIT_WAIT: Millis = Millis(25);

/// The part of its latency goal that a request may spend waiting for a permit: one eighth.
const PERMIT_WAIT_DIVISOR: u64 = 8;

impl Frontend {
    /// Applies the backoff and leaving signals in the head of a replica's answer.
    pub(crate) fn apply_signals(&self, attempt: &ActiveAttempt, headers: &AnswerHeaders) {
        let mut balancer = self.balancer.borrow_mut();
        if headers.leaving && balancer.record_leaving(&attempt.target) {
            self.signal_log.leaving(&attempt.target);
            self.cx.hint(Hint::Leaving(attempt.target.clone()));
            self.loads.broadcast(LoadMessage::Leaving(attempt.target.clone()));
        }
        if headers.not_run {
            let until = match headers.requested_backoff {
                RequestedBackoff::After(backoff) => {
                    Some(balancer.record_backoff(&attempt.target, backoff, self.now()))
                }
                _ => None,
            };
            self.signal_log.refused(&attempt.target, headers, until);
        }
    }

    /// Applies the rate limit that the head of a replica's answer names.
    ///
    /// An answer without a limit means that the limit is gone. It counts only if it is successful,
    /// because a refusal or an error may leave out headers that the endpoint otherwise sends. A limit
    /// that isn't a number changes nothing.
    pub(crate) fn apply_limit(
        &self,
        attempt: &ActiveAttempt,
        status: StatusCode,
        headers: &AnswerHeaders,
    ) {
        let limit = match headers.limit {
            AdvertisedLimit::None if headers.not_run || !status.is_success() => return,
            AdvertisedLimit::None => None,
            AdvertisedLimit::PerSecond(limit) => Some(limit),
            AdvertisedLimit::Unreadable => return self.signal_log.invalid_limit(&attempt.target),
        };
        let observed = ObservedRateLimit { limit, request_sent_at: attempt.started_at };
        let mut balancer = self.balancer.borrow_mut();
        let is_new =
            balancer.rate_limits_mut().record_answer(&attempt.target, observed, self.now());
        self.signal_log.limit(&attempt.target, limit, is_new);
        if is_new {
            self.loads.limits_due.notify_one();
        }
    }

    /// Applies an answer that says that its endpoint is cold. The endpoint's store entry says so
    /// only later.
    pub(crate) fn apply_cold_start(
        &self,
        attempt: &ActiveAttempt,
        req: &SiteRequest,
        headers: &AnswerHeaders,
    ) {
        let cold_left = headers.cold_remaining.filter(|left| *left > Millis(0));
        let Some(left) = cold_left else { return };
        let view = self.view.borrow();
        let service = view.routes.as_ref().and_then(|table| table.config().service(&req.service));
        let Some(cold) = service.and_then(|service| service.cold) else { return };
        let cold_period = ColdPeriodUpdate { rate: cold.rate, left }.to_period(self.now());
        self.balancer
            .borrow_mut()
            .rate_limits_mut()
            .set_cold_period(&attempt.target, Some(cold_period));
        self.loads.limits_due.notify_one();
    }

    /// Makes a request that needs a permit which isn't at hand wait for the daemon that issues
    /// them, but no longer than a round trip takes.
    pub(crate) async fn await_permit(&self, req: &SiteRequest) {
        let endpoints = self.request_permits(req);
        if endpoints.is_empty() {
            return;
        }
        self.loads.limits_due.notify_one();
        let now = self.now();
        let max_wait = Millis(req.route.latency_goal.0 / PERMIT_WAIT_DIVISOR).min(MAX_PERMIT_WAIT);
        loop {
            let answered = self.loads.permits.notified();
            let may_be_granted = {
                let balancer = self.balancer.borrow();
                let limits = balancer.rate_limits();
                endpoints
                    .iter()
                    .all(|id| limits.permit_wait(id, self.now()).is_some_and(|wait| wait.is_err()))
                    && endpoints.iter().any(|id| limits.may_get_permit(id))
            };
            if !may_be_granted || self.timeout_at(now + max_wait, answered).await.is_none() {
                return;
            }
        }
    }

    fn request_permits(&self, req: &SiteRequest) -> Vec<BoxId> {
        if self.balancer.borrow().rate_limits().is_empty() {
            return Vec::new();
        }
        let view = self.refresh_view();
        let Some(table) = view.routes.as_ref() else { return Vec::new() };
        let engine = table.config().engine(&req.service);
        let spec = req.spec(engine, req.route.latency_goal);
        let mut rng = self.rng.get();
        let mut balancer = self.balancer.borrow_mut();
        let endpoints = balancer.request_permits(spec, engine, self.now(), &mut rng);
        self.rng.set(rng);
        endpoints
    }

    /// Returns when the first endpoint becomes available, if every endpoint that could serve a
    /// request is in backoff or at its limit.
    pub(crate) fn unavailable_until(&self, req: &SiteRequest) -> Option<Millis> {
        let view = self.view.borrow();
        let engine = view.routes.as_ref()?.config().engine(&req.service);
        let spec = req.spec(engine, req.route.latency_goal);
        self.balancer.borrow().unavailable_until(spec, engine, self.now())
    }

    /// Returns the `Retry-After` of a request that was refused because every endpoint is
    /// unavailable: the end of the first backoff plus a random part of [`RETRY_AFTER_SPREAD`],
    /// because all other refused callers come back as well.
    pub(crate) fn retry_after(&self, unavailable_until: Millis) -> Millis {
        let mut rng = self.rng.get();
        let spread = rng.below(RETRY_AFTER_SPREAD.0 as usize) as u64;
        self.rng.set(rng);
        unavailable_until.since(self.now()) + Millis(spread)
    }
}
