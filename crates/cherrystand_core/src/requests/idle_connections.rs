//! How many idle connections one node keeps to one endpoint.

/// How many idle connections a node keeps to an endpoint of which nothing else is known.
pub const DEFAULT_IDLE_CONNECTIONS: usize = 64;

/// The part of an endpoint's connections that all nodes together may keep idle; the rest is for requests.
const IDLE_DIVISOR: usize = 2;

/// Returns how many idle connections one of several nodes keeps to an endpoint that takes `most` from all of them
/// together, and resets any beyond.
///
/// Each has an even part, which needs no agreement. Where there are more nodes than connections none is kept, and each
/// request opens its own.
pub fn max_idle_connections(max_connections: Option<u32>, nodes: usize) -> usize {
    let Some(max_connections) = max_connections else { return DEFAULT_IDLE_CONNECTIONS };
    let max_connections = usize::try_from(max_connections).unwrap_or(usize::MAX);
    (max_connections / IDLE_DIVISOR / nodes.max(1)).min(DEFAULT_IDLE_CONNECTIONS)
}
