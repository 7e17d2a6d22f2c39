//! Orders that form replicas out of boxes.

use std::net::SocketAddr;

use crate::{BoxId, Epoch, Revision};

/// What a box has to do.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum MemberTask {
    /// Join a replica, loading its model if needed.
    Join {
        /// The model.
        model: String,
        /// All members, the leader first.
        members: Vec<BoxId>,
    },
    /// Begin to serve; for leaders.
    Open,
    /// Drain: take no new requests and finish the others; for leaders.
    Close,
    /// Leave the replica at once.
    Leave,
    /// Load a model to the host while everything else goes on.
    Stage {
        /// The model.
        model: String,
    },
}

impl MemberTask {
    /// Returns the name used in logs and metrics.
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

/// An order to one box.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct MemberOrder {
    /// The box.
    pub target: BoxId,
    /// The address at which it takes orders.
    pub address: SocketAddr,
    /// The replica's name; empty if the task doesn't concern a replica.
    pub replica: String,
    /// The replica's epoch.
    pub epoch: Epoch,
    /// What to do.
    pub task: MemberTask,
    /// How many orders the sender sent to the box before this one.
    pub sequence: u32,
    /// The last assigned epoch of the record that the order follows from.
    pub record_epoch: Epoch,
}

impl MemberOrder {
    /// The number of orders to one box with distinct fences under one revision of the record.
    const FENCES_PER_REVISION: u64 = 4_096;

    /// The number of revisions of one era with distinct fences: 3,200 writes a second for 248 days.
    const REVISIONS_PER_ERA: u64 = 1 << 36;

    /// Returns the fencing token of the order, which grows with the era and the revision of the
    /// record that it follows from, and with each order to the box.
    ///
    /// A box that has taken a later order therefore refuses one that arrives late.
    pub fn fence(&self, record: Revision) -> u64 {
        let step = u64::from(self.sequence).min(Self::FENCES_PER_REVISION - 1);
        let number = record.number().min(Self::REVISIONS_PER_ERA - 1);
        let written = record.era().0 * Self::REVISIONS_PER_ERA + number;
        written * Self::FENCES_PER_REVISION + step
    }
}

/// The result of an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OrderEnd {
    /// The box has begun, or had already done it.
    Taken,
    /// The box is in a state that the order doesn't apply to.
    Unfit,
    /// The box has seen a later fence or epoch.
    Fenced,
    /// The address now belongs to another box.
    OtherBox,
    /// The box does not know the order.
    Unknown,
    /// Nothing listens at the address.
    Refused,
    /// No connection was established; the order was not sent.
    Dark,
    /// No answer came; the order may still be executed.
    Silent,
    /// The connection was reset or closed before an answer came; the order may still be executed.
    Cut,
}
