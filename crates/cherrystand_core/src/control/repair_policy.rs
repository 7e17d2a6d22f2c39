//! How repairs are priced, paced and chosen.

use crate::ReturnModel;

/// Describes how the weight store and the boxes behave, for pricing and pacing.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RepairPolicy {
    /// How many boxes of the domain may load at once.
    pub loads_at_once: u32,
    /// Seconds that loading one box's weights takes.
    pub load_secs: f64,
    /// Seconds that a box with its weights in memory takes to join anew.
    pub rejoin_secs: f64,
    /// How missing boxes return.
    pub returns: ReturnModel,
    /// The rule that chooses the repair.
    pub rule: RepairRule,
}

/// Names the rule that chooses repairs; the baselines exist to be compared with.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RepairRule {
    /// The cheapest by expected price.
    Priced,
    /// Always form the replica anew at once where that is possible.
    ReformAtOnce,
    /// Always wait for the boxes.
    WaitForBox,
}

impl Default for RepairPolicy {
    fn default() -> Self {
        Self {
            loads_at_once: 8,
            load_secs: 60.0,
            rejoin_secs: 5.0,
            returns: ReturnModel::default(),
            rule: RepairRule::Priced,
        }
    }
}
