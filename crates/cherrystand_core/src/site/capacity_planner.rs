//! Moves domains between the models of a service, by the measured load of each model.
//!
//! The configured work shares say nothing about how long a model's requests run: of two models with
//! equal shares, one may use 0.4 of its replicas and the other 0.85. A domain whose hosts already
//! hold the other model can be reassigned within seconds, so the split follows the measurement.
//!
//! Source: docs/design/0016-work-that-shifted.md.

use std::collections::BTreeMap;

use crate::{DomainId, EngineSpec, Millis, ModelLoad, ModelSpec};

/// The time constant of the load average: longer than the 0.5 s by which the loads reported by
/// peers lag, shorter than a short burst of 3 s.
const SMOOTHING_TIME: Millis = Millis(1_500);

/// How long load is measured before the first decision.
const MIN_MEASURED_TIME: Millis = Millis(1_500);

/// After a longer gap between two samples the measurement starts again: the daemon was paused, or
/// did not plan.
const MAX_SAMPLE_GAP: Millis = Millis(2_000);

/// How long the same change has to stay the best one before it is made.
const MIN_BETTER_TIME: Millis = Millis(600);

/// How long no further change is made after one: replicas drain within 1 to 3 s, at most 8, and
/// form within 2, and the load measured meanwhile is misleading.
const COOLDOWN: Millis = Millis(5_000);

/// How many replicas of each model are assumed to be lost: boxes crash every 3 s and are replaced
/// within 2.
///
/// For a model with few replicas one is a large part. With none assumed lost, six large replicas
/// were preferred to eight, and a class earned 0.77 of its credit instead of 0.89 while 20 boxes
/// were cut off (one day each).
const ASSUMED_LOST_REPLICAS: usize = 1;

/// Below this utilisation of the busiest model nothing is changed: there is room for bursts.
const MIN_PEAK_UTILISATION: f64 = 0.7;

/// By how much a change has to reduce the utilisation of the busiest model.
///
/// Load that swings by 0.2 around its mean moves both models alike and causes no change; the margin
/// covers the measurement error.
const MIN_GAIN: f64 = 0.05;

/// The boxes of a domain and the models that they hold, as input to the planner.
#[derive(Clone, Debug, PartialEq)]
pub struct DomainCapacity {
    /// The domain.
    pub id: DomainId,
    /// Its home model: the one that its boxes serve.
    pub home: String,
    /// How many of its boxes hold each model, in memory or on their hosts; a box may hold two.
    ///
    /// A box that still has to load the model doesn't count. When it did, a domain that had
    /// restarted entirely and was loading for 20 s made the planner reassign another of the model's
    /// three domains.
    pub boxes_by_model: BTreeMap<String, usize>,
    /// How many of its boxes may serve.
    pub boxes: usize,
    /// The model that its hosts also preload, if any.
    pub second: Option<String>,
}

/// Assigns a domain to another model.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct HomeChange {
    /// The domain.
    pub domain: DomainId,
    /// Its new home model.
    pub home: String,
}

/// Follows the load of the models of one service and reassigns domains.
///
/// It keeps only its own measurements: a daemon that takes over the planning starts to measure from
/// scratch.
#[derive(Clone, Debug, Default)]
pub struct CapacityPlanner {
    /// The number of replicas that each model keeps busy, smoothed.
    busy: BTreeMap<String, f64>,
    /// Since when load is measured without a gap.
    measured_since: Option<Millis>,
    last_sample: Millis,
    /// The best changes found, and since when they have been the best.
    pending_changes: Option<(Vec<HomeChange>, Millis)>,
    last_change: Option<Millis>,
    /// The best domain to preload another model, and since when it has been the best.
    preload_candidate: Option<(HomeChange, Millis)>,
}

impl CapacityPlanner {
    /// Records the current load, and returns the changes to make.
    ///
    /// One domain changes at a time, or two if neither change alone gains anything, as when a
    /// domain that has restarted can sooner serve the model that another one stops serving. Every
    /// model keeps at least one domain, and a domain changes only to a model that its boxes already
    /// hold, so that nothing has to be loaded.
    pub fn step(
        &mut self,
        now: Millis,
        engine: &EngineSpec,
        loads: &BTreeMap<String, ModelLoad>,
        domains: &[DomainCapacity],
    ) -> Vec<HomeChange> {
        self.measure(now, engine, loads);
        let measured =
            self.measured_since.is_some_and(|since| now.since(since) >= MIN_MEASURED_TIME);
        let cools_down = self.last_change.is_some_and(|at| now.since(at) < COOLDOWN);
        if !measured || cools_down {
            self.pending_changes = None;
            return Vec::new();
        }
        let changes = self.best_changes(engine, domains);
        let since = match &self.pending_changes {
            Some((pending, since)) if *pending == changes => *since,
            _ => now,
        };
        if changes.is_empty() || now.since(since) < MIN_BETTER_TIME {
            self.pending_changes = Some((changes, since));
            return Vec::new();
        }
        self.pending_changes = None;
        self.last_change = Some(now);
        changes
    }

    /// Returns the domain whose hosts are to preload another model, so that it can be reassigned
    /// later.
    ///
    /// It is needed if a model is overloaded and no domain that could help holds it, as when a zone
    /// is evacuated or lost. The replicas of the domain keep serving meanwhile. One domain is
    /// preloaded at a time.
    pub fn preload(
        &mut self,
        now: Millis,
        engine: &EngineSpec,
        domains: &[DomainCapacity],
    ) -> Option<HomeChange> {
        let best = self.best_preload(engine, domains);
        let since = match (&self.preload_candidate, &best) {
            (Some((pending, since)), Some(best)) if pending == best => *since,
            _ => now,
        };
        self.preload_candidate = best.map(|best| (best, since));
        let (best, since) = self.preload_candidate.as_ref()?;
        (now.since(*since) >= MIN_OVERLOAD_TIME).then(|| best.clone())
    }

    /// Returns the domain whose preload would most reduce the utilisation of an overloaded model.
    fn best_preload(&self, engine: &EngineSpec, domains: &[DomainCapacity]) -> Option<HomeChange> {
        self.measured_since?;
        let is_being_preloaded = |domain: &DomainCapacity| {
            let second = domain.second.as_ref().filter(|second| **second != domain.home);
            second.is_some_and(|second| {
                domain.boxes_by_model.get(second) < domain.boxes_by_model.get(&domain.home)
            })
        };
        let current_peak = self
            .peak_utilisation(&engine.models, domains, &[])
            .filter(|peak| *peak >= OVERLOAD_UTILISATION)?;
        if domains.iter().any(is_being_preloaded) || !self.best_changes(engine, domains).is_empty()
        {
            return None;
        }
        let loaded: Vec<DomainCapacity> =
            domains.iter().map(|domain| domain.with_all_models(engine)).collect();
        let changes = feasible_changes(&engine.models, &loaded).into_iter();
        let worthwhile = changes.filter_map(|change| {
            let new_peak =
                self.peak_utilisation(&engine.models, &loaded, std::slice::from_ref(&change))?;
            (new_peak < current_peak - MIN_PRELOAD_GAIN).then_some((new_peak, change))
        });
        worthwhile.min_by(|(one, _), (other, _)| one.total_cmp(other)).map(|(_, change)| change)
    }

    /// Returns the number of replicas that each model keeps busy, as measured.
    pub fn busy_replicas(&self) -> &BTreeMap<String, f64> {
        &self.busy
    }

    /// Adds a sample of the current load to the averages.
    fn measure(&mut self, now: Millis, engine: &EngineSpec, loads: &BTreeMap<String, ModelLoad>) {
        let idle = loads.values().all(|load| load.requests == 0.0);
        let gap = now.since(self.last_sample);
        self.last_sample = now;
        if idle || gap > MAX_SAMPLE_GAP {
            self.measured_since = None;
            self.busy.clear();
        }
        if idle {
            return;
        }
        self.measured_since.get_or_insert(now);
        let weight = 1.0 - (-(gap.0 as f64) / SMOOTHING_TIME.0 as f64).exp();
        for model in &engine.models {
            let Some(busy) = loads.get(&model.name).and_then(|load| load.busy_replicas(engine))
            else {
                continue;
            };
            let average = self.busy.entry(model.name.clone()).or_insert(busy);
            *average += weight * (busy - *average);
        }
    }

    /// Returns the changes that most reduce the utilisation of the busiest model, if the gain is
    /// worth it.
    fn best_changes(&self, engine: &EngineSpec, domains: &[DomainCapacity]) -> Vec<HomeChange> {
        let Some(current_peak) = self.peak_utilisation(&engine.models, domains, &[]) else {
            return Vec::new();
        };
        if current_peak < MIN_PEAK_UTILISATION {
            return Vec::new();
        }
        let single = feasible_changes(&engine.models, domains);
        let alone: Vec<Vec<HomeChange>> =
            single.iter().map(|change| vec![change.clone()]).collect();
        let best = self.lowest_peak(engine, domains, current_peak, &alone);
        if !best.is_empty() {
            return best;
        }
        let pairs: Vec<Vec<HomeChange>> = single
            .iter()
            .enumerate()
            .flat_map(|(number, one)| single[number + 1..].iter().map(move |other| (one, other)))
            .filter(|(one, other)| one.domain != other.domain && one.home != other.home)
            .map(|(one, other)| vec![one.clone(), other.clone()])
            .collect();
        self.lowest_peak(engine, domains, current_peak, &pairs)
    }

    /// Returns the best of the given sets of changes, or none if no gain is worth it.
    fn lowest_peak(
        &self,
        engine: &EngineSpec,
        domains: &[DomainCapacity],
        current_peak: f64,
        all: &[Vec<HomeChange>],
    ) -> Vec<HomeChange> {
        let mut best: Option<(f64, &Vec<HomeChange>)> = None;
        for changes in all {
            let Some(new_peak) = self.peak_utilisation(&engine.models, domains, changes) else {
                continue;
            };
            let least = best.map_or(current_peak - MIN_GAIN, |(least, _)| least);
            if new_peak < least {
                best = Some((new_peak, changes));
            }
        }
        best.map(|(_, changes)| changes.clone()).unwrap_or_default()
    }

    /// Returns the utilisation of the busiest model, now or after changes.
    ///
    /// Returns `None` if the load of a model is unknown, or if the changes leave one without a
    /// domain.
    fn peak_utilisation(
        &self,
        models: &[ModelSpec],
        domains: &[DomainCapacity],
        changes: &[HomeChange],
    ) -> Option<f64> {
        let mut peak_utilisation: f64 = 0.0;
        for model in models {
            let busy = self.busy.get(&model.name)?;
            let at_home = domains.iter().filter(|domain| home_after(domain, changes) == model.name);
            if !changes.is_empty() && at_home.clone().next().is_none() {
                return None;
            }
            let replicas: usize = at_home.map(|domain| replicas_without_load(domain, model)).sum();
            let serving = replicas.saturating_sub(ASSUMED_LOST_REPLICAS) as f64;
            peak_utilisation = peak_utilisation.max(busy / serving.max(MIN_SERVING_REPLICAS));
        }
        Some(peak_utilisation)
    }
}

/// From this utilisation on a model is overloaded: its requests need more than its replicas
/// provide.
const OVERLOAD_UTILISATION: f64 = 1.0;

/// By how much the utilisation of the busiest model has to fall to make a preload worthwhile.
const MIN_PRELOAD_GAIN: f64 = 0.15;

/// How long a preload has to stay worthwhile before it is started. A load takes 12 to 16 s, and a
/// burst is over by then.
const MIN_OVERLOAD_TIME: Millis = Millis(1_500);

/// Stands for zero serving replicas where it is a divisor.
const MIN_SERVING_REPLICAS: f64 = 0.1;

impl DomainCapacity {
    /// Returns the domain as it would be with all models on its hosts.
    fn with_all_models(&self, engine: &EngineSpec) -> Self {
        let mut all = self.clone();
        for model in engine.models.iter().filter(|model| model.name != self.home) {
            all.boxes_by_model.insert(model.name.clone(), self.boxes);
        }
        all
    }
}

/// Returns the home model of a domain after changes.
fn home_after<'a>(domain: &'a DomainCapacity, changes: &'a [HomeChange]) -> &'a str {
    let change = changes.iter().find(|change| change.domain == domain.id);
    change.map_or(&domain.home, |change| &change.home)
}

/// Lists the changes to models that a domain can serve without loading them.
fn feasible_changes(models: &[ModelSpec], domains: &[DomainCapacity]) -> Vec<HomeChange> {
    let changes = domains.iter().flat_map(|domain| {
        let others = models.iter().filter(|model| model.name != domain.home);
        let feasible = others.filter(|model| replicas_without_load(domain, model) > 0);
        feasible.map(|model| HomeChange { domain: domain.id.clone(), home: model.name.clone() })
    });
    changes.collect()
}

/// Returns how many replicas of a model a domain can serve without loading it.
fn replicas_without_load(domain: &DomainCapacity, model: &ModelSpec) -> usize {
    let boxes = domain.boxes_by_model.get(&model.name).copied().unwrap_or_default();
    boxes / model.span.max(1) as usize
}
