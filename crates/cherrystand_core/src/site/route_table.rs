//! An index of a configuration that finds the route of a request.

use std::collections::HashMap;

use crate::{Route, ServiceName, SiteConfig, Tenant, mix};

/// Finds the routes and tenants of one configuration.
#[derive(Clone, Debug)]
pub struct RouteTable {
    config: SiteConfig,
    /// The routes of each host, longest prefix first.
    hosts: HashMap<String, Vec<usize>>,
    /// The tenant of each API key.
    keys: HashMap<String, usize>,
}

/// Why a request is not allowed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum RouteError {
    /// No route matches it.
    #[error("no route matches the request")]
    NoRoute,
    /// Its key is missing or unknown.
    #[error("the key is missing or unknown")]
    UnknownKey,
}

/// The route and the tenant of a request.
#[derive(Clone, Copy, Debug)]
pub struct RouteMatch<'a> {
    /// The route.
    pub route: &'a Route,
    /// The tenant, if the route requires a key.
    pub tenant: Option<&'a Tenant>,
}

impl RouteTable {
    /// Indexes a configuration.
    pub fn new(config: SiteConfig) -> Self {
        let mut hosts: HashMap<String, Vec<usize>> = HashMap::new();
        for (index, route) in config.routes.iter().enumerate() {
            hosts.entry(route.host.to_ascii_lowercase()).or_default().push(index);
        }
        for routes in hosts.values_mut() {
            routes.sort_by_key(|index| std::cmp::Reverse(config.routes[*index].prefix.len()));
        }
        let mut keys = HashMap::new();
        for (index, tenant) in config.tenants.iter().flatten().enumerate() {
            for key in &tenant.keys {
                keys.insert(key.clone(), index);
            }
        }
        Self { config, hosts, keys }
    }

    /// Returns the configuration.
    pub fn config(&self) -> &SiteConfig {
        &self.config
    }

    /// Finds the route of a request and the tenant of its key.
    ///
    /// # Errors
    ///
    /// Returns [`RouteError`] if no route matches the request or its key is unknown.
    pub fn find(
        &self,
        host: &str,
        path: &str,
        key: Option<&str>,
    ) -> Result<RouteMatch<'_>, RouteError> {
        let name = host.rsplit_once(':').map_or(host, |(name, _)| name).to_ascii_lowercase();
        let routes = self.hosts.get(&name).ok_or(RouteError::NoRoute)?;
        let routes = routes.iter().map(|index| &self.config.routes[*index]);
        let mut matching = routes.filter(|route| path.starts_with(&route.prefix));
        let route = matching.next().ok_or(RouteError::NoRoute)?;
        let Some(tenants) = self.config.tenants.as_ref().filter(|_| !route.public) else {
            return Ok(RouteMatch { route, tenant: None });
        };
        let tenant = key.and_then(|key| self.keys.get(key)).ok_or(RouteError::UnknownKey)?;
        Ok(RouteMatch { route, tenant: Some(&tenants[*tenant]) })
    }
}

impl Route {
    /// Returns the service that a request goes to, by the weights of the split.
    ///
    /// The same request goes to the same service on every node.
    pub fn service_of(&self, request: u64) -> Option<&ServiceName> {
        let total: u64 = self.split.iter().map(|(_, weight)| u64::from(*weight)).sum();
        if total == 0 {
            return None;
        }
        let mut point = mix(request) % total;
        for (service, weight) in &self.split {
            let weight = u64::from(*weight);
            if point < weight {
                return Some(service);
            }
            point -= weight;
        }
        None
    }
}
