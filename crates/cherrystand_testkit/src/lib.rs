//! Stand-ins for the platform and for endpoints, and tools that load and test daemons.
//!
//! Each stand-in is a small fake of one interface; none simulates a cluster.
#![allow(
    clippy::disallowed_methods,
    reason = "stand-ins and callers measure short times, during which the machine is not suspended"
)]

mod domain {
    pub(crate) mod fake_box;
    pub(crate) mod fake_domain;
    pub(crate) mod repair_scenario;
}
mod engine {
    pub(crate) mod answer;
    pub(crate) mod running_request;
    pub(crate) mod stand_in;
}
mod http;
mod load {
    pub(crate) mod caller;
    pub(crate) mod mix;
    pub(crate) mod verdict;
}
mod platform {
    pub(crate) mod fake_key_value;
    pub(crate) mod stand_in;
    pub(crate) mod store;
}
mod processes;
mod service_stand_in;
mod site {
    pub(crate) mod box_answers;
    pub(crate) mod box_orders;
    pub(crate) mod box_wishes;
    pub(crate) mod endpoint_links;
    pub(crate) mod fake_site_domain;
    pub(crate) mod limit_checks;
    pub(crate) mod metadata_stand_in;
    pub(crate) mod site_box;
    pub(crate) mod site_setup;
    pub(crate) mod site_stand_in;
}
mod soak {
    pub(crate) mod callers;
    pub(crate) mod daemon;
    pub(crate) mod link;
    pub(crate) mod old_sends;
    pub(crate) mod run;
    pub(crate) mod run_record;
    pub(crate) mod schedule;
    pub(crate) mod surplus_answers;
}

pub use domain::fake_box::FakeBox;
pub use domain::fake_domain::{
    DOMAIN_STEP, DomainSetup, FakeController, FakeDomain, Losses, epochs_in_use,
};
pub use domain::repair_scenario::{LossWeights, RepairScenario, USER_WEIGHTS};
pub use engine::answer::Prompt;
pub use engine::stand_in::{EngineBody, EngineKnobs, EngineSetup, EngineStandIn, Executions};
pub use load::caller::{Caller, LoadRequest};
pub use load::mix::{Mix, MixOutcome, check_executions, send_mix};
pub use load::verdict::{Tally, Verdict, check_answer, check_refusal, check_service, check_stream};
pub use platform::fake_key_value::{CallFault, FakeKeyValue};
pub use platform::stand_in::{CallCounts, PlatformKnobs, PlatformStandIn};
pub use platform::store::{RateLimiter, Store};
pub use processes::{free_addresses, spawn};
pub use service_stand_in::{ServiceAnswer, ServiceKnobs, ServiceStandIn};
pub use site::box_answers::{CRASHES, EVENTS};
pub use site::box_wishes::{BoxWishes, LimitIn, SentSignal, Sheds, Signal, ignored_signals};
pub use site::endpoint_links::EndpointLinks;
pub use site::fake_site_domain::FakeSiteDomain;
pub use site::limit_checks::{LimitBound, exceeded_limits};
pub use site::metadata_stand_in::{MetadataStandIn, PageFault, StoreMode};
pub use site::site_box::{Arrival, BoxMode, ColdReport, Crash, EndedLeader};
pub use site::site_setup::{NodeSettings, site_config, whole_stream};
pub use site::site_stand_in::SiteStandIn;
pub use soak::link::{Link, LinkCut, LinkMode};
pub use soak::old_sends::OldSend;
pub use soak::run::{DEFAULT_SPAN, SoakOutcome, SoakSetup, daemon_program, run_soak};
pub use soak::run_record::{
    CallKind, CallOutcome, CallRecord, ColdInterval, CutInterval, Disturbance, RunRecord,
    SilentInterval, UnlistedInterval,
};
pub use soak::schedule::{
    CorruptEntry, Fault, FaultKind, Targets, draw_box_signals, draw_endpoint_cuts,
    draw_rate_limits, draw_restarts, draw_schedule, draw_silences, draw_slow_store,
    draw_store_restores, draw_surplus_answers, draw_zone_faults,
};
