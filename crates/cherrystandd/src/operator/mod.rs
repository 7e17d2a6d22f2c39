//! The interface for operators.

mod api;
mod change;
mod error;
mod status;

pub(crate) use api::{Operators, handle};
pub(crate) use change::Changes;
pub(crate) use error::OperatorError;
pub(crate) use status::status_of;
