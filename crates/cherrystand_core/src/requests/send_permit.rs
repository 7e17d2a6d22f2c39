//! Leave to send one request to one endpoint.

/// Allows one request to be sent to the endpoint that it was given for.
///
/// Only [`crate::EndpointBackpressure`] makes one, after it has looked at what the endpoint asked for, and what sends a
/// caller's request takes one: a path that forgets to look does not compile.
#[derive(Debug)]
#[must_use = "a request that is not sent after all is to be counted as ended"]
pub struct SendPermit {
    is_after_backoff: bool,
}

impl SendPermit {
    pub(crate) fn new(is_after_backoff: bool) -> Self {
        Self { is_after_backoff }
    }

    /// Tells whether the endpoint's rest has just ended, so that it matters how it answers.
    pub fn is_after_backoff(&self) -> bool {
        self.is_after_backoff
    }
}
