//! Groups of plain services.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::{Class, ZoneId};

/// The configuration of a plain service: its endpoints and how its requests are handled.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ServiceGroup {
    /// The group's name, unique within the workspace.
    pub name: String,
    /// The path prefix of requests to the service.
    pub path_prefix: String,
    /// The endpoints of the service.
    pub endpoints: Vec<ServiceEndpoint>,
    /// The class of the group's requests.
    #[serde(default = "default_class")]
    pub class: Class,
    /// HTTP methods whose requests must not be retried.
    #[serde(default)]
    pub not_repeatable: Vec<String>,
    /// The maximum number of concurrent requests per endpoint.
    #[serde(default = "default_concurrency")]
    pub concurrency: u32,
}

/// One endpoint of a service.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ServiceEndpoint {
    /// The availability zone of the endpoint.
    pub zone: ZoneId,
    /// Its IP address and port.
    pub address: SocketAddr,
}

fn default_class() -> Class {
    Class::Interactive
}

fn default_concurrency() -> u32 {
    64
}
