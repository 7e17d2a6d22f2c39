//! The platform's inventory of boxes, which may be out of date.

use cherrystand_core::{BoxInfo, NodeId};
use serde::{Deserialize, Serialize};

use crate::PlatformError;

/// The boxes and daemons that the platform lists.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Inventory {
    /// The version of the list; each change increases it.
    pub version: u64,
    /// The boxes that model engines run on.
    pub boxes: Vec<BoxInfo>,
    /// The daemons that are expected to run.
    pub nodes: Vec<NodeId>,
}

/// Access to the platform's inventory.
#[allow(async_fn_in_trait, reason = "each duty drives its client on its own thread")]
pub trait BoxList {
    /// Reads the whole inventory, which may be out of date.
    ///
    /// # Errors
    ///
    /// Returns a [`PlatformError`] if the platform does not answer.
    async fn inventory(&self) -> Result<Inventory, PlatformError>;
}
