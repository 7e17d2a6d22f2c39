//! How slow a replica is against what the figures of its engine predict.

use crate::Millis;

/// How much the newest first event counts against the ones before it.
const WEIGHT: f64 = 0.5;

/// After this time what was learned counts half as much, so that a replica that was slow is tried
/// again.
const HALVES: Millis = Millis(2_000);

/// The most that one first event tells; a stall is no pace.
const SLOWEST: f64 = 10.0;

/// Below this a replica counts as well: first events come up to 1.4 times as late as predicted at
/// replicas that are.
const SLOW: f64 = 1.6;

/// Learns how much longer first events of one replica take than they are expected to.
#[derive(Clone, Copy, Debug, Default)]
pub struct Pace {
    /// How much longer, as a share of the expected time.
    excess: f64,
    at: Millis,
}

impl Pace {
    /// Takes in a first event: how long it took and was expected to, in milliseconds.
    pub fn learn(&mut self, took: f64, expected: f64, now: Millis) {
        if !took.is_finite() || !expected.is_finite() || expected <= 0.0 {
            return;
        }
        let excess = (took / expected).clamp(1.0, SLOWEST) - 1.0;
        self.excess = self.excess_at(now) * (1.0 - WEIGHT) + excess * WEIGHT;
        self.at = now;
    }

    /// Returns how many times as long as expected a first event takes; 1 where nothing says that
    /// the replica is slow.
    pub fn factor(&self, now: Millis) -> f64 {
        let factor = 1.0 + self.excess_at(now);
        if factor < SLOW { 1.0 } else { factor }
    }

    fn excess_at(&self, now: Millis) -> f64 {
        let halvings = now.since(self.at).0 as f64 / HALVES.0 as f64;
        self.excess * 0.5_f64.powf(halvings)
    }
}
