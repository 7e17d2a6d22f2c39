//! The configuration of a site whose operators define routes instead of workspaces.

use crate::{ColdStart, Millis, RegionId, ServiceName};

/// Whether the requests of a route may be executed more than once.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RouteKind {
    /// They may be executed again.
    Idempotent,
    /// They are executed at most once.
    NonIdempotent,
    /// They are answered by a stream of events, and executed at most once unless the stream is
    /// resumable.
    Streaming,
}

/// Routes the requests of one host and path prefix to services.
#[derive(Clone, Debug, PartialEq)]
pub struct Route {
    /// The route's name.
    pub name: String,
    /// The host that requests name.
    pub host: String,
    /// The prefix of their paths.
    pub prefix: String,
    /// The services and the weight of each.
    pub split: Vec<(ServiceName, u32)>,
    /// Whether its requests may be executed again.
    pub kind: RouteKind,
    /// How long a request is processed at most.
    pub timeout: Millis,
    /// The time within which an answer, or the first event of a stream, is in time.
    pub latency_goal: Millis,
    /// The longest gap between events of a stream that is in time.
    pub gap_target: Option<Millis>,
    /// How many endpoints one request may be sent to.
    pub attempts: u32,
    /// Its rank; 0 goes before all others.
    pub priority: u8,
    /// Whether its requests need no key.
    pub public: bool,
    /// Whether its streams may be resumed at another endpoint.
    pub resumable: bool,
    /// The regions whose endpoints may get its requests; if empty, all.
    pub allowed_regions: Vec<RegionId>,
}

impl Route {
    /// Returns whether a request that may have been executed may be executed again.
    pub fn may_retry(&self) -> bool {
        match self.kind {
            RouteKind::Idempotent => true,
            RouteKind::NonIdempotent => false,
            RouteKind::Streaming => self.resumable,
        }
    }
}

/// A service that routes lead to.
#[derive(Clone, Debug, PartialEq)]
pub struct Service {
    /// The service's name.
    pub name: ServiceName,
    /// The engine of its boxes, if they serve models.
    pub engine: Option<crate::EngineSpec>,
    /// How many connections one of its boxes takes from all nodes together, if known.
    pub connections: Option<u32>,
    /// How its endpoints take requests while they are cold, if that differs.
    pub cold: Option<ColdStart>,
}

/// The limits of what a caller may send.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CallerLimits {
    /// The largest header section, in bytes.
    pub header_bytes: usize,
    /// The largest body, in bytes.
    pub body_bytes: usize,
}

/// A tenant and its API keys.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Tenant {
    /// The tenant's name.
    pub name: String,
    /// Its API keys.
    pub keys: Vec<String>,
    /// The regions whose endpoints may get its requests; if empty, all.
    pub allowed_regions: Vec<RegionId>,
}

/// One complete configuration.
#[derive(Clone, Debug, PartialEq)]
pub struct SiteConfig {
    /// Its version, which only grows.
    pub version: u64,
    /// The routes.
    pub routes: Vec<Route>,
    /// The services.
    pub services: Vec<Service>,
    /// What callers may send.
    pub limits: CallerLimits,
    /// The tenants; `None` if requests need no key.
    pub tenants: Option<Vec<Tenant>>,
}

impl SiteConfig {
    /// Returns the engine of a service, if it serves models.
    pub fn engine(&self, service: &ServiceName) -> Option<&crate::EngineSpec> {
        self.service(service).and_then(|service| service.engine.as_ref())
    }

    /// Returns the configuration of a service.
    pub fn service(&self, name: &ServiceName) -> Option<&Service> {
        self.services.iter().find(|known| &known.name == name)
    }
}
