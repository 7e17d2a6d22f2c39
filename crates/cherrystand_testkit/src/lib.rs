//! Stand-ins for the platform and for endpoints, for tests and demonstrations.
//!
//! Each is a small fake at an interface; none simulates a cluster.

mod engine {
    pub(crate) mod answer;
    pub(crate) mod stand_in;
}
mod http;
mod platform {
    pub(crate) mod stand_in;
    pub(crate) mod store;
}
mod service_stand_in;

pub use engine::answer::Prompt;
pub use engine::stand_in::{EngineBody, EngineKnobs, EngineSetup, EngineStandIn, Executions};
pub use platform::stand_in::{CallCounts, PlatformKnobs, PlatformStandIn};
pub use platform::store::{Rate, Store};
pub use service_stand_in::{ServiceAnswer, ServiceKnobs, ServiceStandIn};
