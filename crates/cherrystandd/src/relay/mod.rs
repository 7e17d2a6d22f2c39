//! The way of a request from its caller to an endpoint and back.

mod admitted;
mod answer;
mod attempt;
mod body;
mod call;
mod core;
mod flow;
pub(crate) mod headers;
mod notes;
mod relay_state;
mod status_pages;
mod stream;
mod waiting;

pub(crate) use answer::plain_text;
pub(crate) use body::RelayBody;
pub(crate) use flow::handle;
pub(crate) use notes::NoteQuestion;
pub(crate) use relay_state::Relay;
