//! Which model each domain is for.

use std::cmp::Ordering;
use std::collections::BTreeMap;

use crate::{DomainId, EngineSpec, ModelSpec, SiteBox};

/// How many boxes of a domain are usually lost and not yet replaced.
///
/// Source: docs/design/0009-users-machines.md.
const USUALLY_LOST: usize = 2;

/// Gives each domain the model that it is for, or none where there are fewer domains than models.
///
/// A domain whose boxes all hold one model mends any loss without a load. What its boxes hold
/// already decides; a domain whose boxes hold nothing goes to the model whose replicas use the
/// fewest boxes against its share of the work.
///
/// Source: docs/design/0009-users-machines.md.
pub fn home_models(
    engine: &EngineSpec,
    domains: &BTreeMap<DomainId, Vec<&SiteBox>>,
) -> BTreeMap<DomainId, String> {
    let mut homes = BTreeMap::new();
    if domains.len() < engine.models.len() || engine.models.is_empty() {
        return homes;
    }
    let holds = |boxes: &[&SiteBox], name: &String| {
        let holding =
            |known: &&&SiteBox| known.staged.contains(name) || known.loaded.contains(name);
        boxes.iter().filter(holding).count()
    };
    for (domain, boxes) in domains {
        let held = engine.models.iter().map(|model| (holds(boxes, &model.name), &model.name));
        if let Some((count, name)) = held.max_by_key(|(count, _)| *count)
            && count > 0
        {
            homes.insert(domain.clone(), name.clone());
        }
    }
    for domain in domains.keys() {
        if homes.contains_key(domain) {
            continue;
        }
        let served = |model: &ModelSpec| {
            let at_home = domains.iter().filter(|(id, _)| homes.get(*id) == Some(&model.name));
            let used: usize = at_home.map(|(_, boxes)| boxes_used(boxes.len(), model)).sum();
            used as f64 / model.share.max(f64::EPSILON)
        };
        // Of two that are served alike, the one with the larger share.
        let order = |model: &&ModelSpec| (served(model), -model.share);
        // A domain is for no model that it cannot hold.
        let held = domains[domain].len();
        let models = engine.models.iter().filter(|model| span_of(model) <= held);
        let least =
            models.min_by(|a, b| order(a).partial_cmp(&order(b)).unwrap_or(Ordering::Equal));
        homes.extend(least.map(|model| (domain.clone(), model.name.clone())));
    }
    homes
}

/// Returns how many of a domain's boxes replicas of a model use on an ordinary day, on which some
/// boxes are lost and the remainder waits for others.
fn boxes_used(boxes: usize, model: &ModelSpec) -> usize {
    let left = boxes.saturating_sub(USUALLY_LOST).max(span_of(model));
    left / span_of(model) * span_of(model)
}

fn span_of(model: &ModelSpec) -> usize {
    model.span.max(1) as usize
}
