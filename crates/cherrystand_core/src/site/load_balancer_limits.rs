//! The backpressure of endpoints (backoff, leaving and rate limits) in the load balancer's choice.

use crate::site::target::Target;
use crate::{
    BackpressureState, BoxId, EndpointRateLimits, EngineSpec, LoadBalancer, Millis, RequestSpec,
    SeededRng, SendPermit, TargetKey,
};

/// The time after which a caller may retry if all endpoints are at their limits; streams take 0.3
/// to 2 s.
const SATURATED_RETRY_AFTER: Millis = Millis(300);

/// Bounds of the time after which a caller may retry if all endpoints lie in evacuated zones.
///
/// Within them it is the time since the evacuation, as nobody knows how long that will last.
const EVACUATED_RETRY_BOUNDS: (Millis, Millis) = (Millis(500), Millis(30_000));

/// How many endpoints are asked for a permit at once for a request that no other endpoint can
/// serve.
const MAX_PERMIT_REQUESTS: usize = 2;

impl LoadBalancer {
    /// Returns the rate limits that endpoints have for all nodes together.
    pub fn rate_limits(&self) -> &EndpointRateLimits<BoxId> {
        &self.backpressure.limits
    }

    /// Returns the rate limits for updating.
    pub fn rate_limits_mut(&mut self) -> &mut EndpointRateLimits<BoxId> {
        &mut self.backpressure.limits
    }

    /// Requests permits of rate-limited endpoints for a request, and returns these endpoints.
    ///
    /// One endpoint is selected at random, as for the choice itself, so that each gets its usual
    /// share of the requests and no permits are requested in vain. If none is open, the next
    /// rate-limited ones are asked.
    pub fn request_permits(
        &mut self,
        request: RequestSpec<'_>,
        engine: Option<&EngineSpec>,
        now: Millis,
        rng: &mut SeededRng,
    ) -> Vec<BoxId> {
        // Fast path: usually no endpoint has a rate limit.
        if self.backpressure.limits.is_empty() {
            return Vec::new();
        }
        let Some(candidates) = self.candidates(request, engine) else { return Vec::new() };
        let all: Vec<TargetKey> = candidates.near.iter().chain(&candidates.far).copied().collect();
        let considered = match self.unavailable_until(request, engine, now) {
            Some(_) => all.len(),
            None => 1.min(all.len()),
        };
        let first = rng.below(all.len());
        let selected = (0..considered).filter_map(|offset| {
            let target = self.targets.get(all[(first + offset) % all.len()])?;
            let state = self.backpressure_state(target, now);
            let is_wanted = matches!(state, BackpressureState::RateLimited(_))
                && !target.is_ejected(now)
                && request.regions.allows(target.spec.region.as_ref());
            is_wanted.then(|| target.spec.id.clone())
        });
        let wanted: Vec<BoxId> = selected.take(MAX_PERMIT_REQUESTS).collect();
        wanted.iter().for_each(|id| self.backpressure.limits.request_permit(id, now));
        wanted
    }

    /// Returns the backpressure state of an endpoint.
    pub(super) fn backpressure_state(&self, target: &Target, now: Millis) -> BackpressureState {
        match (target.is_leaving, target.spec.evacuated_since) {
            (true, _) => BackpressureState::Leaving,
            (false, Some(since)) => BackpressureState::Evacuated(since),
            (false, None) => self.backpressure.active_state(&target.spec.id, target.in_flight, now),
        }
    }

    /// Returns when to retry if every endpoint that could serve a request is backing off, at its
    /// limits or in an evacuated zone; `None` if one is available.
    pub fn unavailable_until(
        &self,
        request: RequestSpec<'_>,
        engine: Option<&EngineSpec>,
        now: Millis,
    ) -> Option<Millis> {
        let candidates = self.candidates(request, engine)?;
        let mut first: Option<Millis> = None;
        for key in candidates.near.iter().chain(&candidates.far) {
            let target = self.targets.get(*key)?;
            if !request.regions.allows(target.spec.region.as_ref()) {
                continue;
            }
            let until = match self.backpressure_state(target, now) {
                BackpressureState::Evacuated(since) => {
                    now + now.since(since).clamp(EVACUATED_RETRY_BOUNDS.0, EVACUATED_RETRY_BOUNDS.1)
                }
                BackpressureState::BackingOff(until) | BackpressureState::RateLimited(until) => {
                    until
                }
                BackpressureState::Saturated => now + SATURATED_RETRY_AFTER,
                BackpressureState::Leaving => continue,
                BackpressureState::Open | BackpressureState::Recovering => return None,
            };
            first = Some(first.map_or(until, |first| first.min(until)));
        }
        first
    }

    /// Records that an endpoint asked this node to back off, and returns until when it will.
    pub fn record_backoff(&mut self, id: &BoxId, asked: Millis, now: Millis) -> Millis {
        let id = self.listed_id(id);
        let target = self.keys.get(&id).and_then(|key| self.targets.get(*key));
        let in_flight = target.map_or(0, |target| target.in_flight);
        self.backpressure.record_backoff(&id, asked, in_flight, now)
    }

    /// Records that an endpoint is leaving, and returns whether that is new.
    pub fn record_leaving(&mut self, id: &BoxId) -> bool {
        let id = self.listed_id(id);
        if let Some(target) = self.keys.get(&id).and_then(|key| self.targets.get_mut(*key)) {
            target.is_leaving = true;
        }
        self.backpressure.record_leaving(&id)
    }

    /// Returns whether an endpoint announced that it is leaving.
    pub fn is_leaving(&self, id: &BoxId) -> bool {
        self.backpressure.is_leaving(id)
    }

    /// Returns a permit to send one request to an endpoint, or `None` if it takes none.
    pub fn acquire_permit(&mut self, key: TargetKey, now: Millis) -> Option<SendPermit> {
        let target = self.targets.get(key)?;
        self.backpressure.acquire_permit(&target.spec.id, target.in_flight, now)
    }

    /// Records that an endpoint began to answer the first request after its backoff.
    pub fn record_answer_after_backoff(&mut self, id: &BoxId, now: Millis) {
        self.backpressure.record_answer(id, now);
    }

    /// Records that the first request after an endpoint's backoff has ended.
    pub fn record_end_after_backoff(&mut self, id: &BoxId) {
        self.backpressure.record_end(id);
    }
}
