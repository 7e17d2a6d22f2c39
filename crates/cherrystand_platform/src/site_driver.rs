//! What a deployment's platform has to bring where routes are configured and boxes tell of
//! themselves through the store.

use std::net::SocketAddr;

use bytes::Bytes;
use cherrystand_core::{BoxId, MemberOrder, Millis, OrderEnd, SiteBox, SiteConfig};
use hyper::header::{HeaderMap, HeaderValue};
use hyper::{Method, StatusCode};

use crate::{AdvertisedLimit, KeyValue, RequestedBackoff};

/// Tells that a value is not what the platform's protocol says.
#[derive(Debug, thiserror::Error)]
#[error("`{key}` is not what the platform's protocol says: {reason}")]
pub struct FormatError {
    /// Where the value stands.
    pub key: String,
    /// What is wrong with it.
    pub reason: String,
}

/// What a caller's head says of its request.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct RequestHeaders {
    /// The request's id.
    pub id: Option<String>,
    /// How long its caller will wait.
    pub timeout: Option<Millis>,
    /// The key that it brings.
    pub api_key: Option<String>,
    /// The model that it asks for.
    pub model: Option<String>,
    /// The tokens of its prompt.
    pub prompt_tokens: Option<u32>,
    /// The id of the event after which its stream is to go on.
    pub last_event_id: Option<u64>,
}

/// What an attempt at an endpoint says beyond the caller's own head.
#[derive(Clone, Debug, PartialEq)]
pub struct AttemptHeaders<'a> {
    /// The box that is meant.
    pub target: &'a BoxId,
    /// How long the caller still waits.
    pub time_left: Millis,
    /// The tenant that the caller's key stands for.
    pub tenant: Option<&'a str>,
    /// The id of the last event that the caller has.
    pub last_event_id: Option<u64>,
    /// Its priority among those that wait at the engine, 0 the most urgent of ten.
    pub priority: Option<u8>,
}

/// What the head of an endpoint's answer says.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct AnswerHeaders {
    /// The id of the request that it answers.
    pub request: Option<String>,
    /// Whether the endpoint says that it did not run the request.
    pub not_run: bool,
    /// Whether the answer is the endpoint's own word, sealed.
    pub sealed: bool,
    /// How long the endpoint asks this node to leave it alone.
    pub requested_backoff: RequestedBackoff,
    /// How many requests a second the endpoint takes from all nodes together, where it says so.
    pub limit: AdvertisedLimit,
    /// Whether the endpoint says that it leaves.
    pub leaving: bool,
    /// How much longer the endpoint is cold, where it says so.
    pub cold_remaining: Option<Millis>,
}

/// A call to a box.
#[derive(Clone, Debug)]
pub struct BoxCall {
    /// The method.
    pub method: Method,
    /// The path.
    pub path: String,
    /// Headers of its own.
    pub headers: HeaderMap,
    /// The body.
    pub body: Bytes,
}

/// Speaks the way of one platform: names, formats and calls, and no decisions.
pub trait SiteDriver: 'static {
    /// The client of its store.
    type Store: KeyValue;

    /// The key that the operators' configuration stands under.
    const CONFIG_KEY: &'static str;

    /// The prefix of all keys that operators write, the configuration's among them.
    const OPERATOR_PREFIX: &'static str;

    /// The prefix of the keys that stand for emptied availability zones, whatever their values; the zone's name
    /// follows.
    const EVACUATED_PREFIX: &'static str;

    /// The prefix of the keys that boxes tell of themselves under.
    const BOX_PREFIX: &'static str;

    /// The path at which the balancer asks whether a node is ready.
    const READY_PATH: &'static str;

    /// Creates a client of the store.
    fn store(address: SocketAddr) -> Self::Store;

    /// Reads a configuration.
    ///
    /// # Errors
    ///
    /// Returns a [`FormatError`] where it is none.
    fn read_config(body: &str) -> Result<SiteConfig, FormatError>;

    /// Reads what a box tells of itself.
    ///
    /// # Errors
    ///
    /// Returns a [`FormatError`] where it is not what boxes tell.
    fn read_box(key: &str, body: &str) -> Result<SiteBox, FormatError>;

    /// Returns the key that a box tells of itself under.
    fn box_key(id: &BoxId) -> String;

    /// Reads the head of a caller's request.
    fn read_request(headers: &HeaderMap) -> RequestHeaders;

    /// Turns a caller's head into that of an attempt.
    fn write_attempt(headers: &mut HeaderMap, values: &AttemptHeaders<'_>);

    /// Reads the head of an endpoint's answer.
    fn read_answer(status: StatusCode, headers: &HeaderMap) -> AnswerHeaders;

    /// Writes when to come back into a refusal's head.
    fn write_retry_after(headers: &mut HeaderMap, after: Millis);

    /// Names the request that an answer of the node's own belongs to.
    fn write_request_id(headers: &mut HeaderMap, id: &HeaderValue);

    /// Returns the call that carries an order with its fence.
    fn order_call(order: &MemberOrder, fence: u64) -> BoxCall;

    /// Reads what became of an order from the answer's status.
    fn order_end(status: StatusCode) -> OrderEnd;

    /// Reads when a box started from its answer to that question, in Unix milliseconds, where it
    /// tells.
    fn read_start_time(body: &[u8]) -> Option<u64>;

    /// Returns the call that asks a box how it is.
    fn report_call(target: &BoxId) -> BoxCall;
}
