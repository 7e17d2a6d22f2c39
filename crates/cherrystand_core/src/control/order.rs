//! Orders to model engines.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::{BoxId, Epoch, LoadSpec, ReplicaId};

/// An order to one engine, fenced by its epoch.
///
/// An engine that checks its orders refuses those whose epoch is below the highest it has seen.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Order {
    /// The box.
    #[serde(rename = "box")]
    pub target: BoxId,
    /// The epoch of the assignment that the order follows from.
    pub epoch: Epoch,
    /// What to do.
    pub task: Task,
}

/// What an engine is to do.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", tag = "do")]
pub enum Task {
    /// Load weights and join the replica.
    Join {
        /// The replica.
        replica: ReplicaId,
        /// The box's rank in the replica; rank 0 leads.
        rank: u32,
        /// The addresses of all members, by rank.
        members: Vec<SocketAddr>,
        /// What to load.
        load: LoadSpec,
    },
    /// Refuse new requests and finish those in flight.
    Drain,
    /// Drop the epoch and become idle; weights may stay in memory.
    Release,
}
