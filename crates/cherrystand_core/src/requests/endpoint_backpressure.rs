//! What endpoints ask of this node: to be left alone for a while, or for good, or to be sent so much at the most.

use std::collections::BTreeMap;

use crate::{DrainingIncarnations, EndpointRateLimits, Millis, SendPermit};

/// The longest rest that is taken.
///
/// A rest lets a queue drain, which takes seconds; what lasts longer is a planned end, which a box says
/// otherwise. One that asks for more is asked again after this, once a time.
pub const MAX_BACKOFF: Millis = Millis(600_000);

/// How many requests may be under way at once to an endpoint whose rest has just ended, until it answers
/// the first; each answer that begins doubles it.
const INITIAL_WINDOW: u32 = 1;

/// For how long after its rest an endpoint that nobody asked anything counts as coming back.
const RECOVERY_PERIOD: Millis = Millis(10_000);

/// For how long after its rest this node keeps to what an endpoint bore.
const LIMIT_PERIOD: Millis = Millis(30_000);

/// The part of what was under way that is borne after an endpoint asked for rest; each answer adds its part
/// of one more (additive increase, multiplicative decrease).
///
/// Nine daemons that send four replicas half as much again as these can answer get 8,600 of 10,200
/// answers a minute with it, 5,300 without: the next rest follows at once (tests/backoff_simulation.rs).
const DECREASE_FACTOR: f64 = 0.7;

/// Says how an endpoint stands, by what it asked of this node.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BackpressureState {
    /// It takes requests.
    Open,
    /// Its rest has ended, and it has yet to answer what it was sent since.
    Recovering,
    /// This node has as much under way there as it bore when it last asked for rest, and more would bring
    /// about the next one.
    Saturated,
    /// It takes so many requests a second of all nodes, and this one has no permit, until about a time.
    RateLimited(Millis),
    /// It rests until a time.
    BackingOff(Millis),
    /// Operators have emptied its availability zone, since a time.
    Evacuated(Millis),
    /// It leaves.
    Draining,
}

impl BackpressureState {
    /// Tells whether the endpoint wants nothing at all now.
    pub fn is_closed(self) -> bool {
        !matches!(self, Self::Open | Self::Recovering)
    }
}

#[derive(Clone, Copy, Debug)]
struct Backoff {
    until: Millis,
    /// How many requests sent since the rest are under way at the most, where there is another endpoint.
    window: u32,
    /// How many of those sent since are under way.
    in_flight: u32,
    /// How many requests of this node the endpoint bears at once.
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

/// Keeps what endpoints asked of this node, by the life of each, and gives the leave to send to them.
///
/// It is kept apart from the list of endpoints: an entry may go and come back within a rest.
#[derive(Clone, Debug)]
pub struct EndpointBackpressure<K> {
    backoffs: BTreeMap<K, Backoff>,
    draining: DrainingIncarnations<K>,
    /// Endpoints of availability zones that operators have emptied, and since when.
    evacuated: BTreeMap<K, Millis>,
    /// What endpoints take from all nodes together.
    pub limits: EndpointRateLimits<K>,
}

impl<K> Default for EndpointBackpressure<K> {
    fn default() -> Self {
        Self {
            backoffs: BTreeMap::new(),
            draining: DrainingIncarnations::default(),
            evacuated: BTreeMap::new(),
            limits: EndpointRateLimits::default(),
        }
    }
}

impl<K: Ord + Clone> EndpointBackpressure<K> {
    /// Takes in that an endpoint asked for rest just now, and returns until when it has it.
    ///
    /// `under_way` is what this node has there, the request that was turned away among it. A later wish never
    /// shortens an earlier one, and neither does an answer to what was under way.
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
        // Others that were on their way say nothing more of what it bears.
        if now >= backoff.until {
            backoff.limit = limit;
        }
        backoff.until = until.max(backoff.until);
        backoff.window = INITIAL_WINDOW;
        backoff.until
    }

    /// Takes in that an endpoint leaves, and tells whether that is new.
    pub fn record_draining(&mut self, id: &K) -> bool {
        self.draining.insert(id)
    }

    /// Tells whether an endpoint said that it leaves.
    pub fn is_draining(&self, id: &K) -> bool {
        self.draining.contains(id)
    }

    /// Takes over which endpoints lie in availability zones that operators have emptied, and since when.
    pub fn set_evacuated(&mut self, evacuated: BTreeMap<K, Millis>) {
        self.evacuated = evacuated;
    }

    /// Returns how an endpoint stands, where this node has `under_way` requests there.
    pub fn state(&self, id: &K, in_flight: u32, now: Millis) -> BackpressureState {
        match (self.is_draining(id), self.evacuated.get(id)) {
            (true, _) => BackpressureState::Draining,
            (false, Some(since)) => BackpressureState::Evacuated(*since),
            (false, None) => self.active_state(id, in_flight, now),
        }
    }

    /// The same for one that is known neither to leave nor to be evacuated: of all that it asked for, the
    /// strictest holds.
    pub(crate) fn active_state(&self, id: &K, in_flight: u32, now: Millis) -> BackpressureState {
        // Most choices are made while nobody wants anything.
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

    /// Gives leave to send one request to an endpoint; nothing where it wants none.
    pub fn acquire_permit(&mut self, id: &K, in_flight: u32, now: Millis) -> Option<SendPermit> {
        let is_closed = self.state(id, in_flight, now).is_closed();
        if is_closed || !self.limits.take_permit(id, now) {
            return None;
        }
        let backoff = self.backoffs.get_mut(id).filter(|backoff| !backoff.is_over(now));
        let is_after_backoff = backoff.map(|backoff| backoff.in_flight += 1).is_some();
        Some(SendPermit::new(is_after_backoff))
    }

    /// Takes in that an endpoint began to answer what it was sent after its rest.
    ///
    /// Where it has asked for the next one meanwhile, that holds.
    pub fn record_answer(&mut self, id: &K, now: Millis) {
        let Some(backoff) = self.backoffs.get_mut(id).filter(|backoff| now >= backoff.until) else {
            return;
        };
        backoff.window = backoff.window.saturating_mul(2);
        backoff.limit += 1.0 / backoff.limit;
    }

    /// Takes in that what an endpoint was sent after its rest is under way no more.
    pub fn record_end(&mut self, id: &K) {
        if let Some(backoff) = self.backoffs.get_mut(id) {
            backoff.in_flight = backoff.in_flight.saturating_sub(1);
        }
    }
}
