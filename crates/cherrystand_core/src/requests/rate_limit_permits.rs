//! The permits of one node for one rate-limited endpoint.

use crate::{Millis, RateLimitMessage, RateLimitReport, RequestRate};

/// On a busy node, how long a request for permits stays open after the last demand for one.
const BUSY_DEMAND_TIMEOUT: Millis = Millis(600);

/// On a busy node, how long the request waits at the owner unless it is sent again.
const BUSY_REQUEST_WAIT: Millis = Millis(1_500);

/// On any other node, how long the request waits at the owner: as long as the caller's request
/// waits, less the network latency.
const IDLE_REQUEST_WAIT: Millis = Millis(10);

/// How much longer a grant to such a request is accepted, as it may be in transit.
const GRANT_LATENCY: Millis = Millis(90);

/// The longest time between two demands that enters the mean, in milliseconds. Without a cap, a
/// node that was idle for long would count as idle until many more demands came.
const MAX_GAP_MS: f64 = 1_000.0;

/// The weight of the newest gap in the mean.
const GAP_WEIGHT: f64 = 0.25;

/// How often an open request is sent again, since datagrams can be lost.
const RESEND_INTERVAL: Millis = Millis(500);

/// The shortest and the longest time to live of an unused permit. Between them it equals the time
/// between two permits, so that about one is outstanding at a time.
const PERMIT_TTL_RANGE: (Millis, Millis) = (Millis(50), Millis(250));

/// A request asks for as many permits as last for this long at the endpoint's rate, in seconds.
const PREFETCH_SECS: f64 = 0.1;

/// The largest number of permits in one request.
const MAX_PREFETCH: f64 = 8.0;

/// Returns the time to live of an unused permit.
pub(crate) fn permit_ttl(rate: f64) -> Millis {
    let next = Millis((1_000.0 / rate.max(f64::MIN_POSITIVE)) as u64);
    next.clamp(PERMIT_TTL_RANGE.0, PERMIT_TTL_RANGE.1)
}

#[derive(Clone, Copy, Debug)]
struct PendingRequest {
    number: u64,
    want: u8,
    lasts: Millis,
    given: u8,
    used: u8,
    sent_at: Millis,
    /// When permits were last granted.
    granted_at: Millis,
    /// Whether the owner has answered it since it was last sent.
    is_answered: bool,
}

impl PendingRequest {
    fn unused(&self) -> u8 {
        self.given.saturating_sub(self.used)
    }
}

/// Holds a node's permits for one endpoint and its open request for more.
///
/// Grants carry the total for one request, so that a duplicated or delayed grant counts once.
/// Permits that are not used soon are returned.
///
/// A node with frequent demand requests the next permit in advance. On other nodes such a permit
/// would lie unused while others need it, so they request one only when there is a demand for it.
#[derive(Clone, Copy, Debug)]
pub(crate) struct RateLimitPermits {
    pending: Option<PendingRequest>,
    /// The time of the last demand, on a busy node also of the last use, while it still calls for a
    /// permit.
    open_demand: Option<Millis>,
    /// The time of the last demand.
    last_demand: Option<Millis>,
    /// The moving average of the time between two demands, in milliseconds.
    mean_gap_ms: f64,
    /// How many requests of other nodes were queued at the owner, by its last answer.
    waiting: u16,
    /// Whether the owner has answered something that has not been reported yet.
    has_new_answer: bool,
}

impl Default for RateLimitPermits {
    fn default() -> Self {
        Self {
            pending: None,
            open_demand: None,
            last_demand: None,
            mean_gap_ms: MAX_GAP_MS,
            waiting: 0,
            has_new_answer: false,
        }
    }
}

impl RateLimitPermits {
    /// Records that a caller's request could use a permit.
    pub(crate) fn record_demand(&mut self, now: Millis) {
        if let Some(last_demand) = self.last_demand.replace(now) {
            let gap = (now.since(last_demand).0 as f64).min(MAX_GAP_MS);
            self.mean_gap_ms += GAP_WEIGHT * (gap - self.mean_gap_ms);
        }
        self.open_demand = Some(now);
    }

    /// Returns whether no request is open and there is no demand.
    pub(crate) fn is_idle(&self) -> bool {
        self.pending.is_none() && self.open_demand.is_none()
    }

    /// Returns whether demands are frequent enough to use a permit before it expires.
    fn is_busy(&self, rate: f64) -> bool {
        self.mean_gap_ms <= permit_ttl(rate).0 as f64
    }

    /// Returns whether a permit may arrive at any moment.
    pub(crate) fn may_arrive(&self) -> bool {
        self.open_demand.is_some()
            && self
                .pending
                .is_none_or(|pending| !pending.is_answered || pending.used >= pending.want)
    }

    /// Returns whether a permit is available.
    pub(crate) fn has_permit(&self, rate: f64, now: Millis) -> bool {
        self.pending.is_some_and(|pending| {
            pending.unused() > 0 && now < pending.granted_at + permit_ttl(rate)
        })
    }

    /// Uses a permit, if there is one; returns whether there was.
    pub(crate) fn take(&mut self, rate: f64, now: Millis) -> bool {
        if !self.has_permit(rate, now) {
            return false;
        }
        if let Some(pending) = &mut self.pending {
            pending.used += 1;
        }
        self.open_demand = self.is_busy(rate).then_some(now);
        true
    }

    /// Returns the last permit used, as its request was not sent.
    pub(crate) fn return_permit(&mut self) {
        if let Some(pending) = &mut self.pending {
            pending.used = pending.used.saturating_sub(1);
        }
    }

    /// Handles a grant from the owner.
    pub(crate) fn handle_grant(&mut self, message: RateLimitMessage, now: Millis) {
        let RateLimitMessage::Give { number, given, waiting, .. } = message else { return };
        let Some(pending) = self.pending.as_mut().filter(|pending| pending.number == number) else {
            return;
        };
        self.waiting = waiting;
        self.has_new_answer |= !std::mem::replace(&mut pending.is_answered, true);
        if given.min(pending.want) > pending.given {
            (pending.given, pending.granted_at) = (given.min(pending.want), now);
            self.has_new_answer = true;
        }
    }

    /// Returns whether permits, or the answer that there are none for now, have arrived since the
    /// last call.
    pub(crate) fn take_new_answer(&mut self) -> bool {
        std::mem::take(&mut self.has_new_answer)
    }

    /// Estimates when the next permit arrives.
    pub(crate) fn next_permit_at(&self, rate: f64, now: Millis) -> Millis {
        let before = f64::from(self.waiting) + 1.0;
        now + Millis((before * 1_000.0 / rate.max(f64::MIN_POSITIVE)) as u64)
    }

    /// Returns the message that is due to the owner, if any.
    pub(crate) fn step(
        &mut self,
        limit: RequestRate,
        rate: f64,
        report: RateLimitReport,
        last_request_number: &mut u64,
        now: Millis,
    ) -> Option<RateLimitMessage> {
        let lasts = if self.is_busy(rate) {
            BUSY_DEMAND_TIMEOUT
        } else {
            IDLE_REQUEST_WAIT + GRANT_LATENCY
        };
        let has_demand = self.open_demand.is_some_and(|at| now.since(at) < lasts);
        let is_used_up = self.pending.is_none_or(|pending| pending.used >= pending.want);
        if is_used_up && has_demand {
            // The new number closes the previous request.
            return Some(self.open_request(limit, rate, report, last_request_number, now));
        }
        let mut pending = self.pending?;
        let is_finished = match pending.unused() {
            0 => is_used_up || !has_demand,
            _ => now >= pending.granted_at + permit_ttl(rate),
        };
        if is_finished {
            (self.pending, self.open_demand) = (None, None);
            if pending.given == 0 && pending.lasts < RESEND_INTERVAL {
                // The owner has already dropped the request.
                return None;
            }
            return Some(RateLimitMessage::Return { number: pending.number, used: pending.used });
        }
        // A short request is sent again only when there is new demand.
        let has_new_demand =
            self.open_demand > Some(pending.sent_at) || pending.lasts > RESEND_INTERVAL;
        let is_due =
            now.since(pending.sent_at) >= pending.lasts.min(RESEND_INTERVAL) && has_new_demand;
        if pending.unused() > 0 || !is_due {
            return None;
        }
        pending.is_answered = false;
        pending.sent_at = now;
        self.pending = Some(pending);
        let PendingRequest { number, want, lasts, .. } = pending;
        Some(RateLimitMessage::Ask { report, number, want, lasts })
    }

    fn open_request(
        &mut self,
        limit: RequestRate,
        rate: f64,
        report: RateLimitReport,
        last_request_number: &mut u64,
        now: Millis,
    ) -> RateLimitMessage {
        *last_request_number += 1;
        let number = *last_request_number;
        let ahead = (limit.as_f64() * PREFETCH_SECS).ceil().clamp(1.0, MAX_PREFETCH) as u8;
        let (want, lasts) =
            if self.is_busy(rate) { (ahead, BUSY_REQUEST_WAIT) } else { (1, IDLE_REQUEST_WAIT) };
        self.pending = Some(PendingRequest {
            number,
            want,
            lasts,
            given: 0,
            used: 0,
            sent_at: now,
            granted_at: now,
            is_answered: false,
        });
        RateLimitMessage::Ask { report, number, want, lasts }
    }

    /// Abandons the open request, after the owner has changed.
    pub(crate) fn abandon_request(&mut self) {
        self.pending = None;
    }
}
