//! The number of idle connections that one node keeps to one endpoint.

/// The number of idle connections to an endpoint whose own limit is not known.
pub const DEFAULT_IDLE_CONNECTIONS: usize = 64;

/// All nodes together keep at most the endpoint's connections divided by this idle; the rest is
/// left for requests.
const IDLE_DIVISOR: usize = 2;

/// Returns how many idle connections each of several nodes keeps to an endpoint that accepts
/// `max_connections` from all of them together and resets any beyond.
///
/// Each node gets an equal share, which needs no coordination. If there are more nodes than
/// connections, none is kept idle and each request opens its own.
pub fn max_idle_connections(max_connections: Option<u32>, nodes: usize) -> usize {
    let Some(max_connections) = max_connections else { return DEFAULT_IDLE_CONNECTIONS };
    let max_connections = usize::try_from(max_connections).unwrap_or(usize::MAX);
    (max_connections / IDLE_DIVISOR / nodes.max(1)).min(DEFAULT_IDLE_CONNECTIONS)
}
