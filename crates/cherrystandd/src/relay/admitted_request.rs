//! A request's share of the node's admission limits.

use std::rc::Rc;

use cherrystand_core::{Outcome, Refusal, RefusalReason};

use crate::claims;
use crate::relay::call::Call;
use crate::relay::relay_state::Relay;

/// A request that counts against the node's admission limits until it ends.
pub(crate) struct AdmittedRequest {
    relay: Rc<Relay>,
    call: Rc<Call>,
    /// Whether the call's idempotency key is claimed.
    pub(crate) claimed: bool,
    finished: bool,
}

impl AdmittedRequest {
    /// Counts the request against the limits, or refuses it.
    pub(crate) fn admit(relay: &Rc<Relay>, call: &Rc<Call>) -> Result<Self, Refusal> {
        let mut core = relay.core.borrow_mut();
        core.admission.admit(call.class, &call.workspace)?;
        relay.cx.metrics.in_flight.inc();
        Ok(Self { relay: relay.clone(), call: call.clone(), claimed: false, finished: false })
    }

    /// Releases the request's admission, records its outcome and settles its claim, once.
    pub(crate) fn end(&mut self, outcome: Outcome, refusal: Option<RefusalReason>) {
        if self.finished {
            return;
        }
        self.finished = true;
        let call = &self.call;
        self.relay.cx.metrics.in_flight.dec();
        self.relay.core.borrow_mut().admission.release(call.class, &call.workspace);
        if outcome == Outcome::Unknown {
            log::warn!(
                request = call.id.as_str(), group = call.group_id.to_string();
                "the outcome of a request is unknown: it may have been run"
            );
        }
        self.relay.record_outcome(call, outcome, refusal);
        if let Some(key) = call.key.filter(|_| self.claimed) {
            match outcome {
                Outcome::NotRun => claims::release(&self.relay.cx, key),
                other => claims::complete(&self.relay.cx, key, other),
            }
        }
    }
}

impl Drop for AdmittedRequest {
    fn drop(&mut self) {
        // Dropped without an end: the caller left while the request may have been running.
        self.end(Outcome::Unknown, None);
    }
}
