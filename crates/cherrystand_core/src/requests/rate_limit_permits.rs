//! The permits that one node has for one endpoint with a limit.

use crate::{Millis, RateLimitMessage, RateLimitReport, RequestRate};

/// How long a question goes on after the last request that could have used a permit, at a node to which such
/// requests come often.
const BUSY_DEMAND_TIMEOUT: Millis = Millis(600);

/// How long a question waits at the keeper there, unless it is asked once more.
const BUSY_REQUEST_WAIT: Millis = Millis(1_500);

/// How long a question of any other node waits there: no longer than the request that asks waits, less the way.
const IDLE_REQUEST_WAIT: Millis = Millis(10);

/// How much longer an answer to such a question is taken: it may be on its way.
const GRANT_LATENCY: Millis = Millis(90);

/// The longest time between two requests that counts, so that a node that is seldom asked does not count as
/// one that is until many more came.
const MAX_GAP_MS: f64 = 1_000.0;

/// How much the newest time between two requests counts against those before.
const GAP_WEIGHT: f64 = 0.25;

/// How often an open question is asked again, as datagrams are lost.
const RESEND_INTERVAL: Millis = Millis(500);

/// The shortest and longest time for which an unused permit is kept; between them as long as the next one
/// takes, so that about one is out unused at a time.
const PERMIT_TTL_RANGE: (Millis, Millis) = (Millis(50), Millis(250));

/// Permits that are asked for at once last for this long at the endpoint's rate.
const PREFETCH_SECS: f64 = 0.1;

/// The most permits that are asked for at once.
const MAX_PREFETCH: f64 = 8.0;

/// Returns how long an unused permit is kept.
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
    /// When permits last came.
    granted_at: Millis,
    /// Whether the keeper has answered it.
    is_answered: bool,
}

impl PendingRequest {
    fn unused(&self) -> u8 {
        self.given.saturating_sub(self.used)
    }
}

/// Keeps a node's permits for one endpoint, and what it asks for.
///
/// Permits come one question at a time, as their number in all, so that a doubled or late answer gives none
/// twice; those that are not used soon go back.
///
/// Where requests come often, the next permit is asked for before it is wanted. Elsewhere it would lie there
/// unused while others want it, and is asked for by the request that could use it.
#[derive(Clone, Copy, Debug)]
pub(crate) struct RateLimitPermits {
    pending: Option<PendingRequest>,
    /// When a request last could have used one, or did, that no question was asked for.
    open_demand: Option<Millis>,
    /// When one last could have used a permit at all.
    last_demand: Option<Millis>,
    /// The usual milliseconds between two such requests.
    mean_gap_ms: f64,
    /// How many questions of other nodes waited, by the last answer.
    waiting: u16,
    /// Whether the keeper answered, which nobody was told of.
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
    /// Notes that a request could use a permit.
    pub(crate) fn record_demand(&mut self, now: Millis) {
        if let Some(last_demand) = self.last_demand.replace(now) {
            let gap = (now.since(last_demand).0 as f64).min(MAX_GAP_MS);
            self.mean_gap_ms += GAP_WEIGHT * (gap - self.mean_gap_ms);
        }
        self.open_demand = Some(now);
    }

    /// Tells whether nothing is asked for.
    pub(crate) fn is_idle(&self) -> bool {
        self.pending.is_none() && self.open_demand.is_none()
    }

    /// Tells whether requests come often enough to use a permit that waits for them.
    fn is_busy(&self, rate: f64) -> bool {
        self.mean_gap_ms <= permit_ttl(rate).0 as f64
    }

    /// Tells whether a permit may come at any moment.
    pub(crate) fn may_arrive(&self) -> bool {
        self.open_demand.is_some()
            && self
                .pending
                .is_none_or(|pending| !pending.is_answered || pending.used >= pending.want)
    }

    /// Tells whether a permit is at hand.
    pub(crate) fn has_permit(&self, rate: f64, now: Millis) -> bool {
        self.pending.is_some_and(|pending| {
            pending.unused() > 0 && now < pending.granted_at + permit_ttl(rate)
        })
    }

    /// Uses a permit, where there is one.
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

    /// Has the last permit back that was used for a request which was not sent.
    pub(crate) fn return_permit(&mut self) {
        if let Some(pending) = &mut self.pending {
            pending.used = pending.used.saturating_sub(1);
        }
    }

    /// Takes in an answer of the keeper.
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

    /// Tells whether permits came since the last time, or the word that there is none for now.
    pub(crate) fn take_new_answer(&mut self) -> bool {
        std::mem::take(&mut self.has_new_answer)
    }

    /// Returns about when the next permit comes.
    pub(crate) fn next_permit_at(&self, rate: f64, now: Millis) -> Millis {
        let before = f64::from(self.waiting) + 1.0;
        now + Millis((before * 1_000.0 / rate.max(f64::MIN_POSITIVE)) as u64)
    }

    /// Returns what the keeper is to be told now.
    pub(crate) fn step(
        &mut self,
        limit: RequestRate,
        rate: f64,
        word: RateLimitReport,
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
            // Its number closes the question before it.
            return Some(self.open_request(limit, rate, word, last_request_number, now));
        }
        let mut pending = self.pending?;
        let is_finished = match pending.unused() {
            0 => is_used_up || !has_demand,
            _ => now >= pending.granted_at + permit_ttl(rate),
        };
        if is_finished {
            (self.pending, self.open_demand) = (None, None);
            if pending.given == 0 && pending.lasts < RESEND_INTERVAL {
                // The keeper has dropped it by itself.
                return None;
            }
            return Some(RateLimitMessage::Return { number: pending.number, used: pending.used });
        }
        // One that does not last is asked again as the next request wants it.
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
        Some(RateLimitMessage::Ask { word, number, want, lasts })
    }

    fn open_request(
        &mut self,
        limit: RequestRate,
        rate: f64,
        word: RateLimitReport,
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
        RateLimitMessage::Ask { word, number, want, lasts }
    }

    /// Gives up what was asked of a keeper that is it no more.
    pub(crate) fn abandon_request(&mut self) {
        self.pending = None;
    }
}
