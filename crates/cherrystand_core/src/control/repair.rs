//! The choice between waiting for a lost box, swapping it and forming the replica anew.

use serde::{Deserialize, Serialize};

/// A broken replica and the means to repair it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RepairCase {
    /// The number of boxes the replica spans.
    pub span: u32,
    /// How many of them are missing.
    pub missing: u32,
    /// How long they have been missing, in seconds.
    pub missing_secs: f64,
    /// The number of free boxes in the domain.
    pub free: u32,
    /// Seconds until the weight store could start a load.
    pub queue_secs: f64,
    /// Seconds to load one box's weights.
    pub load_secs: f64,
    /// How many boxes may load at once.
    pub loads_at_once: u32,
    /// Seconds for a box with its weights in memory to join again.
    pub rejoin_secs: f64,
    /// The price of a second in which the replica can't serve.
    pub downtime_weight: f64,
    /// The price of a second in which a healthy box is idle.
    pub stranded_weight: f64,
}

impl RepairCase {
    /// Returns the seconds until `boxes` have loaded and the others have joined again.
    fn load_time(&self, boxes: u32) -> f64 {
        let rounds = boxes.div_ceil(self.loads_at_once.max(1));
        (f64::from(rounds) * self.load_secs).max(self.rejoin_secs)
    }
}

/// A model of how missing boxes return.
///
/// A lost box either restarts, after an exponentially distributed time, or never returns. The
/// longer it has been missing, the more likely it never returns.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct ReturnModel {
    /// The share of losses that are restarts.
    pub restart_share: f64,
    /// The mean duration of a restart, in seconds.
    pub mean_restart_secs: f64,
}

impl Default for ReturnModel {
    /// The prior: 1,900 restarts to 79 failures a day, and 45 s for a restart.
    ///
    /// Source: docs/CAPACITY.md, "The ordinary day".
    fn default() -> Self {
        Self { restart_share: 1_900.0 / (1_900.0 + 79.0), mean_restart_secs: 45.0 }
    }
}

impl ReturnModel {
    /// Returns the probability that a box that has been missing for `secs` is restarting.
    pub fn restart_probability(&self, secs: f64) -> f64 {
        let alive = self.restart_share * (-secs / self.mean_restart_secs).exp();
        alive / (alive + (1.0 - self.restart_share)).max(f64::MIN_POSITIVE)
    }
}

/// The expected price of each repair; `None` if it can't be done.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct Prices {
    /// Waiting for the boxes, and repairing later if they stay away.
    pub wait: Option<f64>,
    /// Swapping spares in now.
    pub swap: Option<f64>,
    /// Forming the replica anew on free boxes now.
    pub reform: Option<f64>,
}

/// The chosen repair.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Repair {
    /// Wait for the missing boxes.
    Wait,
    /// Replace the missing boxes by spares.
    Swap,
    /// Form the replica anew on other boxes and free the healthy ones.
    Reform,
}

/// The longest wait considered, in mean restart times.
const MAX_WAIT_RESTARTS: f64 = 6.0;

/// How many waits up to it are considered.
const WAIT_STEPS: u32 = 24;

/// Returns the cheapest repair and the price of each.
///
/// Source: docs/design/0004-repair.md.
pub fn choose_repair(case: &RepairCase, model: &ReturnModel) -> (Repair, Prices) {
    let swap = swap_price(case);
    let reform = reform_price(case);
    let repair_now = min_price(swap, reform);
    let wait = wait_price(case, model, repair_now);
    let prices = Prices { wait, swap, reform };
    let repair = match (repair_now, wait) {
        (None, _) => Repair::Wait,
        (Some(repair_now), Some(wait)) if wait < repair_now => Repair::Wait,
        (Some(_), _) if swap.is_some_and(|swap| reform.is_none_or(|reform| swap <= reform)) => {
            Repair::Swap
        }
        (Some(_), _) => Repair::Reform,
    };
    (repair, prices)
}

fn min_price(a: Option<f64>, b: Option<f64>) -> Option<f64> {
    match (a, b) {
        (Some(a), Some(b)) => Some(a.min(b)),
        (a, b) => a.or(b),
    }
}

/// Returns the price of a second in which the replica is down and `idle` healthy boxes are reserved
/// for it.
fn price_per_second(case: &RepairCase, idle: u32) -> f64 {
    case.downtime_weight + case.stranded_weight * f64::from(idle)
}

fn swap_price(case: &RepairCase) -> Option<f64> {
    if case.free < case.missing {
        return None;
    }
    let secs = case.queue_secs + case.load_time(case.missing);
    Some(secs * price_per_second(case, case.span))
}

fn reform_price(case: &RepairCase) -> Option<f64> {
    if case.free < case.span {
        return None;
    }
    let secs = case.queue_secs + case.load_time(case.span);
    Some(secs * price_per_second(case, case.span))
}

/// Returns the price of waiting up to the best moment to give up and then repairing for the price
/// `repair_now`.
fn wait_price(case: &RepairCase, model: &ReturnModel, repair_now: Option<f64>) -> Option<f64> {
    let mean = model.mean_restart_secs;
    let restart_probability =
        model.restart_probability(case.missing_secs).powi(case.missing as i32);
    let idle = case.span - case.missing;
    let waiting_per_second = price_per_second(case, idle);
    let rejoin_price =
        (case.queue_secs + case.load_time(case.missing)) * price_per_second(case, case.span);
    let price_until = |secs: f64| {
        let return_probability = restart_probability * (1.0 - (-secs / mean).exp());
        let expected_wait_secs = restart_probability * mean * (1.0 - (-secs / mean).exp())
            + (1.0 - restart_probability) * secs;
        let fallback = repair_now.unwrap_or(waiting_per_second * mean);
        expected_wait_secs * waiting_per_second
            + return_probability * rejoin_price
            + (1.0 - return_probability) * fallback
    };
    let waits = (1..=WAIT_STEPS)
        .map(|step| f64::from(step) * MAX_WAIT_RESTARTS * mean / f64::from(WAIT_STEPS));
    waits.map(price_until).min_by(f64::total_cmp)
}
