//! The head of an answer as the HTTP library read it.

use cherrystand_core::{AnswerFraming, MalformedAnswer};
use hyper::header::{CONTENT_LENGTH, HeaderValue, TRANSFER_ENCODING};
use hyper::{HeaderMap, Method, Response, StatusCode, Version};

/// Checks that an answer is a final one whose end its head tells in one way only.
///
/// The library reads a body with an unknown transfer coding until the connection ends, and ignores a
/// length beside a transfer coding.
pub(crate) fn check_framing<B>(answer: &Response<B>) -> Result<(), MalformedAnswer> {
    let values = |name| answer.headers().get_all(name).into_iter().map(HeaderValue::as_bytes);
    let framing = AnswerFraming {
        status: answer.status().as_u16(),
        has_transfer_codings: answer.version() > Version::HTTP_10,
        encodings: values(TRANSFER_ENCODING),
        lengths: values(CONTENT_LENGTH),
    };
    framing.check()
}

/// Removes the length that the head of a buffered answer names, so that the server that passes the
/// answer on tells the length of what it sends.
///
/// Where the answer has no body by definition, the length is that of another answer's body and stays.
pub fn remove_length(headers: &mut HeaderMap, status: StatusCode, method: &Method) {
    let is_bodiless = *method == Method::HEAD || status == StatusCode::NOT_MODIFIED;
    if !is_bodiless {
        headers.remove(CONTENT_LENGTH);
    }
}
