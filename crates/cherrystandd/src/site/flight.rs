//! Counts a request at the endpoint that it is at.

use std::cell::Cell;
use std::rc::Rc;

use cherrystand_core::{
    BoxId, Fingerprint, Millis, Prediction, SendPermit, StallEvidence, TargetKey,
};

use tokio::sync::Notify;

use crate::site::front::Front;
use crate::site::request::SiteRequest;

/// How often it is told that an endpoint stands still; its members are asked once a second.
const STALL_TOLD_EVERY: Millis = Millis(1_000);

/// A request counted at its endpoint until this is dropped.
pub(crate) struct Flight {
    front: Rc<Front>,
    /// The request.
    req: Rc<SiteRequest>,
    /// The endpoint.
    pub(crate) key: TargetKey,
    /// The box behind it.
    pub(crate) target: BoxId,
    /// The leave to send it, until it is sent.
    permit: Cell<Option<SendPermit>>,
    /// Whether the endpoint's rest had just ended.
    comes_back: bool,
    /// Whether it has begun to answer.
    answered: Cell<bool>,
    unread: Cell<f64>,
    /// When it was sent.
    pub(crate) sent: Millis,
    /// What was expected of it, where its engine is known.
    expected: Option<Prediction>,
    /// Its priority at the engine, where it has one.
    pub(crate) priority: Option<u8>,
    /// Whether it waits behind those that can still be in time.
    waits_behind: Cell<bool>,
    /// When it was last told that the endpoint stands still; nothing since something last came.
    stall_told: Cell<Option<Millis>>,
    /// What was known of its silence at the last look, where it stood still.
    standstill: Cell<Option<StallEvidence>>,
    /// Wakes the attempt once its answer cannot come any more.
    lost: Notify,
    /// Whether it is known to end its replica.
    called_off: Cell<bool>,
}

impl Flight {
    /// Counts a request as on its way, by the leave to send it.
    pub(crate) fn start(
        permit: SendPermit,
        front: Rc<Front>,
        req: Rc<SiteRequest>,
        key: TargetKey,
        target: BoxId,
        expected: Option<Prediction>,
        priority: Option<u8>,
    ) -> Self {
        let now = front.now();
        let prompt = req.prompt();
        let waits_behind = expected.is_some_and(|expected| expected.deferred);
        front.balancer.borrow_mut().record_start(key, prompt, waits_behind);
        front.crashes.sent(&target, &req);
        Self {
            front,
            req,
            key,
            target,
            comes_back: permit.comes_back(),
            permit: Cell::new(Some(permit)),
            answered: Cell::new(false),
            unread: Cell::new(prompt),
            sent: now,
            expected,
            priority,
            waits_behind: Cell::new(waits_behind),
            stall_told: Cell::new(None),
            standstill: Cell::new(None),
            lost: Notify::new(),
            called_off: Cell::new(false),
        }
    }

    /// Takes the leave to send it, which is there once.
    pub(crate) fn take_permit(&self) -> Option<SendPermit> {
        self.permit.take()
    }

    /// Notes that its answer has begun.
    fn answers(&self) {
        if self.comes_back && !self.answered.replace(true) {
            let now = self.front.now();
            self.front.balancer.borrow_mut().answered_after_rest(&self.target, now);
        }
    }

    /// Notes that an event of its answer came.
    pub(crate) fn event(&self) {
        let now = self.front.now();
        self.answers();
        self.stall_told.set(None);
        let mut balancer = self.front.balancer.borrow_mut();
        balancer.record_progress(self.key, now);
        let unread = self.unread.take();
        if unread > 0.0 {
            let waited_behind = self.waits_behind.take();
            balancer.record_first_event(self.key, unread, waited_behind);
            // What was put behind tells nothing of how long others take.
            if let Some(expected) = self.expected.filter(|_| !waited_behind) {
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
    pub(crate) fn tells_stall(&self) -> bool {
        let now = self.front.now();
        let due = self.stall_told.get().is_none_or(|at| now.since(at) >= STALL_TOLD_EVERY);
        if due {
            self.stall_told.set(Some(now));
        }
        due
    }

    /// Ends the attempt, whose answer cannot come any more.
    pub(crate) fn give_up(&self) {
        self.lost.notify_one();
    }

    /// Ends the attempt, which would end its replica.
    pub(crate) fn call_off(&self) {
        self.called_off.set(true);
        self.give_up();
    }

    /// Tells whether it was called off.
    pub(crate) fn is_called_off(&self) -> bool {
        self.called_off.get()
    }

    /// Returns what names its request in all tries.
    pub(crate) fn fingerprint(&self) -> Fingerprint {
        self.req.fingerprint()
    }

    /// Waits until the answer cannot come any more.
    pub(crate) async fn given_up(&self) {
        self.lost.notified().await;
    }

    /// Notes what is known of the endpoint's silence, where it stands still.
    pub(crate) fn note_standstill(&self, standstill: Option<StallEvidence>) {
        self.standstill.set(standstill);
    }

    /// Returns what was known of the endpoint's silence at the last look, where it stood still.
    pub(crate) fn standstill(&self) -> Option<StallEvidence> {
        self.standstill.get()
    }

    /// Notes that the endpoint answered well.
    pub(crate) fn succeeded(&self) {
        let now = self.front.now();
        self.answers();
        self.front.balancer.borrow_mut().record_success(self.key, now);
        self.front.crashes.served(&self.req);
    }

    /// Notes that the endpoint failed the request.
    pub(crate) fn failed(&self) {
        let now = self.front.now();
        self.front.balancer.borrow_mut().record_failure(self.key, now);
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
    pub(crate) fn cut(&self) {
        self.failed();
        self.front.crashes.cut(&self.front, &self.target, self.req.fingerprint());
    }

    /// Leaves the endpoint out of the choice for a while.
    pub(crate) fn avoid(&self) {
        let now = self.front.now();
        self.front.balancer.borrow_mut().eject(self.key, now);
    }
}

impl Drop for Flight {
    fn drop(&mut self) {
        let mut balancer = self.front.balancer.borrow_mut();
        balancer.record_finish(self.key, self.unread.get(), self.waits_behind.get());
        if self.comes_back {
            balancer.ended_after_rest(&self.target);
        }
        if self.permit.take().is_some() {
            balancer.limits_mut().not_sent(&self.target);
        }
        self.front.crashes.ended_at(&self.target, &self.req);
    }
}
