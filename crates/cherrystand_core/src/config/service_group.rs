//! Serving groups of plain services.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::{Class, ZoneId};

/// States where a plain service runs and how its calls are treated.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ServiceGroup {
    /// The group's name, unique within the workspace.
    pub name: String,
    /// Requests whose path starts with this go to the service.
    pub path_prefix: String,
    /// The endpoints of the service.
    pub endpoints: Vec<ServiceEndpoint>,
    /// The class of the group's requests.
    #[serde(default = "default_class")]
    pub class: Class,
    /// Methods whose calls must not be repeated.
    #[serde(default)]
    pub not_repeatable: Vec<String>,
    /// How many requests one endpoint takes at once at the most.
    #[serde(default = "default_concurrency")]
    pub concurrency: u32,
}

/// Says where one endpoint of a service listens.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ServiceEndpoint {
    /// The availability zone of the endpoint.
    pub zone: ZoneId,
    /// Its address, by IP number.
    pub address: SocketAddr,
}

fn default_class() -> Class {
    Class::Interactive
}

fn default_concurrency() -> u32 {
    64
}
