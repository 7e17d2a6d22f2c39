//! The backoff that an endpoint requests with the `Retry-After` header.

use cherrystand_core::Millis;
use hyper::header::{HeaderMap, HeaderValue, RETRY_AFTER};

/// The backoff requested by the headers of an answer.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum RequestedBackoff {
    /// No backoff is requested.
    #[default]
    None,
    /// No requests are wanted for this time.
    After(Millis),
    /// The header value is not a duration.
    Unreadable,
}

impl RequestedBackoff {
    /// Reads the `Retry-After` headers, in seconds with an optional fraction; the longest one wins.
    ///
    /// An HTTP date counts as unreadable, since the clock that it refers to is unknown.
    pub fn read(headers: &HeaderMap) -> Self {
        let values = headers.get_all(RETRY_AFTER).into_iter().map(parse_header);
        values.reduce(Self::longer).unwrap_or_default()
    }

    fn longer(self, other: Self) -> Self {
        match (self, other) {
            (Self::After(one), Self::After(two)) => Self::After(one.max(two)),
            (Self::After(_), _) | (_, Self::None) => self,
            _ => other,
        }
    }
}

fn parse_header(value: &HeaderValue) -> RequestedBackoff {
    let secs = value.to_str().ok().and_then(|text| text.trim().parse::<f64>().ok());
    match secs {
        // The cast to an integer saturates for huge values.
        Some(secs) if secs > 0.0 => RequestedBackoff::After(Millis((secs * 1_000.0).ceil() as u64)),
        Some(0.0) => RequestedBackoff::None,
        _ => RequestedBackoff::Unreadable,
    }
}
