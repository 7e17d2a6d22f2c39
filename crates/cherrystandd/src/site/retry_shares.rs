//! This node's share of the retries that all nodes may make, by service.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;

use cherrystand_core::{AttemptEnd, Millis, RetryBounds, RetryShare, ServiceName};

use crate::DutyContext;
use crate::site::load_exchange::LoadExchange;

/// The longest time for which a request waits for a borrowed retry: a round trip to the lender.
const BORROW_TIMEOUT: Millis = Millis(25);

/// Counts requests and retries, and decides whether another retry is within the budget.
///
/// If an even share of all retries would be next to nothing for each node, one daemon lends most of
/// them to those that ask.
pub(crate) struct RetryShares {
    cx: DutyContext,
    shares: RefCell<BTreeMap<ServiceName, RetryShare>>,
    loads: Rc<LoadExchange>,
}

impl RetryShares {
    /// Creates shares of which nothing is used.
    pub(crate) fn new(cx: DutyContext, loads: Rc<LoadExchange>) -> Self {
        Self { cx, shares: RefCell::default(), loads }
    }

    /// Counts a request for its service, which adds to the retry budget.
    pub(crate) fn record_request(&self, service: &ServiceName) {
        let now = self.cx.clock.now();
        self.with_share(service, |share| share.record_request(now));
    }

    /// Spends a retry after an attempt that ended with `end`; `nodes` is the number of live nodes.
    pub(crate) fn spend(&self, service: &ServiceName, nodes: usize, end: AttemptEnd) -> bool {
        let now = self.cx.clock.now();
        let in_share = self.with_share(service, |share| share.try_spend(now, nodes))
            || self.has_borrowed(service)
                && self.loads.lent_retries.borrow_mut().take_permit(service, now);
        let allowed = in_share || !self.cx.settings.policy.retry_share;
        let metrics = &self.cx.metrics;
        if allowed {
            metrics.retries.with_label_values(&[end.as_str()]).inc();
        } else {
            metrics.retries_withheld.with_label_values(&["budget-spent"]).inc();
        }
        allowed
    }

    /// Returns whether a retry is left, without spending it. If none is left, one is requested from
    /// the lender.
    pub(crate) fn has_left(&self, service: &ServiceName, nodes: usize) -> bool {
        let now = self.cx.clock.now();
        let in_share = self.with_share(service, |share| share.has_budget(now, nodes));
        let has = in_share || self.has_borrowed(service) || !self.cx.settings.policy.retry_share;
        if !has {
            self.request_borrowed(service, nodes);
        }
        has
    }

    /// Waits until a retry is left or can no longer be borrowed, but no longer than a round trip to
    /// the lender takes.
    pub(crate) async fn await_borrowed(&self, service: &ServiceName, nodes: usize) {
        let until = self.cx.clock.now() + BORROW_TIMEOUT;
        loop {
            let answered = self.loads.permits.notified();
            let may_be_granted = || self.loads.lent_retries.borrow().may_get_permit(service);
            if self.has_left(service, nodes)
                || !may_be_granted()
                || self.cx.clock.timeout_at(until, answered).await.is_none()
            {
                return;
            }
        }
    }

    /// Returns whether there is a borrowed retry that isn't spent.
    fn has_borrowed(&self, service: &ServiceName) -> bool {
        let wait = self.loads.lent_retries.borrow().permit_wait(service, self.cx.clock.now());
        wait == Some(Ok(()))
    }

    fn request_borrowed(&self, service: &ServiceName, nodes: usize) {
        let bounds = self.bounds();
        if !bounds.is_lending(nodes) {
            return;
        }
        let now = self.cx.clock.now();
        let mut lent_retries = self.loads.lent_retries.borrow_mut();
        lent_retries.set_cold_period(service, Some(bounds.loan_rate(now)));
        lent_retries.request_permit(service, now);
        self.loads.limits_due.notify_one();
    }

    fn bounds(&self) -> RetryBounds {
        self.cx.settings.site.as_ref().map(|site| site.retry_bounds()).unwrap_or_default()
    }

    /// Counts a request that stays at its endpoint because no retry is left for it.
    pub(crate) fn count_none_left(&self) {
        self.cx.metrics.retries_withheld.with_label_values(&["stays"]).inc();
    }

    /// Counts a request that isn't sent again because it may be what crashes its replicas.
    pub(crate) fn count_suspect(&self) {
        self.cx.metrics.retries_withheld.with_label_values(&["ends-replicas"]).inc();
    }

    fn with_share<T>(&self, service: &ServiceName, update: impl FnOnce(&mut RetryShare) -> T) -> T {
        let mut shares = self.shares.borrow_mut();
        let fresh = || RetryShare::new(self.bounds());
        update(shares.entry(service.clone()).or_insert_with(fresh))
    }
}
