//! Clients for external services: the platform's key-value service and box inventory, and the
//! control interface of model engines.
//!
//! The daemon's duties use the services through the traits [`KeyValue`] and [`BoxList`]; the
//! clients speak HTTP with JSON.

mod adaptive_client;
mod advertised_limit;
mod answer_head;
mod answer_names;
mod answer_pool;
mod body_buffer;
mod body_error;
mod boot_time;
mod buffer_budget;
mod call_ids;
mod call_pool;
mod caller_body;
mod connection_driver;
mod connection_headers;
mod connection_intake;
mod endpoint_pool;
mod engine_client;
mod holding_body;
mod http_pool;
mod http_server;
mod identified_answer;
mod inventory;
mod json_call;
mod kept_connection;
mod key_value;
mod platform_client;
mod pooled_answer;
mod pooled_connection;
mod received_bytes;
mod reopening_listener;
mod request_tries;
mod requested_backoff;
mod send_error;
mod site_driver;
mod watch_pools;

pub use adaptive_client::{AdaptiveClient, WatchAnswer};
pub use advertised_limit::AdvertisedLimit;
pub use answer_head::AnswerHead;
pub use answer_names::{AnswerNames, NoNames};
pub use answer_pool::AnswerPool;
pub use body_buffer::BodyBuffer;
pub use body_error::BodyError;
pub use boot_time::{advance_clock, since_boot};
pub use buffer_budget::{BufferBudget, BufferReservation, MemoryContended};
pub use call_ids::{CALL_ID, CallIds, echo_call_id, serve_calls};
pub use call_pool::CallPool;
pub use caller_body::{CallerBody, CallerDisconnected, EventSender, IncompleteAnswer};
pub use connection_headers::remove_connection_headers;
pub use connection_intake::{ConnectionEnd, ConnectionIntake, NotTaken, TakenConnection};
pub use endpoint_pool::EndpointPool;
pub use engine_client::{EPOCH_HEADER, EngineClient, EngineError, NOT_RUN_HEADER};
pub use holding_body::HoldingBody;
pub use http_pool::{HttpPool, IdleSend, OpenConnection, PooledBody};
pub use http_server::{CallerAddress, MAX_HEAD_BYTES, serve_http, serve_through};
pub use identified_answer::{IdentifiedAnswer, IdentifiedHead, WholeAnswer};
pub use inventory::{BoxList, Inventory};
pub use json_call::{
    Answer, AnswerProgress, CallError, CallLimits, call, call_box, call_while_arriving,
    connect_timeout, to_json,
};
pub use key_value::{Changes, KeyValue, Lease, MAX_VALUE_BYTES, PlatformError, Swap};
pub use platform_client::{PlatformClient, WireLease, WireRecord, WireRecords, WireRevision};
pub use pooled_answer::PooledAnswer;
pub use request_tries::RequestTries;
pub use requested_backoff::RequestedBackoff;
pub use send_error::SendError;
pub use site_driver::{
    AnswerHeaders, AttemptHeaders, BoxCall, FormatError, RequestHeaders, SiteDriver,
};
