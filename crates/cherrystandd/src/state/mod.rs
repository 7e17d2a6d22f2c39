//! The state of one daemon, owned by the state duty and published to the others as a [`View`].

mod event;
mod node_state;
mod routes;
mod view;

pub(crate) use event::StateEvent;
pub(crate) use node_state::NodeState;
pub(crate) use routes::{RouteGroup, RouteKind, RouteTarget, build_routes};
pub(crate) use view::{Versioned, View};
