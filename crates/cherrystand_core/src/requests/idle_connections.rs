//! How many idle connections one node keeps to one endpoint.

/// How many idle connections a node keeps to an endpoint of which nothing else is known.
pub const DEFAULT_IDLE_CONNECTIONS: usize = 64;

/// The part of an endpoint's connections that all nodes together may keep idle; the rest is for requests.
const KEPT_PART: usize = 2;

/// Returns how many idle connections one of several nodes keeps to an endpoint that takes `most` from all of them
/// together, and resets any beyond.
///
/// Each has an even part, which needs no agreement. Where there are more nodes than connections none is kept, and each
/// request opens its own.
pub fn max_idle_connections(most: Option<u32>, nodes: usize) -> usize {
    let Some(most) = most else { return DEFAULT_IDLE_CONNECTIONS };
    let most = usize::try_from(most).unwrap_or(usize::MAX);
    (most / KEPT_PART / nodes.max(1)).min(DEFAULT_IDLE_CONNECTIONS)
}
