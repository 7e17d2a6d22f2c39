//! What operators state where routes, rather than workspaces, are configured.

use crate::{ColdStart, Millis, RegionId, ServiceName};

/// Says whether a request of a route may be run more than once.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RouteKind {
    /// It may be run again.
    Idempotent,
    /// It runs at most once.
    NonIdempotent,
    /// It is answered by a stream of events, and runs at most once unless it may be resumed.
    Streaming,
}

/// Leads requests of one host and path prefix to services.
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
    /// Whether its requests may be repeated.
    pub kind: RouteKind,
    /// The longest that a request is held.
    pub timeout: Millis,
    /// The time within which an answer, or the first event of a stream, is in time.
    pub latency_goal: Millis,
    /// The longest pause between events of a stream that is in time.
    pub gap_target: Option<Millis>,
    /// How many endpoints one request may be sent to.
    pub attempts: u32,
    /// Its rank, 0 before all others.
    pub priority: u8,
    /// Whether it needs no key.
    pub public: bool,
    /// Whether its streams may be taken up at another endpoint.
    pub resumable: bool,
    /// The regions whose endpoints alone may get its requests; all, where it names none.
    pub allowed_regions: Vec<RegionId>,
}

impl Route {
    /// Tells whether a request that may have been run may be run again.
    pub fn may_retry(&self) -> bool {
        match self.kind {
            RouteKind::Idempotent => true,
            RouteKind::NonIdempotent => false,
            RouteKind::Streaming => self.resumable,
        }
    }
}

/// Describes a service behind routes.
#[derive(Clone, Debug, PartialEq)]
pub struct Service {
    /// The service's name.
    pub name: ServiceName,
    /// The engine of its boxes, where they serve models.
    pub engine: Option<crate::EngineSpec>,
    /// How many connections one of its boxes takes from all nodes together, where that is known.
    pub connections: Option<u32>,
    /// How its endpoints take requests while they are cold, where they bear less then.
    pub cold: Option<ColdStart>,
}

/// Bounds what a caller may send.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CallerLimits {
    /// The largest head, in bytes.
    pub header_bytes: usize,
    /// The largest body, in bytes.
    pub body_bytes: usize,
}

/// Names a tenant and its keys.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Tenant {
    /// The tenant's name.
    pub name: String,
    /// The keys that stand for it.
    pub keys: Vec<String>,
    /// The regions whose endpoints alone may get its requests; all, where it names none.
    pub allowed_regions: Vec<RegionId>,
}

/// Holds one configuration, whole.
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
    /// The tenants; nothing where requests need no key.
    pub tenants: Option<Vec<Tenant>>,
}

impl SiteConfig {
    /// Returns a service's engine, where it serves models.
    pub fn engine(&self, service: &ServiceName) -> Option<&crate::EngineSpec> {
        self.service(service).and_then(|service| service.engine.as_ref())
    }

    /// Returns what is configured of a service.
    pub fn service(&self, name: &ServiceName) -> Option<&Service> {
        self.services.iter().find(|known| &known.name == name)
    }
}
