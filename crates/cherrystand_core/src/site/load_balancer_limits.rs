//! What endpoints asked of this node, as the choice goes by it.

use crate::site::target::Target;
use crate::{
    BoxId, EndpointLimits, EngineSpec, LoadBalancer, Millis, RequestSpec, Seed, SendPermit,
    TargetKey, WishState,
};

/// When a caller is told to come back whose endpoints have all they bear; streams end after 0.3 to 2 s.
const SATURATED_RETRY_AFTER: Millis = Millis(300);

/// When a caller is told to come back whose endpoints all lie in emptied zones: after as long again as they
/// have been empty, within these bounds. Nobody tells how long that lasts.
const EVACUATED_RETRY_BOUNDS: (Millis, Millis) = (Millis(500), Millis(30_000));

/// How many endpoints a request asks permits for at once that nobody else can serve.
const MAX_PERMIT_REQUESTS: usize = 2;

impl LoadBalancer {
    /// Returns what endpoints take from all nodes together.
    pub fn limits(&self) -> &EndpointLimits<BoxId> {
        &self.wishes.limits
    }

    /// Returns the same, to be kept up.
    pub fn limits_mut(&mut self) -> &mut EndpointLimits<BoxId> {
        &mut self.wishes.limits
    }

    /// Notes which endpoints with a limit a request could use a permit for that is not at hand, and returns them.
    ///
    /// One endpoint is drawn, as the choice draws them: so each is wanted by its usual part of the requests, and
    /// the others ask for nothing. Where none is open, the next ones that have a limit are wanted.
    pub fn request_permits(
        &mut self,
        request: RequestSpec<'_>,
        engine: Option<&EngineSpec>,
        now: Millis,
        rng: &mut Seed,
    ) -> Vec<BoxId> {
        // Most choices are made while no endpoint names a limit.
        if self.wishes.limits.is_empty() {
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
            let is_wanted = matches!(state, WishState::Limited(_))
                && !target.is_ejected(now)
                && request.regions.allow(target.spec.region.as_ref());
            is_wanted.then(|| target.spec.id.clone())
        });
        let wanted: Vec<BoxId> = selected.take(MAX_PERMIT_REQUESTS).collect();
        wanted.iter().for_each(|id| self.wishes.limits.want(id, now));
        wanted
    }

    /// Returns how an endpoint stands by what it asked for.
    pub(super) fn backpressure_state(&self, target: &Target, now: Millis) -> WishState {
        match (target.is_draining, target.spec.evacuated) {
            (true, _) => WishState::Leaves,
            (false, Some(since)) => WishState::Evacuated(since),
            (false, None) => self.wishes.staying_state(&target.spec.id, target.in_flight, now),
        }
    }

    /// Returns when one may first be sent to again, where each endpoint that could serve a request rests, has
    /// all that it bears, or lies in an emptied zone.
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
            if !request.regions.allow(target.spec.region.as_ref()) {
                continue;
            }
            let until = match self.backpressure_state(target, now) {
                WishState::Evacuated(since) => {
                    now + now.since(since).clamp(EVACUATED_RETRY_BOUNDS.0, EVACUATED_RETRY_BOUNDS.1)
                }
                WishState::Rests(until) | WishState::Limited(until) => until,
                WishState::Full => now + SATURATED_RETRY_AFTER,
                WishState::Leaves => continue,
                WishState::Open | WishState::ComesBack => return None,
            };
            first = Some(first.map_or(until, |first| first.min(until)));
        }
        first
    }

    /// Takes in that an endpoint asked this node for rest, and returns until when it has it.
    pub fn hear_rest(&mut self, id: &BoxId, asked: Millis, now: Millis) -> Millis {
        let target = self.ids.get(id).and_then(|key| self.targets.get(*key));
        let in_flight = target.map_or(0, |target| target.in_flight);
        self.wishes.hear_rest(id, asked, in_flight, now)
    }

    /// Takes in that an endpoint leaves, and tells whether that is new.
    pub fn hear_leaving(&mut self, id: &BoxId) -> bool {
        if let Some(target) = self.ids.get(id).and_then(|key| self.targets.get_mut(*key)) {
            target.is_draining = true;
        }
        self.wishes.hear_leaving(id)
    }

    /// Tells whether an endpoint said that it leaves.
    pub fn is_leaving(&self, id: &BoxId) -> bool {
        self.wishes.is_leaving(id)
    }

    /// Gives leave to send one request to an endpoint; nothing where it wants none.
    pub fn permit(&mut self, key: TargetKey, now: Millis) -> Option<SendPermit> {
        let target = self.targets.get(key)?;
        self.wishes.permit(&target.spec.id, target.in_flight, now)
    }

    /// Takes in that an endpoint began to answer what it was sent after its rest.
    pub fn record_answer_after_backoff(&mut self, id: &BoxId, now: Millis) {
        self.wishes.answered(id, now);
    }

    /// Takes in that what an endpoint was sent after its rest is under way no more.
    pub fn record_end_after_backoff(&mut self, id: &BoxId) {
        self.wishes.ended(id);
    }
}
