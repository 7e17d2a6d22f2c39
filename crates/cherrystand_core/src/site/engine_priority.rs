//! In which order an engine takes the requests that wait at it, whichever node sent them.

/// The least urgent priority that engines know; 0 is the most urgent.
const LEAST_URGENT: u8 = 9;

/// How many of the ranks that operators give to routes are told apart.
const RANKS: u8 = LEAST_URGENT / 2;

/// Below this chance of a first event in time, a request is put behind those that can still make it.
///
/// Where more comes than can be served in time, requests in the order of arrival are all late; with
/// those behind that are late anyway, the others are in time. The figure is where one put behind
/// loses about as much as each request that it would delay.
const DEFER_BELOW: f64 = 0.6;

/// Tells whether a request is put behind those that can still be in time.
pub fn is_deferred(chance_in_time: f64) -> bool {
    chance_in_time < DEFER_BELOW
}

/// Returns the priority of a request at its engine, 0 the most urgent of ten.
///
/// A route's rank comes first, so that a request that is put behind still goes before all of lower
/// ranks.
pub fn engine_priority(rank: u8, deferred: bool) -> u8 {
    rank.min(RANKS) * 2 + u8::from(deferred)
}
