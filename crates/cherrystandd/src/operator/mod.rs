//! The HTTP interface for operators.

mod api;
mod change;
mod error;
mod status;

pub(crate) use api::{OperatorApi, handle};
pub use change::{WorkspaceChange, Written};
pub use error::OperatorError;
pub(crate) use status::status_of;
