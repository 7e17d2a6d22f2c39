//! How long an endpoint asks to be left alone.

use cherrystand_core::Millis;
use hyper::header::{HeaderMap, HeaderValue, RETRY_AFTER};

/// Says what the head of an answer asks of rest.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum RequestedBackoff {
    /// It asks for none.
    #[default]
    None,
    /// It wants nothing for so long.
    After(Millis),
    /// What it asks for is no time.
    Unreadable,
}

impl RequestedBackoff {
    /// Reads it from a head, in seconds with fractions; of several the longest one counts.
    ///
    /// A date is not read: whose clock it goes by is not known.
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
        // Huge values saturate.
        Some(secs) if secs > 0.0 => RequestedBackoff::After(Millis((secs * 1_000.0).ceil() as u64)),
        Some(0.0) => RequestedBackoff::None,
        _ => RequestedBackoff::Unreadable,
    }
}
