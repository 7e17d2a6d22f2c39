//! Whose word it is that a node knows something by.

use std::fmt;

use cherrystand_core::NodeId;

/// Says who told.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(crate) enum ChangeSource {
    /// The store itself.
    #[default]
    Store,
    /// A daemon that reads it, or that reads from one that does.
    Peer(NodeId),
}

impl fmt::Display for ChangeSource {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Store => f.write_str("the store"),
            Self::Peer(node) => node.fmt(f),
        }
    }
}
