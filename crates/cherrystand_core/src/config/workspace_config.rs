//! The configuration of one workspace.

use serde::{Deserialize, Serialize};

use crate::{GroupId, ModelGroup, ServiceGroup, SettingsError, SettingsErrorKind, WorkspaceId};

/// The maximum number of boxes that one replica may span.
///
/// Source: brief, "Our workloads".
pub const MAX_BOXES_PER_REPLICA: u32 = 32;

/// The groups of one workspace.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct WorkspaceConfig {
    /// The workspace's name.
    pub workspace: WorkspaceId,
    /// The model groups.
    #[serde(default, rename = "model")]
    pub models: Vec<ModelGroup>,
    /// The service groups.
    #[serde(default, rename = "service")]
    pub services: Vec<ServiceGroup>,
}

impl WorkspaceConfig {
    /// Creates a configuration without groups.
    pub fn empty(workspace: WorkspaceId) -> Self {
        Self { workspace, models: Vec::new(), services: Vec::new() }
    }

    /// Parses and checks a configuration in TOML.
    ///
    /// # Errors
    ///
    /// Returns a [`SettingsError`] with the key and line for unknown keys, wrong types, invalid
    /// values and conflicting groups.
    pub fn from_toml(text: &str) -> Result<Self, SettingsError> {
        let config: Self = crate::settings_from_toml(text)?;
        config.check().map_err(|err| err.locate(text))?;
        Ok(config)
    }

    /// Checks the constraints that the types don't express.
    ///
    /// # Errors
    ///
    /// Returns the first error found, with its key.
    pub fn check(&self) -> Result<(), SettingsError> {
        check_name("workspace", self.workspace.as_str())?;
        let mut names: Vec<&str> = Vec::new();
        for group in &self.models {
            check_model(group)?;
            names.push(&group.name);
        }
        for group in &self.services {
            check_service(group)?;
            names.push(&group.name);
        }
        check_unique("name", names.iter().copied())?;
        check_unique("path_prefix", self.services.iter().map(|group| group.path_prefix.as_str()))?;
        check_unique("model", self.models.iter().map(|group| group.model.as_str()))
    }

    /// Returns the model group with a name.
    pub fn model(&self, name: &str) -> Option<&ModelGroup> {
        self.models.iter().find(|group| group.name == name)
    }

    /// Returns the id of the group with a name.
    pub fn group_id(&self, name: &str) -> GroupId {
        GroupId::new(self.workspace.clone(), name)
    }
}

fn check_name(key: &'static str, name: &str) -> Result<(), SettingsError> {
    let plain = |c: char| c.is_ascii_alphanumeric() || c == '-' || c == '_' || c == '.';
    if !name.is_empty() && name.chars().all(plain) {
        return Ok(());
    }
    Err(SettingsError::new(
        SettingsErrorKind::InvalidValue,
        key,
        name,
        "letters, digits, `-`, `_` and `.`, at least one",
    ))
}

fn check_model(group: &ModelGroup) -> Result<(), SettingsError> {
    check_name("name", &group.name)?;
    check_name("model", &group.model)?;
    check_name("version", &group.version)?;
    let span = group.boxes_per_replica;
    if span == 0 || span > MAX_BOXES_PER_REPLICA {
        return Err(SettingsError::new(
            SettingsErrorKind::InvalidValue,
            "boxes_per_replica",
            span,
            "a whole number from 1 to 32",
        ));
    }
    if group.floor.is_some_and(|floor| floor > group.replicas) {
        return Err(SettingsError::new(
            SettingsErrorKind::Conflict,
            "floor",
            group.capacity_floor(),
            "no more than `replicas`",
        ));
    }
    check_weight("downtime_weight", group.downtime_weight)?;
    check_weight("stranded_weight", group.stranded_weight)
}

fn check_weight(key: &'static str, weight: f64) -> Result<(), SettingsError> {
    if weight.is_finite() && weight >= 0.0 {
        return Ok(());
    }
    Err(SettingsError::new(
        SettingsErrorKind::InvalidValue,
        key,
        weight,
        "a finite number, 0 or more",
    ))
}

fn check_service(group: &ServiceGroup) -> Result<(), SettingsError> {
    check_name("name", &group.name)?;
    let prefix = &group.path_prefix;
    if !prefix.starts_with('/') || prefix == "/" || prefix.starts_with("/v1/") {
        return Err(SettingsError::new(
            SettingsErrorKind::InvalidValue,
            "path_prefix",
            prefix,
            "a path below `/` that does not start with `/v1/`",
        ));
    }
    if group.endpoints.is_empty() {
        return Err(SettingsError::new(
            SettingsErrorKind::InvalidValue,
            "endpoints",
            "[]",
            "at least one endpoint",
        ));
    }
    if group.concurrency == 0 {
        return Err(SettingsError::new(
            SettingsErrorKind::InvalidValue,
            "concurrency",
            0,
            "a whole number, 1 or more",
        ));
    }
    Ok(())
}

fn check_unique<'a>(
    key: &'static str,
    values: impl Iterator<Item = &'a str>,
) -> Result<(), SettingsError> {
    let mut seen = std::collections::BTreeSet::new();
    for value in values {
        if !seen.insert(value) {
            return Err(SettingsError::new(
                SettingsErrorKind::Conflict,
                key,
                value,
                "a value that no other group of the workspace has",
            ));
        }
    }
    Ok(())
}
