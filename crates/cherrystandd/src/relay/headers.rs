//! Headers that the daemon reads, writes or keeps to itself.

use cherrystand_core::Millis;
use hyper::HeaderMap;
use hyper::header::{
    CONNECTION, CONTENT_LENGTH, HOST, HeaderName, HeaderValue, PROXY_AUTHENTICATE,
    PROXY_AUTHORIZATION, TE, TRAILER, TRANSFER_ENCODING, UPGRADE,
};

/// Names a request; it is kept where the caller set it.
pub(crate) const REQUEST_ID: HeaderName = HeaderName::from_static("x-request-id");

/// Says in an answer whether the request was run.
pub(crate) const OUTCOME: HeaderName = HeaderName::from_static("cherrystand-outcome");

/// Says in a refusal when to come back, in milliseconds.
pub(crate) const RETRY_AFTER_MS: HeaderName = HeaderName::from_static("cherrystand-retry-after-ms");

/// Says how many milliseconds the caller will wait.
pub(crate) const DEADLINE_MS: HeaderName = HeaderName::from_static("cherrystand-deadline-ms");

/// Marks and names a call that must not be repeated.
pub(crate) const IDEMPOTENCY_KEY: HeaderName = HeaderName::from_static("idempotency-key");

/// The longest id or key that is taken, in bytes.
const LONGEST_NAME: usize = 256;

/// The longest deadline that is taken.
const LONGEST_DEADLINE: Millis = Millis(3_600_000);

/// Tells that a header's value is not one that it may have.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct BadHeader;

/// Returns the text of a header that names something.
pub(crate) fn name_in(headers: &HeaderMap, name: &HeaderName) -> Result<Option<String>, BadHeader> {
    let Some(value) = headers.get(name) else {
        return Ok(None);
    };
    let text = value.to_str().map_err(|_| BadHeader)?;
    if text.is_empty() || text.len() > LONGEST_NAME {
        return Err(BadHeader);
    }
    Ok(Some(text.to_owned()))
}

/// Returns how long the caller will wait, where it says so.
pub(crate) fn deadline_in(headers: &HeaderMap) -> Result<Option<Millis>, BadHeader> {
    let Some(text) = name_in(headers, &DEADLINE_MS)? else {
        return Ok(None);
    };
    let span: u64 = text.parse().map_err(|_| BadHeader)?;
    Ok(Some(Millis(span).min(LONGEST_DEADLINE)))
}

/// Takes out the headers that concern one connection only.
pub(crate) fn strip_connection(headers: &mut HeaderMap) {
    let named: Vec<HeaderName> = headers
        .get_all(CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .filter_map(|name| name.trim().parse().ok())
        .collect();
    for name in named {
        headers.remove(name);
    }
    let fixed = [
        CONNECTION,
        PROXY_AUTHENTICATE,
        PROXY_AUTHORIZATION,
        TE,
        TRAILER,
        TRANSFER_ENCODING,
        UPGRADE,
        HeaderName::from_static("keep-alive"),
    ];
    for name in fixed {
        headers.remove(name);
    }
}

/// Makes the headers of an attempt from those of the caller's request.
pub(crate) fn for_attempt(
    caller: &HeaderMap,
    host: &str,
    request: &str,
    remaining: Millis,
    epoch: Option<u64>,
) -> HeaderMap {
    let mut headers = caller.clone();
    strip_connection(&mut headers);
    headers.remove(CONTENT_LENGTH);
    headers.remove(cherrystand_platform::EPOCH_HEADER);
    let mut set = |name: HeaderName, value: &str| {
        if let Ok(value) = HeaderValue::from_str(value) {
            headers.insert(name, value);
        }
    };
    set(HOST, host);
    set(REQUEST_ID, request);
    set(DEADLINE_MS, &remaining.0.to_string());
    if let Some(epoch) = epoch {
        let name = HeaderName::from_static(cherrystand_platform::EPOCH_HEADER);
        set(name, &epoch.to_string());
    }
    headers
}
