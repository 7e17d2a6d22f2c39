//! Serving a site, whose store holds one configuration of routes and one entry per box, written by
//! the box itself.

mod active_attempt;
mod attempt_cancellation;
mod body_reading;
mod box_calls;
mod box_client;
mod box_entries;
mod box_log;
mod box_queries;
mod caller_intake;
mod caller_load;
mod capacity;
mod carried_requests;
mod carrier_client;
mod carrying;
mod catching_up;
mod change_reading;
mod change_sharing;
mod change_source;
mod cold_checking;
mod confinements;
mod control;
mod control_duty;
mod crash_evidence;
mod crash_watch;
mod domain_control;
mod domain_records;
mod endpoint_call;
mod endpoint_signals;
mod evacuation_state;
mod event_stream;
mod failure_log;
mod frontend;
mod frontend_duty;
mod grace_period;
mod held_suspects;
mod hint;
mod limit_exchange;
mod load_exchange;
mod machine_gauge;
mod open_attempts;
mod open_reads;
mod opened_update;
#[cfg(test)]
mod opened_update_tests;
mod operator_watch;
mod outage_witnesses;
mod pages;
mod path_checks;
mod path_search;
mod path_taken;
mod peer_listener;
mod peer_selector;
mod read_step;
mod reader_list;
mod refused_request;
mod refused_values;
mod replica_stream;
mod request;
mod request_attempts;
mod request_handler;
mod retry_shares;
mod signal_log;
mod site_state;
#[cfg(test)]
mod site_state_tests;
mod store_reads;
mod store_restore;
mod store_watch;
mod suspect_writer;
mod trials;

pub(crate) use carried_requests::CarriedCount;
pub(crate) use change_source::ChangeSource;
pub(crate) use hint::Hint;
pub(crate) use refused_values::RefusedKind;

/// The platform driver of this build.
pub(crate) type Driver = cherrystand_site::Site;
