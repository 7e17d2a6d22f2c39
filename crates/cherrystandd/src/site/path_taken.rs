//! The way that a request takes to a box.

use std::cell::RefCell;
use std::rc::Rc;
use std::sync::{Arc, Mutex};

use cherrystand_core::{EndpointPaths, NodeId};
use cherrystand_platform::RequestTries;

use crate::DutyContext;
use crate::duty_context::lock_paths;

/// How a request reaches a box.
enum Path {
    /// Over the own link.
    Direct,
    /// Through a peer, which carries it until this is dropped.
    Carried(CarryGuard),
}

/// The way that a request takes, as far as it has been sent.
pub(crate) struct PathTaken {
    path: RefCell<Path>,
    /// The connections that carried the request so far, on all its ways.
    pub(super) tries: Rc<RequestTries>,
}

impl PathTaken {
    /// Starts a further try of a request.
    pub(crate) fn new(tries: Rc<RequestTries>) -> Self {
        Self { path: RefCell::new(Path::Direct), tries }
    }

    pub(super) fn set_direct(&self) {
        self.path.replace(Path::Direct);
    }

    pub(super) fn set_carried(&self, cx: &DutyContext, carrier: NodeId) {
        self.path.replace(Path::Carried(CarryGuard::new(cx, carrier)));
    }

    /// Returns the peer that carries the request, if one does.
    pub(crate) fn carrier(&self) -> Option<NodeId> {
        match &*self.path.borrow() {
            Path::Direct => None,
            Path::Carried(guard) => Some(guard.carrier.clone()),
        }
    }
}

/// Counts a request as carried by a peer until it is dropped.
struct CarryGuard {
    paths: Arc<Mutex<EndpointPaths>>,
    carrier: NodeId,
}

impl CarryGuard {
    fn new(cx: &DutyContext, carrier: NodeId) -> Self {
        cx.paths().begin_carry(&carrier);
        Self { paths: cx.endpoint_paths.clone(), carrier }
    }
}

impl Drop for CarryGuard {
    fn drop(&mut self) {
        lock_paths(&self.paths).end_carry(&self.carrier);
    }
}
