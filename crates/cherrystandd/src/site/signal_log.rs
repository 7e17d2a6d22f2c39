//! Logging and counting what replicas signal in their answers.

use std::cell::RefCell;
use std::sync::Arc;

use cherrystand_core::{BoxId, LogLimiter, Millis, RequestRate};
use cherrystand_platform::{AnswerHeaders, RequestedBackoff};

use crate::{Clock, Metrics};

/// How many signals are logged each second; the others are only counted.
const SIGNALS_LOGGED_PER_SECOND: u32 = 10;

/// Logs and counts signals of replicas.
pub(crate) struct SignalLog {
    clock: Clock,
    metrics: Arc<Metrics>,
    limiter: RefCell<LogLimiter>,
}

impl SignalLog {
    /// Creates a log that has written nothing yet.
    pub(crate) fn new(clock: Clock, metrics: Arc<Metrics>) -> Self {
        Self { clock, metrics, limiter: RefCell::new(LogLimiter::new(SIGNALS_LOGGED_PER_SECOND)) }
    }

    /// Logs that a replica refused a request, and which backoff it asked for.
    pub(crate) fn refused(&self, id: &BoxId, headers: &AnswerHeaders, until: Option<Millis>) {
        let requested = match headers.requested_backoff {
            RequestedBackoff::None => "none",
            RequestedBackoff::After(_) => "asked",
            RequestedBackoff::Unreadable => "unreadable",
        };
        self.metrics.endpoint_refusals.with_label_values(&[requested]).inc();
        let now = self.clock.now();
        if headers.requested_backoff == RequestedBackoff::None {
            return;
        }
        let Some(left_out) = self.admit() else { return };
        let rest_ms = until.map_or(0, |until| until.since(now).0);
        log::info!(
            target_box = id.as_str(), rest = requested, rest_ms = rest_ms, left_out = left_out;
            "a replica turned a request away and asks for rest"
        );
    }

    /// Logs the rate limit that a replica names, if it has changed.
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
                "a replica no longer names a rate limit"
            ),
        }
    }

    /// Logs that a replica names a rate limit that isn't a number.
    pub(crate) fn invalid_limit(&self, id: &BoxId) {
        self.metrics.limits_named.with_label_values(&["unreadable"]).inc();
        let Some(left_out) = self.admit() else { return };
        log::info!(
            target_box = id.as_str(), left_out = left_out;
            "a replica names a rate limit that is not a number"
        );
    }

    /// Returns how many lines were suppressed before this one, or `None` if it is to be suppressed
    /// too.
    fn admit(&self) -> Option<u32> {
        self.limiter.borrow_mut().admit(self.clock.now())
    }

    /// Logs that a replica is leaving.
    pub(crate) fn leaving(&self, id: &BoxId) {
        self.metrics.endpoints_leaving.inc();
        log::info!(target_box = id.as_str(); "a replica says in its answers that it leaves");
    }
}
