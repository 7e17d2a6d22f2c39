//! The state of the relay.

use std::cell::{Cell, RefCell};
use std::sync::Arc;
use std::time::Duration;

use cherrystand_core::{Millis, Outcome, RefusalReason};
use cherrystand_platform::EndpointPool;
use hyper::Request;
use hyper::body::Incoming;

use crate::relay::call::Call;
use crate::relay::core::RelayCore;
use crate::relay::headers;
use crate::relay::request_history::{RequestHistory, RequestRecord};
use crate::state::View;
use crate::{DutyContext, clock};

/// The age beyond which a view is stale: the process was paused or the state duty is blocked.
pub(crate) const MAX_VIEW_AGE: Millis = Millis(1_500);

/// How long a request waits for a newer view if the last one is stale.
const VIEW_REFRESH_TIMEOUT: Duration = Duration::from_millis(300);

/// Serves callers, on one thread.
pub(crate) struct Relay {
    /// The duty's context.
    pub(crate) cx: DutyContext,
    /// Its routes, queues and limits.
    pub(crate) core: RefCell<RelayCore>,
    /// Its connections to endpoints.
    pub(crate) pool: EndpointPool,
    /// The decisions on recent requests.
    pub(crate) history: RefCell<RequestHistory>,
    next_id: Cell<u64>,
}

impl Relay {
    /// Creates a relay without routes.
    pub(crate) fn new(cx: DutyContext) -> Self {
        let limits = cx.settings.limits.admission_limits();
        Self {
            core: RefCell::new(RelayCore::new(limits, clock::unix_millis())),
            pool: EndpointPool::default(),
            history: RefCell::default(),
            next_id: Cell::new(0),
            cx,
        }
    }

    /// Returns the current time of the daemon's clock.
    pub(crate) fn now(&self) -> Millis {
        self.cx.clock.now()
    }

    /// Adds a finished request to the history.
    pub(crate) fn record_outcome(
        &self,
        call: &Call,
        outcome: Outcome,
        refusal: Option<RefusalReason>,
    ) {
        self.history.borrow_mut().push(RequestRecord {
            request: call.id.clone(),
            group: call.group_id.to_string(),
            attempts: call.attempts.take(),
            outcome: outcome.as_str().to_owned(),
            refusal: refusal.map(|reason| reason.as_str().to_owned()),
        });
    }

    /// Returns the request id that the caller set, or else a new one.
    pub(crate) fn request_id(&self, req: &Request<Incoming>) -> Result<String, RefusalReason> {
        let caller_id = headers::read_name(req.headers(), &headers::REQUEST_ID);
        let caller_id = caller_id.map_err(|_| RefusalReason::BadRequest)?;
        Ok(caller_id.unwrap_or_else(|| self.generate_id()))
    }

    fn generate_id(&self) -> String {
        let number = self.next_id.get();
        self.next_id.set(number + 1);
        let own = &self.cx.current_view().own;
        format!("{}-{:x}-{number:x}", own.node, own.incarnation.0)
    }

    /// Returns the newest view, or waits for a newer one if it is stale.
    ///
    /// Returns `None` if none is published in time.
    pub(crate) async fn fresh_view(&self) -> Option<Arc<View>> {
        let is_fresh = |view: &View| self.now().since(view.made_at) <= MAX_VIEW_AGE;
        let mut view = self.cx.view.clone();
        let known = view.borrow().clone();
        if is_fresh(&known) {
            return Some(known);
        }
        let newer = view.wait_for(|view| is_fresh(view));
        let newer = tokio::time::timeout(VIEW_REFRESH_TIMEOUT, newer).await.ok()?.ok()?;
        Some(newer.clone())
    }
}
