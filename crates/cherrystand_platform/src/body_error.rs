//! Why the body of an answer ended early.

use cherrystand_core::MalformedAnswer;

/// The reason why the rest of an answer can't be had.
#[derive(Debug, thiserror::Error)]
pub enum BodyError {
    /// The connection failed, or what came is no body.
    #[error("the answer broke off")]
    Interrupted(#[source] hyper::Error),
    /// The answer can't be told to be whole.
    #[error("the answer is malformed: {0}")]
    Malformed(#[source] MalformedAnswer),
}
