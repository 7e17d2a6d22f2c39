//! What the request path observes about boxes.

use cherrystand_core::BoxId;

/// An observation that the request path reports to the duty that monitors boxes.
#[derive(Clone, Debug)]
pub(crate) enum Hint {
    /// A replica is stalled; the box is its leader.
    Stalled(BoxId),
    /// A box refuses connections, or connecting to it times out.
    Unreachable(BoxId),
    /// A box has announced in an answer that it is leaving.
    Leaving(BoxId),
}
