//! Assigns each domain its home model.

use std::cmp::Ordering;
use std::collections::BTreeMap;

use crate::{DomainId, EngineSpec, ModelSpec, SiteBox};

/// How many boxes of a domain are assumed to be lost and not replaced yet.
///
/// Source: docs/design/0009-users-machines.md.
const ASSUMED_LOST_BOXES: usize = 2;

/// Returns the home model of each domain, or none if there are fewer domains than models.
///
/// A domain whose boxes all hold one model can repair any loss without loading a model. What was
/// `decided` before stays while the model is configured. Otherwise the models that the boxes hold
/// decide, those in memory before those on hosts. A domain whose boxes hold nothing gets the model
/// whose replicas use the fewest boxes in relation to its work share.
///
/// Daemons decide for their domains at the same time and learn of each other's decisions only
/// later, so the decisions of others don't influence how an undecided domain is assigned. When they
/// did, nine domains were split six to three where five to four was intended.
///
/// Source: docs/design/0009-users-machines.md.
pub fn home_models(
    engine: &EngineSpec,
    domains: &BTreeMap<DomainId, Vec<&SiteBox>>,
    decided: &BTreeMap<DomainId, String>,
) -> BTreeMap<DomainId, String> {
    let mut homes = BTreeMap::new();
    if domains.len() < engine.models.len() || engine.models.is_empty() {
        return homes;
    }
    for (domain, boxes) in domains {
        homes.extend(most_held_model(engine, boxes).map(|home| (domain.clone(), home)));
    }
    for domain in domains.keys() {
        if homes.contains_key(domain) {
            continue;
        }
        let boxes_per_share = |model: &ModelSpec| {
            let at_home = domains.iter().filter(|(id, _)| homes.get(*id) == Some(&model.name));
            let used: usize = at_home.map(|(_, boxes)| boxes_used(boxes.len(), model)).sum();
            used as f64 / model.work_share.max(f64::EPSILON)
        };
        // Ties go to the model with the larger share.
        let by_need = |model: &&ModelSpec| (boxes_per_share(model), -model.work_share);
        // A domain that is too small for a replica of a model cannot be its home.
        let size = domains[domain].len();
        let models = engine.models.iter().filter(|model| span_of(model) <= size);
        let least =
            models.min_by(|a, b| by_need(a).partial_cmp(&by_need(b)).unwrap_or(Ordering::Equal));
        homes.extend(least.map(|model| (domain.clone(), model.name.clone())));
    }
    let is_valid = |(id, name): &(&DomainId, &String)| {
        domains.contains_key(*id) && engine.model(name).is_some()
    };
    homes.extend(decided.iter().filter(is_valid).map(|(id, name)| (id.clone(), name.clone())));
    homes
}

/// Returns the model that most of a domain's boxes hold, if any box holds one.
fn most_held_model(engine: &EngineSpec, boxes: &[&SiteBox]) -> Option<String> {
    let count = |name: &String| {
        let loaded = boxes.iter().filter(|site_box| site_box.loaded.contains(name)).count();
        let staged = boxes.iter().filter(|site_box| site_box.staged.contains(name)).count();
        (loaded, staged)
    };
    let counts = engine.models.iter().map(|model| (count(&model.name), &model.name));
    let most = counts.max_by_key(|(count, _)| *count)?;
    (most.0 != (0, 0)).then(|| most.1.clone())
}

/// Of this many domains of a model, one has hosts that also preload another model.
///
/// A domain that restarts entirely loads for 20 s where its hosts hold the other model, and serves
/// after 2 s where they hold its own. With all of four domains preloaded, a day on which one of
/// eight boxes restarted earned 0.720, since callers waited for a quarter of the model's replicas;
/// the mean of five such days was 0.706 instead of 0.804. With one of five, the share at risk is as
/// large as the share that can be reassigned.
const DOMAINS_PER_PRELOADED: usize = 5;

/// Returns, for some of the domains, the model that their hosts preload in addition to their home
/// model, so that these domains can be reassigned without a load.
///
/// Source: docs/design/0016-work-that-shifted.md.
pub fn second_models(
    engine: &EngineSpec,
    homes: &BTreeMap<DomainId, String>,
) -> BTreeMap<DomainId, String> {
    let mut seconds = BTreeMap::new();
    for (number, model) in engine.models.iter().enumerate() {
        let next = &engine.models[(number + 1) % engine.models.len()];
        let at_home = homes.iter().filter(|(_, home)| **home == model.name);
        if next.name == model.name {
            continue;
        }
        let preloaded = at_home.clone().count() / DOMAINS_PER_PRELOADED;
        seconds.extend(at_home.take(preloaded).map(|(id, _)| (id.clone(), next.name.clone())));
    }
    seconds
}

/// Returns how many of a domain's boxes replicas of a model usually use, given that some boxes are
/// lost and those that don't make up a whole replica are idle.
fn boxes_used(boxes: usize, model: &ModelSpec) -> usize {
    let left = boxes.saturating_sub(ASSUMED_LOST_BOXES).max(span_of(model));
    left / span_of(model) * span_of(model)
}

fn span_of(model: &ModelSpec) -> usize {
    model.span.max(1) as usize
}
