//! Backpressure from endpoints: backoff times, rate limits and shutdowns that they announce to this
//! node.

use std::collections::BTreeMap;

use crate::{EndpointRateLimits, LeavingIncarnations, Millis, SendPermit};

/// The longest backoff that is honoured.
///
/// A backoff lets a queue drain, which takes seconds. An endpoint that will be away for longer
/// announces a shutdown instead. One that asks for more than this is sent a request again after
/// this time, and can then ask for another backoff.
pub const MAX_BACKOFF: Millis = Millis(600_000);

/// How many requests may be in flight to an endpoint whose backoff has just ended, until it answers
/// the first one. Each answer that begins doubles the number.
const INITIAL_WINDOW: u32 = 1;

/// How long after its backoff an endpoint counts as recovering if it has not been sent anything.
const RECOVERY_PERIOD: Millis = Millis(10_000);

/// How long after the backoff this node keeps to its concurrency limit for the endpoint.
const LIMIT_PERIOD: Millis = Millis(30_000);

/// The part of the requests in flight that becomes the concurrency limit when an endpoint asks for
/// a backoff. Each answer then raises the limit by its reciprocal (additive increase,
/// multiplicative decrease).
///
/// Nine daemons that send four replicas half as much again as these can answer get 8,600 of 10,200
/// answers a minute with the limit and 5,300 without it, because the next backoff then follows at
/// once (tests/backoff_simulation.rs).
const DECREASE_FACTOR: f64 = 0.7;

/// Says whether an endpoint takes requests from this node.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BackpressureState {
    /// It takes requests.
    Open,
    /// Its backoff has ended, and it has not yet answered the requests sent since.
    Recovering,
    /// This node has as many requests in flight there as the endpoint could bear when it last asked
    /// for a backoff; more would provoke the next one.
    Saturated,
    /// It has a rate limit over all nodes, and this node has no permit until about the given time.
    RateLimited(Millis),
    /// It has asked not to be sent requests until the given time.
    BackingOff(Millis),
    /// Operators evacuated its availability zone at the given time.
    Evacuated(Millis),
    /// It has announced that it is leaving.
    Leaving,
}

impl BackpressureState {
    /// Returns whether the endpoint must not be sent any request now.
    pub fn is_closed(self) -> bool {
        !matches!(self, Self::Open | Self::Recovering)
    }
}

#[derive(Clone, Copy, Debug)]
struct Backoff {
    until: Millis,
    /// The largest number of requests sent since the backoff that may be in flight while another
    /// endpoint is available.
    window: u32,
    /// How many of the requests sent since the backoff are in flight.
    in_flight: u32,
    /// The concurrency limit of this node for the endpoint.
    limit: f64,
}

impl Backoff {
    fn is_over(&self, now: Millis) -> bool {
        now >= self.until + LIMIT_PERIOD
    }

    fn is_recovering(&self, now: Millis) -> bool {
        now < self.until + RECOVERY_PERIOD && self.in_flight >= self.window
    }
}

/// Keeps the backpressure of each endpoint incarnation, and issues permits to send to it.
///
/// It is kept apart from the list of endpoints, since an entry can disappear from that list and
/// return while a backoff lasts.
#[derive(Clone, Debug)]
pub struct EndpointBackpressure<K> {
    backoffs: BTreeMap<K, Backoff>,
    leaving: LeavingIncarnations<K>,
    /// Endpoints in evacuated availability zones, and since when they are evacuated.
    evacuated: BTreeMap<K, Millis>,
    /// The rate limits of endpoints over all nodes.
    pub limits: EndpointRateLimits<K>,
}

impl<K> Default for EndpointBackpressure<K> {
    fn default() -> Self {
        Self {
            backoffs: BTreeMap::new(),
            leaving: LeavingIncarnations::default(),
            evacuated: BTreeMap::new(),
            limits: EndpointRateLimits::default(),
        }
    }
}

impl<K: Ord + Clone> EndpointBackpressure<K> {
    /// Records that an endpoint asked for a backoff just now, and returns when the backoff ends.
    ///
    /// `in_flight` counts this node's requests there, including the one that was refused. Neither a
    /// later request for a shorter backoff nor an answer to a request in flight shortens a backoff.
    pub fn record_backoff(
        &mut self,
        id: &K,
        requested: Millis,
        in_flight: u32,
        now: Millis,
    ) -> Millis {
        self.backoffs.retain(|_, backoff| !backoff.is_over(now));
        let until = now + requested.min(MAX_BACKOFF);
        let limit = (f64::from(in_flight.saturating_sub(1)) * DECREASE_FACTOR).max(1.0);
        let fresh = Backoff { until, window: INITIAL_WINDOW, in_flight: 0, limit };
        let backoff = self.backoffs.entry(id.clone()).or_insert(fresh);
        // Refusals of other requests that were in flight say nothing more about the limit.
        if now >= backoff.until {
            backoff.limit = limit;
        }
        backoff.until = until.max(backoff.until);
        backoff.window = INITIAL_WINDOW;
        backoff.until
    }

    /// Records that an endpoint is leaving; returns whether that is new.
    pub fn record_leaving(&mut self, id: &K) -> bool {
        self.leaving.insert(id)
    }

    /// Returns whether an endpoint has announced that it is leaving.
    pub fn is_leaving(&self, id: &K) -> bool {
        self.leaving.contains(id)
    }

    /// Moves what is kept under another ID of the same endpoint, as `is_same` recognizes it, to the
    /// ID under which it is listed now.
    pub fn adopt(&mut self, id: &K, is_same: impl Fn(&K) -> bool) {
        let is_other = |held: &&K| *held != id && is_same(held);
        if let Some(held) = self.backoffs.keys().find(is_other).cloned()
            && let Some(backoff) = self.backoffs.remove(&held)
        {
            self.backoffs.insert(id.clone(), backoff);
        }
        if self.leaving.iter().any(|held| is_other(&held)) {
            self.leaving.insert(id);
        }
        self.limits.adopt(id, is_other);
    }

    /// Replaces the set of endpoints in evacuated availability zones, with the time of each
    /// evacuation.
    pub fn set_evacuated(&mut self, evacuated: BTreeMap<K, Millis>) {
        self.evacuated = evacuated;
    }

    /// Returns the state of an endpoint at which this node has `in_flight` requests.
    pub fn state(&self, id: &K, in_flight: u32, now: Millis) -> BackpressureState {
        match (self.is_leaving(id), self.evacuated.get(id)) {
            (true, _) => BackpressureState::Leaving,
            (false, Some(since)) => BackpressureState::Evacuated(*since),
            (false, None) => self.active_state(id, in_flight, now),
        }
    }

    /// Returns the state of an endpoint that is known to be neither leaving nor evacuated; the
    /// strictest of its backpressure applies.
    pub(crate) fn active_state(&self, id: &K, in_flight: u32, now: Millis) -> BackpressureState {
        // Fast path: usually no endpoint asks for anything.
        if self.backoffs.is_empty() && self.limits.is_empty() {
            return BackpressureState::Open;
        }
        let backoff = self.backoffs.get(id);
        if let Some(backoff) = backoff.filter(|backoff| now < backoff.until) {
            return BackpressureState::BackingOff(backoff.until);
        }
        if let Some(Err(until)) = self.limits.permit_wait(id, now) {
            return BackpressureState::RateLimited(until);
        }
        match backoff {
            Some(backoff) if backoff.is_over(now) => BackpressureState::Open,
            Some(backoff) if f64::from(in_flight) >= backoff.limit => BackpressureState::Saturated,
            Some(backoff) if backoff.is_recovering(now) => BackpressureState::Recovering,
            _ => BackpressureState::Open,
        }
    }

    /// Issues a permit to send one request to an endpoint, or `None` if the endpoint must not be
    /// sent any.
    pub fn acquire_permit(&mut self, id: &K, in_flight: u32, now: Millis) -> Option<SendPermit> {
        let is_closed = self.state(id, in_flight, now).is_closed();
        if is_closed || !self.limits.take_permit(id, now) {
            return None;
        }
        let backoff = self.backoffs.get_mut(id).filter(|backoff| !backoff.is_over(now));
        let is_after_backoff = backoff.map(|backoff| backoff.in_flight += 1).is_some();
        Some(SendPermit::new(is_after_backoff))
    }

    /// Records that an endpoint began to answer a request that was sent after its backoff.
    ///
    /// If it has asked for another backoff meanwhile, that one stays in force.
    pub fn record_answer(&mut self, id: &K, now: Millis) {
        let Some(backoff) = self.backoffs.get_mut(id).filter(|backoff| now >= backoff.until) else {
            return;
        };
        backoff.window = backoff.window.saturating_mul(2);
        backoff.limit += 1.0 / backoff.limit;
    }

    /// Records that a request that was sent after the endpoint's backoff has ended.
    pub fn record_end(&mut self, id: &K) {
        if let Some(backoff) = self.backoffs.get_mut(id) {
            backoff.in_flight = backoff.in_flight.saturating_sub(1);
        }
    }
}
