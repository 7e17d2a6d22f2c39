//! How many requests an endpoint says that it takes.

use cherrystand_core::RequestRate;

/// Says what the head of an answer names of the requests that an endpoint takes from all nodes together.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum AdvertisedLimit {
    /// It names no limit.
    #[default]
    None,
    /// It takes so many.
    PerSecond(RequestRate),
    /// What it names is no number of requests.
    Unreadable,
}

impl AdvertisedLimit {
    /// Reads the texts of all limits in a head, in requests a second; of several the lowest one counts.
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
