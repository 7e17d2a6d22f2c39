//! The ledger of one endpoint's rate limit, kept by the node that owns the limit.

use std::collections::VecDeque;

use crate::requests::rate_limit_permits::permit_ttl;
use crate::{Millis, RateLimitMessage, RateLimitReport};

/// How many seconds' worth of permits a new ledger starts in debt.
///
/// Before the endpoint named the limit it was sent more than it takes, and another owner may have
/// granted permits until just now.
const INITIAL_DEBT_SECS: f64 = 1.0;

/// The permits that may be granted at once after a pause. With one alone, a fifth of the limit
/// would be lost between requests that arrive at random.
const DEFAULT_BURST: f64 = 2.0;

/// The rate, in requests per second, below which only one permit may be granted at once: two would
/// be the permits of many seconds.
const LOW_RATE: f64 = 0.3;

/// At high rates, the seconds' worth of permits that may be granted at once, since time advances in
/// steps.
const BURST_SECS: f64 = 0.025;

/// How much longer than its time to live a permit counts as outstanding, since it may be on its way
/// back.
const RETURN_LATENCY: Millis = Millis(50);

/// How long a request for permits waits unless it is sent again, and how long its end is
/// remembered.
const MAX_REQUEST_WAIT: Millis = Millis(2_000);

/// The largest number of waiting requests. Each node has at most one, so more do not occur in
/// practice.
const MAX_QUEUED: usize = 1_024;

/// A request for permits from one node.
#[derive(Clone, Copy, Debug)]
pub(crate) struct PermitRequest {
    pub(crate) number: u64,
    pub(crate) want: u8,
    pub(crate) lasts: Millis,
}

#[derive(Clone, Copy, Debug)]
struct QueuedRequest<N> {
    from: N,
    number: u64,
    want: u8,
    given: u8,
    until: Millis,
    /// Whether the requester has closed it.
    is_closed: bool,
}

impl<N> QueuedRequest<N> {
    fn is_served(&self) -> bool {
        self.is_closed || self.given >= self.want
    }
}

/// A token bucket that grants permits at the rate of one limit, to the requesters in turn.
#[derive(Clone, Debug)]
pub(crate) struct RateLimitLedger<N> {
    permits: f64,
    updated_at: Millis,
    queue: Vec<QueuedRequest<N>>,
    /// When the permits were granted that may be unused yet.
    outstanding: VecDeque<Millis>,
    /// Overrides how many permits may be granted at once.
    burst: Option<f64>,
}

impl<N: Copy + PartialEq> RateLimitLedger<N> {
    /// Creates a ledger that starts in debt, or with `burst` permits if that is given.
    pub(crate) fn new(rate: f64, burst: Option<f64>, now: Millis) -> Self {
        let permits = burst.unwrap_or(-rate * INITIAL_DEBT_SECS);
        Self { permits, updated_at: now, queue: Vec::new(), outstanding: VecDeque::new(), burst }
    }

    /// Returns whether no request waits and no permit that may be returned is outstanding.
    pub(crate) fn is_idle(&self) -> bool {
        self.outstanding.is_empty() && self.queue.iter().all(QueuedRequest::is_served)
    }

    /// Handles a request for permits, and returns an immediate reply with the number that it has
    /// been granted so far.
    pub(crate) fn handle_request(
        &mut self,
        from: N,
        request: PermitRequest,
        report: RateLimitReport,
        now: Millis,
    ) -> Option<RateLimitMessage> {
        let PermitRequest { number, want, lasts } = request;
        let until = now + lasts.min(MAX_REQUEST_WAIT);
        let new_request = QueuedRequest { from, number, want, given: 0, until, is_closed: false };
        let queued = self.queue.iter().position(|queued| queued.from == from);
        let given = match queued.map(|place| (place, self.queue[place])) {
            Some((_, queued)) if number < queued.number => return None,
            Some((place, queued)) if number == queued.number => {
                if queued.is_closed {
                    return None;
                }
                self.queue[place].until = new_request.until;
                queued.given
            }
            // A requester that gave up its request and sends a new one keeps its place; one that
            // has been granted permits goes to the end of the queue.
            Some((place, queued)) if queued.given == 0 && !queued.is_closed => {
                self.queue[place] = new_request;
                0
            }
            Some((place, queued)) => {
                // A new request means that all permits of the previous one were used.
                self.forget_outstanding(queued.given);
                self.queue.remove(place);
                self.queue.push(new_request);
                0
            }
            None if self.queue.len() < MAX_QUEUED => {
                self.queue.push(new_request);
                0
            }
            None => 0,
        };
        let is_next = self.permits >= 1.0 && given == 0;
        (!is_next).then(|| RateLimitMessage::Give {
            report,
            number,
            given,
            waiting: self.queue_length(),
        })
    }

    /// Stops counting `given` permits as outstanding and returns how many still did; the others
    /// have expired.
    fn forget_outstanding(&mut self, given: u8) -> usize {
        let before = self.outstanding.len();
        self.outstanding.truncate(before.saturating_sub(usize::from(given)));
        before - self.outstanding.len()
    }

    /// Returns how many requests wait for a permit.
    fn queue_length(&self) -> u16 {
        self.queue.iter().filter(|queued| !queued.is_served()).count() as u16
    }

    /// Takes back the unused permits of a request, and closes the request.
    pub(crate) fn handle_return(&mut self, from: N, number: u64, used: u8, now: Millis) {
        let mut given = 0;
        if let Some(place) = self.queue.iter().position(|queued| queued.from == from) {
            let queued = self.queue[place];
            if number < queued.number || (number == queued.number && queued.is_closed) {
                return;
            }
            self.queue.remove(place);
            if queued.number == number {
                given = queued.given;
            }
        }
        let unused = self.forget_outstanding(given).min(usize::from(given.saturating_sub(used)));
        self.permits += unused as f64;
        // The closed request is remembered, since the request itself may arrive late or twice.
        if self.queue.len() < MAX_QUEUED {
            let until = now + MAX_REQUEST_WAIT;
            self.queue.push(QueuedRequest {
                from,
                number,
                want: 0,
                given: 0,
                until,
                is_closed: true,
            });
        }
    }

    /// Adds the permits earned since the last call, limited by the permits that are outstanding.
    ///
    /// Unused permits return to the ledger. Without this limit, permits earned meanwhile would add
    /// to them, and all would be used together once callers come.
    fn refill(&mut self, rate: f64, now: Millis) {
        let outstanding_for = permit_ttl(rate) + RETURN_LATENCY;
        while self.outstanding.front().is_some_and(|at| now.since(*at) >= outstanding_for) {
            self.outstanding.pop_front();
        }
        let earned = rate * now.since(self.updated_at).as_secs_f64();
        self.updated_at = now.max(self.updated_at);
        let default_burst = if rate < LOW_RATE { 1.0 } else { DEFAULT_BURST };
        let max_burst = self.burst.unwrap_or((rate * BURST_SECS).max(default_burst));
        let expected_outstanding = (2.0 * rate * outstanding_for.as_secs_f64() - 2.0).max(0.0);
        let max_refill =
            (max_burst + expected_outstanding - self.outstanding.len() as f64).min(max_burst);
        self.permits = (self.permits + earned).min(max_refill.max(self.permits));
    }

    /// Grants the permits that the rate allows by now.
    pub(crate) fn step(
        &mut self,
        rate: f64,
        report: RateLimitReport,
        now: Millis,
    ) -> Vec<(N, RateLimitMessage)> {
        self.queue.retain(|queued| now < queued.until);
        self.refill(rate, now);
        let mut grants = Vec::new();
        while self.permits >= 1.0
            && let Some(place) = self.queue.iter().position(|queued| !queued.is_served())
        {
            self.permits -= 1.0;
            self.outstanding.push_back(now);
            let mut queued = self.queue.remove(place);
            queued.given += 1;
            // Its unused permits are returned later.
            queued.until = queued.until.max(now + MAX_REQUEST_WAIT);
            self.queue.push(queued);
            let (number, given, waiting) = (queued.number, queued.given, self.queue_length());
            grants.push((queued.from, RateLimitMessage::Give { report, number, given, waiting }));
        }
        grants
    }
}
