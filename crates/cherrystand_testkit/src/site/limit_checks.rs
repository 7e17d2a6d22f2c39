//! Whether boxes that named how many requests they take got no more.

use std::collections::BTreeSet;
use std::time::{Duration, Instant};

use crate::{Arrival, SentSignal, Signal};

/// The span over which arrivals are counted.
const WINDOW: Duration = Duration::from_secs(4);

/// The platform counts from this time after a box first named its limit.
const LIMIT_GRACE: Duration = Duration::from_secs(3);

/// The platform counts the daemons that were told this long ago.
const KNOWN_AFTER: Duration = Duration::from_millis(500);

/// Within this time after a box first named its limit all daemons follow it.
const SPREAD_TIME: Duration = Duration::from_secs(1);

/// Says which bound arrivals are held to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LimitBound {
    /// The platform's: one and a half times what the limit allows, and five, from the daemons that were told.
    Platform,
    /// The system's own while nothing fails: what the limit allows, and two, from all daemons.
    Own,
}

/// Names each box that got more than it had said it takes, with the worst span of each.
///
/// `daemon_of` finds the daemon of a request, where its daemon counts at that moment.
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

/// Returns by how much the arrivals of the span that end at a time exceed what is allowed, their number and that
/// figure; nothing where the bound does not hold yet, or not any more.
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
    // A limit that changes within the span, or shortly before, allows what its highest value does.
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
