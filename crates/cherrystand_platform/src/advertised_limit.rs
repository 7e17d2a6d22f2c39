//! The request rate limit that an endpoint advertises.

use cherrystand_core::RequestRate;

/// The rate limit in the headers of an answer, for the requests of all nodes together.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum AdvertisedLimit {
    /// No limit is advertised.
    #[default]
    None,
    /// The endpoint accepts this rate.
    PerSecond(RequestRate),
    /// The header value is not a valid rate.
    Unreadable,
}

impl AdvertisedLimit {
    /// Reads the values of all limit headers, in requests per second; the lowest one wins. `None` is a value that
    /// is not text.
    pub fn read<'a>(texts: impl IntoIterator<Item = Option<&'a str>>) -> Self {
        texts.into_iter().map(parse_limit).reduce(Self::lower).unwrap_or_default()
    }

    fn lower(self, other: Self) -> Self {
        match (self, other) {
            (Self::PerSecond(one), Self::PerSecond(two)) => Self::PerSecond(one.min(two)),
            (Self::PerSecond(_), _) => self,
            _ => other,
        }
    }
}

fn parse_limit(text: Option<&str>) -> AdvertisedLimit {
    let number = text.and_then(|text| text.trim().parse::<f64>().ok());
    let rate = number.and_then(RequestRate::per_second);
    rate.map_or(AdvertisedLimit::Unreadable, AdvertisedLimit::PerSecond)
}
