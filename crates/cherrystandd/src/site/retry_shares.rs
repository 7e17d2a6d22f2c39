//! This node's share of the repeats that all nodes may make, by service.

use std::cell::RefCell;
use std::collections::BTreeMap;

use cherrystand_core::{AttemptEnd, RetryShare, ServiceName};

use crate::DutyContext;

/// Counts requests and repeats, and says whether another repeat fits.
pub(crate) struct RetryShares {
    cx: DutyContext,
    shares: RefCell<BTreeMap<ServiceName, RetryShare>>,
}

impl RetryShares {
    /// Creates unused shares.
    pub(crate) fn new(cx: DutyContext) -> Self {
        Self { cx, shares: RefCell::default() }
    }

    /// Counts a request for its service, which earns repeats.
    pub(crate) fn earn(&self, service: &ServiceName) {
        let now = self.cx.clock.now();
        self.with_share(service, |share| share.request(now));
    }

    /// Takes a repeat after an attempt that ended so, with a number of nodes alive.
    pub(crate) fn spend(&self, service: &ServiceName, nodes: usize, end: AttemptEnd) -> bool {
        let now = self.cx.clock.now();
        let within = self.with_share(service, |share| share.spend(now, nodes));
        let may = within || !self.cx.settings.policy.retry_share;
        let metrics = &self.cx.metrics;
        if may {
            metrics.retries.with_label_values(&[end.as_str()]).inc();
        } else {
            metrics.retries_withheld.with_label_values(&["budget-spent"]).inc();
        }
        may
    }

    /// Tells whether a repeat is left, without taking it.
    pub(crate) fn has_left(&self, service: &ServiceName, nodes: usize) -> bool {
        let now = self.cx.clock.now();
        let within = self.with_share(service, |share| share.has_left(now, nodes));
        within || !self.cx.settings.policy.retry_share
    }

    /// Counts a request that stays where it is since no repeat is left for it.
    pub(crate) fn count_stay(&self) {
        self.cx.metrics.retries_withheld.with_label_values(&["stays"]).inc();
    }

    /// Counts a request that is sent no further since it may be what ends its replicas.
    pub(crate) fn count_suspect(&self) {
        self.cx.metrics.retries_withheld.with_label_values(&["ends-replicas"]).inc();
    }

    fn with_share<T>(&self, service: &ServiceName, act: impl FnOnce(&mut RetryShare) -> T) -> T {
        let bounds = self.cx.settings.site.as_ref().map(|site| site.retry_bounds());
        let mut shares = self.shares.borrow_mut();
        let fresh = || RetryShare::new(bounds.unwrap_or_default());
        act(shares.entry(service.clone()).or_insert_with(fresh))
    }
}
