//! How soon a box can join a model.

use crate::SiteBox;

/// Says how soon, the soonest first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum ModelLocation {
    /// Its memory holds the model.
    Loaded,
    /// Its host holds the model.
    Staged,
    /// It has to load it from the weight store.
    Load,
}

/// Returns how soon a box can join a model.
pub(crate) fn model_location(known: &SiteBox, model: &str) -> ModelLocation {
    let holds = |models: &[String]| models.iter().any(|held| held == model);
    if holds(&known.loaded) {
        ModelLocation::Loaded
    } else if holds(&known.staged) {
        ModelLocation::Staged
    } else {
        ModelLocation::Load
    }
}
