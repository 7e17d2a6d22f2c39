//! The account of one endpoint's limit, at the node that keeps it for all.

use std::collections::VecDeque;

use crate::requests::rate_limit_permits::permit_ttl;
use crate::{Millis, RateLimitMessage, RateLimitReport};

/// How many seconds of the limit a new account owes.
///
/// The endpoint had more than it takes before it named the limit, and another keeper may have given
/// permits until just now.
const INITIAL_DEBT_SECS: f64 = 1.0;

/// The permits that may be given at once after a pause: with one alone a fifth of the limit would be lost between
/// the requests of callers that come by chance.
const DEFAULT_BURST: f64 = 2.0;

/// The rate below which one permit alone may be given at once: two would be those of many seconds.
const LOW_RATE: f64 = 0.3;

/// The seconds of a high limit that may be given at once, as time goes in steps.
const BURST_SECS: f64 = 0.025;

/// How much longer than it is kept a permit counts as out: what is handed back is on its way.
const RETURN_LATENCY: Millis = Millis(50);

/// The longest time for which a question waits unless it is asked again, and for which its end is remembered.
const MAX_REQUEST_WAIT: Millis = Millis(2_000);

/// The most questions that wait; more come from nowhere, as each node has one.
const MAX_QUEUED: usize = 1_024;

/// What a question asks for.
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
    /// Whether its asker has closed it.
    is_closed: bool,
}

impl<N> QueuedRequest<N> {
    fn is_served(&self) -> bool {
        self.is_closed || self.given >= self.want
    }
}

/// Gives permits out at the rate of one limit, to those that ask in turn (a token bucket).
#[derive(Clone, Debug)]
pub(crate) struct RateLimitLedger<N> {
    permits: f64,
    updated_at: Millis,
    queue: Vec<QueuedRequest<N>>,
    /// When the permits were given that may be out unused.
    outstanding: VecDeque<Millis>,
    /// How many may be given at once, where that is not the usual figure.
    burst: Option<f64>,
}

impl<N: Copy + PartialEq> RateLimitLedger<N> {
    /// Creates an account that owes what the endpoint had before, or has all that may be given at once.
    pub(crate) fn new(rate: f64, burst: Option<f64>, now: Millis) -> Self {
        let permits = burst.unwrap_or(-rate * INITIAL_DEBT_SECS);
        Self { permits, updated_at: now, queue: Vec::new(), outstanding: VecDeque::new(), burst }
    }

    /// Tells whether nobody waits for a permit, and none is out that may come back.
    pub(crate) fn is_idle(&self) -> bool {
        self.outstanding.is_empty() && self.queue.iter().all(QueuedRequest::is_served)
    }

    /// Takes in a question, and returns the answer for now: how many were given to it before.
    pub(crate) fn handle_request(
        &mut self,
        from: N,
        request: PermitRequest,
        word: RateLimitReport,
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
            // Who gave up a question and asks anew keeps its place; who was served goes to the end.
            Some((place, queued)) if queued.given == 0 && !queued.is_closed => {
                self.queue[place] = new_request;
                0
            }
            Some((place, queued)) => {
                // It has used all that it had.
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
            word,
            number,
            given,
            waiting: self.queue_length(),
        })
    }

    /// Counts permits as out no more, and returns how many of them did; the others are lost.
    fn forget_outstanding(&mut self, given: u8) -> usize {
        let before = self.outstanding.len();
        self.outstanding.truncate(before.saturating_sub(usize::from(given)));
        before - self.outstanding.len()
    }

    /// Returns how many questions wait for a permit.
    fn queue_length(&self) -> u16 {
        self.queue.iter().filter(|queued| !queued.is_served()).count() as u16
    }

    /// Takes back what was not used of a question, which is closed by that.
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
        // It is remembered, as the question itself may come late or twice.
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

    /// Earns permits, unless as many are out unused as may be used at once.
    ///
    /// Permits that nobody uses go round; earned beside them without a bound, they would all be used together
    /// once callers come.
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
        let room =
            (max_burst + expected_outstanding - self.outstanding.len() as f64).min(max_burst);
        self.permits = (self.permits + earned).min(room.max(self.permits));
    }

    /// Gives out what the endpoint takes by now.
    pub(crate) fn step(
        &mut self,
        rate: f64,
        word: RateLimitReport,
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
            // What is not used of it comes back later.
            queued.until = queued.until.max(now + MAX_REQUEST_WAIT);
            self.queue.push(queued);
            let (number, given, waiting) = (queued.number, queued.given, self.queue_length());
            grants.push((queued.from, RateLimitMessage::Give { word, number, given, waiting }));
        }
        grants
    }
}
