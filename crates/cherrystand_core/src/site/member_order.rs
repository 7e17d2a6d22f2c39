//! Orders that form replicas out of boxes.

use std::net::SocketAddr;

use crate::{BoxId, Epoch, Revision};

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
    /// How many orders its sender sent to the box before.
    pub sequence: u32,
    /// The last epoch given out in the record that it follows from.
    pub record_epoch: Epoch,
}

impl MemberOrder {
    /// How many orders to one box have fences of their own under one revision of the record.
    const FENCES_PER_REVISION: u64 = 4_096;

    /// How many revisions of one era have fences of their own: 3,200 writes a second for 248 days.
    const REVISIONS_PER_ERA: u64 = 1 << 36;

    /// Returns the fence of the order, which grows with the era and the revision of the record that it follows
    /// from and with each order to the box.
    ///
    /// An order that is carried out late, after it was sent once more, is thus refused.
    pub fn fence(&self, record: Revision) -> u64 {
        let step = u64::from(self.sequence).min(Self::FENCES_PER_REVISION - 1);
        let number = record.number().min(Self::REVISIONS_PER_ERA - 1);
        let written = record.era().0 * Self::REVISIONS_PER_ERA + number;
        written * Self::FENCES_PER_REVISION + step
    }
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
