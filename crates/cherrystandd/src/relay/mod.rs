//! Relays requests from callers to endpoints, and their answers back.

mod active_attempt;
mod admitted_request;
mod answer;
mod body;
mod call;
mod core;
pub(crate) mod headers;
mod queued_request;
mod relay_state;
mod request_handler;
mod request_history;
mod status_pages;
mod stream;

pub(crate) use answer::plain_text;
pub(crate) use body::RelayBody;
pub(crate) use relay_state::Relay;
pub(crate) use request_handler::handle;
pub(crate) use request_history::RequestLookup;
