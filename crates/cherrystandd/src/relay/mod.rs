//! The way of a request from its caller to an endpoint and back.

mod answer;
mod attempt;
mod body;
mod call;
mod core;
mod flow;
mod headers;
mod notes;
mod stream;

pub(crate) use answer::plain_text;
pub(crate) use body::RelayBody;
pub(crate) use flow::{Relay, handle};
pub(crate) use notes::NoteQuestion;
