//! What endpoints ask of this node, as the requests of the front go by it.
//!
//! Source: docs/design/0020-rest-and-leaving.md.

use cherrystand_core::{BoxId, ColdWord, LimitHeard, Millis};
use cherrystand_peer::LoadNews;
use cherrystand_platform::{AnswerFacts, AskedRest, NamedLimit};
use hyper::StatusCode;

use crate::site::Hint;
use crate::site::active_attempt::ActiveAttempt;
use crate::site::frontend::Frontend;
use crate::site::request::SiteRequest;

/// Over what time those come back that were refused as all endpoints rest.
///
/// The first of them has its answer begun within 0.1 to 0.2 s; the others find room as more of these come.
const RETRY_AFTER_SPREAD: Millis = Millis(500);

/// The longest time for which a request waits for a permit: the way to another daemon and back, with both busy.
const MAX_PERMIT_WAIT: Millis = Millis(25);

/// The part of its objective that a request may wait for a permit.
const PERMIT_WAIT_DIVISOR: u64 = 8;

/// Tells whether an answer names the request that it came to.
fn is_answer_to(req: &SiteRequest, facts: &AnswerFacts) -> bool {
    facts.request.is_some() && facts.request == req.facts.id
}

impl Frontend {
    /// Takes in what the head of a replica's answer asks of this node.
    ///
    /// An answer that names another request is somebody else's word.
    pub(crate) fn apply_signals(
        &self,
        attempt: &ActiveAttempt,
        req: &SiteRequest,
        facts: &AnswerFacts,
    ) {
        if facts.request.is_some() && facts.request != req.facts.id {
            return;
        }
        let mut balancer = self.balancer.borrow_mut();
        if facts.leaving && balancer.hear_leaving(&attempt.target) {
            self.signal_log.leaves(&attempt.target);
            self.cx.hint(Hint::Leaves(attempt.target.clone()));
            self.loads.broadcast(LoadNews::Leaves(attempt.target.clone()));
        }
        if facts.not_run {
            let until = match facts.asked_rest {
                AskedRest::For(rest) => Some(balancer.hear_rest(&attempt.target, rest, self.now())),
                _ => None,
            };
            self.signal_log.refused(&attempt.target, facts, until);
        }
    }

    /// Takes in what the head of a replica's answer names of the requests that it takes.
    ///
    /// An answer without a limit tells that there is none any more, so that it has to be an answer to this request
    /// for sure, and a good one: what turns requests away or fails may not say all that it otherwise does. One that
    /// names what is no number says neither.
    pub(crate) fn apply_limit(
        &self,
        attempt: &ActiveAttempt,
        req: &SiteRequest,
        status: StatusCode,
        facts: &AnswerFacts,
    ) {
        if !is_answer_to(req, facts) {
            return;
        }
        let limit = match facts.limit {
            NamedLimit::None if facts.not_run || !status.is_success() => return,
            NamedLimit::None => None,
            NamedLimit::PerSecond(limit) => Some(limit),
            NamedLimit::Unreadable => return self.signal_log.invalid_limit(&attempt.target),
        };
        let heard = LimitHeard { limit, sent: attempt.sent };
        let mut balancer = self.balancer.borrow_mut();
        let is_new = balancer.limits_mut().hear_answer(&attempt.target, heard, self.now());
        self.signal_log.limit(&attempt.target, limit, is_new);
        if is_new {
            self.loads.limits_due.notify_one();
        }
    }

    /// Takes in that an answer to this request says that its endpoint is cold, which the endpoint's entry tells
    /// later.
    pub(crate) fn apply_cold_start(
        &self,
        attempt: &ActiveAttempt,
        req: &SiteRequest,
        facts: &AnswerFacts,
    ) {
        let own = facts.cold_left.filter(|_| is_answer_to(req, facts));
        let Some(left) = own.filter(|left| *left > Millis(0)) else { return };
        let view = self.view.borrow();
        let service = view.table.as_ref().and_then(|table| table.config().service(&req.service));
        let Some(cold) = service.and_then(|service| service.cold) else { return };
        let life = ColdWord { rate: cold.rate, left }.life(self.now());
        self.balancer.borrow_mut().limits_mut().follow_cold(&attempt.target, Some(life));
        self.loads.limits_due.notify_one();
    }

    /// Has a request that could use a permit, which is not at hand, wait for the answer of the daemon that gives them
    /// out; not longer than the way there and back takes.
    pub(crate) async fn await_permit(&self, req: &SiteRequest) {
        let wanted = self.request_permits(req);
        if wanted.is_empty() {
            return;
        }
        self.loads.limits_due.notify_one();
        let now = self.now();
        let max_wait = Millis(req.route.latency_goal.0 / PERMIT_WAIT_DIVISOR).min(MAX_PERMIT_WAIT);
        loop {
            let answered = self.loads.permits.notified();
            let may_come = {
                let balancer = self.balancer.borrow();
                let limits = balancer.limits();
                wanted
                    .iter()
                    .all(|id| limits.wait(id, self.now()).is_some_and(|wait| wait.is_err()))
                    && wanted.iter().any(|id| limits.may_come(id))
            };
            if !may_come || self.timeout_at(now + max_wait, answered).await.is_none() {
                return;
            }
        }
    }

    fn request_permits(&self, req: &SiteRequest) -> Vec<BoxId> {
        if self.balancer.borrow().limits().is_empty() {
            return Vec::new();
        }
        let view = self.refresh_view();
        let Some(table) = view.table.as_ref() else { return Vec::new() };
        let engine = table.config().engine(&req.service);
        let ask = req.ask(engine, req.route.latency_goal);
        let mut seed = self.seed.get();
        let mut balancer = self.balancer.borrow_mut();
        let wanted = balancer.request_permits(ask, engine, self.now(), &mut seed);
        self.seed.set(seed);
        wanted
    }

    /// Returns when one may first be sent to again, where every endpoint that could serve a request rests or
    /// has all that it bears.
    pub(crate) fn unavailable_until(&self, req: &SiteRequest) -> Option<Millis> {
        let view = self.view.borrow();
        let engine = view.table.as_ref()?.config().engine(&req.service);
        let ask = req.ask(engine, req.route.latency_goal);
        self.balancer.borrow().unavailable_until(ask, engine, self.now())
    }

    /// Returns when the caller of a request may come back that was refused as all rest: after the first
    /// rest, spread over a while, as all others that were refused come back as well.
    pub(crate) fn retry_after(&self, closed_until: Millis) -> Millis {
        let mut seed = self.seed.get();
        let spread = seed.below(RETRY_AFTER_SPREAD.0 as usize) as u64;
        self.seed.set(seed);
        closed_until.since(self.now()) + Millis(spread)
    }
}
