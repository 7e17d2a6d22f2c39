//! Chooses among replicas and endpoints, by the performance predicted for their engines.
//!
//! The credit of a request is what it earns if it is answered in time, 1 at most.

use std::collections::{BTreeMap, HashMap};

use slotmap::{SlotMap, new_key_type};

use crate::site::target::{Target, TargetSpec};
use crate::{
    AllowedRegions, BackpressureState, BoxId, ChoiceRule, EndpointBackpressure, EngineLoad,
    EngineSpec, LatencyModel, Millis, ModelLoads, ModelSpec, Policy, SeededRng, ServiceName,
    is_deferred,
};

new_key_type! {
    /// Identifies an endpoint of the load balancer.
    pub struct TargetKey;
}

/// How many replicas of the own zone, and how many of others, are compared for one choice.
///
/// The known load of peers is up to half a second old. If all daemons chose the replica that looks
/// best, they would all choose the same one. The better of two random ones is nearly as good and
/// avoids such herding.
const SAMPLE_SIZE: usize = 2;

/// How many draws are made to find those, since some endpoints may be unusable.
const MAX_DRAWS: usize = 4;

/// The cost, in credit, of an expected latency as long as the latency goal, even if the request is
/// in time: the next requests at a busier replica wait longer.
///
/// At 30 requests in flight, one more delays the next 30 by about 1 ms each, which near their goal
/// is 0.01 to 0.08 of a request's credit. This cost is equally steep where replicas begin to fill
/// up.
const LATENCY_COST: f64 = 0.2;

/// The cost of an endpoint that has yet to answer the first request after its backoff, in
/// milliseconds: more than any predicted time, less than the cost of an ejected endpoint.
const RECOVERING_COST_MS: f64 = 50_000.0;

/// What a request needs from an endpoint.
#[derive(Clone, Copy, Debug)]
pub struct RequestSpec<'a> {
    /// The service.
    pub service: &'a ServiceName,
    /// The model, if it asks for one.
    pub model: Option<&'a str>,
    /// The tokens of its prompt.
    pub prompt_tokens: f64,
    /// The time within which its answer, or its first event, is in time.
    pub latency_goal: Millis,
    /// The regions in which it may be answered.
    pub regions: AllowedRegions<'a>,
}

/// What is predicted for a request at one replica.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Prediction {
    /// The milliseconds until its first event by the published figures, without the learned error.
    pub first_event_ms: f64,
    /// Whether it is queued behind requests that can still be in time.
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

/// The input of one choice.
#[derive(Clone, Copy)]
struct Choice<'a> {
    request: RequestSpec<'a>,
    engine: Option<(&'a EngineSpec, &'a ModelSpec)>,
    excluded: &'a [BoxId],
    /// The only endpoints that may be chosen; all if empty.
    only: &'a [BoxId],
    now: Millis,
    latency: LatencyModel,
}

impl Choice<'_> {
    fn leaves_out(&self, id: &BoxId) -> bool {
        self.excluded.contains(id) || !(self.only.is_empty() || self.only.contains(id))
    }
}

/// Chooses endpoints, and tracks their load, results and latencies.
#[derive(Clone, Debug, Default)]
pub struct LoadBalancer {
    policy: Policy,
    pub(super) targets: SlotMap<TargetKey, Target>,
    /// The endpoint of each box.
    pub(super) keys: BTreeMap<BoxId, TargetKey>,
    services: HashMap<ServiceName, ServiceTargets>,
    /// The backpressure that endpoints signalled to this node, including endpoints not listed now.
    pub(super) backpressure: EndpointBackpressure<BoxId>,
    latency_models: HashMap<String, LatencyModel>,
}

/// Returns whether two IDs name the same box, and not two incarnations of it. A box is listed without
/// its incarnation until it reports its start.
fn is_same_incarnation(one: &BoxId, other: &BoxId) -> bool {
    one.is_same_box(other) && !one.is_other_incarnation_of(other)
}

impl LoadBalancer {
    /// Creates a load balancer without endpoints.
    pub fn new(policy: Policy) -> Self {
        Self { policy, ..Self::default() }
    }

    /// Replaces the endpoints by those that serve now.
    pub fn set_targets(&mut self, specs: Vec<TargetSpec>) {
        let wanted: BTreeMap<BoxId, TargetSpec> =
            specs.into_iter().map(|spec| (spec.id.clone(), spec)).collect();
        let gone: Vec<BoxId> =
            self.keys.keys().filter(|id| !wanted.contains_key(*id)).cloned().collect();
        for id in gone {
            if let Some(key) = self.keys.remove(&id) {
                self.targets.remove(key);
            }
        }
        for id in wanted.keys().filter(|id| !self.keys.contains_key(*id)) {
            self.backpressure.adopt(id, |held| is_same_incarnation(held, id));
        }
        self.update_availability(&wanted);
        for (id, spec) in wanted {
            match self.keys.get(&id).and_then(|key| self.targets.get_mut(*key)) {
                Some(target) => target.spec = spec,
                None => {
                    let mut target = Target::new(spec);
                    target.is_leaving = self.backpressure.is_leaving(&id);
                    let key = self.targets.insert(target);
                    self.keys.insert(id, key);
                }
            }
        }
        self.rebuild_index();
    }

    /// Returns the ID under which a box is listed now, given one under which a request was sent to
    /// it.
    pub(super) fn listed_id(&self, sent_to: &BoxId) -> BoxId {
        if self.keys.contains_key(sent_to) {
            return sent_to.clone();
        }
        let listed = self.keys.keys().find(|id| is_same_incarnation(id, sent_to));
        listed.unwrap_or(sent_to).clone()
    }

    /// Updates which endpoints lie in evacuated zones, and which are cold.
    fn update_availability(&mut self, wanted: &BTreeMap<BoxId, TargetSpec>) {
        let evacuated =
            wanted.values().filter_map(|spec| Some((spec.id.clone(), spec.evacuated_since?)));
        self.backpressure.set_evacuated(evacuated.collect());
        for (id, spec) in wanted {
            let current = self.keys.get(id).and_then(|key| self.targets.get(*key));
            let before = current.and_then(|target| target.spec.cold);
            // A cold period that peers report is kept if this node has no report of its own.
            if spec.cold != before {
                self.backpressure.limits.set_cold_period(id, spec.cold);
            }
        }
    }

    /// Groups the endpoints by service, model and distance.
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

    /// Replaces what peers have in flight, by endpoint.
    pub fn set_peer_loads(&mut self, loads: &BTreeMap<BoxId, EngineLoad>) {
        for target in self.targets.values_mut() {
            target.peer_load = loads.get(&target.spec.id).copied().unwrap_or_default();
        }
    }

    /// Ejects the endpoint of a box for a while, like [`LoadBalancer::eject`].
    pub fn eject_box(&mut self, id: &BoxId, now: Millis) {
        if let Some(key) = self.keys.get(id).copied() {
            self.eject(key, now);
        }
    }

    /// Ends the ejection of the endpoint of a box.
    pub fn readmit_box(&mut self, id: &BoxId) {
        let key = self.keys.get(id).copied();
        if let Some(target) = key.and_then(|key| self.targets.get_mut(key)) {
            target.readmit();
        }
    }

    /// Lists what this node has in flight by endpoint, and when each endpoint last made progress.
    pub fn own_loads(&self) -> impl Iterator<Item = (&BoxId, EngineLoad, Millis)> {
        let busy = self.targets.values().filter(|target| target.in_flight > 0);
        busy.map(|target| (&target.spec.id, target.own_load(), target.last_progress))
    }

    /// Returns what all daemons have in flight for each model of a service, as far as known,
    /// without the endpoints in evacuated zones.
    pub fn model_loads(&self) -> ModelLoads {
        let mut loads = ModelLoads::new();
        for target in self.targets.values().filter(|target| target.spec.evacuated_since.is_none()) {
            let Some(model) = &target.spec.model else { continue };
            let of_service = loads.entry(target.spec.service.clone()).or_default();
            let load = of_service.entry(model.clone()).or_default();
            load.replicas += 1;
            load.requests += target.load().requests;
        }
        loads
    }

    /// Returns whether any endpoint but one made progress since `since` with a request of this
    /// node, or `None` if no other has one.
    pub fn others_progress(&self, excluded: TargetKey, since: Millis) -> Option<bool> {
        let busy =
            self.targets.iter().filter(|(key, target)| *key != excluded && target.in_flight > 0);
        busy.map(|(_, target)| target.last_progress >= since).reduce(|one, other| one || other)
    }

    /// Chooses an endpoint other than those in `excluded`, by the rule of the policy.
    pub fn choose(
        &self,
        request: RequestSpec<'_>,
        engine: Option<&EngineSpec>,
        excluded: &[BoxId],
        now: Millis,
        rng: &mut SeededRng,
    ) -> Option<TargetKey> {
        self.choose_among(request, engine, &[], excluded, now, rng)
    }

    /// Returns the boxes that serve what a request needs and may be sent it.
    pub fn serving_boxes(
        &self,
        request: RequestSpec<'_>,
        engine: Option<&EngineSpec>,
        now: Millis,
    ) -> impl Iterator<Item = &BoxId> {
        let candidates = self.candidates(request, engine).into_iter();
        let keys = candidates.flat_map(|all| all.near.iter().chain(&all.far));
        let allowed = keys
            .filter_map(|key| self.targets.get(*key))
            .filter(move |target| request.regions.allows(target.spec.region.as_ref()))
            .filter(move |target| !self.backpressure_state(target, now).is_closed());
        allowed.map(|target| &target.spec.id)
    }

    /// Chooses an endpoint among those in `only`, or all if that is empty, other than those in
    /// `excluded`.
    pub fn choose_among(
        &self,
        request: RequestSpec<'_>,
        engine: Option<&EngineSpec>,
        only: &[BoxId],
        excluded: &[BoxId],
        now: Millis,
        rng: &mut SeededRng,
    ) -> Option<TargetKey> {
        let candidates = self.candidates(request, engine)?;
        let engine = engine.zip(request.model);
        let engine = engine.and_then(|(engine, model)| Some((engine, engine.model(model)?)));
        let latency = request.model.and_then(|model| self.latency_models.get(model)).copied();
        let latency = latency.unwrap_or_default();
        let choice = Choice { request, engine, excluded, only, now, latency };
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

    /// Returns the endpoints of the requested service or model.
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

    /// Returns the endpoint with the lowest cost of all.
    fn lowest_cost(
        &self,
        candidates: &Candidates,
        choice: &Choice<'_>,
        rng: &mut SeededRng,
    ) -> Option<TargetKey> {
        let mut best: Option<(f64, TargetKey)> = None;
        for key in candidates.near.iter().chain(&candidates.far) {
            let target = self.targets.get(*key)?;
            let state = self.backpressure_state(target, choice.now);
            let is_allowed = choice.request.regions.allows(target.spec.region.as_ref());
            if choice.leaves_out(&target.spec.id) || state.is_closed() || !is_allowed {
                continue;
            }
            // Ties are broken at random, so that nodes with the same information make different
            // choices.
            let jitter = rng.below(1_000) as f64 / 1_000.0;
            let recovering_cost =
                if state == BackpressureState::Recovering { RECOVERING_COST_MS } else { 0.0 };
            let cost = self.cost(target, choice) + recovering_cost + jitter;
            if best.is_none_or(|(lowest_cost, _)| cost < lowest_cost) {
                best = Some((cost, *key));
            }
        }
        best.map(|(_, key)| key)
    }

    /// Returns the cost of an endpoint by the rule of the policy.
    fn cost(&self, target: &Target, choice: &Choice<'_>) -> f64 {
        let by_count = self.policy.choice == ChoiceRule::FewestInFlight;
        let engine = choice.engine.filter(|_| !by_count);
        target.cost(choice.request.prompt_tokens, engine, choice.now)
    }

    /// Returns the endpoint with the lower cost of two random ones.
    fn earlier_of_sample(
        &self,
        candidates: &Candidates,
        choice: &Choice<'_>,
        rng: &mut SeededRng,
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

    /// Returns the endpoint with the highest expected credit, among a sample of near and of far
    /// ones.
    fn best_credit(
        &self,
        candidates: &Candidates,
        choice: &Choice<'_>,
        rng: &mut SeededRng,
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

    /// Returns the endpoint of a random sample with the highest expected credit, and that credit.
    fn best_of_sample(
        &self,
        list: &[TargetKey],
        choice: &Choice<'_>,
        rng: &mut SeededRng,
    ) -> Option<(f64, TargetKey)> {
        let mut best: Option<(f64, TargetKey)> = None;
        let mut sampled = 0;
        let mut index = rng.below(list.len());
        for _ in 0..MAX_DRAWS.min(list.len()) {
            let key = list[index];
            // Never the same one twice in a row; all others are equally likely.
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

    /// Returns an endpoint if it may be chosen now.
    fn eligible(&self, key: TargetKey, choice: &Choice<'_>) -> Option<&Target> {
        let target = self.targets.get(key)?;
        let is_excluded = choice.leaves_out(&target.spec.id)
            || target.is_ejected(choice.now)
            || !choice.request.regions.allows(target.spec.region.as_ref());
        let is_open = || self.backpressure_state(target, choice.now) == BackpressureState::Open;
        (!is_excluded && is_open()).then_some(target)
    }

    /// Returns the share of a request's credit that an endpoint is expected to earn, less the
    /// latency cost.
    fn expected_credit(&self, target: &Target, choice: &Choice<'_>) -> f64 {
        let Some((engine, model)) = choice.engine else {
            return 0.0;
        };
        let first_event_ms = target.first_event_ms(engine, model, choice.request.prompt_tokens);
        let goal = choice.request.latency_goal.0 as f64;
        let in_time = choice.latency.probability_within(first_event_ms, goal);
        let time = choice.latency.expected_ms(first_event_ms) / goal.max(1.0);
        in_time * (1.0 - target.failure_rate(choice.now)) - LATENCY_COST * time
    }

    /// Returns the box of an endpoint.
    pub fn box_id(&self, key: TargetKey) -> Option<&BoxId> {
        self.targets.get(key).map(|target| &target.spec.id)
    }

    /// Predicts the time to first event of a request at a replica, and whether it is deferred.
    pub fn predict(
        &self,
        key: TargetKey,
        request: RequestSpec<'_>,
        engine: &EngineSpec,
    ) -> Option<Prediction> {
        let target = self.targets.get(key)?;
        let model = engine.model(request.model?)?;
        let first_event_ms = target.first_event_ms(engine, model, request.prompt_tokens);
        let latency = self.latency_models.get(&model.name).copied().unwrap_or_default();
        let goal = request.latency_goal.0 as f64;
        let in_time = latency.probability_within(first_event_ms, goal);
        Some(Prediction {
            first_event_ms,
            deferred: self.policy.defer_late && is_deferred(in_time),
        })
    }

    /// Records that a request was sent. A deferred request does not count as load until it runs,
    /// since it delays no other.
    pub fn record_start(&mut self, key: TargetKey, prompt: f64, is_deferred: bool) {
        if let Some(target) = self.targets.get_mut(key).filter(|_| !is_deferred) {
            target.in_flight += 1;
            target.unread += prompt;
        }
    }

    /// Records the first event of a request, and thus that its prompt was read.
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

    /// Updates the latency model with the time that a first event took and the time predicted for
    /// it.
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

    /// Records that an endpoint made progress with any request.
    pub fn record_progress(&mut self, key: TargetKey, now: Millis) {
        if let Some(target) = self.targets.get_mut(key) {
            target.last_progress = now;
        }
    }

    /// Returns when an endpoint last made progress.
    pub fn last_progress(&self, key: TargetKey) -> Option<Millis> {
        self.targets.get(key).map(|target| target.last_progress)
    }

    /// Returns what all nodes have in flight at an endpoint, as far as known.
    pub fn load(&self, key: TargetKey) -> EngineLoad {
        self.targets.get(key).map(Target::load).unwrap_or_default()
    }

    /// Records the end of a request, of whose prompt `unread` tokens were not read.
    pub fn record_finish(&mut self, key: TargetKey, unread: f64, is_deferred: bool) {
        if let Some(target) = self.targets.get_mut(key).filter(|_| !is_deferred) {
            target.in_flight = target.in_flight.saturating_sub(1);
            target.unread = (target.unread - unread).max(0.0);
        }
    }

    /// Records that an endpoint answered successfully.
    pub fn record_success(&mut self, key: TargetKey, now: Millis) {
        if let Some(target) = self.targets.get_mut(key) {
            target.record_success(now);
        }
    }

    /// Records that an endpoint failed a request.
    pub fn record_failure(&mut self, key: TargetKey, now: Millis) {
        if let Some(target) = self.targets.get_mut(key) {
            target.record_failure(now);
        }
    }

    /// Returns whether an endpoint is ejected now.
    pub fn is_ejected(&self, key: TargetKey, now: Millis) -> bool {
        self.targets.get(key).is_some_and(|target| target.is_ejected(now))
    }

    /// Ejects an endpoint for a while, for longer each time until it answers successfully.
    pub fn eject(&mut self, key: TargetKey, now: Millis) {
        if let Some(target) = self.targets.get_mut(key) {
            target.eject(now);
        }
    }
}
