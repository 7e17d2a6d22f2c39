//! Counts a request at the endpoint that it is at.

use std::cell::Cell;
use std::rc::Rc;

use cherrystand_core::{BoxId, Expected, Millis, Standstill, TargetKey};

use crate::site::front::Front;

/// A request counted at its endpoint until this is dropped.
pub(crate) struct Flight {
    front: Rc<Front>,
    /// The endpoint.
    pub(crate) key: TargetKey,
    /// The box behind it.
    pub(crate) target: BoxId,
    unread: f64,
    /// When it was sent.
    sent: Millis,
    /// What was expected of it, where its engine is known.
    expected: Option<Expected>,
    /// Its priority at the engine, where it has one.
    pub(crate) priority: Option<u8>,
    /// Whether it waits behind those that can still be in time.
    waits_behind: bool,
    /// Since when the endpoint has been seen to stand still.
    stalled: Cell<Option<Millis>>,
    /// What was known of its silence at the last look, where it stood still.
    standstill: Cell<Option<Standstill>>,
}

impl Flight {
    /// Counts a request as on its way.
    pub(crate) fn start(
        front: Rc<Front>,
        key: TargetKey,
        target: BoxId,
        prompt: f64,
        expected: Option<Expected>,
        priority: Option<u8>,
    ) -> Self {
        let now = front.now();
        let waits_behind = expected.is_some_and(|expected| expected.deferred);
        front.chooser.borrow_mut().start(key, prompt, waits_behind);
        Self {
            front,
            key,
            target,
            unread: prompt,
            sent: now,
            expected,
            priority,
            waits_behind,
            stalled: Cell::new(None),
            standstill: Cell::new(None),
        }
    }

    /// Notes that an event of its answer came.
    pub(crate) fn event(&mut self) {
        let now = self.front.now();
        self.stalled.set(None);
        let mut chooser = self.front.chooser.borrow_mut();
        chooser.progress(self.key, now);
        if self.unread > 0.0 {
            chooser.first_event(self.key, self.unread, self.waits_behind);
            // What was put behind tells nothing of how long others take.
            if let Some(expected) = self.expected.filter(|_| !self.waits_behind) {
                chooser.learn_first_event(self.key, now.since(self.sent), expected.predicted);
            }
            self.unread = 0.0;
            self.waits_behind = false;
        }
    }

    /// Notes that the endpoint stands still, and tells since when it has been seen to, where that is
    /// not new.
    pub(crate) fn stalled_since(&self) -> Option<Millis> {
        let since = self.stalled.get();
        self.stalled.set(since.or(Some(self.front.now())));
        since
    }

    /// Notes what is known of the endpoint's silence, where it stands still.
    pub(crate) fn note_standstill(&self, standstill: Option<Standstill>) {
        self.standstill.set(standstill);
    }

    /// Returns what was known of the endpoint's silence at the last look, where it stood still.
    pub(crate) fn standstill(&self) -> Option<Standstill> {
        self.standstill.get()
    }

    /// Notes that the endpoint answered well.
    pub(crate) fn succeeded(&self) {
        let now = self.front.now();
        self.front.chooser.borrow_mut().succeeded(self.key, now);
    }

    /// Notes that the endpoint failed the request.
    pub(crate) fn failed(&self) {
        let now = self.front.now();
        self.front.chooser.borrow_mut().failed(self.key, now);
    }

    /// Leaves the endpoint out of the choice for a while.
    pub(crate) fn avoid(&self) {
        let now = self.front.now();
        self.front.chooser.borrow_mut().avoid(self.key, now);
    }
}

impl Drop for Flight {
    fn drop(&mut self) {
        self.front.chooser.borrow_mut().finish(self.key, self.unread, self.waits_behind);
    }
}
