//! How many idle connections one node keeps to one endpoint.

/// How many idle connections a node keeps to an endpoint of which nothing else is known.
pub const USUALLY_KEPT: usize = 64;

/// The part of an endpoint's connections that all nodes together may keep idle; the rest is for requests.
const KEPT_PART: usize = 2;

/// Returns how many idle connections one of several nodes keeps to an endpoint that takes `most` from all of them
/// together, and resets any beyond.
///
/// Each has an even part, which needs no agreement. Where there are more nodes than connections none is kept, and each
/// request opens its own.
pub fn kept_connections(most: Option<u32>, nodes: usize) -> usize {
    let Some(most) = most else { return USUALLY_KEPT };
    let most = usize::try_from(most).unwrap_or(usize::MAX);
    (most / KEPT_PART / nodes.max(1)).min(USUALLY_KEPT)
}
