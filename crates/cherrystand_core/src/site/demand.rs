//! Which model gets one domain more, by the work that is observed.

use std::collections::BTreeMap;

use crate::{DomainId, Millis};

/// A shift has to lower the highest use to this part of it.
///
/// A domain that shifts serves nobody for some seconds; less than this would not pay for them.
const WORTH_FROM: f64 = 0.85;

/// Below this use of the slots every model has enough.
const ENOUGH: f64 = 0.25;

/// For how long a shift has to look worthwhile before it is made.
const HOLDS_FOR: Millis = Millis(1_000);

/// The least time between two shifts: the first one has to show first.
const SHIFT_EVERY: Millis = Millis(10_000);

/// The time over which what is in flight is averaged.
const AVERAGED_OVER: Millis = Millis(1_000);

/// What the replicas of a model that serve now have in flight, on all nodes.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ModelLoad {
    /// Requests in flight.
    pub in_flight: f64,
    /// Requests that they work on at a time.
    pub slots: f64,
}

/// What a model has to serve with, and what it serves.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ModelUse {
    /// What its replicas have in flight; those that are broken are not among them.
    pub load: ModelLoad,
    /// The domains that are for it.
    pub domains: usize,
}

/// Says that one domain of a model is to serve another one.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Shift {
    /// The model that gives a domain.
    pub from: String,
    /// The model that gets it.
    pub to: String,
}

/// Watches how much of its slots each model uses.
#[derive(Clone, Debug, Default)]
pub struct DemandTracker {
    loads: BTreeMap<String, ModelLoad>,
    domains: BTreeMap<String, usize>,
    observed: Option<Millis>,
    wanted: Option<(Shift, Millis)>,
    shifted: Option<Millis>,
}

impl DemandTracker {
    /// Takes in what is in flight, and returns the shift that is worthwhile, if one is.
    pub fn observe(&mut self, uses: &BTreeMap<String, ModelUse>, now: Millis) -> Option<Shift> {
        self.average(uses, now);
        self.note_shifts(uses, now);
        let best = self.best_shift(uses);
        let since = match (&best, &self.wanted) {
            (Some(shift), Some((held, since))) if shift == held => *since,
            _ => now,
        };
        self.wanted = best.clone().map(|shift| (shift, since));
        let rests = self.shifted.is_some_and(|at| now.since(at) < SHIFT_EVERY);
        best.filter(|_| !rests && now.since(since) >= HOLDS_FOR)
    }

    fn average(&mut self, uses: &BTreeMap<String, ModelUse>, now: Millis) {
        let passed = self.observed.map_or(AVERAGED_OVER, |at| now.since(at));
        let weight = (passed.0 as f64 / AVERAGED_OVER.0 as f64).min(1.0);
        self.observed = Some(now);
        for (model, used) in uses {
            let average = self.loads.entry(model.clone()).or_default();
            average.in_flight += weight * (used.load.in_flight - average.in_flight);
            average.slots += weight * (used.load.slots - average.slots);
        }
    }

    fn note_shifts(&mut self, uses: &BTreeMap<String, ModelUse>, now: Millis) {
        let domains: BTreeMap<String, usize> =
            uses.iter().map(|(model, used)| (model.clone(), used.domains)).collect();
        if !self.domains.is_empty() && self.domains != domains {
            self.shifted = Some(now);
        }
        self.domains = domains;
    }

    /// Returns the shift that lowers the highest use the most, where it is worthwhile.
    fn best_shift(&self, uses: &BTreeMap<String, ModelUse>) -> Option<Shift> {
        let now = self.highest_use(uses, None)?;
        if now < ENOUGH {
            return None;
        }
        let pairs = uses.keys().flat_map(|from| uses.keys().map(move |to| (from, to)));
        let pairs = pairs.filter(|(from, to)| from != to && uses[*from].domains >= 2);
        let after = pairs.filter_map(|pair| Some((self.highest_use(uses, Some(pair))?, pair)));
        let (least, (from, to)) = after.min_by(|a, b| a.0.total_cmp(&b.0))?;
        let worthwhile = least < now * WORTH_FROM;
        worthwhile.then(|| Shift { from: from.clone(), to: to.clone() })
    }

    /// Returns the highest use of slots of all models, as it is or after a shift, by which as large
    /// a part of a model's replicas serves as does now.
    fn highest_use(
        &self,
        uses: &BTreeMap<String, ModelUse>,
        shift: Option<(&String, &String)>,
    ) -> Option<f64> {
        let use_of = |(model, used): (&String, &ModelUse)| {
            let more = usize::from(shift.is_some_and(|(_, to)| to == model));
            let fewer = usize::from(shift.is_some_and(|(from, _)| from == model));
            let change = (used.domains + more - fewer) as f64 / used.domains.max(1) as f64;
            let load = self.loads.get(model).copied().unwrap_or_default();
            load.in_flight / (load.slots * change).max(1.0)
        };
        uses.iter().map(use_of).max_by(f64::total_cmp)
    }
}

/// Returns the domain of each model that would be given to another one next, where it has several.
///
/// Their boxes load another model to their hosts ahead of need.
pub fn swing_domains(homes: &BTreeMap<DomainId, String>) -> BTreeMap<String, DomainId> {
    let mut of_model: BTreeMap<String, Vec<&DomainId>> = BTreeMap::new();
    for (domain, model) in homes {
        of_model.entry(model.clone()).or_default().push(domain);
    }
    of_model.retain(|_, domains| domains.len() >= 2);
    let last = |(model, domains): (String, Vec<&DomainId>)| {
        domains.last().map(|domain| (model, (*domain).clone()))
    };
    of_model.into_iter().filter_map(last).collect()
}
