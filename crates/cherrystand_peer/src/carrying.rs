//! How a daemon asks a peer to carry a request to an endpoint that its own link doesn't reach.

use cherrystand_core::BoxId;
use serde::{Deserialize, Serialize};

/// The path at which a peer is asked whether it reaches an endpoint.
pub const REACH_PATH: &str = "/reach";

/// The header that names the endpoint of a request that a peer is to carry.
pub const CARRY_TO: &str = "cherrystand-carry-to";

/// The header of a request that was sent before, which the peer sends on a connection that has carried
/// nothing.
pub const CARRY_AGAIN: &str = "cherrystand-carry-again";

/// The header in which a peer says how carrying a request ended.
pub const CARRY_END: &str = "cherrystand-carry-end";

/// A question whether a peer can connect to an endpoint; the answer is a
/// [`ReachReport`](cherrystand_core::ReachReport).
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReachQuery {
    /// The endpoint, by the id under which the store lists it.
    pub endpoint: BoxId,
}

/// How carrying a request ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CarryEnd {
    /// The endpoint answered; status, headers and body are its own.
    Answered,
    /// The peer could not connect to the endpoint; nothing was sent.
    Missed,
    /// The peer takes no more requests; nothing was sent.
    Full,
    /// The peer doesn't know the endpoint or the daemon that asks; nothing was sent.
    Unlisted,
    /// The endpoint's connection failed after a byte of the request may have been written.
    Lost,
}

impl CarryEnd {
    /// Every way in which carrying can end.
    pub const ALL: [Self; 5] =
        [Self::Answered, Self::Missed, Self::Full, Self::Unlisted, Self::Lost];

    /// Returns the value of the header [`CARRY_END`], which metrics use as well.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Answered => "answered",
            Self::Missed => "missed",
            Self::Full => "full",
            Self::Unlisted => "unlisted",
            Self::Lost => "lost",
        }
    }

    /// Reads the value of the header [`CARRY_END`].
    pub fn parse(value: &str) -> Option<Self> {
        Self::ALL.into_iter().find(|end| end.as_str() == value)
    }
}
