//! Counts a request at the endpoint that it is at.

use std::rc::Rc;

use cherrystand_core::{BoxId, TargetKey};

use crate::site::front::Front;

/// A request counted at its endpoint until this is dropped.
pub(crate) struct Flight {
    front: Rc<Front>,
    /// The endpoint.
    pub(crate) key: TargetKey,
    /// The box behind it.
    pub(crate) target: BoxId,
    unread: f64,
}

impl Flight {
    /// Counts a request as on its way.
    pub(crate) fn start(front: Rc<Front>, key: TargetKey, target: BoxId, prompt: f64) -> Self {
        let now = front.now();
        front.chooser.borrow_mut().start(key, prompt, now);
        Self { front, key, target, unread: prompt }
    }

    /// Notes that an event of its answer came.
    pub(crate) fn event(&mut self) {
        let now = self.front.now();
        let mut chooser = self.front.chooser.borrow_mut();
        if self.unread > 0.0 {
            chooser.first_event(self.key, self.unread);
            self.unread = 0.0;
        }
        chooser.progress(self.key, now);
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
