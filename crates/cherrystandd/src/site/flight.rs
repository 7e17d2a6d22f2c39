//! Counts a request at the endpoint that it is at.

use std::rc::Rc;

use cherrystand_core::{BoxId, Millis, TargetKey};

use crate::site::front::Front;

/// A request counted at its endpoint until this is dropped.
pub(crate) struct Flight {
    front: Rc<Front>,
    /// The endpoint.
    pub(crate) key: TargetKey,
    /// The box behind it.
    pub(crate) target: BoxId,
    unread: f64,
    /// When the last event came, or else when the request was sent.
    heard: Millis,
    /// The predicted milliseconds until the first event, where its engine is known.
    predicted: Option<f64>,
}

impl Flight {
    /// Counts a request as on its way.
    pub(crate) fn start(
        front: Rc<Front>,
        key: TargetKey,
        target: BoxId,
        prompt: f64,
        predicted: Option<f64>,
    ) -> Self {
        let now = front.now();
        front.chooser.borrow_mut().start(key, prompt, now);
        Self { front, key, target, unread: prompt, heard: now, predicted }
    }

    /// Notes that an event of its answer came.
    pub(crate) fn event(&mut self) {
        let now = self.front.now();
        let pause = now.since(self.heard);
        self.heard = now;
        let mut chooser = self.front.chooser.borrow_mut();
        chooser.progress(self.key, now);
        if self.unread > 0.0 {
            chooser.first_event(self.key, self.unread);
            self.unread = 0.0;
            if let Some(predicted) = self.predicted {
                chooser.learn_first_event(self.key, pause, predicted);
            }
            return;
        }
        drop(chooser);
        self.front.learn_pause(self.key, pause);
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
        self.front.chooser.borrow_mut().finish(self.key, self.unread);
    }
}
