//! Helpers to read requests and to build answers.

use bytes::Bytes;
use http_body_util::BodyExt;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::{Request, Response, StatusCode};
use serde::Serialize;
use serde::de::DeserializeOwned;

/// The body of an answer that is sent in one piece.
pub(crate) type FullBody = Full<Bytes>;

/// Returns an answer with a JSON body.
pub(crate) fn json<T: Serialize>(status: StatusCode, value: &T) -> Response<FullBody> {
    let text = serde_json::to_vec(value).unwrap_or_default();
    let mut answer = Response::new(Full::new(Bytes::from(text)));
    *answer.status_mut() = status;
    let content_type = hyper::header::HeaderValue::from_static("application/json");
    answer.headers_mut().insert(hyper::header::CONTENT_TYPE, content_type);
    answer
}

/// Returns an answer with an empty body.
pub(crate) fn empty(status: StatusCode) -> Response<FullBody> {
    let mut answer = Response::new(Full::new(Bytes::new()));
    *answer.status_mut() = status;
    answer
}

/// Reads a request's body to its end, or returns `None` if it is incomplete.
pub(crate) async fn read_body(req: Request<Incoming>) -> Option<Bytes> {
    let body = req.into_body().collect().await.ok()?;
    Some(body.to_bytes())
}

/// Reads a request's body as JSON, or returns `None` if it is incomplete or invalid.
pub(crate) async fn read_json<T: DeserializeOwned>(req: Request<Incoming>) -> Option<T> {
    let body = read_body(req).await?;
    serde_json::from_slice(&body).ok()
}

/// Returns the value of a query parameter as a number, or `None` if it is missing or invalid.
pub(crate) fn query_number(req: &Request<Incoming>, name: &str) -> Option<u64> {
    query(req, name)?.parse().ok()
}

/// Returns the value of a query parameter, without percent-decoding.
pub(crate) fn query<'a>(req: &'a Request<Incoming>, name: &str) -> Option<&'a str> {
    let pairs = req.uri().query()?.split('&');
    let found = pairs.filter_map(|pair| pair.split_once('=')).find(|(key, _)| *key == name);
    found.map(|(_, value)| value)
}
