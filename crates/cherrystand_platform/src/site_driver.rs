//! The interface to a deployment's platform, for sites where operators configure routes and boxes
//! register themselves in the store.

use std::net::SocketAddr;

use bytes::Bytes;
use cherrystand_core::{BoxId, MemberOrder, Millis, OrderEnd, SiteBox, SiteConfig};
use hyper::header::{HeaderMap, HeaderValue};
use hyper::{Method, StatusCode};

use crate::{AdvertisedLimit, AnswerNames, IdentifiedHead, KeyValue, RequestedBackoff};

/// A value does not have the format of the platform's protocol.
#[derive(Debug, thiserror::Error)]
#[error("`{key}` is malformed: {reason}")]
pub struct FormatError {
    /// The key of the value in the store.
    pub key: String,
    /// What is wrong with the value.
    pub reason: String,
}

/// The values read from the headers of a caller's request.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct RequestHeaders {
    /// The id of the request.
    pub id: Option<String>,
    /// How long the caller waits for the answer.
    pub timeout: Option<Millis>,
    /// The API key of the caller.
    pub api_key: Option<String>,
    /// The requested model.
    pub model: Option<String>,
    /// The number of tokens of the prompt.
    pub prompt_tokens: Option<u32>,
    /// The ids of the parts of the prompt that other requests may share, in order.
    pub shared_parts: Vec<String>,
    /// The id of the event after which the stream has to continue.
    pub last_event_id: Option<u64>,
}

/// The header values that an attempt adds to the headers of the caller's request.
#[derive(Clone, Debug, PartialEq)]
pub struct AttemptHeaders<'a> {
    /// The box that has to run the request.
    pub target: &'a BoxId,
    /// How long the caller still waits for the answer.
    pub time_left: Millis,
    /// The tenant that the caller's API key belongs to.
    pub tenant: Option<&'a str>,
    /// The id of the last event that the caller received.
    pub last_event_id: Option<u64>,
    /// The priority in the queue of the engine, from 0 (most urgent) to 9.
    pub priority: Option<u8>,
}

/// The values read from the headers of an endpoint's answer.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct AnswerHeaders {
    /// Whether the endpoint states that it did not run the request.
    pub not_run: bool,
    /// Whether the answer carries a seal, which shows that the endpoint itself wrote it.
    pub sealed: bool,
    /// The backoff that the endpoint requests from this node.
    pub requested_backoff: RequestedBackoff,
    /// The request rate that the endpoint accepts from all nodes together, if advertised.
    pub limit: AdvertisedLimit,
    /// Whether the endpoint announces that it is leaving.
    pub leaving: bool,
    /// How much longer the endpoint is cold, if reported.
    pub cold_remaining: Option<Millis>,
}

/// A call to a box.
#[derive(Clone, Debug)]
pub struct BoxCall {
    /// The HTTP method.
    pub method: Method,
    /// The path of the URL.
    pub path: String,
    /// Additional headers.
    pub headers: HeaderMap,
    /// The body of the request.
    pub body: Bytes,
}

/// The names, formats and calls of one platform. A driver makes no decisions.
pub trait SiteDriver: AnswerNames {
    /// The client for the platform's store.
    type Store: KeyValue;

    /// The key of the operators' configuration.
    const CONFIG_KEY: &'static str;

    /// The prefix of all keys that operators write, including [`SiteDriver::CONFIG_KEY`].
    const OPERATOR_PREFIX: &'static str;

    /// The prefix of the keys that mark availability zones as evacuated, followed by the zone's name. The value
    /// doesn't matter.
    const EVACUATED_PREFIX: &'static str;

    /// The prefix of the keys that boxes register under.
    const BOX_PREFIX: &'static str;

    /// The path of the readiness check of the load balancer.
    const READY_PATH: &'static str;

    /// Creates a client for the store.
    fn store(address: SocketAddr) -> Self::Store;

    /// Parses the operators' configuration.
    ///
    /// # Errors
    ///
    /// Returns a [`FormatError`] if the configuration is malformed.
    fn read_config(body: &str) -> Result<SiteConfig, FormatError>;

    /// Parses the entry of a box.
    ///
    /// # Errors
    ///
    /// Returns a [`FormatError`] if the entry is malformed.
    fn read_box(key: &str, body: &str) -> Result<SiteBox, FormatError>;

    /// Returns the key of a box's entry.
    fn box_key(id: &BoxId) -> String;

    /// Reads the headers of a caller's request.
    fn read_request(headers: &HeaderMap) -> RequestHeaders;

    /// Turns the headers of a caller's request into those of an attempt.
    fn write_attempt(headers: &mut HeaderMap, values: &AttemptHeaders<'_>);

    /// Reads the status and the headers of an endpoint's answer.
    fn read_answer(head: &IdentifiedHead) -> AnswerHeaders;

    /// Sets the header of a rejection that says when to retry.
    fn write_retry_after(headers: &mut HeaderMap, after: Millis);

    /// Sets the request id in an answer that the node itself writes.
    fn write_request_id(headers: &mut HeaderMap, id: &HeaderValue);

    /// Returns the call that sends an order with its fencing token.
    fn order_call(order: &MemberOrder, fence: u64) -> BoxCall;

    /// Returns the outcome of an order from the status of the answer.
    fn order_end(status: StatusCode) -> OrderEnd;

    /// Reads when a box started from its answer to [`SiteDriver::report_call`], in Unix milliseconds,
    /// if it is reported.
    fn read_start_time(body: &[u8]) -> Option<u64>;

    /// Returns the call that reads the state of a box.
    fn report_call(target: &BoxId) -> BoxCall;

    /// Returns the call that checks the health of a box. The answer is read as any other.
    fn health_call(target: &BoxId) -> BoxCall;
}
