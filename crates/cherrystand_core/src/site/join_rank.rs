//! How soon a box can join a model.

use crate::SiteBox;

/// Says how soon, the soonest first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum JoinRank {
    /// Its memory holds the model.
    Loaded,
    /// Its host holds the model.
    Staged,
    /// It has to load it from the weight store.
    Load,
}

/// Returns how soon a box can join a model.
pub(crate) fn join_rank(known: &SiteBox, model: &str) -> JoinRank {
    let holds = |models: &[String]| models.iter().any(|held| held == model);
    if holds(&known.loaded) {
        JoinRank::Loaded
    } else if holds(&known.staged) {
        JoinRank::Staged
    } else {
        JoinRank::Load
    }
}
