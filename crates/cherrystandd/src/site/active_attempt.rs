//! An attempt in flight, counted at its endpoint.

use std::cell::Cell;
use std::rc::Rc;

use cherrystand_core::{
    BoxId, Fingerprint, Millis, Prediction, SendPermit, StallEvidence, TargetKey,
};

use tokio::sync::Notify;

use crate::site::frontend::Frontend;
use crate::site::path_taken::PathTaken;
use crate::site::request::SiteRequest;

/// How often a stalled endpoint is reported; its members are probed once a second.
const STALL_REPORT_INTERVAL: Millis = Millis(1_000);

/// An attempt of a request at an endpoint, counted as in flight there until it is dropped.
pub(crate) struct ActiveAttempt {
    frontend: Rc<Frontend>,
    req: Rc<SiteRequest>,
    /// The endpoint, as the load balancer knows it.
    pub(crate) key: TargetKey,
    /// The box behind the endpoint.
    pub(crate) target: BoxId,
    /// The permit to send the request, until it is sent.
    permit: Cell<Option<SendPermit>>,
    /// Whether the endpoint's backoff had just ended.
    after_backoff: bool,
    /// The way that it takes.
    pub(crate) path: PathTaken,
    /// Whether its way was found to be lost, so that its answer may not arrive although the endpoint
    /// makes progress.
    path_lost: Cell<bool>,
    /// Whether the endpoint has begun to answer.
    answered: Cell<bool>,
    unread_tokens: Cell<f64>,
    /// When the attempt was started.
    pub(crate) started_at: Millis,
    /// What was predicted for it, if the engine is known.
    prediction: Option<Prediction>,
    /// Its priority at the engine, if the engine takes one.
    pub(crate) priority: Option<u8>,
    /// Whether the engine puts it behind requests that can still meet their latency goal.
    deferred: Cell<bool>,
    /// When the endpoint was last reported as stalled; `None` once something arrived again.
    stall_reported_at: Cell<Option<Millis>>,
    /// The evidence of the last check, if the endpoint was stalled.
    stall: Cell<Option<StallEvidence>>,
    /// Wakes the attempt when its answer can no longer come.
    aborted: Notify,
    /// Whether it was cancelled because the request is known to crash replicas.
    cancelled: Cell<bool>,
}

impl ActiveAttempt {
    /// Counts a request as in flight; `permit` allows it to be sent.
    pub(crate) fn start(
        permit: SendPermit,
        frontend: Rc<Frontend>,
        req: Rc<SiteRequest>,
        key: TargetKey,
        target: BoxId,
        prediction: Option<Prediction>,
        priority: Option<u8>,
    ) -> Self {
        let now = frontend.now();
        let prompt = req.prompt_tokens();
        let deferred = prediction.is_some_and(|prediction| prediction.deferred);
        frontend.balancer.borrow_mut().record_start(key, prompt, deferred);
        frontend.crashes.attempt_sent(&target, &req);
        Self {
            path: PathTaken::new(req.tries.clone()),
            frontend,
            req,
            key,
            target,
            after_backoff: permit.is_after_backoff(),
            permit: Cell::new(Some(permit)),
            path_lost: Cell::new(false),
            answered: Cell::new(false),
            unread_tokens: Cell::new(prompt),
            started_at: now,
            prediction,
            priority,
            deferred: Cell::new(deferred),
            stall_reported_at: Cell::new(None),
            stall: Cell::new(None),
            aborted: Notify::new(),
            cancelled: Cell::new(false),
        }
    }

    /// Takes the permit; a second call returns `None`.
    pub(crate) fn take_permit(&self) -> Option<SendPermit> {
        self.permit.take()
    }

    /// Records that the answer has begun.
    fn on_answer(&self) {
        if self.after_backoff && !self.answered.replace(true) {
            let now = self.frontend.now();
            self.frontend.balancer.borrow_mut().record_answer_after_backoff(&self.target, now);
        }
    }

    /// Records that an event of the answer arrived.
    pub(crate) fn on_event(&self) {
        let now = self.frontend.now();
        self.on_answer();
        self.stall_reported_at.set(None);
        self.path_lost.set(false);
        self.frontend.loads.record_heard(&self.target);
        let mut balancer = self.frontend.balancer.borrow_mut();
        balancer.record_progress(self.key, now);
        let unread_tokens = self.unread_tokens.take();
        if unread_tokens > 0.0 {
            let was_deferred = self.deferred.take();
            balancer.record_first_event(self.key, unread_tokens, was_deferred);
            // The time of a deferred request doesn't show how long others take.
            if let Some(prediction) = self.prediction.filter(|_| !was_deferred) {
                balancer.record_first_event_time(
                    self.key,
                    now.since(self.started_at),
                    prediction.first_event_ms,
                );
            }
        }
    }

    /// Returns whether the endpoint's stall is to be reported now: at once, then at intervals while
    /// it lasts, because the probes that a report triggers may stay undecided.
    pub(crate) fn should_report_stall(&self) -> bool {
        let now = self.frontend.now();
        let due =
            self.stall_reported_at.get().is_none_or(|at| now.since(at) >= STALL_REPORT_INTERVAL);
        if due {
            self.stall_reported_at.set(Some(now));
        }
        due
    }

    /// Ends the attempt because its answer can no longer come.
    pub(crate) fn abort(&self) {
        self.aborted.notify_one();
    }

    /// Ends the attempt because it would crash its replica.
    pub(crate) fn cancel(&self) {
        self.cancelled.set(true);
        self.abort();
    }

    /// Returns whether the attempt was cancelled.
    pub(crate) fn is_cancelled(&self) -> bool {
        self.cancelled.get()
    }

    /// Returns whether the request, or a part of its prompt, has a fingerprint.
    pub(crate) fn has_feature(&self, feature: Fingerprint) -> bool {
        self.req.features().contains(&feature)
    }

    /// Returns its request.
    pub(crate) fn request(&self) -> &SiteRequest {
        &self.req
    }

    /// Waits until the attempt is aborted.
    pub(crate) async fn aborted(&self) {
        self.aborted.notified().await;
    }

    /// Records that its way was found to be lost.
    pub(crate) fn set_path_lost(&self) {
        self.path_lost.set(true);
    }

    /// Returns whether its way was found to be lost, and nothing arrived since.
    pub(crate) fn is_path_lost(&self) -> bool {
        self.path_lost.get()
    }

    /// Stores the evidence of the latest check, if the endpoint is stalled.
    pub(crate) fn set_stall(&self, stall: Option<StallEvidence>) {
        self.stall.set(stall);
    }

    /// Returns the evidence of the latest check, if the endpoint was stalled.
    pub(crate) fn stall(&self) -> Option<StallEvidence> {
        self.stall.get()
    }

    /// Records that the endpoint answered successfully.
    pub(crate) fn succeeded(&self) {
        let now = self.frontend.now();
        self.on_answer();
        self.frontend.balancer.borrow_mut().record_success(self.key, now);
        self.frontend.crashes.request_served(&self.req);
    }

    /// Records that the endpoint failed the request.
    pub(crate) fn failed(&self) {
        let now = self.frontend.now();
        self.frontend.balancer.borrow_mut().record_failure(self.key, now);
    }

    /// Records that the endpoint refused the request, and takes it out of the choice.
    ///
    /// An endpoint that refuses everything has the fewest requests in flight and would be chosen
    /// first: of 150 requests of one daemon with two replicas, 148 went first to the one that
    /// refused all.
    pub(crate) fn refused(&self) {
        self.failed();
        self.eject();
    }

    /// Records that the connection broke during or before the endpoint's answer.
    pub(crate) fn interrupted(&self) {
        self.failed();
        let headers = &self.req.headers;
        log::info!(
            target_box = self.target.as_str(), request = headers.id.as_deref().unwrap_or_default(),
            parts = headers.shared_parts.join(","),
            running_ms = self.frontend.now().since(self.started_at).0;
            "an answer broke off"
        );
        let ran = self.frontend.now().since(self.started_at);
        self.frontend.crashes.answer_interrupted(&self.frontend, &self.target, &self.req, ran);
    }

    /// Takes the endpoint out of the choice for a while, unless a peer carried the request, whose fault
    /// it may be.
    pub(crate) fn eject(&self) {
        if self.path.carrier().is_some() {
            return;
        }
        let now = self.frontend.now();
        self.frontend.balancer.borrow_mut().eject(self.key, now);
    }
}

impl Drop for ActiveAttempt {
    fn drop(&mut self) {
        let mut balancer = self.frontend.balancer.borrow_mut();
        balancer.record_finish(self.key, self.unread_tokens.get(), self.deferred.get());
        if self.after_backoff {
            balancer.record_end_after_backoff(&self.target);
        }
        if self.permit.take().is_some() {
            balancer.rate_limits_mut().return_permit(&self.target);
        }
        self.frontend.crashes.attempt_ended(&self.target, &self.req);
    }
}
