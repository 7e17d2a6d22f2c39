//! What daemons tell each other of a suspect beside its crashes.

use serde::{Deserialize, Serialize};

use crate::{BoxId, Fingerprint, Millis};

/// How long a suspect had run at a box as that crashed.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct CrashTime {
    /// The box.
    pub box_id: BoxId,
    /// The suspect.
    pub feature: Fingerprint,
    /// The time since it was sent there.
    pub ran: Millis,
}

/// A box that lives and runs a suspect for longer than that took to crash others.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Outlived {
    /// The box.
    pub box_id: BoxId,
    /// The suspect.
    pub feature: Fingerprint,
}
