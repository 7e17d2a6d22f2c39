//! Time in milliseconds.

use std::ops::{Add, Sub};

use serde::{Deserialize, Serialize};

/// A point in time or a duration in milliseconds, on the clock of the caller.
///
/// Differences saturate at zero, so a clock that steps back makes things look recent, not
/// infinitely old.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Millis(pub u64);

impl Millis {
    /// Creates a duration of whole seconds.
    pub const fn from_secs(secs: u64) -> Self {
        Self(secs * 1_000)
    }

    /// Returns the duration in seconds.
    pub fn as_secs_f64(self) -> f64 {
        self.0 as f64 / 1_000.0
    }

    /// Returns the time elapsed since `earlier`.
    #[must_use]
    pub fn since(self, earlier: Self) -> Self {
        Self(self.0.saturating_sub(earlier.0))
    }
}

impl Add for Millis {
    type Output = Self;

    fn add(self, span: Self) -> Self {
        Self(self.0.saturating_add(span.0))
    }
}

impl Sub for Millis {
    type Output = Self;

    fn sub(self, span: Self) -> Self {
        self.since(span)
    }
}
