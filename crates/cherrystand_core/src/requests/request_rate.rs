//! How many requests a second.

use std::fmt;

use serde::{Deserialize, Serialize};

/// Thousandths in one.
const THOUSAND: f64 = 1_000.0;

/// A number of requests a second, kept in thousandths of one, so that rates compare exactly.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct RequestRate(u64);

impl RequestRate {
    /// Creates a rate, rounded down to thousandths; nothing of what is negative or no number.
    ///
    /// Huge numbers saturate.
    pub fn per_second(requests: f64) -> Option<Self> {
        (requests >= 0.0).then_some(Self((requests * THOUSAND) as u64))
    }

    /// Returns the requests a second.
    pub fn as_f64(self) -> f64 {
        self.0 as f64 / THOUSAND
    }
}

impl fmt::Display for RequestRate {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.as_f64())
    }
}
