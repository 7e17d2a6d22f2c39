//! The requests that all daemons have in flight at the replicas of one model.

use std::collections::BTreeMap;

use crate::{EngineSpec, ServiceName};

/// The load by service and model.
pub type ModelLoads = BTreeMap<ServiceName, BTreeMap<String, ModelLoad>>;

/// The serving replicas of a model and the requests in flight at them.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ModelLoad {
    /// Replicas that serve.
    pub replicas: usize,
    /// Requests in flight at them from all daemons, as far as known.
    pub requests: f64,
}

impl ModelLoad {
    /// Returns how many replicas the model's requests keep busy at full rate.
    ///
    /// Returns `None` if no replica serves or the reported load is invalid. Requests in flight
    /// reflect the load as well as arrivals do, and also show replicas that are slow.
    pub fn busy_replicas(&self, engine: &EngineSpec) -> Option<f64> {
        if self.replicas == 0 || !self.requests.is_finite() || self.requests < 0.0 {
            return None;
        }
        let replicas = self.replicas as f64;
        Some(engine.utilisation(self.requests / replicas) * replicas)
    }
}
