//! The choice among replicas and endpoints, by what their engine is predicted to do.

use std::collections::{BTreeMap, HashMap};

use slotmap::{SlotMap, new_key_type};

use crate::site::target::{Target, TargetSpec};
use crate::{
    AllowedRegions, BoxId, ChoiceRule, EndpointWishes, EngineLoad, EngineSpec, LatencyModel,
    Millis, ModelLoads, ModelSpec, Policy, Seed, ServiceName, WishState, is_deferred,
};

new_key_type! {
    /// Points to an endpoint in the balancer's arena.
    pub struct TargetKey;
}

/// How many replicas of the own zone, and of others, are drawn for one choice.
///
/// What is known of the others' loads is up to half a second old. If all daemons took the replica
/// that looks best, they would all take the same one; the better of two drawn by chance is nearly
/// as good and does not gather them.
const SAMPLE_SIZE: usize = 2;

/// How many draws are made to find those, since some may be left out.
const MAX_DRAWS: usize = 4;

/// How much of the credit one whole objective of expected time costs, though the request itself is in
/// time: whoever comes next to a busier replica waits longer for it.
///
/// At 30 requests in flight a further one delays the next 30 by about 1 ms each, which near their
/// objective is 0.01 to 0.08 of a request's credit; this is as steep where replicas begin to fill.
const LATENCY_COST: f64 = 0.2;

/// What speaks against an endpoint that has yet to answer what it was sent since its rest, in
/// milliseconds: beyond all times that are predicted, below what speaks against one that failed.
const RECOVERING_COST_MS: f64 = 50_000.0;

/// What a request asks of an endpoint.
#[derive(Clone, Copy, Debug)]
pub struct RequestSpec<'a> {
    /// The service.
    pub service: &'a ServiceName,
    /// The model, where it asks for one.
    pub model: Option<&'a str>,
    /// The tokens of its prompt.
    pub prompt: f64,
    /// The time within which its answer, or its first event, is in time.
    pub latency_goal: Millis,
    /// Where it may be answered.
    pub regions: AllowedRegions<'a>,
}

/// What is expected of a request at one replica.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Prediction {
    /// The predicted milliseconds until its first event, before what was learned.
    pub first_event_ms: f64,
    /// Whether it is put behind those that can still be in time.
    pub deferred: bool,
}

/// The endpoints of one service and model, by distance.
#[derive(Clone, Debug, Default)]
pub(super) struct Candidates {
    pub(super) near: Vec<TargetKey>,
    pub(super) far: Vec<TargetKey>,
}

/// The endpoints of one service.
#[derive(Clone, Debug, Default)]
struct ServiceTargets {
    by_model: HashMap<String, Candidates>,
    plain: Candidates,
}

/// What one choice goes by.
#[derive(Clone, Copy)]
struct Choice<'a> {
    request: RequestSpec<'a>,
    engine: Option<(&'a EngineSpec, &'a ModelSpec)>,
    excluded: &'a [BoxId],
    now: Millis,
    latency: LatencyModel,
}

/// Chooses endpoints and keeps what the choice needs.
#[derive(Clone, Debug, Default)]
pub struct LoadBalancer {
    policy: Policy,
    pub(super) targets: SlotMap<TargetKey, Target>,
    pub(super) ids: BTreeMap<BoxId, TargetKey>,
    services: HashMap<ServiceName, ServiceTargets>,
    /// What endpoints asked of this node, also those that are not listed for now.
    pub(super) wishes: EndpointWishes<BoxId>,
    latency_models: HashMap<String, LatencyModel>,
}

impl LoadBalancer {
    /// Creates a balancer that knows no endpoints.
    pub fn new(policy: Policy) -> Self {
        Self { policy, ..Self::default() }
    }

    /// Takes over the endpoints that serve now.
    pub fn set_targets(&mut self, specs: Vec<TargetSpec>) {
        let wanted: BTreeMap<BoxId, TargetSpec> =
            specs.into_iter().map(|spec| (spec.id.clone(), spec)).collect();
        let gone: Vec<BoxId> =
            self.ids.keys().filter(|id| !wanted.contains_key(*id)).cloned().collect();
        for id in gone {
            if let Some(key) = self.ids.remove(&id) {
                self.targets.remove(key);
            }
        }
        self.update_availability(&wanted);
        for (id, spec) in wanted {
            match self.ids.get(&id).and_then(|key| self.targets.get_mut(*key)) {
                Some(target) => target.spec = spec,
                None => {
                    let mut target = Target::new(spec);
                    target.is_draining = self.wishes.is_leaving(&id);
                    let key = self.targets.insert(target);
                    self.ids.insert(id, key);
                }
            }
        }
        self.rebuild_index();
    }

    /// Takes over which endpoints operators have emptied the zones of, and which are cold.
    fn update_availability(&mut self, wanted: &BTreeMap<BoxId, TargetSpec>) {
        let evacuated = wanted.values().filter_map(|spec| Some((spec.id.clone(), spec.evacuated?)));
        self.wishes.follow_evacuated(evacuated.collect());
        for (id, spec) in wanted {
            let held = self.ids.get(id).and_then(|key| self.targets.get(*key));
            let before = held.and_then(|target| target.spec.cold);
            // What peers tell of one that this node was never told of holds as well.
            if spec.cold != before {
                self.wishes.limits.follow_cold(id, spec.cold);
            }
        }
    }

    fn rebuild_index(&mut self) {
        self.services.clear();
        for (key, target) in &self.targets {
            let spec = &target.spec;
            let service = self.services.entry(spec.service.clone()).or_default();
            let candidates = match &spec.model {
                Some(model) => service.by_model.entry(model.clone()).or_default(),
                None => &mut service.plain,
            };
            let list = if spec.near { &mut candidates.near } else { &mut candidates.far };
            list.push(key);
        }
    }

    /// Takes over what peers have in flight, by endpoint.
    pub fn set_peer_loads(&mut self, loads: &BTreeMap<BoxId, EngineLoad>) {
        for target in self.targets.values_mut() {
            target.peer_load = loads.get(&target.spec.id).copied().unwrap_or_default();
        }
    }

    /// Leaves the endpoint of a box out for a while, as [`LoadBalancer::avoid`] does.
    pub fn eject_box(&mut self, id: &BoxId, now: Millis) {
        if let Some(key) = self.ids.get(id).copied() {
            self.eject(key, now);
        }
    }

    /// Lists what this node has in flight by endpoint, and when each last made progress.
    pub fn own_loads(&self) -> impl Iterator<Item = (&BoxId, EngineLoad, Millis)> {
        let busy = self.targets.values().filter(|target| target.in_flight > 0);
        busy.map(|target| (&target.spec.id, target.own_load(), target.last_progress))
    }

    /// Returns what all daemons have in flight with each model of a service, as far as is known, beside what
    /// lies in zones that operators have emptied.
    pub fn model_loads(&self) -> ModelLoads {
        let mut loads = ModelLoads::new();
        for target in self.targets.values().filter(|target| target.spec.evacuated.is_none()) {
            let Some(model) = &target.spec.model else { continue };
            let of_service = loads.entry(target.spec.service.clone()).or_default();
            let load = of_service.entry(model.clone()).or_default();
            load.replicas += 1;
            load.requests += target.load().requests;
        }
        loads
    }

    /// Tells whether any endpoint but one made progress since `since` with a request of this node;
    /// nothing where no other has any.
    pub fn others_progress(&self, excluded: TargetKey, since: Millis) -> Option<bool> {
        let busy =
            self.targets.iter().filter(|(key, target)| *key != excluded && target.in_flight > 0);
        busy.map(|(_, target)| target.last_progress >= since).reduce(|one, other| one || other)
    }

    /// Chooses an endpoint other than those in `not`, by the policy's rule.
    pub fn choose(
        &self,
        request: RequestSpec<'_>,
        engine: Option<&EngineSpec>,
        excluded: &[BoxId],
        now: Millis,
        rng: &mut Seed,
    ) -> Option<TargetKey> {
        let candidates = self.candidates(request, engine)?;
        let engine = engine.zip(request.model);
        let engine = engine.and_then(|(engine, model)| Some((engine, engine.model(model)?)));
        let latency = request.model.and_then(|model| self.latency_models.get(model)).copied();
        let latency = latency.unwrap_or_default();
        let choice = Choice { request, engine, excluded, now, latency };
        match (self.policy.choice, engine) {
            (ChoiceRule::ExpectedCredit, Some(_)) => self
                .best_credit(candidates, &choice, rng)
                .or_else(|| self.lowest_cost(candidates, &choice, rng)),
            (ChoiceRule::TwoAtRandom, Some(_)) => self
                .earlier_of_sample(candidates, &choice, rng)
                .or_else(|| self.lowest_cost(candidates, &choice, rng)),
            _ => self.lowest_cost(candidates, &choice, rng),
        }
    }

    /// Returns the endpoints of the service or model that is asked for.
    pub(super) fn candidates(
        &self,
        request: RequestSpec<'_>,
        engine: Option<&EngineSpec>,
    ) -> Option<&Candidates> {
        let service = self.services.get(request.service)?;
        match engine.and(request.model) {
            Some(model) => service.by_model.get(model),
            None => Some(&service.plain),
        }
    }

    /// Returns the endpoint with the least cost of all.
    fn lowest_cost(
        &self,
        candidates: &Candidates,
        choice: &Choice<'_>,
        rng: &mut Seed,
    ) -> Option<TargetKey> {
        let mut best: Option<(f64, TargetKey)> = None;
        for key in candidates.near.iter().chain(&candidates.far) {
            let target = self.targets.get(*key)?;
            let state = self.backpressure_state(target, choice.now);
            let is_allowed = choice.request.regions.allow(target.spec.region.as_ref());
            if choice.excluded.contains(&target.spec.id) || state.is_closed() || !is_allowed {
                continue;
            }
            // Ties are broken by chance, so that nodes that know the same do not all agree.
            let jitter = rng.below(1_000) as f64 / 1_000.0;
            let recovering_cost =
                if state == WishState::ComesBack { RECOVERING_COST_MS } else { 0.0 };
            let cost = self.cost(target, choice) + recovering_cost + jitter;
            if best.is_none_or(|(lowest_cost, _)| cost < lowest_cost) {
                best = Some((cost, *key));
            }
        }
        best.map(|(_, key)| key)
    }

    fn cost(&self, target: &Target, choice: &Choice<'_>) -> f64 {
        let by_count = self.policy.choice == ChoiceRule::FewestInFlight;
        let engine = choice.engine.filter(|_| !by_count);
        target.cost(choice.request.prompt, engine, choice.now)
    }

    fn earlier_of_sample(
        &self,
        candidates: &Candidates,
        choice: &Choice<'_>,
        rng: &mut Seed,
    ) -> Option<TargetKey> {
        let count = candidates.near.len() + candidates.far.len();
        let mut best: Option<(f64, TargetKey)> = None;
        for _ in 0..SAMPLE_SIZE {
            let index = rng.below(count);
            let near = candidates.near.get(index);
            let key = near.or_else(|| candidates.far.get(index - candidates.near.len()))?;
            let Some(target) = self.eligible(*key, choice) else { continue };
            let cost = self.cost(target, choice);
            if best.is_none_or(|(lowest_cost, _)| cost < lowest_cost) {
                best = Some((cost, *key));
            }
        }
        best.map(|(_, key)| key)
    }

    /// Returns the best of a few near endpoints and a few others by expected credit.
    fn best_credit(
        &self,
        candidates: &Candidates,
        choice: &Choice<'_>,
        rng: &mut Seed,
    ) -> Option<TargetKey> {
        let near = self.best_of_sample(&candidates.near, choice, rng);
        let far = self.best_of_sample(&candidates.far, choice, rng);
        match (near, far) {
            (Some((near_credit, _)), Some((far_credit, key)))
                if far_credit - self.policy.far_cost > near_credit =>
            {
                Some(key)
            }
            (Some((_, key)), _) | (None, Some((_, key))) => Some(key),
            (None, None) => None,
        }
    }

    fn best_of_sample(
        &self,
        list: &[TargetKey],
        choice: &Choice<'_>,
        rng: &mut Seed,
    ) -> Option<(f64, TargetKey)> {
        let mut best: Option<(f64, TargetKey)> = None;
        let mut sampled = 0;
        let mut index = rng.below(list.len());
        for _ in 0..MAX_DRAWS.min(list.len()) {
            let key = list[index];
            // Another one each time, any of the rest as likely as the next.
            index = (index + 1 + rng.below(list.len().saturating_sub(1))) % list.len();
            let Some(target) = self.eligible(key, choice) else { continue };
            let expected_credit = self.expected_credit(target, choice);
            if best.is_none_or(|(most, _)| expected_credit > most) {
                best = Some((expected_credit, key));
            }
            sampled += 1;
            if sampled == SAMPLE_SIZE {
                break;
            }
        }
        best
    }

    fn eligible(&self, key: TargetKey, choice: &Choice<'_>) -> Option<&Target> {
        let target = self.targets.get(key)?;
        let is_excluded = choice.excluded.contains(&target.spec.id)
            || target.is_ejected(choice.now)
            || !choice.request.regions.allow(target.spec.region.as_ref());
        let is_open = || self.backpressure_state(target, choice.now) == WishState::Open;
        (!is_excluded && is_open()).then_some(target)
    }

    /// Returns the share of a request's credit that a replica is expected to bring.
    fn expected_credit(&self, target: &Target, choice: &Choice<'_>) -> f64 {
        let Some((engine, model)) = choice.engine else {
            return 0.0;
        };
        let first_event_ms = target.first_event_ms(engine, model, choice.request.prompt);
        let goal = choice.request.latency_goal.0 as f64;
        let in_time = choice.latency.probability_within(first_event_ms, goal);
        let time = choice.latency.expected_ms(first_event_ms) / goal.max(1.0);
        in_time * (1.0 - target.failure_rate(choice.now)) - LATENCY_COST * time
    }

    /// Returns the box behind an endpoint.
    pub fn id(&self, key: TargetKey) -> Option<&BoxId> {
        self.targets.get(key).map(|target| &target.spec.id)
    }

    /// Returns what is expected of a request at a replica.
    pub fn predict(
        &self,
        key: TargetKey,
        request: RequestSpec<'_>,
        engine: &EngineSpec,
    ) -> Option<Prediction> {
        let target = self.targets.get(key)?;
        let model = engine.model(request.model?)?;
        let first_event_ms = target.first_event_ms(engine, model, request.prompt);
        let latency = self.latency_models.get(&model.name).copied().unwrap_or_default();
        let goal = request.latency_goal.0 as f64;
        let jitter = latency.probability_within(first_event_ms, goal);
        Some(Prediction { first_event_ms, deferred: self.policy.defer_late && is_deferred(jitter) })
    }

    /// Counts a request as on its way; one that waits behind the others delays none of them until
    /// it runs.
    pub fn record_start(&mut self, key: TargetKey, prompt: f64, is_deferred: bool) {
        if let Some(target) = self.targets.get_mut(key).filter(|_| !is_deferred) {
            target.in_flight += 1;
            target.unread += prompt;
        }
    }

    /// Counts a prompt as read.
    pub fn record_first_event(&mut self, key: TargetKey, prompt: f64, was_deferred: bool) {
        let Some(target) = self.targets.get_mut(key) else {
            return;
        };
        if was_deferred {
            target.in_flight += 1;
        } else {
            target.unread = (target.unread - prompt).max(0.0);
        }
    }

    /// Learns from how long a first event took, against what was predicted for it.
    pub fn record_first_event_time(&mut self, key: TargetKey, took: Millis, first_event_ms: f64) {
        let Some(model) = self.targets.get(key).and_then(|target| target.spec.model.as_ref())
        else {
            return;
        };
        if !self.latency_models.contains_key(model) {
            self.latency_models.insert(model.clone(), LatencyModel::default());
        }
        if let Some(latency) = self.latency_models.get_mut(model) {
            latency.update(took.0 as f64, first_event_ms);
        }
    }

    /// Notes that an endpoint made progress with anything at all.
    pub fn record_progress(&mut self, key: TargetKey, now: Millis) {
        if let Some(target) = self.targets.get_mut(key) {
            target.last_progress = now;
        }
    }

    /// Returns when an endpoint last made progress.
    pub fn last_progress(&self, key: TargetKey) -> Option<Millis> {
        self.targets.get(key).map(|target| target.last_progress)
    }

    /// Returns what all nodes have in flight at an endpoint, as far as is known.
    pub fn load(&self, key: TargetKey) -> EngineLoad {
        self.targets.get(key).map(Target::load).unwrap_or_default()
    }

    /// Counts a request as ended; `unread` is what was not read of its prompt.
    pub fn record_finish(&mut self, key: TargetKey, unread: f64, is_deferred: bool) {
        if let Some(target) = self.targets.get_mut(key).filter(|_| !is_deferred) {
            target.in_flight = target.in_flight.saturating_sub(1);
            target.unread = (target.unread - unread).max(0.0);
        }
    }

    /// Takes in that an endpoint answered well.
    pub fn record_success(&mut self, key: TargetKey, now: Millis) {
        if let Some(target) = self.targets.get_mut(key) {
            target.record_success(now);
        }
    }

    /// Takes in that an endpoint failed a request.
    pub fn record_failure(&mut self, key: TargetKey, now: Millis) {
        if let Some(target) = self.targets.get_mut(key) {
            target.record_failure(now);
        }
    }

    /// Tells whether an endpoint is left out now.
    pub fn is_ejected(&self, key: TargetKey, now: Millis) -> bool {
        self.targets.get(key).is_some_and(|target| target.is_ejected(now))
    }

    /// Leaves an endpoint out for a while, longer each time until it answers well.
    pub fn eject(&mut self, key: TargetKey, now: Millis) {
        if let Some(target) = self.targets.get_mut(key) {
            target.eject(now);
        }
    }
}
