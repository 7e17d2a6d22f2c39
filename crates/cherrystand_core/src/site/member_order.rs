//! Orders that form replicas out of boxes.

use std::net::SocketAddr;

use crate::{BoxId, Epoch};

/// Says what a box is to do.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum MemberTask {
    /// Join a replica, loading its model where that is needed.
    Join {
        /// The model.
        model: String,
        /// All members, the leader first.
        members: Vec<BoxId>,
    },
    /// Begin to serve; for leaders.
    Open,
    /// Take nothing new and finish the rest; for leaders.
    Close,
    /// Belong to the replica no more, at once.
    Leave,
    /// Load a model to the host, beside everything else.
    Stage {
        /// The model.
        model: String,
    },
}

impl MemberTask {
    /// Returns the name that logs and metrics use.
    pub fn as_str(&self) -> &'static str {
        match self {
            Self::Join { .. } => "join",
            Self::Open => "open",
            Self::Close => "close",
            Self::Leave => "leave",
            Self::Stage { .. } => "stage",
        }
    }
}

/// Orders one box to do something.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct MemberOrder {
    /// The box.
    pub target: BoxId,
    /// Where it takes orders.
    pub address: SocketAddr,
    /// The replica's name; empty where the task concerns none.
    pub replica: String,
    /// The replica's epoch.
    pub epoch: Epoch,
    /// What to do.
    pub task: MemberTask,
}

/// Says what became of an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OrderEnd {
    /// The box has begun, or had done it already.
    Taken,
    /// The box is in another state than the order supposes.
    Unfit,
    /// The box has seen a later fence or epoch.
    Fenced,
    /// The box's address belongs to another one now.
    OtherBox,
    /// The box does not know the order.
    Unknown,
    /// Nothing listens there.
    Refused,
    /// No connection came about; the order was not sent.
    Dark,
    /// No answer came; the order may be carried out later.
    Silent,
}
