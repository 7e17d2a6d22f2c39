//! What a daemon tells a peer of all the daemons that it knows.

use serde::{Deserialize, Serialize};

use crate::{Heartbeat, Millis};

/// Tells of all daemons that are not dead, the teller among them.
///
/// Daemons exchange this four times a second, and between two exchanges hardly ever more changes
/// than how often each beat and when. A list of 295 heartbeats has 13.6 KB, their beats 1.2 KB.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Digest {
    /// Each heartbeat and how long ago it was given.
    Whole(Vec<(Heartbeat, Millis)>),
    /// The same for a peer that knows all but these two numbers of each.
    Beats {
        /// The sum of what the teller knows beside the beats; the hearer's has to be the same.
        roster: u64,
        /// The beat and the age of each heartbeat, in the order of the daemons' names.
        beats: Vec<(u64, Millis)>,
    },
}
