//! The priority of a request in its engine's queue, across all nodes.

/// The least urgent priority that engines know; 0 is the most urgent.
const LOWEST_PRIORITY: u8 = 9;

/// The rank from which on all routes share one priority; smaller ranks have priorities of their
/// own.
const SHARED_RANK: u8 = LOWEST_PRIORITY / 2;

/// Below this chance of a first event in time, a request is queued behind those that can still make
/// it.
///
/// Under overload, requests served in order of arrival are all late; if those that will be late
/// anyway are deferred, the others are in time. At this value a deferred request loses about as
/// much credit as each request that it would delay.
const MIN_CHANCE_IN_TIME: f64 = 0.6;

/// Returns whether a request is queued behind those that can still be in time.
pub fn is_deferred(chance_in_time: f64) -> bool {
    chance_in_time < MIN_CHANCE_IN_TIME
}

/// Returns the priority of a request at its engine, 0 being the most urgent of ten.
///
/// The route's rank comes first: a deferred request still goes before all requests of routes that
/// rank behind its own.
pub fn engine_priority(rank: u8, deferred: bool) -> u8 {
    rank.min(SHARED_RANK) * 2 + u8::from(deferred)
}
