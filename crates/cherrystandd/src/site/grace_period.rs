//! What is left of the grace period while this daemon shuts down, and which requests still fit in.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;

use cherrystand_core::{LateRequest, Millis, ServiceName, ServiceTimes, ShutdownPlan};

use crate::clock::Clock;
use crate::site::request::SiteRequest;

/// The end of a daemon that is shutting down.
#[derive(Clone, Copy)]
struct Shutdown {
    /// Until when load balancers may send requests.
    lingers_until: Millis,
    /// When requests are cut off.
    cut_at: Millis,
}

/// Decides which requests are sent on while the daemon shuts down.
pub(crate) struct GracePeriod {
    clock: Clock,
    shutdown: Cell<Option<Shutdown>>,
    times: RefCell<BTreeMap<ServiceName, ServiceTimes>>,
}

impl GracePeriod {
    pub(super) fn new(clock: Clock) -> Self {
        Self { clock, shutdown: Cell::default(), times: RefCell::default() }
    }

    /// Records that a shutdown begins.
    pub(super) fn begin(&self, plan: &ShutdownPlan) {
        let now = self.clock.now();
        let (lingers_until, cut_at) = (now + plan.linger, now + plan.cut_after());
        self.shutdown.set(Some(Shutdown { lingers_until, cut_at }));
    }

    /// Records that the answer to a request that was sent on has ended.
    pub(crate) fn record_end(&self, req: &SiteRequest) {
        let took = self.clock.now().since(req.whole_at);
        let mut times = self.times.borrow_mut();
        times.entry(req.service.clone()).or_default().record(took);
    }

    /// Returns whether a request is sent on: always, unless the daemon shuts down and can't be expected to
    /// have the answer in time.
    pub(crate) fn takes(&self, req: &SiteRequest) -> bool {
        let Some(shutdown) = self.shutdown.get() else { return true };
        let now = self.clock.now();
        let times = self.times.borrow();
        let late = LateRequest {
            until_cut: shutdown.cut_at.since(now),
            until_deadline: req.deadline.since(now),
            usual_time: times.get(&req.service).and_then(ServiceTimes::usual),
            is_lingering: now < shutdown.lingers_until,
        };
        late.can_finish()
    }
}
