//! The connections that carried a request so far.

use std::cell::RefCell;

use cherrystand_core::{ConnectionUse, EarlierTries};

/// The tries of one request, shared by those who send it.
#[derive(Debug, Default)]
pub struct RequestTries(RefCell<EarlierTries>);

impl RequestTries {
    /// Starts with a request that may have been sent on any connection before.
    pub fn after_unknown() -> Self {
        Self(RefCell::new(EarlierTries::Anywhere))
    }

    /// Returns whether it has not been sent.
    pub fn is_empty(&self) -> bool {
        self.0.borrow().is_empty()
    }

    pub(crate) fn allow(&self, conn: ConnectionUse) -> bool {
        self.0.borrow().allow(conn)
    }

    pub(crate) fn record(&self, conn: ConnectionUse) {
        self.0.borrow_mut().record(conn.id);
    }
}
