//! Groups of model replicas.

use serde::{Deserialize, Serialize};

use crate::{Class, DomainId};

/// The configuration of a model group.
///
/// Source: brief, "The product"; docs/operators/settings.md.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ModelGroup {
    /// The group's name, unique within the workspace.
    pub name: String,
    /// The model name in requests.
    pub model: String,
    /// The version of the weights.
    pub version: String,
    /// Adapters to load in addition to the weights.
    #[serde(default)]
    pub adapters: Vec<String>,
    /// The role of the engines, such as `serve`, `prefill` or `decode`.
    #[serde(default = "default_role")]
    pub role: String,
    /// The number of replicas.
    pub replicas: u32,
    /// The number of boxes one replica spans.
    pub boxes_per_replica: u32,
    /// The fabric domains that may hold replicas; all if empty.
    #[serde(default)]
    pub domains: Vec<DomainId>,
    /// The class of the group's requests.
    #[serde(default = "default_class")]
    pub class: Class,
    /// How many replicas a rollout keeps in service. The default is one fewer than `replicas`.
    #[serde(default)]
    pub floor: Option<u32>,
    /// The price of a second in which a replica can't serve.
    #[serde(default = "default_weight")]
    pub downtime_weight: f64,
    /// The price of a second in which a healthy box is idle.
    #[serde(default = "default_weight")]
    pub stranded_weight: f64,
}

fn default_role() -> String {
    "serve".to_owned()
}

fn default_class() -> Class {
    Class::Interactive
}

fn default_weight() -> f64 {
    1.0
}

impl ModelGroup {
    /// Returns what each engine of the group has to load.
    pub fn load_spec(&self) -> LoadSpec {
        LoadSpec {
            model: self.model.clone(),
            version: self.version.clone(),
            adapters: self.adapters.clone(),
            role: self.role.clone(),
        }
    }

    /// Returns how many replicas a planned change must leave in service.
    pub fn capacity_floor(&self) -> u32 {
        self.floor.unwrap_or(self.replicas.saturating_sub(1))
    }

    /// Returns whether the group may use `domain`.
    pub fn allows(&self, domain: &DomainId) -> bool {
        self.domains.is_empty() || self.domains.contains(domain)
    }
}

/// What an engine has to load.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadSpec {
    /// The model's name.
    pub model: String,
    /// The version of the weights.
    pub version: String,
    /// Adapters to load in addition to the weights.
    pub adapters: Vec<String>,
    /// The engine's role.
    pub role: String,
}
