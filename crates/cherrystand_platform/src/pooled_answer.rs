//! An answer as it leaves a pool of connections.

use hyper::{HeaderMap, StatusCode};

use crate::{AnswerHead, PooledBody};

/// An answer whose body is still arriving. It may belong to another request.
pub struct PooledAnswer {
    /// Its head.
    pub head: AnswerHead,
    /// Its body.
    pub body: PooledBody,
}

impl PooledAnswer {
    /// Returns the status.
    pub fn status(&self) -> StatusCode {
        self.head.status()
    }

    /// Returns the headers.
    pub fn headers(&self) -> &HeaderMap {
        self.head.headers()
    }

    /// Returns the body.
    pub fn into_body(self) -> PooledBody {
        self.body
    }
}
