//! Headers that the daemon reads, writes or removes.

use cherrystand_core::Millis;
use cherrystand_platform::remove_connection_headers;
use hyper::HeaderMap;
use hyper::header::{HOST, HeaderName, HeaderValue};

/// The request's id; an id set by the caller is kept.
pub(crate) const REQUEST_ID: HeaderName = HeaderName::from_static("x-request-id");

/// Whether the request was run, in an answer.
pub(crate) const OUTCOME: HeaderName = HeaderName::from_static("cherrystand-outcome");

/// After how many milliseconds the caller may retry, in a refusal.
pub(crate) const RETRY_AFTER_MS: HeaderName = HeaderName::from_static("cherrystand-retry-after-ms");

/// How many milliseconds the sender of a request waits for its answer.
pub(crate) const DEADLINE_MS: HeaderName = HeaderName::from_static("cherrystand-deadline-ms");

/// The idempotency key of a call that must not be run more than once.
pub(crate) const IDEMPOTENCY_KEY: HeaderName = HeaderName::from_static("idempotency-key");

/// The longest id or key accepted, in bytes.
const MAX_NAME_BYTES: usize = 256;

/// The longest time that a caller can ask to wait; longer ones are cut to it.
const MAX_DEADLINE: Millis = Millis(3_600_000);

/// A header has an invalid value.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct InvalidHeader;

/// Reads a header that holds an id or a key.
pub(crate) fn read_name(
    headers: &HeaderMap,
    name: &HeaderName,
) -> Result<Option<String>, InvalidHeader> {
    let Some(value) = headers.get(name) else {
        return Ok(None);
    };
    let text = value.to_str().map_err(|_| InvalidHeader)?;
    if text.is_empty() || text.len() > MAX_NAME_BYTES {
        return Err(InvalidHeader);
    }
    Ok(Some(text.to_owned()))
}

/// Reads how long the caller waits, if it says so.
pub(crate) fn read_deadline(headers: &HeaderMap) -> Result<Option<Millis>, InvalidHeader> {
    let Some(text) = read_name(headers, &DEADLINE_MS)? else {
        return Ok(None);
    };
    let timeout: u64 = text.parse().map_err(|_| InvalidHeader)?;
    Ok(Some(Millis(timeout).min(MAX_DEADLINE)))
}

/// Builds the headers of an attempt from those of the caller's request.
pub(crate) fn attempt_headers(
    caller: &HeaderMap,
    host: &str,
    request: &str,
    remaining_time: Millis,
    epoch: Option<u64>,
) -> HeaderMap {
    let mut headers = caller.clone();
    remove_connection_headers(&mut headers);
    headers.remove(cherrystand_platform::EPOCH_HEADER);
    let mut set = |name: HeaderName, value: &str| {
        if let Ok(value) = HeaderValue::from_str(value) {
            headers.insert(name, value);
        }
    };
    set(HOST, host);
    set(REQUEST_ID, request);
    set(DEADLINE_MS, &remaining_time.0.to_string());
    if let Some(epoch) = epoch {
        let name = HeaderName::from_static(cherrystand_platform::EPOCH_HEADER);
        set(name, &epoch.to_string());
    }
    headers
}
