//! What one daemon knows, kept by one duty and published to the others.

mod event;
mod node_state;
mod routes;
mod view;

pub(crate) use event::StateEvent;
pub(crate) use node_state::NodeState;
pub(crate) use routes::{RouteGroup, RouteKind, RouteTarget, build_routes};
pub(crate) use view::{Versioned, View};
