//! The platform's lagging list of boxes.

use cherrystand_core::{BoxInfo, NodeId};
use serde::{Deserialize, Serialize};

use crate::PlatformError;

/// Holds the boxes and daemons that the platform lists.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Inventory {
    /// The list's version; it grows with each change.
    pub version: u64,
    /// The boxes that model engines run on.
    pub boxes: Vec<BoxInfo>,
    /// The daemons that there should be.
    pub nodes: Vec<NodeId>,
}

/// Reads the platform's list of boxes.
#[allow(async_fn_in_trait, reason = "each duty drives its client on its own thread")]
pub trait BoxList {
    /// Reads the whole list, which may lag behind what is there.
    ///
    /// # Errors
    ///
    /// Returns a [`PlatformError`] when the platform does not answer.
    async fn inventory(&self) -> Result<Inventory, PlatformError>;
}
