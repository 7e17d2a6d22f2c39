//! The messages by which a daemon gets changes of the store from another daemon.

use std::sync::Arc;

use cherrystand_core::{Millis, Revision};
use serde::{Deserialize, Serialize};

use crate::{PackedBatch, PackedBody};

/// A position in the sequence of changes that one daemon provides.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ChangeCursor {
    /// The incarnation of the daemon that provides the changes.
    #[serde(rename = "life")]
    pub incarnation: u64,
    /// The number of changes in this incarnation before the position.
    pub count: u64,
}

/// A request for changes that a daemon received from the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ChangeRequest {
    /// Requests changes from a daemon whose state of the store is fresh.
    After {
        /// The position to continue from. Without a cursor, or with one that is no longer known, the answer is a
        /// snapshot.
        cursor: Option<ChangeCursor>,
        /// How long the daemon may wait for a change before it answers.
        wait: Millis,
        /// The revision of the configuration that the requester has; 0 requests it in full.
        config: Revision,
    },
    /// Requests a snapshot of the last known state, regardless of its age.
    #[serde(rename = "Copy")]
    Snapshot {
        /// The revision that the snapshot has to be newer than.
        newer_than: Revision,
        /// The revision of the configuration that the requester has; 0 requests it in full.
        config: Revision,
    },
    /// Requests no data. An answer shows that the requester's own network link and processor work.
    Ping,
    /// Requests at once what the requester lacks, from a daemon whose state of the store is newer.
    Since {
        /// The revision up to which the requester knows everything; 0 requests a snapshot.
        known: Revision,
        /// The largest age of the state that the requester can use.
        max_age: Millis,
        /// The revision of the configuration that the requester has; 0 requests it in full.
        config: Revision,
    },
}

/// A batch of changes, or a snapshot.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ChangeUpdate {
    /// The position to continue from.
    pub cursor: ChangeCursor,
    /// The time since the store was last known to answer.
    pub store_age: Millis,
    /// How long the store takes to answer the sender, or the daemon that it reads from.
    pub answer_time: Millis,
    /// For how long the store has answered the sender, or the daemon that it reads from, without a failure.
    #[serde(rename = "steady_for")]
    pub answering_for: Millis,
    /// How long the sender waited for a change before it answered. The remaining time until the answer
    /// arrives is spent in the network and in both daemons.
    #[serde(rename = "held")]
    pub waited: Millis,
    /// The latest revision of the store that the sender knows.
    pub revision: Revision,
    /// Whether the sender keeps boxes that the store no longer lists, as after an outage. The changes
    /// after the revision are then not sufficient to reach the state of the store.
    pub keeps_unlisted: bool,
    /// Whether the batch is a snapshot, so that entries missing in it were removed.
    pub whole: bool,
    /// The configuration, if it is newer than that of the requester.
    pub config: Option<Arc<PackedBody>>,
    /// The changes.
    pub batch: PackedBatch,
}
