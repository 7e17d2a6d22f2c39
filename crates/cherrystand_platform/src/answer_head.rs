//! The head of an answer as the HTTP library read it.

use cherrystand_core::{AnswerFraming, MalformedAnswer};
use hyper::header::{CONTENT_LENGTH, HeaderValue, TRANSFER_ENCODING};
use hyper::{Response, Version};

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
