//! Request rates.

use std::fmt;

use serde::{Deserialize, Serialize};

/// Thousandths per unit.
const THOUSAND: f64 = 1_000.0;

/// A number of requests per second, stored in thousandths so that rates compare exactly.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct RequestRate(u64);

impl RequestRate {
    /// Creates a rate, rounded down to thousandths; `None` for a negative number or NaN.
    ///
    /// Values that are too large saturate.
    pub fn per_second(requests: f64) -> Option<Self> {
        (requests >= 0.0).then_some(Self((requests * THOUSAND) as u64))
    }

    /// Returns the requests per second.
    pub fn as_f64(self) -> f64 {
        self.0 as f64 / THOUSAND
    }
}

impl fmt::Display for RequestRate {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.as_f64())
    }
}
