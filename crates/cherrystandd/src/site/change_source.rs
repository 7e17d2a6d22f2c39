//! Where a change to the site's state came from.

use std::fmt;

use cherrystand_core::NodeId;

/// The sender of a change.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(crate) enum ChangeSource {
    /// The store itself.
    #[default]
    Store,
    /// A daemon that reads the store, or that reads from one that does.
    Peer(NodeId),
    /// Whoever passed a document on by gossip.
    Gossip,
}

impl fmt::Display for ChangeSource {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Store => f.write_str("the store"),
            Self::Peer(node) => node.fmt(f),
            Self::Gossip => f.write_str("gossip"),
        }
    }
}
