//! Permits to send one request to one endpoint.

/// Allows one request to be sent to the endpoint that it was issued for.
///
/// Only [`crate::EndpointBackpressure`] issues permits, after checking the endpoint's backpressure,
/// and the code that sends a caller's request requires one. A path that skips the check therefore
/// does not compile.
#[derive(Debug)]
#[must_use = "a request that is not sent after all is to be counted as ended"]
pub struct SendPermit {
    is_after_backoff: bool,
}

impl SendPermit {
    pub(crate) fn new(is_after_backoff: bool) -> Self {
        Self { is_after_backoff }
    }

    /// Returns whether the endpoint's backoff has just ended, in which case its answer has to be
    /// reported.
    pub fn is_after_backoff(&self) -> bool {
        self.is_after_backoff
    }
}
