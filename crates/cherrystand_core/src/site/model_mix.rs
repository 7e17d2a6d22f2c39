//! Which models a domain's boxes are for.

use std::collections::BTreeMap;

use crate::{EngineSpec, ModelSpec};

/// Counts replicas or boxes by the name of their model.
pub type ModelCounts = BTreeMap<String, usize>;

/// Fills a number of boxes with replicas: first those models that the domain has fewest of, and
/// among these the one that another replica is worth most for.
///
/// Replicas of different sizes leave the fewest boxes over when a domain shrinks, and a domain
/// that has all models keeps some of each when others go dark.
///
/// Source: docs/design/0009-users-machines.md.
pub fn fill_boxes(
    engine: &EngineSpec,
    boxes: usize,
    here: &ModelCounts,
    elsewhere: &ModelCounts,
) -> ModelCounts {
    let mut left = boxes;
    let mut filled = ModelCounts::new();
    loop {
        let count = |model: &ModelSpec| count_of(here, model) + count_of(&filled, model);
        let fitting = engine.models.iter().filter(|model| span_of(model) <= left);
        let best = best_model(fitting, count, elsewhere);
        let Some(model) = best else {
            return filled;
        };
        left -= span_of(model);
        *filled.entry(model.name.clone()).or_default() += 1;
    }
}

/// Returns the model that a domain should have another replica of.
pub(crate) fn best_model<'a>(
    models: impl Iterator<Item = &'a ModelSpec>,
    here: impl Fn(&ModelSpec) -> usize,
    elsewhere: &ModelCounts,
) -> Option<&'a ModelSpec> {
    let worth = |model: &ModelSpec| {
        let all = (here(model) + count_of(elsewhere, model)) as f64;
        model.share * ((all + 2.0) / (all + 1.0)).ln()
    };
    models.min_by(|a, b| here(a).cmp(&here(b)).then(worth(b).total_cmp(&worth(a))))
}

/// Returns how many boxes a replica of a model spans.
pub(crate) fn span_of(model: &ModelSpec) -> usize {
    model.span.max(1) as usize
}

/// Returns the count of a model.
pub(crate) fn count_of(counts: &ModelCounts, model: &ModelSpec) -> usize {
    counts.get(&model.name).copied().unwrap_or_default()
}
