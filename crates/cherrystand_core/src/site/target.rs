//! One endpoint as the load balancer sees it.

use crate::{BoxId, ColdPeriod, EngineLoad, EngineSpec, Millis, ModelSpec, RegionId, ServiceName};

/// How long an endpoint is ejected after a first failure.
const INITIAL_EJECTION: Millis = Millis(300);

/// How long it is ejected at most.
const MAX_EJECTION: Millis = Millis(2_000);

/// The weight of one result in the moving average of failures.
const FAILURE_WEIGHT: f64 = 0.25;

/// The half-life of the failure rate, so that an endpoint that is not chosen because of its
/// failures is tried again.
const FAILURE_HALF_LIFE: Millis = Millis(2_000);

/// The cost of a failure rate of 1, in milliseconds.
const FAILURE_COST_MS: f64 = 240.0;

/// The cost of an ejected endpoint, in milliseconds; larger than any predicted time.
const EJECTED_COST_MS: f64 = 100_000.0;

/// The cost of an answer from another zone if nothing else is known, in milliseconds.
const FAR_COST_MS: f64 = 3.0;

/// The cost of a request in flight at a plain endpoint, in milliseconds.
const PLAIN_REQUEST_COST_MS: f64 = 10.0;

/// Describes an endpoint to choose from.
#[derive(Clone, Debug, PartialEq)]
pub struct TargetSpec {
    /// The box that takes the requests.
    pub id: BoxId,
    /// The service.
    pub service: ServiceName,
    /// The model that it serves, if any.
    pub model: Option<String>,
    /// Whether it is in the load balancer's zone.
    pub near: bool,
    /// How many requests it processes at a time.
    pub slots: u32,
    /// Its region, if known.
    pub region: Option<RegionId>,
    /// Since when operators have evacuated its availability zone, if they have.
    pub evacuated_since: Option<Millis>,
    /// Until when it is cold, and its request rate meanwhile, if it is.
    pub cold: Option<ColdPeriod>,
    /// Whether it, or a member of its replica, is silent. It is chosen only if there is no other.
    pub is_silent: bool,
}

/// An endpoint, its load and its recent results.
#[derive(Clone, Debug)]
pub(crate) struct Target {
    pub(crate) spec: TargetSpec,
    pub(crate) in_flight: u32,
    pub(crate) unread: f64,
    pub(crate) peer_load: EngineLoad,
    pub(crate) last_progress: Millis,
    /// Whether it announced that it leaves; kept here since a lookup among all that ever did would
    /// slow down each choice.
    pub(crate) is_leaving: bool,
    failure_rate: f64,
    /// The time for which `failure_rate` holds; it decays afterwards.
    failure_rate_at: Millis,
    ejected_until: Millis,
    next_ejection: Millis,
}

impl Target {
    pub(crate) fn new(spec: TargetSpec) -> Self {
        Self {
            spec,
            in_flight: 0,
            unread: 0.0,
            peer_load: EngineLoad::default(),
            last_progress: Millis(0),
            is_leaving: false,
            failure_rate: 0.0,
            failure_rate_at: Millis(0),
            ejected_until: Millis(0),
            next_ejection: INITIAL_EJECTION,
        }
    }

    /// Returns what this node has in flight at the endpoint.
    pub(crate) fn own_load(&self) -> EngineLoad {
        EngineLoad { requests: f64::from(self.in_flight), unread: self.unread }
    }

    /// Returns what all nodes have in flight at the endpoint, as far as known.
    pub(crate) fn load(&self) -> EngineLoad {
        let own_load = self.own_load();
        EngineLoad {
            requests: own_load.requests + self.peer_load.requests,
            unread: own_load.unread + self.peer_load.unread,
        }
    }

    pub(crate) fn record_success(&mut self, now: Millis) {
        self.update_failure_rate(0.0, now);
        self.next_ejection = INITIAL_EJECTION;
    }

    pub(crate) fn record_failure(&mut self, now: Millis) {
        self.update_failure_rate(1.0, now);
    }

    fn update_failure_rate(&mut self, failed: f64, now: Millis) {
        self.failure_rate =
            self.failure_rate(now) * (1.0 - FAILURE_WEIGHT) + failed * FAILURE_WEIGHT;
        self.failure_rate_at = now;
    }

    /// Returns the share of recent requests that failed.
    pub(crate) fn failure_rate(&self, now: Millis) -> f64 {
        let half_lives = now.since(self.failure_rate_at).0 as f64 / FAILURE_HALF_LIFE.0 as f64;
        self.failure_rate * 0.5_f64.powf(half_lives)
    }

    /// Ejects the endpoint for a while, for longer each time until it answers successfully.
    pub(crate) fn eject(&mut self, now: Millis) {
        if now >= self.ejected_until {
            self.ejected_until = now + self.next_ejection;
            self.next_ejection = Millis(self.next_ejection.0 * 2).min(MAX_EJECTION);
        }
    }

    /// Ends its ejection, and forgets the failures that led to it.
    pub(crate) fn readmit(&mut self) {
        self.ejected_until = Millis(0);
        self.next_ejection = INITIAL_EJECTION;
        self.failure_rate = 0.0;
    }

    pub(crate) fn is_ejected(&self, now: Millis) -> bool {
        self.spec.is_silent || now < self.ejected_until
    }

    /// Returns the predicted milliseconds until its first event.
    pub(crate) fn first_event_ms(
        &self,
        engine: &EngineSpec,
        model: &ModelSpec,
        prompt: f64,
    ) -> f64 {
        engine.first_token_time(model, self.load(), prompt)
    }

    /// Returns the predicted milliseconds until its answer begins, plus the costs of distance,
    /// failures and ejection.
    pub(crate) fn cost(
        &self,
        prompt: f64,
        engine: Option<(&EngineSpec, &ModelSpec)>,
        now: Millis,
    ) -> f64 {
        let far = if self.spec.near { 0.0 } else { FAR_COST_MS };
        let ejected = if self.is_ejected(now) { EJECTED_COST_MS } else { 0.0 };
        let time = match engine {
            Some((engine, model)) => self.first_event_ms(engine, model, prompt),
            None => self.load().requests * PLAIN_REQUEST_COST_MS,
        };
        time + far + ejected + self.failure_rate(now) * FAILURE_COST_MS
    }
}
