//! Learns how far first events are from the prediction of the engine's published figures.

/// The least weight of one sample in the moving averages.
const MIN_WEIGHT: f64 = 0.02;

/// The spread of the error before the first sample, in milliseconds.
const INITIAL_SPREAD_MS: f64 = 40.0;

/// The least spread, in milliseconds: timers and links are no more precise.
const MIN_SPREAD_MS: f64 = 5.0;

/// Errors are clamped to this many spreads around the bias, so that a single stall changes little.
const MAX_ERROR_SPREADS: f64 = 4.0;

/// Learns the error of the predicted time to first event, for one model.
///
/// The published figures leave out what is common to all requests, such as the network; the error
/// consists of that and of noise.
#[derive(Clone, Copy, Debug, Default)]
pub struct LatencyModel {
    samples: u32,
    bias: f64,
    spread: f64,
}

impl LatencyModel {
    /// Adds a sample: how long a first event took, and how long it was predicted to take, in
    /// milliseconds.
    pub fn update(&mut self, took: f64, predicted: f64) {
        let mut error = took - predicted;
        if self.samples == 0 {
            self.bias = error;
            self.spread = INITIAL_SPREAD_MS;
        }
        let max_error = MAX_ERROR_SPREADS * self.spread;
        error = error.clamp(self.bias - max_error, self.bias + max_error);
        self.samples = self.samples.saturating_add(1);
        let weight = (1.0 / f64::from(self.samples)).max(MIN_WEIGHT);
        self.bias += weight * (error - self.bias);
        let off = (error - self.bias).abs();
        self.spread = (self.spread + weight * (off - self.spread)).max(MIN_SPREAD_MS);
    }

    /// Returns the expected time to first event, in milliseconds.
    pub fn expected_ms(&self, predicted: f64) -> f64 {
        self.bias + predicted
    }

    /// Returns the probability that a first event comes within a goal, in milliseconds.
    pub fn probability_within(&self, predicted: f64, goal: f64) -> f64 {
        let spread = if self.samples == 0 { INITIAL_SPREAD_MS } else { self.spread };
        // The scale of the logistic distribution whose mean absolute error is the spread.
        let scale = spread / (2.0 * std::f64::consts::LN_2);
        1.0 / (1.0 + ((self.expected_ms(predicted) - goal) / scale).exp())
    }
}
