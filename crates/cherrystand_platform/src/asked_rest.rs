//! How long an endpoint asks to be left alone.

use cherrystand_core::Millis;
use hyper::header::{HeaderMap, HeaderValue, RETRY_AFTER};

/// Says what the head of an answer asks of rest.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum AskedRest {
    /// It asks for none.
    #[default]
    None,
    /// It wants nothing for so long.
    For(Millis),
    /// What it asks for is no time.
    Unreadable,
}

impl AskedRest {
    /// Reads it from a head, in seconds with fractions; of several the longest one counts.
    ///
    /// A date is not read: whose clock it goes by is not known.
    pub fn read(headers: &HeaderMap) -> Self {
        let asked = headers.get_all(RETRY_AFTER).into_iter().map(read_one);
        asked.reduce(Self::longer).unwrap_or_default()
    }

    fn longer(self, other: Self) -> Self {
        match (self, other) {
            (Self::For(one), Self::For(two)) => Self::For(one.max(two)),
            (Self::For(_), _) | (_, Self::None) => self,
            _ => other,
        }
    }
}

fn read_one(value: &HeaderValue) -> AskedRest {
    let secs = value.to_str().ok().and_then(|text| text.trim().parse::<f64>().ok());
    match secs {
        // Huge values saturate.
        Some(secs) if secs > 0.0 => AskedRest::For(Millis((secs * 1_000.0).ceil() as u64)),
        Some(0.0) => AskedRest::None,
        _ => AskedRest::Unreadable,
    }
}
