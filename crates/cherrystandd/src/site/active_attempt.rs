//! Counts a request at the endpoint that it is at.

use std::cell::Cell;
use std::rc::Rc;

use cherrystand_core::{
    BoxId, Fingerprint, Millis, Prediction, SendPermit, StallEvidence, TargetKey,
};

use tokio::sync::Notify;

use crate::site::frontend::Frontend;
use crate::site::request::SiteRequest;

/// How often it is told that an endpoint stands still; its members are asked once a second.
const STALL_REPORT_INTERVAL: Millis = Millis(1_000);

/// A request counted at its endpoint until this is dropped.
pub(crate) struct ActiveAttempt {
    frontend: Rc<Frontend>,
    /// The request.
    req: Rc<SiteRequest>,
    /// The endpoint.
    pub(crate) key: TargetKey,
    /// The box behind it.
    pub(crate) target: BoxId,
    /// The leave to send it, until it is sent.
    permit: Cell<Option<SendPermit>>,
    /// Whether the endpoint's rest had just ended.
    after_backoff: bool,
    /// Whether it has begun to answer.
    answered: Cell<bool>,
    unread_tokens: Cell<f64>,
    /// When it was sent.
    pub(crate) sent: Millis,
    /// What was expected of it, where its engine is known.
    expected: Option<Prediction>,
    /// Its priority at the engine, where it has one.
    pub(crate) priority: Option<u8>,
    /// Whether it waits behind those that can still be in time.
    deferred: Cell<bool>,
    /// When it was last told that the endpoint stands still; nothing since something last came.
    stall_reported_at: Cell<Option<Millis>>,
    /// What was known of its silence at the last look, where it stood still.
    stall: Cell<Option<StallEvidence>>,
    /// Wakes the attempt once its answer cannot come any more.
    aborted: Notify,
    /// Whether it is known to end its replica.
    cancelled: Cell<bool>,
}

impl ActiveAttempt {
    /// Counts a request as on its way, by the leave to send it.
    pub(crate) fn start(
        permit: SendPermit,
        frontend: Rc<Frontend>,
        req: Rc<SiteRequest>,
        key: TargetKey,
        target: BoxId,
        expected: Option<Prediction>,
        priority: Option<u8>,
    ) -> Self {
        let now = frontend.now();
        let prompt = req.prompt_tokens();
        let deferred = expected.is_some_and(|expected| expected.deferred);
        frontend.balancer.borrow_mut().record_start(key, prompt, deferred);
        frontend.crashes.attempt_sent(&target, &req);
        Self {
            frontend,
            req,
            key,
            target,
            after_backoff: permit.comes_back(),
            permit: Cell::new(Some(permit)),
            answered: Cell::new(false),
            unread_tokens: Cell::new(prompt),
            sent: now,
            expected,
            priority,
            deferred: Cell::new(deferred),
            stall_reported_at: Cell::new(None),
            stall: Cell::new(None),
            aborted: Notify::new(),
            cancelled: Cell::new(false),
        }
    }

    /// Takes the leave to send it, which is there once.
    pub(crate) fn take_permit(&self) -> Option<SendPermit> {
        self.permit.take()
    }

    /// Notes that its answer has begun.
    fn on_answer(&self) {
        if self.after_backoff && !self.answered.replace(true) {
            let now = self.frontend.now();
            self.frontend.balancer.borrow_mut().answered_after_rest(&self.target, now);
        }
    }

    /// Notes that an event of its answer came.
    pub(crate) fn on_event(&self) {
        let now = self.frontend.now();
        self.on_answer();
        self.stall_reported_at.set(None);
        let mut balancer = self.frontend.balancer.borrow_mut();
        balancer.record_progress(self.key, now);
        let unread_tokens = self.unread_tokens.take();
        if unread_tokens > 0.0 {
            let was_deferred = self.deferred.take();
            balancer.record_first_event(self.key, unread_tokens, was_deferred);
            // What was put behind tells nothing of how long others take.
            if let Some(expected) = self.expected.filter(|_| !was_deferred) {
                balancer.record_first_event_time(
                    self.key,
                    now.since(self.sent),
                    expected.first_event_ms,
                );
            }
        }
    }

    /// Tells whether it is to be told now that the endpoint stands still: at once, and from time to
    /// time as long as it does, since what was asked about it may have stayed undecided.
    pub(crate) fn should_report_stall(&self) -> bool {
        let now = self.frontend.now();
        let due =
            self.stall_reported_at.get().is_none_or(|at| now.since(at) >= STALL_REPORT_INTERVAL);
        if due {
            self.stall_reported_at.set(Some(now));
        }
        due
    }

    /// Ends the attempt, whose answer cannot come any more.
    pub(crate) fn abort(&self) {
        self.aborted.notify_one();
    }

    /// Ends the attempt, which would end its replica.
    pub(crate) fn cancel(&self) {
        self.cancelled.set(true);
        self.abort();
    }

    /// Tells whether it was called off.
    pub(crate) fn is_cancelled(&self) -> bool {
        self.cancelled.get()
    }

    /// Returns what names its request in all tries.
    pub(crate) fn fingerprint(&self) -> Fingerprint {
        self.req.fingerprint()
    }

    /// Waits until the answer cannot come any more.
    pub(crate) async fn aborted(&self) {
        self.aborted.notified().await;
    }

    /// Notes what is known of the endpoint's silence, where it stands still.
    pub(crate) fn set_stall(&self, stall: Option<StallEvidence>) {
        self.stall.set(stall);
    }

    /// Returns what was known of the endpoint's silence at the last look, where it stood still.
    pub(crate) fn stall(&self) -> Option<StallEvidence> {
        self.stall.get()
    }

    /// Notes that the endpoint answered well.
    pub(crate) fn succeeded(&self) {
        let now = self.frontend.now();
        self.on_answer();
        self.frontend.balancer.borrow_mut().record_success(self.key, now);
        self.frontend.crashes.request_served(&self.req);
    }

    /// Notes that the endpoint failed the request.
    pub(crate) fn failed(&self) {
        let now = self.frontend.now();
        self.frontend.balancer.borrow_mut().record_failure(self.key, now);
    }

    /// Notes that the endpoint turned the request away.
    ///
    /// It has the least in flight of all, and would be the one that is chosen: of 150 requests of one
    /// daemon before two replicas 148 went first to the one that turned all away.
    pub(crate) fn refused(&self) {
        self.failed();
        self.avoid();
    }

    /// Notes that the endpoint broke off its answer, or closed the connection before one.
    pub(crate) fn interrupted(&self) {
        self.failed();
        self.frontend.crashes.answer_interrupted(
            &self.frontend,
            &self.target,
            self.req.fingerprint(),
        );
    }

    /// Leaves the endpoint out of the choice for a while.
    pub(crate) fn avoid(&self) {
        let now = self.frontend.now();
        self.frontend.balancer.borrow_mut().eject(self.key, now);
    }
}

impl Drop for ActiveAttempt {
    fn drop(&mut self) {
        let mut balancer = self.frontend.balancer.borrow_mut();
        balancer.record_finish(self.key, self.unread_tokens.get(), self.deferred.get());
        if self.after_backoff {
            balancer.ended_after_rest(&self.target);
        }
        if self.permit.take().is_some() {
            balancer.limits_mut().not_sent(&self.target);
        }
        self.frontend.crashes.attempt_ended(&self.target, &self.req);
    }
}
