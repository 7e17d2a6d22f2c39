//! Orders to model engines.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::{BoxId, Epoch, LoadSpec, ReplicaId};

/// Tells one engine what to do, fenced by the epoch.
///
/// An engine that checks its orders refuses those whose epoch is below the highest it has seen.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Order {
    /// The box.
    #[serde(rename = "box")]
    pub target: BoxId,
    /// The epoch of the assignment that the order stems from.
    pub epoch: Epoch,
    /// What to do.
    pub task: Task,
}

/// Says what an engine is to do.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", tag = "do")]
pub enum Task {
    /// Load, and join the replica.
    Join {
        /// The replica.
        replica: ReplicaId,
        /// The box's rank in it; rank 0 leads.
        rank: u32,
        /// The addresses of all members, by rank.
        members: Vec<SocketAddr>,
        /// What to load.
        load: LoadSpec,
    },
    /// Refuse new requests and finish the rest.
    Drain,
    /// Forget the epoch and be idle; weights may stay in memory.
    Release,
}
