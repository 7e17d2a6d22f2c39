//! The check that boxes get no more requests than the rate limits that they advertise.

use std::collections::BTreeSet;
use std::time::{Duration, Instant};

use crate::{Arrival, SentSignal, Signal};

/// The time window over which arrivals are counted.
const WINDOW: Duration = Duration::from_secs(4);

/// Time after a box first advertised a limit until the platform starts to count.
const LIMIT_GRACE: Duration = Duration::from_secs(3);

/// Time after which the platform assumes that a daemon knows a limit that it was sent.
const KNOWN_AFTER: Duration = Duration::from_millis(500);

/// Time within which all daemons follow a limit after a box first advertised it.
const SPREAD_TIME: Duration = Duration::from_secs(1);

/// The bound that arrivals are checked against.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LimitBound {
    /// The platform's: 1.5 times the limit plus five requests, from the daemons that know the limit.
    Platform,
    /// The system's own while nothing fails: the limit plus two requests, from all daemons.
    Own,
}

/// Describes each box that got more requests than its limit, with the window that exceeds it most.
///
/// `daemon_of` returns the daemon of a request, or nothing if that daemon is excused at that time.
pub fn exceeded_limits<D: Ord>(
    signals: &[SentSignal],
    arrivals: &[Arrival],
    bound: LimitBound,
    daemon_of: impl Fn(&str, Instant) -> Option<D>,
) -> Vec<String> {
    let incarnations: BTreeSet<(&str, u64)> =
        rate_limits(signals).map(|(sent, _)| (sent.target.as_str(), sent.incarnation)).collect();
    let violations = incarnations.into_iter().filter_map(|(id, incarnation)| {
        let limits: Vec<(&SentSignal, f64)> = rate_limits(signals)
            .filter(|(sent, _)| (sent.target.as_str(), sent.incarnation) == (id, incarnation))
            .collect();
        let own = arrivals.iter();
        let own =
            own.filter(|arrival| arrival.target == id && arrival.incarnation == Some(incarnation));
        let own: Vec<&Arrival> = own.collect();
        let worst = own.iter().filter_map(|last| excess(&limits, &own, last.at, bound, &daemon_of));
        let (over, count, allowed) = worst.max_by(|one, two| one.0.total_cmp(&two.0))?;
        (over > 0.0).then(|| format!("{id} got {count} within 4 s, {allowed} allowed ({bound:?})"))
    });
    violations.collect()
}

fn rate_limits(signals: &[SentSignal]) -> impl Iterator<Item = (&SentSignal, f64)> {
    signals.iter().filter_map(|sent| match sent.signal {
        Signal::RateLimit(limit) => Some((sent, limit)),
        _ => None,
    })
}

/// Returns by how much the arrivals in the window that ends at `end` exceed the allowed number, their number, and the
/// allowed number. Returns nothing while the bound does not apply.
fn excess<D: Ord>(
    signals: &[(&SentSignal, f64)],
    arrivals: &[&Arrival],
    end: Instant,
    bound: LimitBound,
    daemon_of: &impl Fn(&str, Instant) -> Option<D>,
) -> Option<(f64, usize, f64)> {
    let start = end - WINDOW;
    let (first, last) = (signals.first()?.0.at, signals.last()?.0.at);
    let holds = match bound {
        LimitBound::Platform => end >= first + LIMIT_GRACE && end <= last,
        LimitBound::Own => start >= first + SPREAD_TIME && end <= last,
    };
    if !holds {
        return None;
    }
    let informed: Vec<D> = signals
        .iter()
        .filter(|(sent, _)| sent.at + KNOWN_AFTER <= end)
        .filter_map(|(sent, _)| daemon_of(&sent.request, end))
        .collect();
    let is_counted = |arrival: &&&Arrival| {
        let daemon = daemon_of(&arrival.request, arrival.at);
        let is_informed = daemon.is_some_and(|daemon| informed.contains(&daemon));
        arrival.at > start && arrival.at <= end && (bound == LimitBound::Own || is_informed)
    };
    let count = arrivals.iter().filter(is_counted).count();
    // If the limit changes within the window or shortly before, the highest value counts.
    let until = signals.iter().filter(|(sent, _)| sent.at <= end);
    let (before, within): (Vec<_>, Vec<_>) =
        until.partition(|(sent, _)| sent.at + LIMIT_GRACE < start);
    let in_force = before.last().into_iter().chain(&within);
    let limit = in_force.map(|(_, limit)| *limit).fold(0.0, f64::max) * WINDOW.as_secs_f64();
    let allowed = match bound {
        LimitBound::Platform => 1.5 * limit + 5.0,
        LimitBound::Own => limit + 2.0,
    };
    Some((count as f64 - allowed, count, allowed))
}
