//! Where a box gets a model from when it joins a replica.

use crate::SiteBox;

/// Where a box gets a model from, the fastest first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum ModelLocation {
    /// The memory of the box already holds the model.
    Memory,
    /// The host of the box holds the model.
    Host,
    /// The box has to load the model from the weight store.
    WeightStore,
}

/// Returns from where a box would load a model.
pub(crate) fn model_location(site_box: &SiteBox, model: &str) -> ModelLocation {
    let holds = |models: &[String]| models.iter().any(|name| name == model);
    if holds(&site_box.loaded) {
        ModelLocation::Memory
    } else if holds(&site_box.staged) {
        ModelLocation::Host
    } else {
        ModelLocation::WeightStore
    }
}
