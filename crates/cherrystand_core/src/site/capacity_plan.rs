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
pub struct DomainUse {
    /// The domain.
    pub id: DomainId,
    /// The model that it is for.
    pub home: String,
    /// Its boxes that are there.
    pub boxes: usize,
    /// How many of these hold each model on their hosts.
    pub staged: BTreeMap<String, usize>,
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
pub struct CapacityPlan {
    /// How many replicas each model keeps busy.
    busy: BTreeMap<String, f64>,
    since: Option<Millis>,
    last: Millis,
    /// The change that is the best one, and since when.
    better: Option<(HomeChange, Millis)>,
    changed: Option<Millis>,
}

impl CapacityPlan {
    /// Takes in what is in flight now, and returns the change that is worth making.
    ///
    /// At most one domain changes at a time, every model keeps at least one, and a domain changes
    /// only to a model that its hosts hold, so that nothing is loaded for it.
    pub fn step(
        &mut self,
        now: Millis,
        engine: &EngineSpec,
        loads: &BTreeMap<String, ModelLoad>,
        domains: &[DomainUse],
    ) -> Option<HomeChange> {
        self.measure(now, engine, loads);
        let measured = self.since.is_some_and(|since| now.since(since) >= MEASURED_FOR);
        let rests = self.changed.is_some_and(|at| now.since(at) < REST);
        if !measured || rests {
            self.better = None;
            return None;
        }
        let Some(change) = self.best_change(engine, domains) else {
            self.better = None;
            return None;
        };
        match &self.better {
            Some((held, since)) if *held == change => {
                if now.since(*since) < BETTER_FOR {
                    return None;
                }
                self.better = None;
                self.changed = Some(now);
                Some(change)
            }
            _ => {
                self.better = Some((change, now));
                None
            }
        }
    }

    /// Returns how many replicas each model keeps busy, as measured.
    pub fn busy(&self) -> &BTreeMap<String, f64> {
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

    /// Returns the change after which the busiest model is least busy, where that is worth it.
    fn best_change(&self, engine: &EngineSpec, domains: &[DomainUse]) -> Option<HomeChange> {
        let now = self.busiest(&engine.models, domains, None)?;
        if now < BUSY {
            return None;
        }
        let mut best: Option<(f64, HomeChange)> = None;
        for domain in domains {
            let kept = domains.iter().filter(|other| other.home == domain.home).count();
            if kept < 2 {
                continue;
            }
            for model in engine.models.iter().filter(|model| model.name != domain.home) {
                let change = HomeChange { domain: domain.id.clone(), home: model.name.clone() };
                let Some(then) = self.busiest(&engine.models, domains, Some(&change)) else {
                    continue;
                };
                if then <= now - LEAST_GAIN && best.as_ref().is_none_or(|(least, _)| then < *least)
                {
                    best = Some((then, change));
                }
            }
        }
        best.map(|(_, change)| change)
    }

    /// Returns how busy the busiest model is, or would be after a change; nothing where the work of
    /// a model is not known.
    fn busiest(
        &self,
        models: &[ModelSpec],
        domains: &[DomainUse],
        change: Option<&HomeChange>,
    ) -> Option<f64> {
        let mut busiest: f64 = 0.0;
        for model in models {
            let busy = self.busy.get(&model.name)?;
            let replicas: usize =
                domains.iter().map(|domain| replicas_in(domain, model, change)).sum();
            let serving = replicas.saturating_sub(USUALLY_LOST) as f64;
            busiest = busiest.max(busy / serving.max(f64::EPSILON));
        }
        Some(busiest)
    }
}

/// Returns how many replicas of a model a domain holds, or would hold after a change.
fn replicas_in(domain: &DomainUse, model: &ModelSpec, change: Option<&HomeChange>) -> usize {
    let change = change.filter(|change| change.domain == domain.id);
    let home = change.map_or(&domain.home, |change| &change.home);
    if *home != model.name {
        return 0;
    }
    let boxes = match change {
        Some(_) => domain.staged.get(home).copied().unwrap_or_default().min(domain.boxes),
        None => domain.boxes,
    };
    boxes / model.span.max(1) as usize
}
