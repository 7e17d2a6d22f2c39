//! What requests tell of boxes.

use cherrystand_core::BoxId;

/// What the request path tells the duty that watches over boxes.
#[derive(Clone, Debug)]
pub(crate) enum Hint {
    /// Every stream of a replica has gone silent.
    Stalled(BoxId),
    /// A box refuses connections or does not answer any.
    Unreachable(BoxId),
    /// A box says in its answers that it leaves.
    Leaves(BoxId),
}
