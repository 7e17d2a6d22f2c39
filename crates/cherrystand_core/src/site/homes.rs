//! Which model each domain is for.

use std::collections::BTreeMap;

use crate::{DomainId, EngineSpec, SiteBox};

/// Gives each domain the model that it is for, or none where there are fewer domains than models.
///
/// A domain whose boxes all hold one model mends any loss without a load. What its boxes hold
/// already decides; a domain whose boxes hold nothing goes to the model that lacks most against
/// its share of the work.
///
/// Source: docs/design/0009-users-machines.md.
pub fn home_models<'a>(
    engine: &EngineSpec,
    domains: &BTreeMap<DomainId, Vec<&'a SiteBox>>,
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
    let total: f64 = engine.models.iter().map(|model| model.share).sum();
    for domain in domains.keys() {
        if homes.contains_key(domain) {
            continue;
        }
        let lack = |name: &String, share: f64| {
            let has = homes.values().filter(|home| *home == name).count();
            share / total.max(f64::EPSILON) * domains.len() as f64 - has as f64
        };
        let lacks = engine.models.iter().map(|model| (lack(&model.name, model.share), &model.name));
        let most = lacks.max_by(|a, b| a.0.total_cmp(&b.0)).map(|(_, name)| name.clone());
        homes.extend(most.map(|name| (domain.clone(), name)));
    }
    homes
}
