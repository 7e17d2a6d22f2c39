//! The reasons recorded with each decision about a replica.

use std::fmt;

use serde::{Deserialize, Serialize};

use crate::{BoxId, Epoch, Phase, Prices, ReplicaId};

/// Why a replica's assignment changed.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Explanation {
    /// When, in seconds since 1970 by the clock of the deciding daemon.
    pub at_unix_secs: u64,
    /// The replica.
    pub replica: ReplicaId,
    /// The epoch after the decision.
    pub epoch: Epoch,
    /// The phase after the decision; `None` if the replica was removed.
    pub phase: Option<Phase>,
    /// What the decision is based on.
    pub evidence: Evidence,
    /// The expected price of each repair considered, if there was a choice.
    pub prices: Option<Prices>,
}

/// What a decision is based on.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", tag = "seen")]
pub enum Evidence {
    /// The accepted configuration asks for the replica.
    Desired,
    /// The accepted configuration no longer asks for the replica here.
    NotDesired,
    /// The accepted configuration asks for another model, version, adapter or role.
    LoadChanged,
    /// The weight store has room for the loads.
    LoadTurn,
    /// Every member acknowledged the epoch.
    AllAcknowledged,
    /// Members did not answer in time, or came back without their weights.
    MembersLost {
        /// Those members.
        boxes: Vec<BoxId>,
    },
    /// An engine reported that its replica has come apart.
    CameApart,
    /// Members answered but did not get ready in time.
    LoadStalled {
        /// Those members.
        boxes: Vec<BoxId>,
    },
    /// The platform announced that members will leave.
    MembersLeaving {
        /// Those members.
        boxes: Vec<BoxId>,
    },
    /// Every member is back.
    MembersReturned,
    /// The engine finished its last request.
    Drained,
    /// Spares took the place of lost members.
    Swapped {
        /// The members replaced.
        lost: Vec<BoxId>,
        /// The spares that replaced them.
        spares: Vec<BoxId>,
    },
    /// The replica was formed anew on other boxes.
    Reformed,
    /// The replica gave up its boxes to repair another one.
    Dissolved {
        /// The replica that is repaired with them.
        beneficiary: ReplicaId,
    },
}

impl fmt::Display for Evidence {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let names = |boxes: &[BoxId]| {
            let names: Vec<&str> = boxes.iter().map(BoxId::as_str).collect();
            names.join(" ")
        };
        match self {
            Evidence::Desired => f.write_str("the configuration asks for it"),
            Evidence::NotDesired => f.write_str("the configuration no longer asks for it here"),
            Evidence::LoadChanged => f.write_str("the configuration asks for another load"),
            Evidence::LoadTurn => f.write_str("the weight store has room"),
            Evidence::AllAcknowledged => f.write_str("every member acknowledged the epoch"),
            Evidence::MembersLost { boxes } => write!(f, "lost {}", names(boxes)),
            Evidence::CameApart => f.write_str("an engine reported that it came apart"),
            Evidence::LoadStalled { boxes } => write!(f, "not ready in time {}", names(boxes)),
            Evidence::MembersLeaving { boxes } => write!(f, "leaving {}", names(boxes)),
            Evidence::MembersReturned => f.write_str("every member is there again"),
            Evidence::Drained => f.write_str("the engine is idle"),
            Evidence::Swapped { lost, spares } => {
                write!(f, "swapped {} for {}", names(lost), names(spares))
            }
            Evidence::Reformed => f.write_str("formed anew on other boxes"),
            Evidence::Dissolved { beneficiary } => write!(f, "gave its boxes to {beneficiary}"),
        }
    }
}
