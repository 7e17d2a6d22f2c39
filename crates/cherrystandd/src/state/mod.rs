//! What one daemon knows, kept by one duty and published to the others.

mod event;
mod node_state;
mod routes;
mod view;

pub(crate) use event::StateEvent;
pub(crate) use node_state::NodeState;
pub(crate) use routes::{RouteGroup, RouteKind, RouteTarget, routes_of};
pub(crate) use view::{Held, View};
