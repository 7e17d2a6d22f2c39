//! What daemons tell each other many times a second, in datagrams that may be lost.

use cherrystand_core::{BoxId, NodeId};
use serde::{Deserialize, Serialize};

/// Says what the sender has in flight at one endpoint.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EndpointLoad {
    /// The box that takes the requests.
    pub id: BoxId,
    /// Requests in flight.
    pub requests: u32,
    /// Tokens of prompts that have yet to be read.
    pub unread: u32,
    /// Milliseconds since the endpoint last made progress with any of them.
    pub silent_ms: u32,
}

/// Says what one daemon has in flight, and what it found standing still.
///
/// A later one replaces an earlier one; one that is lost costs accuracy and nothing else.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadNews {
    /// The sender.
    pub from: NodeId,
    /// What it has in flight.
    pub loads: Vec<EndpointLoad>,
    /// Leaders that it saw no progress of for long; peers answer with their own news at once.
    pub asked: Vec<BoxId>,
    /// Leaders whose replicas it found standing still since its last news.
    pub stalled: Vec<BoxId>,
}
