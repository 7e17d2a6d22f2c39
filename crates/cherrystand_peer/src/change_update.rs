//! What changed in the store, as one daemon passes it on to another.

use std::sync::Arc;

use cherrystand_core::{Millis, Revision};
use serde::{Deserialize, Serialize};

use crate::{PackedBatch, PackedBody};

/// Names a place in the changes that one daemon passes on.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ChangeCursor {
    /// The life of the daemon that passes them on.
    #[serde(rename = "life")]
    pub incarnation: u64,
    /// How many changes it had passed on by then in that life.
    pub count: u64,
}

/// Asks a daemon for what the store told it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ChangeRequest {
    /// Asks for what changed, of a daemon that knows the store's state freshly.
    After {
        /// From where on; everything as it is where this is left out or not known any more.
        cursor: Option<ChangeCursor>,
        /// How long the answer may wait for a change.
        wait: Millis,
        /// The revision of the configuration that the asker holds; 0 asks for the whole.
        config: Revision,
    },
    /// Asks for everything as it was known last, however long ago the store told it.
    #[serde(rename = "Copy")]
    Snapshot {
        /// The revision that the answer has to be newer than.
        newer_than: Revision,
        /// The revision of the configuration that the asker holds; 0 asks for the whole.
        config: Revision,
    },
    /// Asks for nothing: that an answer comes shows that the asker's own link and processor carry
    /// one.
    Ping,
}

/// Tells what changed, or everything as it is.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ChangeUpdate {
    /// Where to go on from.
    pub cursor: ChangeCursor,
    /// How long ago the store was known to answer.
    pub store_age: Millis,
    /// For how long the store has answered the sender, or whom it reads from, without a break.
    #[serde(rename = "steady_for")]
    pub answering_for: Millis,
    /// How long the sender held the answer back since there was nothing to tell; the rest of the
    /// time until it arrives was spent on the way and in both daemons.
    #[serde(rename = "held")]
    pub waited: Millis,
    /// The store's revision as far as the sender knows it.
    pub revision: Revision,
    /// Whether the sender keeps boxes that the store lists no more, as after an outage; the store
    /// then tells more than what changes after the revision.
    pub keeps_unlisted: bool,
    /// Whether this is everything, so that what is not in it is gone.
    pub whole: bool,
    /// The configuration, where it is newer than the one that the asker holds.
    pub config: Option<Arc<PackedBody>>,
    /// What changed.
    pub batch: PackedBatch,
}
