//! This node's share of the repeats that all nodes may make, by service.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;

use cherrystand_core::{AttemptEnd, Millis, RetryBounds, RetryShare, ServiceName};

use crate::DutyContext;
use crate::site::load_exchange::LoadExchange;

/// The longest time for which a request waits for a repeat that another daemon lends: the way there and back.
const BORROW_TIMEOUT: Millis = Millis(25);

/// Counts requests and repeats, and says whether another repeat fits.
///
/// Where an even share of all repeats would be next to none, most of them are lent by one daemon to those that ask.
pub(crate) struct RetryShares {
    cx: DutyContext,
    shares: RefCell<BTreeMap<ServiceName, RetryShare>>,
    loads: Rc<LoadExchange>,
}

impl RetryShares {
    /// Creates unused shares.
    pub(crate) fn new(cx: DutyContext, loads: Rc<LoadExchange>) -> Self {
        Self { cx, shares: RefCell::default(), loads }
    }

    /// Counts a request for its service, which earns repeats.
    pub(crate) fn earn(&self, service: &ServiceName) {
        let now = self.cx.clock.now();
        self.with_share(service, |share| share.record_request(now));
    }

    /// Takes a repeat after an attempt that ended so, with a number of nodes alive.
    pub(crate) fn spend(&self, service: &ServiceName, nodes: usize, end: AttemptEnd) -> bool {
        let now = self.cx.clock.now();
        let in_share = self.with_share(service, |share| share.try_spend(now, nodes))
            || self.has_borrowed(service)
                && self.loads.lent_retries.borrow_mut().take(service, now);
        let allowed = in_share || !self.cx.settings.policy.retry_share;
        let metrics = &self.cx.metrics;
        if allowed {
            metrics.retries.with_label_values(&[end.as_str()]).inc();
        } else {
            metrics.retries_withheld.with_label_values(&["budget-spent"]).inc();
        }
        allowed
    }

    /// Tells whether a repeat is left, without taking it; where none is, another daemon is asked for one.
    pub(crate) fn has_left(&self, service: &ServiceName, nodes: usize) -> bool {
        let now = self.cx.clock.now();
        let in_share = self.with_share(service, |share| share.has_budget(now, nodes));
        let has = in_share || self.has_borrowed(service) || !self.cx.settings.policy.retry_share;
        if !has {
            self.request_borrowed(service, nodes);
        }
        has
    }

    /// Waits until a repeat is left or none is lent; not longer than the way to the daemon that lends them takes.
    pub(crate) async fn await_borrowed(&self, service: &ServiceName, nodes: usize) {
        let until = self.cx.clock.now() + BORROW_TIMEOUT;
        loop {
            let answered = self.loads.permits.notified();
            let may_come = || self.loads.lent_retries.borrow().may_come(service);
            if self.has_left(service, nodes)
                || !may_come()
                || self.cx.clock.by(until, answered).await.is_none()
            {
                return;
            }
        }
    }

    /// Tells whether another daemon has lent a repeat that is not used.
    fn has_borrowed(&self, service: &ServiceName) -> bool {
        let wait = self.loads.lent_retries.borrow().wait(service, self.cx.clock.now());
        wait == Some(Ok(()))
    }

    fn request_borrowed(&self, service: &ServiceName, nodes: usize) {
        let bounds = self.bounds();
        if !bounds.is_lending(nodes) {
            return;
        }
        let now = self.cx.clock.now();
        let mut lent_retries = self.loads.lent_retries.borrow_mut();
        lent_retries.follow_cold(service, Some(bounds.loan_rate(now)));
        lent_retries.want(service, now);
        self.loads.limits_due.notify_one();
    }

    fn bounds(&self) -> RetryBounds {
        self.cx.settings.site.as_ref().map(|site| site.retry_bounds()).unwrap_or_default()
    }

    /// Counts a request that stays where it is since no repeat is left for it.
    pub(crate) fn count_none_left(&self) {
        self.cx.metrics.retries_withheld.with_label_values(&["stays"]).inc();
    }

    /// Counts a request that is sent no further since it may be what ends its replicas.
    pub(crate) fn count_suspect(&self) {
        self.cx.metrics.retries_withheld.with_label_values(&["ends-replicas"]).inc();
    }

    fn with_share<T>(&self, service: &ServiceName, update: impl FnOnce(&mut RetryShare) -> T) -> T {
        let mut shares = self.shares.borrow_mut();
        let fresh = || RetryShare::new(self.bounds());
        update(shares.entry(service.clone()).or_insert_with(fresh))
    }
}
