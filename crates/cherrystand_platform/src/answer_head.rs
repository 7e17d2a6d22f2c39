//! The head of an answer, as its readers get it and as it is passed on.

use cherrystand_core::{AnswerFraming, BodyEnd, MalformedAnswer};
use hyper::header::{CONTENT_LENGTH, HeaderValue, TRANSFER_ENCODING};
use hyper::http::response::Parts;
use hyper::{HeaderMap, Method, Response, StatusCode, Version};

use crate::connection_headers::remove_hop_by_hop_headers;

/// The status and the headers of an answer, without anything that belongs to the connection that brought
/// it: its HTTP version, its hop-by-hop headers and what the HTTP library notes of it.
///
/// An answer that is passed on gets these anew from the connection that it is sent on. With the version of
/// another connection, a body that breaks off could end like one that is complete.
#[derive(Clone, Debug)]
pub struct AnswerHead {
    status: StatusCode,
    headers: HeaderMap,
}

impl From<Parts> for AnswerHead {
    fn from(parts: Parts) -> Self {
        let Parts { status, mut headers, .. } = parts;
        remove_hop_by_hop_headers(&mut headers);
        Self { status, headers }
    }
}

impl AnswerHead {
    /// Returns the status.
    pub fn status(&self) -> StatusCode {
        self.status
    }

    /// Returns the headers.
    pub fn headers(&self) -> &HeaderMap {
        &self.headers
    }

    /// Returns the headers, without the status.
    pub(crate) fn into_headers(self) -> HeaderMap {
        self.headers
    }

    /// Takes a header out, which is returned.
    pub fn remove(&mut self, name: &str) -> Option<HeaderValue> {
        self.headers.remove(name)
    }

    /// Returns an answer with this head to a request with this method, to be sent on another connection.
    ///
    /// The server tells the length of the body that it sends. Where an answer has no body by definition,
    /// the length is that of another answer's body and stays.
    pub fn into_response<B>(mut self, method: &Method, body: B) -> Response<B> {
        if *method != Method::HEAD && self.status != StatusCode::NOT_MODIFIED {
            self.headers.remove(CONTENT_LENGTH);
        }
        let mut response = Response::new(body);
        *response.status_mut() = self.status;
        *response.headers_mut() = self.headers;
        response
    }
}

/// Checks that an answer is a final one whose end its head tells in one way only, and returns what tells
/// it.
///
/// The library reads a body with an unknown transfer coding until the connection ends, and ignores a
/// length beside a transfer coding.
pub(crate) fn check_framing<B>(answer: &Response<B>) -> Result<BodyEnd, MalformedAnswer> {
    let values = |name| answer.headers().get_all(name).into_iter().map(HeaderValue::as_bytes);
    let framing = AnswerFraming {
        status: answer.status().as_u16(),
        has_transfer_codings: answer.version() > Version::HTTP_10,
        encodings: values(TRANSFER_ENCODING),
        lengths: values(CONTENT_LENGTH),
    };
    framing.check()
}
