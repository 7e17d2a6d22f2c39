//! Lines and counts for what replicas ask of this node.

use std::cell::RefCell;
use std::sync::Arc;

use cherrystand_core::{BoxId, LogLimiter, Millis, RequestRate};
use cherrystand_platform::{AnswerFacts, AskedRest};

use crate::{Clock, Metrics};

/// How many wishes are logged each second; the others are counted.
const SIGNALS_LOGGED_PER_SECOND: u32 = 10;

/// Writes wishes of replicas down.
pub(crate) struct SignalLog {
    clock: Clock,
    metrics: Arc<Metrics>,
    limiter: RefCell<LogLimiter>,
}

impl SignalLog {
    /// Creates notes that have room.
    pub(crate) fn new(clock: Clock, metrics: Arc<Metrics>) -> Self {
        Self { clock, metrics, limiter: RefCell::new(LogLimiter::new(SIGNALS_LOGGED_PER_SECOND)) }
    }

    /// Writes down that a replica turned a request away, and what rest it asked for.
    pub(crate) fn refused(&self, id: &BoxId, facts: &AnswerFacts, until: Option<Millis>) {
        let rest = match facts.asked_rest {
            AskedRest::None => "none",
            AskedRest::For(_) => "asked",
            AskedRest::Unreadable => "unreadable",
        };
        self.metrics.endpoint_refusals.with_label_values(&[rest]).inc();
        let now = self.clock.now();
        if facts.asked_rest == AskedRest::None {
            return;
        }
        let Some(left_out) = self.admit() else { return };
        let rest_ms = until.map_or(0, |until| until.since(now).0);
        log::info!(
            target_box = id.as_str(), rest = rest, rest_ms = rest_ms, left_out = left_out;
            "a replica turned a request away and asks for rest"
        );
    }

    /// Writes down how many requests a replica says that it takes, where that is new.
    pub(crate) fn limit(&self, id: &BoxId, limit: Option<RequestRate>, is_new: bool) {
        if limit.is_some() {
            self.metrics.limits_named.with_label_values(&["named"]).inc();
        }
        let Some(left_out) = is_new.then(|| self.admit()).flatten() else { return };
        match limit {
            Some(limit) => log::info!(
                target_box = id.as_str(), per_second = limit.as_f64(), left_out = left_out;
                "a replica names how many requests it takes from all daemons"
            ),
            None => log::info!(
                target_box = id.as_str(), left_out = left_out;
                "a replica names no limit of requests any more"
            ),
        }
    }

    /// Writes down that what a replica names is no number of requests.
    pub(crate) fn invalid_limit(&self, id: &BoxId) {
        self.metrics.limits_named.with_label_values(&["unreadable"]).inc();
        let Some(left_out) = self.admit() else { return };
        log::info!(
            target_box = id.as_str(), left_out = left_out;
            "a replica names a limit of requests that is no number"
        );
    }

    /// Returns how many lines were left out before the next one, where that may be written.
    fn admit(&self) -> Option<u32> {
        self.limiter.borrow_mut().admit(self.clock.now())
    }

    /// Writes down that a replica leaves.
    pub(crate) fn leaves(&self, id: &BoxId) {
        self.metrics.endpoints_leaving.inc();
        log::info!(target_box = id.as_str(); "a replica says in its answers that it leaves");
    }
}
