//! Answers that are shown to belong to the request that they are taken for.

use bytes::Bytes;
use http_body_util::{BodyExt, Limited};
use hyper::header::{HeaderMap, HeaderValue};
use hyper::{Method, Response, StatusCode};

use crate::json_call::MAX_BOX_ANSWER_BYTES;
use crate::{
    AnswerHead, AnswerHeaders, AnswerNames, CallError, PooledAnswer, PooledBody, SiteDriver,
};

/// The head of an answer that names the request it is taken for.
///
/// A server may send an answer once more, late, in the place of the next one; only the name tells them
/// apart, so nothing else in a head can be read before.
#[derive(Clone, Debug)]
pub struct IdentifiedHead(AnswerHead);

impl IdentifiedHead {
    /// Identifies the head of an answer to a request with this name, or to one without. Returns `None`
    /// if it belongs to another request.
    pub fn identify<N: AnswerNames>(name: Option<&HeaderValue>, head: AnswerHead) -> Option<Self> {
        N::is_answer_to(name, head.headers()).then_some(Self(head))
    }

    /// Returns the status.
    pub fn status(&self) -> StatusCode {
        self.0.status()
    }

    /// Returns the headers.
    pub fn headers(&self) -> &HeaderMap {
        self.0.headers()
    }

    /// Takes a header out, which is returned.
    pub fn remove(&mut self, name: &str) -> Option<HeaderValue> {
        self.0.remove(name)
    }

    /// Does the same as [`AnswerHead::into_response`].
    pub fn into_response<B>(self, method: &Method, body: B) -> Response<B> {
        self.0.into_response(method, body)
    }
}

/// An answer whose body is still arriving.
pub struct IdentifiedAnswer {
    /// Its head.
    pub head: IdentifiedHead,
    /// Its body.
    pub body: PooledBody,
}

impl IdentifiedAnswer {
    /// Identifies an answer. The connection of one to another request is closed, and that of one without
    /// a name carries nothing afterwards.
    pub(crate) fn identify<N: AnswerNames>(
        name: Option<&HeaderValue>,
        answer: PooledAnswer,
    ) -> Option<Self> {
        let PooledAnswer { head, mut body } = answer;
        if N::is_answer_to(name, head.headers()) {
            return Some(Self { head: IdentifiedHead(head), body });
        }
        if N::may_lack_name(head.headers()) && body.is_first_on_connection() {
            body.close_after_use();
            return Some(Self { head: IdentifiedHead(head), body });
        }
        body.discard();
        None
    }

    /// Reads the whole answer.
    ///
    /// # Errors
    ///
    /// Returns [`CallError::AnswerInterrupted`] if it ends early or is too large.
    pub async fn read_whole(self) -> Result<WholeAnswer, CallError> {
        let body = Limited::new(self.body, MAX_BOX_ANSWER_BYTES)
            .collect()
            .await
            .map_err(|err| CallError::AnswerInterrupted(err.to_string()))?
            .to_bytes();
        Ok(WholeAnswer { head: self.head, body })
    }
}

impl From<IdentifiedAnswer> for PooledAnswer {
    fn from(answer: IdentifiedAnswer) -> Self {
        Self { head: answer.head.0, body: answer.body }
    }
}

/// An answer that has arrived to its end.
#[derive(Debug)]
pub struct WholeAnswer {
    /// Its head.
    pub head: IdentifiedHead,
    /// Its complete body.
    pub body: Bytes,
}

impl WholeAnswer {
    /// Returns what its head says.
    pub fn signals<D: SiteDriver>(&self) -> AnswerHeaders {
        D::read_answer(&self.head)
    }
}
