//! The daemon: a kernel, the duties that it runs, and the state that they share.
//!
//! docs/ARCHITECTURE.md describes how a request and a change of configuration pass through these
//! modules.

mod claim_writer;
mod claims;
mod clock;
mod config_versions;
mod counting_client;
mod crowding;
mod duties;
mod duty_context;
mod endpoint_contact;
mod kernel;
mod keys;
mod last_time;
mod logging;
mod loop_idle_time;
mod metrics;
mod operator;
mod relay;
mod settings;
mod site;
mod state;
mod store_freshness;
mod write_ids;

pub use claim_writer::ClaimWriter;
pub use clock::Clock;
pub use duty_context::{DutyContext, DutyError, StopPhase};
pub use kernel::{Duty, DutyScope, Kernel};
pub use logging::start_logging;
pub use metrics::Metrics;
pub use operator::{OperatorError, WorkspaceChange, Written};
pub use settings::{
    Limits, Listen, LoadSettingsError, Platform, Repair, Settings, SiteSettings, Stop,
};
