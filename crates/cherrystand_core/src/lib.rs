//! Serving decisions as pure functions and state machines.
//!
//! Nothing in this crate does I/O, reads a clock or draws random numbers. Its inputs are times,
//! events and seeds; its outputs are records to write, orders to send and choices. A failure can
//! therefore be replayed from its inputs, and the crate can run on any driver, including a
//! simulation.
//!
//! - `config`: the configuration written by operators.
//! - `control`: plans, placement, the replica lifecycle, repair and rollout.
//! - `requests`: admission, routing, retries, outcomes and claims.
//! - `site`: routes, replicas and choices for a platform whose store holds one configuration for
//!   all.
//! - `nodes`: membership, gossip between daemons, evidence and its age.

mod counters;
mod millis;
mod names;

mod config {
    pub(crate) mod class;
    pub(crate) mod model_group;
    pub(crate) mod service_group;
    pub(crate) mod settings_error;
    pub(crate) mod workspace_config;
}

mod control {
    pub(crate) mod controller;
    pub(crate) mod desired_replica;
    pub(crate) mod domain_change;
    pub(crate) mod domain_record;
    pub(crate) mod explanation;
    pub(crate) mod fleet;
    pub(crate) mod formed_replicas;
    pub(crate) mod lifecycle;
    pub(crate) mod observation;
    pub(crate) mod order;
    pub(crate) mod orders;
    pub(crate) mod placement;
    pub(crate) mod plan;
    pub(crate) mod ready_since;
    pub(crate) mod repair;
    pub(crate) mod repair_policy;
    pub(crate) mod rollout;
    pub(crate) mod workspace_record;
}

mod requests {
    pub(crate) mod admission;
    pub(crate) mod answer_framing;
    pub(crate) mod circuit_breaker;
    pub(crate) mod claim;
    pub(crate) mod cold_period;
    pub(crate) mod concurrency_limit;
    pub(crate) mod connection_gate;
    pub(crate) mod endpoint_backpressure;
    pub(crate) mod endpoint_rate_limits;
    pub(crate) mod fruitless_bytes;
    pub(crate) mod head_scan;
    pub(crate) mod idle_connections;
    pub(crate) mod idle_time;
    pub(crate) mod known_rate_limit;
    pub(crate) mod leaving_incarnations;
    pub(crate) mod machine_load;
    pub(crate) mod outcome;
    pub(crate) mod rate_limit_ledger;
    pub(crate) mod rate_limit_message;
    pub(crate) mod rate_limit_permits;
    mod rate_limited_endpoint;
    pub(crate) mod refusal;
    pub(crate) mod request_rate;
    pub(crate) mod retry;
    pub(crate) mod router;
    pub(crate) mod seeded_rng;
    pub(crate) mod send_permit;
    pub(crate) mod service_times;
    pub(crate) mod small_parts;
    pub(crate) mod surplus_bytes;
    pub(crate) mod typical_latency;
    pub(crate) mod wait_queue;
    pub(crate) mod waiting_answers;
}

mod nodes {
    pub(crate) mod call_history;
    pub(crate) mod carrier_regions;
    pub(crate) mod catch_up;
    pub(crate) mod change_log;
    pub(crate) mod digest;
    pub(crate) mod documents;
    pub(crate) mod endpoint_paths;
    pub(crate) mod era_tracker;
    pub(crate) mod fan_out;
    pub(crate) mod freshness;
    pub(crate) mod liveness_probe;
    pub(crate) mod membership;
    pub(crate) mod propagation_budget;
    pub(crate) mod rate_limit_owner;
    pub(crate) mod reader_list;
    pub(crate) mod readers;
    pub(crate) mod relays;
    pub(crate) mod replica_evidence;
    pub(crate) mod running_time;
    pub(crate) mod shutdown_plan;
    pub(crate) mod store_answer_time;
    pub(crate) mod store_outage;
    pub(crate) mod store_reachability;
    pub(crate) mod task_ownership;
    pub(crate) mod tombstones;
}

mod site {
    pub(crate) mod allowed_regions;
    pub(crate) mod arrival_shares;
    pub(crate) mod attempt_ledger;
    pub(crate) mod box_incarnations;
    pub(crate) mod capacity_planner;
    pub(crate) mod cold_boxes;
    pub(crate) mod cold_checks;
    pub(crate) mod confinement;
    pub(crate) mod crash_suspects;
    pub(crate) mod crash_time;
    pub(crate) mod crash_trials;
    pub(crate) mod crash_verdicts;
    pub(crate) mod domain_draft;
    pub(crate) mod domain_former_assignments;
    pub(crate) mod domain_spares;
    pub(crate) mod earlier_tries;
    pub(crate) mod engine_priority;
    pub(crate) mod engine_spec;
    pub(crate) mod evacuations;
    pub(crate) mod event_progress;
    pub(crate) mod event_splitter;
    pub(crate) mod fingerprint;
    pub(crate) mod formation;
    pub(crate) mod homes;
    pub(crate) mod interrupted_answers;
    pub(crate) mod latency_model;
    pub(crate) mod load_balancer;
    pub(crate) mod load_balancer_limits;
    pub(crate) mod log_limiter;
    pub(crate) mod member_order;
    pub(crate) mod model_load;
    pub(crate) mod model_location;
    pub(crate) mod peer_loads;
    pub(crate) mod policy;
    pub(crate) mod progress_queries;
    pub(crate) mod retry_share;
    pub(crate) mod route_table;
    pub(crate) mod site_box;
    pub(crate) mod site_config;
    pub(crate) mod site_view;
    pub(crate) mod stall_evidence;
    pub(crate) mod stream_end;
    pub(crate) mod suspect;
    pub(crate) mod suspect_merging;
    pub(crate) mod suspect_record;
    pub(crate) mod target;
    pub(crate) mod trial_owners;
}

pub use config::class::Class;
pub use config::model_group::{LoadSpec, ModelGroup};
pub use config::service_group::{ServiceEndpoint, ServiceGroup};
pub use config::settings_error::{SettingsError, SettingsErrorKind, settings_from_toml};
pub use config::workspace_config::{MAX_BOXES_PER_REPLICA, WorkspaceConfig};
pub use control::controller::{Controller, ControllerInput, ControllerStep, DRAIN_GRACE};
pub use control::desired_replica::DesiredReplica;
pub use control::domain_change::MAX_MISSING_SHARE;
pub use control::domain_record::{
    Assignment, DomainRecord, FormerAssignment, MAX_EXPLANATIONS, Phase, RecordFault,
};
pub use control::explanation::{Evidence, Explanation};
pub use control::fleet::{BoxInfo, Fleet};
pub use control::formed_replicas::FormedReplicas;
pub use control::observation::{
    EngineReport, EngineState, MISSING_AFTER, MemberSummary, Observation, Observations,
    fresh_report,
};
pub use control::order::{Order, Task};
pub use control::placement::{Placement, PlacementError, Placer};
pub use control::plan::{
    BoxesByReplica, CapacityCost, Change, Plan, PlanError, ServiceChange, make_plan,
};
pub use control::ready_since::{ReadySince, SETTLED_AFTER};
pub use control::repair::{Prices, Repair, RepairCase, ReturnModel, choose_repair};
pub use control::repair_policy::{RepairPolicy, RepairRule};
pub use control::rollout::{ServingState, desired_in_domain, may_reload};
pub use control::workspace_record::{
    AcceptedChange, ConfirmError, MAX_HISTORY, MAX_PENDING_PLANS, Slot, WorkspaceRecord,
};
pub use counters::{Epoch, Era, Generation, Incarnation, RecentWrites, Revision, WriteId};
pub use millis::Millis;
pub use names::{
    BoxId, DomainId, GroupId, NameError, NodeId, PlanId, RegionId, ReplicaId, ServiceName,
    WorkspaceId, ZoneId,
};
pub use nodes::call_history::{CallHistory, CallId, CallStats};
pub use nodes::carrier_regions::CarrierRegions;
pub use nodes::catch_up::CatchUp;
pub use nodes::change_log::{ChangeLog, ChangesSince};
pub use nodes::digest::Digest;
pub use nodes::documents::{Document, Documents, Version};
pub use nodes::endpoint_paths::{
    CarrierFailure, EndpointPaths, PathSearch, ReachReport, SearchResult,
};
pub use nodes::era_tracker::{EraTracker, ReportedEra};
pub use nodes::fan_out::{FanOutTarget, fan_out};
pub use nodes::freshness::{FRESH_FOR, Freshness, ServeBy};
pub use nodes::liveness_probe::{
    LivenessProbe, MAX_SOUND_SILENCE, ProbeFailure, ProbeReason, ProbeVerdict, WITNESS_LEAD_TIME,
};
pub use nodes::membership::{
    DEAD_AFTER, FORGET_AFTER, Heartbeat, Liveness, Membership, PAUSE_GAP, SUSPECT_AFTER,
};
pub use nodes::propagation_budget::{PropagationBudget, PropagationFault};
pub use nodes::rate_limit_owner::rate_limit_owner_of;
pub use nodes::reader_list::{ListedReader, ReaderList, ReaderListPublisher};
pub use nodes::readers::{
    READERS_PER_ZONE, Source, SourceSelector, all_readers, distributors_of, poll_interval,
    poll_interval_of, readers_of, watch_interval,
};
pub use nodes::relays::{
    RELAYS_PER_ZONE, choose_gossip_peer, is_relay, relays_elsewhere, relays_of,
};
pub use nodes::replica_evidence::{EVIDENCE_TTL, EvidenceTable, ReplicaEvidence};
pub use nodes::running_time::RunningTime;
pub use nodes::shutdown_plan::{LateRequest, ShutdownPlan};
pub use nodes::store_answer_time::{StoreAnswerTime, WatchTime};
pub use nodes::store_outage::StoreOutage;
pub use nodes::store_reachability::StoreReachability;
pub use nodes::task_ownership::{owner_of, rank_by_hash};
pub use nodes::tombstones::Tombstones;
pub use requests::admission::{Admission, AdmissionLimits};
pub use requests::answer_framing::{AnswerFraming, BodyEnd, MalformedAnswer};
pub use requests::circuit_breaker::{CircuitBreaker, INITIAL_OPEN_TIME, MAX_OPEN_TIME};
pub use requests::claim::{
    CLAIM_SHARDS, CLAIM_TTL_SECS, CLAIM_USE_TIMEOUT, Claim, ClaimRecord, ClaimRequest,
    ClaimResponse, IdempotencyKey, MAX_CLAIMS,
};
pub use requests::cold_period::{ColdPeriod, ColdPeriodUpdate, ColdStart};
pub use requests::concurrency_limit::ConcurrencyLimit;
pub use requests::connection_gate::{ConnectionGate, TurnedAway};
pub use requests::endpoint_backpressure::{BackpressureState, EndpointBackpressure, MAX_BACKOFF};
pub use requests::endpoint_rate_limits::{
    EndpointRateLimits, ObservedRateLimit, RateLimitOwner, RateLimitRecipient, RateLimitStep,
};
pub use requests::fruitless_bytes::{MAX_FRUITLESS_BYTES, are_too_many_fruitless_bytes};
pub use requests::head_scan::HeadScan;
pub use requests::idle_connections::{DEFAULT_IDLE_CONNECTIONS, max_idle_connections};
pub use requests::idle_time::IdleTime;
pub use requests::leaving_incarnations::LeavingIncarnations;
pub use requests::machine_load::{LoadSample, MachineResource};
pub use requests::outcome::{AttemptEnd, Outcome};
pub use requests::rate_limit_message::{RateLimitMessage, RateLimitReport};
pub use requests::refusal::{Refusal, RefusalReason};
pub use requests::request_rate::RequestRate;
pub use requests::retry::{
    BUDGET_PER_MILLE, FailedAttempt, MAX_ATTEMPTS, NoRetry, RETRY_FLOOR_INTERVAL, RetryBudget,
    decide_retry,
};
pub use requests::router::{EndpointKey, EndpointSpec, GroupKey, NoEndpoint, Router};
pub use requests::seeded_rng::{SeededRng, hash_bytes, mix};
pub use requests::send_permit::SendPermit;
pub use requests::service_times::ServiceTimes;
pub use requests::small_parts::{MAX_SMALL_PARTS, are_too_many_small_parts};
pub use requests::surplus_bytes::may_belong_to_answer;
pub use requests::typical_latency::TypicalLatency;
pub use requests::wait_queue::{MAX_QUEUE_WAIT, WaitQueue};
pub use requests::waiting_answers::{WaitingAnswer, WaitingAnswers};
pub use site::allowed_regions::AllowedRegions;
pub use site::attempt_ledger::{AttemptLedger, FinalFailure};
pub use site::box_incarnations::BoxIncarnations;
pub use site::capacity_planner::{CapacityPlanner, DomainCapacity, HomeChange};
pub use site::cold_boxes::ColdBoxes;
pub use site::cold_checks::ColdChecks;
pub use site::confinement::confined_boxes;
pub use site::crash_suspects::{CrashSuspects, SUSPECT_TTL};
pub use site::crash_time::{CrashTime, Outlived};
pub use site::crash_verdicts::Verdict;
pub use site::earlier_tries::{ConnectionId, ConnectionUse, EarlierTries};
pub use site::engine_priority::{engine_priority, is_deferred};
pub use site::engine_spec::{EngineLoad, EngineSpec, ModelSpec};
pub use site::evacuations::{EvacuatedZones, Evacuations};
pub use site::event_progress::EventProgress;
pub use site::event_splitter::{EventSplitter, MAX_EVENT_BYTES, StreamEvent};
pub use site::fingerprint::Fingerprint;
pub use site::formation::{Formation, FormationInput, FormationStep, replica_name};
pub use site::homes::{home_models, second_models};
pub use site::interrupted_answers::{CrashCheck, InterruptedAnswers};
pub use site::latency_model::LatencyModel;
pub use site::load_balancer::{LoadBalancer, Prediction, RequestSpec, TargetKey};
pub use site::log_limiter::LogLimiter;
pub use site::member_order::{MemberOrder, MemberTask, OrderEnd};
pub use site::model_load::{ModelLoad, ModelLoads};
pub use site::peer_loads::{EndpointLoad, PeerLoads, ZoneLoads};
pub use site::policy::{ChoiceRule, Policy};
pub use site::progress_queries::{NEVER_SEEN_MS, ProgressQueries, answer_progress_query};
pub use site::retry_share::{RetryBounds, RetryShare};
pub use site::route_table::{RouteError, RouteMatch, RouteTable};
pub use site::site_box::{BoxStart, Member, MemberState, SiteBox};
pub use site::site_config::{CallerLimits, Route, RouteKind, Service, SiteConfig, Tenant};
pub use site::site_view::{AssignedBoxes, SiteView};
pub use site::stall_evidence::{PeerProgress, STALL_MARGIN, StallEvidence};
pub use site::stream_end::StreamEnd;
pub use site::suspect::MAX_CRASHES;
pub use site::suspect_record::{SuspectEntry, SuspectRecord};
pub use site::target::TargetSpec;
pub use site::trial_owners::TrialOwners;
