//! Which domain is given to another model, by what the models' requests keep busy.
//!
//! The configured shares say nothing of how long a model's requests run: of two models with equal
//! shares one may use 0.4 of its replicas and the other 0.85. Domains whose hosts hold the other
//! model change hands within seconds, so the split follows what is measured.
//!
//! Source: docs/design/0016-work-that-shifted.md.

use std::collections::BTreeMap;

use crate::{DomainId, EngineSpec, Millis, ModelLoad, ModelSpec};

/// The time constant by which measured work is smoothed: longer than the 0.5 s by which loads told
/// by peers lag, shorter than the 3 s of a short burst.
const SMOOTHED_OVER: Millis = Millis(1_500);

/// How long work is measured before anything is decided by it.
const MEASURED_FOR: Millis = Millis(1_500);

/// A measurement after a longer gap begins anew: the daemon was paused, or did not plan.
const LONGEST_GAP: Millis = Millis(2_000);

/// How long a split has to be the better one before it is changed.
const BETTER_FOR: Millis = Millis(600);

/// How long after a change nothing more is changed: replicas drain within 1 to 3 s, 8 at the most,
/// and form within 2, and what requests keep busy meanwhile says little.
const REST: Millis = Millis(5_000);

/// How many replicas of each model count as lost: boxes crash every 3 s and are replaced within 2.
///
/// Of a model with few replicas one is much: with none counted a split of six large replicas was
/// preferred to eight, and 0.77 in place of 0.89 of a class's credit was earned while 20 boxes were
/// cut off (one day each).
const USUALLY_LOST: usize = 1;

/// A model whose replicas are busy by less than this has time for bursts.
const BUSY: f64 = 0.7;

/// How much less busy the busiest model has to become.
///
/// Work that swings by 0.2 around its mean moves both models alike and changes no split; the
/// margin covers the error of a model's measured work.
const LEAST_GAIN: f64 = 0.05;

/// Describes a domain to the plan.
#[derive(Clone, Debug, PartialEq)]
pub struct DomainCapacity {
    /// The domain.
    pub id: DomainId,
    /// The model that it is for.
    pub home: String,
    /// How many of its boxes hold each model, in memory or on their hosts; a box may hold two.
    ///
    /// A box that has to load first counts for nothing. Counted as serving, a domain that was restarted
    /// whole and had to load for 20 s made the plan give a second one of its model's three away.
    pub boxes_by_model: BTreeMap<String, usize>,
    /// How many of its boxes may serve.
    pub boxes: usize,
    /// The model that its hosts are to hold besides, where they are to.
    pub second: Option<String>,
}

/// Gives a domain to another model.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct HomeChange {
    /// The domain.
    pub domain: DomainId,
    /// The model that it is for from now on.
    pub home: String,
}

/// Follows the work of the models of one service and changes the split of its domains.
///
/// It keeps only what it measured; another daemon that plans begins to measure anew.
#[derive(Clone, Debug, Default)]
pub struct CapacityPlanner {
    /// How many replicas each model keeps busy.
    busy: BTreeMap<String, f64>,
    since: Option<Millis>,
    last: Millis,
    /// The changes that are the best ones, and since when.
    better: Option<(Vec<HomeChange>, Millis)>,
    changed: Option<Millis>,
    /// The domain whose hosts best hold another model besides, and since when.
    worth_a_load: Option<(HomeChange, Millis)>,
}

impl CapacityPlanner {
    /// Takes in what is in flight now, and returns the changes that are worth making.
    ///
    /// One domain changes at a time, or two of which one alone gains nothing, as where a domain that
    /// was restarted serves sooner what another one gives up. Every model keeps at least one domain,
    /// and a domain changes only to a model that its boxes hold, so that nothing is loaded for it.
    pub fn step(
        &mut self,
        now: Millis,
        engine: &EngineSpec,
        loads: &BTreeMap<String, ModelLoad>,
        domains: &[DomainCapacity],
    ) -> Vec<HomeChange> {
        self.measure(now, engine, loads);
        let measured = self.since.is_some_and(|since| now.since(since) >= MEASURED_FOR);
        let rests = self.changed.is_some_and(|at| now.since(at) < REST);
        if !measured || rests {
            self.better = None;
            return Vec::new();
        }
        let changes = self.best_changes(engine, domains);
        let since = match &self.better {
            Some((held, since)) if *held == changes => *since,
            _ => now,
        };
        if changes.is_empty() || now.since(since) < BETTER_FOR {
            self.better = Some((changes, since));
            return Vec::new();
        }
        self.better = None;
        self.changed = Some(now);
        changes
    }

    /// Returns the domain whose hosts are to load another model, so that it can change hands, where a model is
    /// overloaded and no domain that could help holds it: as when a zone is emptied or lost.
    ///
    /// Its replicas serve on meanwhile. One domain at a time is prepared.
    pub fn preload(
        &mut self,
        now: Millis,
        engine: &EngineSpec,
        domains: &[DomainCapacity],
    ) -> Option<HomeChange> {
        let best = self.best_load(engine, domains);
        let since = match (&self.worth_a_load, &best) {
            (Some((held, since)), Some(best)) if held == best => *since,
            _ => now,
        };
        self.worth_a_load = best.map(|best| (best, since));
        let (best, since) = self.worth_a_load.as_ref()?;
        (now.since(*since) >= OVERLOADED_FOR).then(|| best.clone())
    }

    fn best_load(&self, engine: &EngineSpec, domains: &[DomainCapacity]) -> Option<HomeChange> {
        self.since?;
        let is_prepared = |domain: &DomainCapacity| {
            let second = domain.second.as_ref().filter(|second| **second != domain.home);
            second.is_some_and(|second| {
                domain.boxes_by_model.get(second) < domain.boxes_by_model.get(&domain.home)
            })
        };
        let now = self.busiest(&engine.models, domains, &[]).filter(|now| *now >= OVERLOADED)?;
        if domains.iter().any(is_prepared) || !self.best_changes(engine, domains).is_empty() {
            return None;
        }
        let loaded: Vec<DomainCapacity> =
            domains.iter().map(|domain| domain.with_all(engine)).collect();
        let changes = possible_changes(&engine.models, &loaded).into_iter();
        let worth = changes.filter_map(|change| {
            let then = self.busiest(&engine.models, &loaded, std::slice::from_ref(&change))?;
            (then < now - GAIN_OF_A_LOAD).then_some((then, change))
        });
        worth.min_by(|(one, _), (other, _)| one.total_cmp(other)).map(|(_, change)| change)
    }

    /// Returns how many replicas each model keeps busy, as measured.
    pub fn busy_replicas(&self) -> &BTreeMap<String, f64> {
        &self.busy
    }

    fn measure(&mut self, now: Millis, engine: &EngineSpec, loads: &BTreeMap<String, ModelLoad>) {
        let idle = loads.values().all(|load| load.requests == 0.0);
        let gap = now.since(self.last);
        self.last = now;
        if idle || gap > LONGEST_GAP {
            self.since = None;
            self.busy.clear();
        }
        if idle {
            return;
        }
        self.since.get_or_insert(now);
        let weight = 1.0 - (-(gap.0 as f64) / SMOOTHED_OVER.0 as f64).exp();
        for model in &engine.models {
            let Some(busy) = loads.get(&model.name).and_then(|load| load.busy_replicas(engine))
            else {
                continue;
            };
            let held = self.busy.entry(model.name.clone()).or_insert(busy);
            *held += weight * (busy - *held);
        }
    }

    /// Returns the changes after which the busiest model is least busy, where that is worth it.
    fn best_changes(&self, engine: &EngineSpec, domains: &[DomainCapacity]) -> Vec<HomeChange> {
        let Some(now) = self.busiest(&engine.models, domains, &[]) else {
            return Vec::new();
        };
        if now < BUSY {
            return Vec::new();
        }
        let single = possible_changes(&engine.models, domains);
        let alone: Vec<Vec<HomeChange>> =
            single.iter().map(|change| vec![change.clone()]).collect();
        let best = self.least_busy(engine, domains, now, &alone);
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
        self.least_busy(engine, domains, now, &pairs)
    }

    /// Returns the best of some changes, where it is worth it; none otherwise.
    fn least_busy(
        &self,
        engine: &EngineSpec,
        domains: &[DomainCapacity],
        now: f64,
        all: &[Vec<HomeChange>],
    ) -> Vec<HomeChange> {
        let mut best: Option<(f64, &Vec<HomeChange>)> = None;
        for changes in all {
            let Some(then) = self.busiest(&engine.models, domains, changes) else { continue };
            let least = best.map_or(now - LEAST_GAIN, |(least, _)| least);
            if then < least {
                best = Some((then, changes));
            }
        }
        best.map(|(_, changes)| changes.clone()).unwrap_or_default()
    }

    /// Returns how busy the busiest model is, or would be after changes; nothing where the work of
    /// a model is not known, or one would be left without a domain.
    fn busiest(
        &self,
        models: &[ModelSpec],
        domains: &[DomainCapacity],
        changes: &[HomeChange],
    ) -> Option<f64> {
        let mut busiest: f64 = 0.0;
        for model in models {
            let busy = self.busy.get(&model.name)?;
            let at_home = domains.iter().filter(|domain| home_after(domain, changes) == model.name);
            if !changes.is_empty() && at_home.clone().next().is_none() {
                return None;
            }
            let replicas: usize = at_home.map(|domain| replicas_in(domain, model)).sum();
            let serving = replicas.saturating_sub(USUALLY_LOST) as f64;
            busiest = busiest.max(busy / serving.max(LEAST_SERVING));
        }
        Some(busiest)
    }
}

/// From here on a model is overloaded: what its requests want is more than its replicas do.
const OVERLOADED: f64 = 1.0;

/// How much less busy the busiest model has to become where a domain's hosts have to load for it.
const GAIN_OF_A_LOAD: f64 = 0.15;

/// How long that has to be so: loads take 12 to 16 s, and a burst is over by then.
const OVERLOADED_FOR: Millis = Millis(1_500);

/// Stands for no replica at all where something is divided by how many serve.
const LEAST_SERVING: f64 = 0.1;

impl DomainCapacity {
    /// Returns the domain as it would be with all models on its hosts.
    fn with_all(&self, engine: &EngineSpec) -> Self {
        let mut all = self.clone();
        for model in engine.models.iter().filter(|model| model.name != self.home) {
            all.boxes_by_model.insert(model.name.clone(), self.boxes);
        }
        all
    }
}

/// Returns the model that a domain is for after changes.
fn home_after<'a>(domain: &'a DomainCapacity, changes: &'a [HomeChange]) -> &'a str {
    let change = changes.iter().find(|change| change.domain == domain.id);
    change.map_or(&domain.home, |change| &change.home)
}

/// Lists the changes to models of which a domain holds a replica.
fn possible_changes(models: &[ModelSpec], domains: &[DomainCapacity]) -> Vec<HomeChange> {
    let changes = domains.iter().flat_map(|domain| {
        let others = models.iter().filter(|model| model.name != domain.home);
        let held = others.filter(|model| replicas_in(domain, model) > 0);
        held.map(|model| HomeChange { domain: domain.id.clone(), home: model.name.clone() })
    });
    changes.collect()
}

/// Returns how many replicas of a model a domain can serve without a load.
fn replicas_in(domain: &DomainCapacity, model: &ModelSpec) -> usize {
    let boxes = domain.boxes_by_model.get(&model.name).copied().unwrap_or_default();
    boxes / model.span.max(1) as usize
}
