//! How answers name the requests that they belong to.

use hyper::header::{HeaderMap, HeaderValue};

/// The names that requests carry and answers carry back, in one protocol.
pub trait AnswerNames: 'static {
    /// Returns what the answer to a request has to name, or `None` if that is nothing.
    fn request_name(headers: &HeaderMap) -> Option<HeaderValue>;

    /// Returns whether an answer names the request with this name, and no other. The answer to a
    /// request without a name names none.
    fn is_answer_to(name: Option<&HeaderValue>, answer: &HeaderMap) -> bool;

    /// Returns whether an answer comes from a server that carries no names back. It is taken only on a
    /// connection that has carried nothing else.
    fn may_lack_name(_answer: &HeaderMap) -> bool {
        false
    }

    /// Names a call of the daemon's own, if the protocol has names for these.
    fn name_call(_headers: &mut HeaderMap) {}
}

/// A protocol whose answers name nothing.
#[derive(Clone, Copy, Debug)]
pub struct NoNames;

impl AnswerNames for NoNames {
    fn request_name(_headers: &HeaderMap) -> Option<HeaderValue> {
        None
    }

    fn is_answer_to(name: Option<&HeaderValue>, _answer: &HeaderMap) -> bool {
        name.is_none()
    }
}
