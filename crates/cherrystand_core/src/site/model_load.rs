//! What all daemons have in flight with the replicas of one model.

use std::collections::BTreeMap;

use crate::{EngineSpec, ServiceName};

/// What is in flight by service and model.
pub type ModelLoads = BTreeMap<ServiceName, BTreeMap<String, ModelLoad>>;

/// Counts a model's replicas that serve and the requests in flight there.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ModelLoad {
    /// Replicas that serve.
    pub replicas: usize,
    /// Requests in flight at them, of all daemons, as far as is known.
    pub requests: f64,
}

impl ModelLoad {
    /// Returns how many replicas working at full rate the model's requests keep busy; nothing where
    /// none serves, or where what was told makes no sense.
    ///
    /// Requests in flight tell of the work as well as arrivals do, and also of replicas that are slow.
    pub fn busy_replicas(&self, engine: &EngineSpec) -> Option<f64> {
        if self.replicas == 0 || !self.requests.is_finite() || self.requests < 0.0 {
            return None;
        }
        let replicas = self.replicas as f64;
        Some(engine.utilisation(self.requests / replicas) * replicas)
    }
}
