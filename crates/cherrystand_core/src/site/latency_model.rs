//! How far first events are from what an engine's published figures predict.

/// How much one answer counts once many were seen.
const LEAST_WEIGHT: f64 = 0.02;

/// The spread of the error before any answer was seen, in milliseconds.
const FIRST_SPREAD_MS: f64 = 40.0;

/// The least spread, in milliseconds: timers and links are no more exact.
const LEAST_SPREAD_MS: f64 = 5.0;

/// An error counts as at most this many spreads away, so that one stall does not teach much.
const FARTHEST: f64 = 4.0;

/// Learns the error of the predicted time of first events, for one model.
///
/// The published figures leave out what is the same for every request, such as the way there; the
/// error is that and chance.
#[derive(Clone, Copy, Debug, Default)]
pub struct LatencyModel {
    seen: u32,
    bias: f64,
    spread: f64,
}

impl LatencyModel {
    /// Takes in how long a first event took and how long it was predicted to, in milliseconds.
    pub fn update(&mut self, took: f64, predicted: f64) {
        let mut error = took - predicted;
        if self.seen == 0 {
            self.bias = error;
            self.spread = FIRST_SPREAD_MS;
        }
        let reach = FARTHEST * self.spread;
        error = error.clamp(self.bias - reach, self.bias + reach);
        self.seen = self.seen.saturating_add(1);
        let weight = (1.0 / f64::from(self.seen)).max(LEAST_WEIGHT);
        self.bias += weight * (error - self.bias);
        let off = (error - self.bias).abs();
        self.spread = (self.spread + weight * (off - self.spread)).max(LEAST_SPREAD_MS);
    }

    /// Returns the expected time of a first event, in milliseconds.
    pub fn expected_ms(&self, predicted: f64) -> f64 {
        self.bias + predicted
    }

    /// Returns the chance that a first event comes within an objective, in milliseconds.
    pub fn probability_within(&self, predicted: f64, objective: f64) -> f64 {
        let spread = if self.seen == 0 { FIRST_SPREAD_MS } else { self.spread };
        // The logistic curve whose mean absolute error is the spread.
        let scale = spread / (2.0 * std::f64::consts::LN_2);
        1.0 / (1.0 + ((self.expected_ms(predicted) - objective) / scale).exp())
    }
}
