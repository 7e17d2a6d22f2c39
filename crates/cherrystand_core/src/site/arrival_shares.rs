//! The share of a service's recent arrivals that has something in common.

use std::collections::{BTreeMap, VecDeque};

use crate::{Fingerprint, Millis, ServiceName};

/// How many arrivals of a service are remembered, at some 100 bytes each.
const MAX_ARRIVALS: usize = 512;

/// For how long they are remembered.
const MEMORY: Millis = Millis(60_000);

/// Fewer arrivals than this show no share.
const MIN_ARRIVALS: usize = 10;

/// Fewer arrivals that have it show no share either: one caller may send a request twice.
const MIN_WITH_IT: usize = 3;

/// Whatever more than one in this many arrivals has is common.
const COMMON_ONE_IN: usize = 20;

/// The share that counts as most, as a fraction.
const MOST: (usize, usize) = (3, 4);

/// An arrival, and what may crash replicas of it.
#[derive(Clone, Debug)]
struct Arrival {
    at: Millis,
    features: Box<[Fingerprint]>,
    /// Whether it was refused by the word of others alone.
    refused_by_hearsay: bool,
}

/// The latest arrivals of each service at one daemon.
#[derive(Clone, Debug, Default)]
pub(crate) struct ArrivalShares {
    arrivals: BTreeMap<ServiceName, VecDeque<Arrival>>,
}

impl ArrivalShares {
    /// Records a request that arrived.
    pub(crate) fn record(&mut self, service: &ServiceName, features: &[Fingerprint], now: Millis) {
        if !self.arrivals.contains_key(service) {
            self.arrivals.insert(service.clone(), VecDeque::new());
        }
        let Some(recent) = self.arrivals.get_mut(service) else { return };
        let is_old = |arrival: &Arrival| now.since(arrival.at) >= MEMORY;
        while recent.len() >= MAX_ARRIVALS || recent.front().is_some_and(is_old) {
            recent.pop_front();
        }
        recent.push_back(Arrival { at: now, features: features.into(), refused_by_hearsay: false });
    }

    /// Records that the latest arrival of a service is refused by the word of others alone, and returns
    /// whether these may refuse that much of it.
    pub(crate) fn admits_hearsay(&mut self, service: &ServiceName) -> bool {
        let Some(recent) = self.arrivals.get_mut(service) else { return true };
        if let Some(latest) = recent.back_mut() {
            latest.refused_by_hearsay = true;
        }
        !is_common(recent, |arrival| arrival.refused_by_hearsay)
    }

    /// Returns whether more than a small share of the arrivals of some service has a feature.
    pub(crate) fn is_common(&self, feature: Fingerprint) -> bool {
        let has_it = |arrival: &Arrival| arrival.features.contains(&feature);
        self.arrivals.values().any(|recent| is_common(recent, has_it))
    }

    /// Returns whether most arrivals of some service have a feature, so that little else is served.
    pub(crate) fn is_in_most(&self, feature: Fingerprint) -> bool {
        self.arrivals.values().any(|recent| {
            let with_it = recent.iter().filter(|arrival| arrival.features.contains(&feature));
            recent.len() >= MIN_ARRIVALS && with_it.count() * MOST.1 >= recent.len() * MOST.0
        })
    }
}

fn is_common(recent: &VecDeque<Arrival>, has_it: impl Fn(&Arrival) -> bool) -> bool {
    let with_it = recent.iter().filter(|arrival| has_it(arrival)).count();
    recent.len() >= MIN_ARRIVALS && with_it >= MIN_WITH_IT && with_it * COMMON_ONE_IN > recent.len()
}
