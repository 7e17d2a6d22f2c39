//! Selects an endpoint for each request.

use slotmap::{SlotMap, new_key_type};

use crate::{
    AttemptEnd, BackpressureState, CircuitBreaker, ConcurrencyLimit, EndpointBackpressure, Millis,
    SeededRng, SendPermit, mix,
};

new_key_type! {
    /// Key of a group in the router.
    pub struct GroupKey;
    /// Key of an endpoint in the router.
    pub struct EndpointKey;
}

/// How many endpoints of a list are examined per choice, which bounds the cost of a choice whatever
/// the number of endpoints.
const MAX_PROBES: usize = 6;

/// An endpoint keeps the prefixes that map to it up to this percentage of the group's mean load.
///
/// Beyond that a hot prefix spreads to other endpoints. Source: docs/design/0007-routing.md.
const AFFINITY_LOAD_PERCENT: u64 = 125;

/// The time after which a load report is ignored.
const LOAD_REPORT_TTL: Millis = Millis(5_000);

/// Describes an endpoint to route to.
#[derive(Clone, Copy, Debug)]
pub struct EndpointSpec {
    /// Whether it is in the router's own zone.
    pub near: bool,
    /// The initial limit on this node's concurrent requests to it.
    pub initial_limit: u32,
    /// The upper bound of that limit.
    pub max_limit: u32,
}

#[derive(Clone, Debug)]
struct Endpoint {
    group: GroupKey,
    near: bool,
    in_flight: u32,
    in_flight_elsewhere: u32,
    reported_at: Millis,
    limit: ConcurrencyLimit,
    breaker: CircuitBreaker,
}

#[derive(Clone, Debug, Default)]
struct Group {
    near: Vec<EndpointKey>,
    far: Vec<EndpointKey>,
    in_flight: u64,
}

impl Group {
    fn endpoints(&mut self, near: bool) -> &mut Vec<EndpointKey> {
        if near { &mut self.near } else { &mut self.far }
    }
}

/// Says why no endpoint was selected.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, thiserror::Error)]
pub enum NoEndpoint {
    /// The group has no endpoint in service, or those examined have just failed.
    #[error("the group has no endpoint in service")]
    NoneServing,
    /// The endpoints examined are at their limits.
    #[error("the group's endpoints are at their limits")]
    AllFull,
    /// Every endpoint of the group has asked for a backoff; the first backoff ends at the given
    /// time.
    #[error("the group's endpoints are all backing off")]
    AllBackingOff(Millis),
}

/// Selects endpoints by sampled load, with a preference for the own zone and for the endpoint that
/// likely has a prompt's prefix in its cache.
///
/// A selection takes no lock, does not allocate and examines a bounded number of endpoints.
///
/// # Examples
///
/// ```
/// use cherrystand_core::{AttemptEnd, EndpointSpec, Millis, Router, SeededRng};
///
/// let mut router = Router::default();
/// let group = router.add_group();
/// let spec = EndpointSpec { near: true, initial_limit: 4, max_limit: 8 };
/// let only = router.add_endpoint(group, spec);
/// let now = Millis(0);
/// assert_eq!(router.choose(group, None, now, &mut SeededRng::new(1)), Ok(only));
/// assert!(router.start(only, now).is_some());
/// router.finish(only, AttemptEnd::Answered, Millis(12), Some(Millis(12)));
/// ```
#[derive(Clone, Debug, Default)]
pub struct Router {
    groups: SlotMap<GroupKey, Group>,
    endpoints: SlotMap<EndpointKey, Endpoint>,
    backpressure: EndpointBackpressure<EndpointKey>,
}

impl Router {
    /// Adds a group without endpoints.
    pub fn add_group(&mut self) -> GroupKey {
        self.groups.insert(Group::default())
    }

    /// Removes a group and its endpoints.
    pub fn remove_group(&mut self, group: GroupKey) {
        let Some(removed) = self.groups.remove(group) else {
            return;
        };
        for key in removed.near.into_iter().chain(removed.far) {
            self.endpoints.remove(key);
        }
    }

    /// Adds an endpoint to a group.
    pub fn add_endpoint(&mut self, group: GroupKey, spec: EndpointSpec) -> EndpointKey {
        let key = self.endpoints.insert(Endpoint {
            group,
            near: spec.near,
            in_flight: 0,
            in_flight_elsewhere: 0,
            reported_at: Millis(0),
            limit: ConcurrencyLimit::new(spec.initial_limit, spec.max_limit),
            breaker: CircuitBreaker::default(),
        });
        if let Some(group) = self.groups.get_mut(group) {
            group.endpoints(spec.near).push(key);
        }
        key
    }

    /// Removes an endpoint from its group.
    ///
    /// Its requests in flight may still complete; [`Router::finish`] then has no effect.
    pub fn remove_endpoint(&mut self, key: EndpointKey) {
        let Some(endpoint) = self.endpoints.remove(key) else {
            return;
        };
        if let Some(group) = self.groups.get_mut(endpoint.group) {
            group.endpoints(endpoint.near).retain(|other| *other != key);
            group.in_flight -= u64::from(endpoint.in_flight);
        }
    }

    /// Records an endpoint's own report of all its requests in flight, including those of this
    /// node.
    pub fn report_load(&mut self, key: EndpointKey, now: Millis, in_flight: u32) {
        if let Some(endpoint) = self.endpoints.get_mut(key) {
            endpoint.in_flight_elsewhere = in_flight.saturating_sub(endpoint.in_flight);
            endpoint.reported_at = now;
        }
    }

    /// Selects an endpoint of `group`, with preference for the one that the prefix maps to unless
    /// that is overloaded.
    ///
    /// # Errors
    ///
    /// Returns [`NoEndpoint`] if none is in service or none of those examined can take a request.
    pub fn choose(
        &self,
        group: GroupKey,
        prefix: Option<u64>,
        now: Millis,
        rng: &mut SeededRng,
    ) -> Result<EndpointKey, NoEndpoint> {
        let group = self.groups.get(group).ok_or(NoEndpoint::NoneServing)?;
        if group.near.is_empty() && group.far.is_empty() {
            return Err(NoEndpoint::NoneServing);
        }
        let affine = prefix.and_then(|prefix| self.affinity_endpoint(group, prefix, now));
        let choice = affine
            .or_else(|| self.sample(&group.near, now, rng))
            .or_else(|| self.sample(&group.far, now, rng));
        choice.ok_or_else(|| self.no_endpoint_reason(group, now, rng))
    }

    /// Counts a request as in flight and returns a permit to send it; `None` if the endpoint is
    /// gone or must not be sent any.
    pub fn start(&mut self, key: EndpointKey, now: Millis) -> Option<SendPermit> {
        let endpoint = self.endpoints.get_mut(key)?;
        let permit = self.backpressure.acquire_permit(&key, endpoint.in_flight, now)?;
        endpoint.in_flight += 1;
        endpoint.breaker.record_start();
        if let Some(group) = self.groups.get_mut(endpoint.group) {
            group.in_flight += 1;
        }
        Some(permit)
    }

    /// Records that an endpoint asked for a backoff as it turned a request away.
    pub fn record_backoff(&mut self, key: EndpointKey, requested: Millis, now: Millis) {
        let in_flight = self.endpoints.get(key).map_or(0, |endpoint| endpoint.in_flight);
        self.backpressure.record_backoff(&key, requested, in_flight, now);
    }

    /// Records that a request ended; `first_byte` is the time until its answer began.
    pub fn finish(
        &mut self,
        key: EndpointKey,
        end: AttemptEnd,
        now: Millis,
        first_byte: Option<Millis>,
    ) {
        let Some(endpoint) = self.endpoints.get_mut(key) else {
            return;
        };
        let before = endpoint.in_flight;
        endpoint.in_flight = before.saturating_sub(1);
        if let Some(group) = self.groups.get_mut(endpoint.group) {
            group.in_flight -= u64::from(before - endpoint.in_flight);
        }
        self.backpressure.record_end(&key);
        if first_byte.is_some() {
            self.backpressure.record_answer(&key, now);
        }
        match (end, first_byte) {
            (AttemptEnd::Refused, _) => endpoint.limit.record_overload(now),
            (_, Some(took)) => endpoint.limit.record_answer(now, took, before),
            (AttemptEnd::TimedOut, None) => endpoint.limit.record_overload(now),
            (_, None) => {}
        }
        if end.is_endpoint_failure() {
            endpoint.breaker.record_failure(now);
        } else if end.is_abandoned() {
            endpoint.breaker.record_abandoned();
        } else {
            endpoint.breaker.record_success();
        }
    }

    /// Returns the typical time until an answer of the endpoint begins.
    pub fn typical_latency(&self, key: EndpointKey) -> Millis {
        self.endpoints.get(key).map(|endpoint| endpoint.limit.typical_latency()).unwrap_or_default()
    }

    /// Returns the number of this node's requests in flight at the endpoint, and their limit.
    pub fn load(&self, key: EndpointKey) -> (u32, u32) {
        let load = |endpoint: &Endpoint| (endpoint.in_flight, endpoint.limit.get());
        self.endpoints.get(key).map(load).unwrap_or_default()
    }

    fn affinity_endpoint(&self, group: &Group, prefix: u64, now: Millis) -> Option<EndpointKey> {
        let endpoints = if group.near.is_empty() { &group.far } else { &group.near };
        let endpoint_count = (group.near.len() + group.far.len()) as u64;
        let bound = (group.in_flight + 1) * AFFINITY_LOAD_PERCENT;
        let has_headroom = |key: &EndpointKey| {
            let endpoint = &self.endpoints[*key];
            u64::from(endpoint.in_flight + 1) * endpoint_count * 100
                <= bound.max(endpoint_count * 100)
        };
        let candidates =
            [prefix, mix(prefix)].map(|hash| endpoints[(hash % endpoints.len() as u64) as usize]);
        candidates.into_iter().find(|key| has_headroom(key) && self.has_room(*key, now))
    }

    /// Returns the least loaded of a few random endpoints that can take a request.
    fn sample(
        &self,
        endpoints: &[EndpointKey],
        now: Millis,
        rng: &mut SeededRng,
    ) -> Option<EndpointKey> {
        let mut best: Option<EndpointKey> = None;
        if endpoints.is_empty() {
            return None;
        }
        let start = rng.below(endpoints.len());
        let stride = 1 + rng.below(endpoints.len().saturating_sub(1));
        for probe in 0..MAX_PROBES.min(endpoints.len()) {
            let key = endpoints[(start + probe * stride) % endpoints.len()];
            if !self.has_room(key, now) {
                continue;
            }
            best = Some(match best {
                Some(other) => self.less_loaded(other, key, now),
                None => key,
            });
        }
        best
    }

    /// Says whether waiting can help, which it does if an endpoint is full rather than failing.
    fn no_endpoint_reason(&self, group: &Group, now: Millis, rng: &mut SeededRng) -> NoEndpoint {
        if let Some(until) = self.all_backing_off_until(group, now) {
            return NoEndpoint::AllBackingOff(until);
        }
        let both = [&group.near, &group.far];
        let admits = |endpoints: &Vec<EndpointKey>| {
            let start = rng.below(endpoints.len());
            let mut probes =
                (0..MAX_PROBES.min(endpoints.len())).map(|probe| (start + probe) % endpoints.len());
            probes.any(|index| self.endpoints[endpoints[index]].breaker.allows(now))
        };
        if both.into_iter().any(admits) { NoEndpoint::AllFull } else { NoEndpoint::NoneServing }
    }

    /// Returns when the first backoff ends, if all endpoints of the group are backing off.
    fn all_backing_off_until(&self, group: &Group, now: Millis) -> Option<Millis> {
        let mut first = Millis(u64::MAX);
        for key in group.near.iter().chain(&group.far) {
            match self.backpressure.state(key, self.endpoints[*key].in_flight, now) {
                BackpressureState::BackingOff(until) => first = first.min(until),
                _ => return None,
            }
        }
        Some(first)
    }

    fn less_loaded(&self, a: EndpointKey, b: EndpointKey, now: Millis) -> EndpointKey {
        if self.estimated_load(b, now) < self.estimated_load(a, now) { b } else { a }
    }

    fn estimated_load(&self, key: EndpointKey, now: Millis) -> u32 {
        let endpoint = &self.endpoints[key];
        let is_fresh = now.since(endpoint.reported_at) < LOAD_REPORT_TTL;
        endpoint.in_flight + if is_fresh { endpoint.in_flight_elsewhere } else { 0 }
    }

    fn has_room(&self, key: EndpointKey, now: Millis) -> bool {
        let endpoint = &self.endpoints[key];
        endpoint.in_flight < endpoint.limit.get()
            && endpoint.breaker.allows(now)
            && !self.backpressure.state(&key, endpoint.in_flight, now).is_closed()
    }
}
