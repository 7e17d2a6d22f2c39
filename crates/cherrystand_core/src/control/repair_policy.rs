//! The policy for repairs of broken replicas.

use crate::ReturnModel;

/// The behavior of the weight store and the boxes, by which repairs are priced and paced.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RepairPolicy {
    /// How many boxes of the domain may load at once.
    pub loads_at_once: u32,
    /// Seconds to load one box's weights.
    pub load_secs: f64,
    /// Seconds for a box with its weights in memory to join again.
    pub rejoin_secs: f64,
    /// The model of how missing boxes return.
    pub returns: ReturnModel,
    /// The rule that chooses the repair.
    pub rule: RepairRule,
}

/// The rule that chooses a repair. All but `Priced` are baselines for comparison.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RepairRule {
    /// The repair with the lowest expected price.
    Priced,
    /// Form the replica anew at once, if possible.
    ReformAtOnce,
    /// Always wait for the missing boxes.
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
