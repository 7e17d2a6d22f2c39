//! The choice among replicas and endpoints, by what their engine is predicted to do.

use std::collections::BTreeMap;

use slotmap::{SlotMap, new_key_type};

use crate::{BoxId, EngineLoad, EngineSpec, Millis, ModelSpec, Seed, ServiceName};

new_key_type! {
    /// Points to an endpoint in the chooser's arena.
    pub struct TargetKey;
}

/// For how long an endpoint that failed is left out, at first.
const FIRST_AVOID: Millis = Millis(300);

/// For how long it is left out at the most.
const LONGEST_AVOID: Millis = Millis(2_000);

/// How much a failure counts against the ones before it.
const FAILURE_WEIGHT: f64 = 0.25;

/// After this time what failed counts half as much, so that an endpoint that is left out for its
/// failures is tried again.
const FAILURE_HALVES: Millis = Millis(2_000);

/// How much one sure failure counts in requests in flight.
const FAILURE_COST: f64 = 24.0;

/// Describes an endpoint to choose.
#[derive(Clone, Debug, PartialEq)]
pub struct TargetSpec {
    /// The box that takes the requests.
    pub id: BoxId,
    /// The service.
    pub service: ServiceName,
    /// The model that it serves, where it serves one.
    pub model: Option<String>,
    /// Whether it is in the chooser's zone.
    pub near: bool,
    /// How many requests it works on at a time.
    pub slots: u32,
}

/// What a request asks of an endpoint.
#[derive(Clone, Copy, Debug)]
pub struct Ask<'a> {
    /// The service.
    pub service: &'a ServiceName,
    /// The model, where it asks for one.
    pub model: Option<&'a str>,
    /// The tokens of its prompt.
    pub prompt: f64,
}

#[derive(Clone, Debug)]
struct Target {
    spec: TargetSpec,
    in_flight: u32,
    unread: f64,
    others: EngineLoad,
    failures: f64,
    /// As of when.
    failures_at: Millis,
    avoid_until: Millis,
    avoid_next: Millis,
    last_event: Millis,
}

/// Chooses endpoints and keeps what the choice needs.
#[derive(Clone, Debug, Default)]
pub struct Chooser {
    targets: SlotMap<TargetKey, Target>,
    ids: BTreeMap<BoxId, TargetKey>,
}

impl Chooser {
    /// Takes over the endpoints that serve now.
    pub fn follow(&mut self, specs: Vec<TargetSpec>) {
        let wanted: BTreeMap<BoxId, TargetSpec> =
            specs.into_iter().map(|spec| (spec.id.clone(), spec)).collect();
        let gone: Vec<BoxId> =
            self.ids.keys().filter(|id| !wanted.contains_key(*id)).cloned().collect();
        for id in gone {
            if let Some(key) = self.ids.remove(&id) {
                self.targets.remove(key);
            }
        }
        for (id, spec) in wanted {
            match self.ids.get(&id).and_then(|key| self.targets.get_mut(*key)) {
                Some(target) => target.spec = spec,
                None => {
                    let key = self.targets.insert(Target::new(spec));
                    self.ids.insert(id, key);
                }
            }
        }
    }

    /// Takes over what peers have in flight, by endpoint.
    pub fn follow_others(&mut self, loads: &BTreeMap<BoxId, EngineLoad>) {
        for target in self.targets.values_mut() {
            target.others = loads.get(&target.spec.id).copied().unwrap_or_default();
        }
    }

    /// Leaves the endpoint of a box out for a while, as [`Chooser::avoid`] does.
    pub fn avoid_box(&mut self, id: &BoxId, now: Millis) {
        if let Some(key) = self.ids.get(id).copied() {
            self.avoid(key, now);
        }
    }

    /// Lists what this node has in flight by endpoint, and when each last made progress.
    pub fn own(&self) -> impl Iterator<Item = (&BoxId, EngineLoad, Millis)> {
        let busy = self.targets.values().filter(|target| target.in_flight > 0);
        busy.map(|target| (&target.spec.id, target.own(), target.last_event))
    }

    /// Chooses the endpoint that is predicted to answer first, other than those in `not`.
    pub fn choose(
        &self,
        ask: Ask<'_>,
        engine: Option<&EngineSpec>,
        not: &[BoxId],
        now: Millis,
        seed: &mut Seed,
    ) -> Option<TargetKey> {
        let model = ask.model.and_then(|model| engine?.model(model));
        let fits = |target: &Target| {
            &target.spec.service == ask.service
                && (engine.is_none() || target.spec.model.as_deref() == ask.model)
                && !not.contains(&target.spec.id)
        };
        let mut best: Option<(f64, TargetKey)> = None;
        for (key, target) in self.targets.iter().filter(|(_, target)| fits(target)) {
            // Ties are broken by chance, so that nodes that know the same do not all agree.
            let chance = seed.below(1_000) as f64 / 1_000.0;
            let cost = target.cost(ask, engine, model, now) + chance;
            if best.is_none_or(|(least, _)| cost < least) {
                best = Some((cost, key));
            }
        }
        best.map(|(_, key)| key)
    }

    /// Returns the box behind an endpoint.
    pub fn id(&self, key: TargetKey) -> Option<&BoxId> {
        self.targets.get(key).map(|target| &target.spec.id)
    }

    /// Counts a request as on its way.
    pub fn start(&mut self, key: TargetKey, prompt: f64, now: Millis) {
        if let Some(target) = self.targets.get_mut(key) {
            if target.in_flight == 0 {
                target.last_event = now;
            }
            target.in_flight += 1;
            target.unread += prompt;
        }
    }

    /// Counts a prompt as read.
    pub fn first_event(&mut self, key: TargetKey, prompt: f64) {
        if let Some(target) = self.targets.get_mut(key) {
            target.unread = (target.unread - prompt).max(0.0);
        }
    }

    /// Notes that an endpoint made progress with anything at all.
    pub fn progress(&mut self, key: TargetKey, now: Millis) {
        if let Some(target) = self.targets.get_mut(key) {
            target.last_event = now;
        }
    }

    /// Returns when an endpoint last made progress.
    pub fn last_progress(&self, key: TargetKey) -> Option<Millis> {
        self.targets.get(key).map(|target| target.last_event)
    }

    /// Returns what all nodes have in flight at an endpoint, as far as is known.
    pub fn load(&self, key: TargetKey) -> EngineLoad {
        self.targets.get(key).map(Target::load).unwrap_or_default()
    }

    /// Counts a request as ended; `unread` is what was not read of its prompt.
    pub fn finish(&mut self, key: TargetKey, unread: f64) {
        if let Some(target) = self.targets.get_mut(key) {
            target.in_flight = target.in_flight.saturating_sub(1);
            target.unread = (target.unread - unread).max(0.0);
        }
    }

    /// Takes in that an endpoint answered well.
    pub fn succeeded(&mut self, key: TargetKey, now: Millis) {
        if let Some(target) = self.targets.get_mut(key) {
            target.note_failure(0.0, now);
            target.avoid_next = FIRST_AVOID;
        }
    }

    /// Takes in that an endpoint failed a request.
    pub fn failed(&mut self, key: TargetKey, now: Millis) {
        if let Some(target) = self.targets.get_mut(key) {
            target.note_failure(1.0, now);
        }
    }

    /// Leaves an endpoint out for a while, longer each time until it answers well.
    pub fn avoid(&mut self, key: TargetKey, now: Millis) {
        if let Some(target) = self.targets.get_mut(key)
            && now >= target.avoid_until
        {
            target.avoid_until = now + target.avoid_next;
            target.avoid_next = Millis(target.avoid_next.0 * 2).min(LONGEST_AVOID);
        }
    }
}

impl Target {
    fn new(spec: TargetSpec) -> Self {
        Self {
            spec,
            in_flight: 0,
            unread: 0.0,
            others: EngineLoad::default(),
            failures: 0.0,
            failures_at: Millis(0),
            avoid_until: Millis(0),
            avoid_next: FIRST_AVOID,
            last_event: Millis(0),
        }
    }

    fn own(&self) -> EngineLoad {
        EngineLoad { requests: f64::from(self.in_flight), unread: self.unread }
    }

    fn note_failure(&mut self, failed: f64, now: Millis) {
        self.failures = self.failures(now) * (1.0 - FAILURE_WEIGHT) + failed * FAILURE_WEIGHT;
        self.failures_at = now;
    }

    /// Returns the share of requests that failed lately.
    fn failures(&self, now: Millis) -> f64 {
        let halvings = now.since(self.failures_at).0 as f64 / FAILURE_HALVES.0 as f64;
        self.failures * 0.5_f64.powf(halvings)
    }

    fn load(&self) -> EngineLoad {
        let own = self.own();
        EngineLoad {
            requests: own.requests + self.others.requests,
            unread: own.unread + self.others.unread,
        }
    }

    /// Returns the predicted milliseconds until its answer begins, with what speaks against it.
    fn cost(
        &self,
        ask: Ask<'_>,
        engine: Option<&EngineSpec>,
        model: Option<&ModelSpec>,
        now: Millis,
    ) -> f64 {
        /// Beyond all times that are predicted.
        const AVOIDED: f64 = 100_000.0;
        const FAR_MS: f64 = 3.0;
        /// What a request in flight at a plain endpoint counts for.
        const PLAIN_MS: f64 = 10.0;
        let load = self.load();
        let far = if self.spec.near { 0.0 } else { FAR_MS };
        let avoided = if now < self.avoid_until { AVOIDED } else { 0.0 };
        let time = match (engine, model) {
            (Some(engine), Some(model)) => engine.first_token(model, load, ask.prompt),
            _ => load.requests * PLAIN_MS,
        };
        time + far + avoided + self.failures(now) * FAILURE_COST * PLAIN_MS
    }
}
