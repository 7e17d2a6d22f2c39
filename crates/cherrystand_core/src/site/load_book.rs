//! What peers have in flight, as each of them or the relays of its zone told.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::{BoxId, EngineLoad, Millis, NodeId, ZoneId};

/// For how long what a peer told of itself counts, where it tells everybody each time.
const NEWS_LIFE: Millis = Millis(1_000);

/// For how long the sum of another zone counts; seven tellings of its relays are lost by then.
const ZONE_LIFE: Millis = Millis(1_500);

/// For how long the sum of all zones counts; the relays of a zone tell it every 200 ms in turn, one
/// that is alone every 400 ms.
const TOTAL_LIFE: Millis = Millis(1_000);

/// For how long it is remembered when an endpoint was last seen to make progress; far beyond any
/// silence that is judged.
const SEEN_FOR: Millis = Millis(10_000);

/// Says what one daemon, or all of a zone, have in flight at one endpoint.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EndpointLoad {
    /// The box that takes the requests.
    pub id: BoxId,
    /// Requests in flight.
    pub requests: u32,
    /// Tokens of prompts that have yet to be read.
    pub unread: u32,
    /// Milliseconds since the endpoint last made progress with any of them.
    pub silent_ms: u32,
}

/// Says what all daemons of a zone have in flight together.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ZoneLoads {
    /// The zone.
    pub zone: ZoneId,
    /// How long ago the sum was made.
    pub age: Millis,
    /// The sum, by endpoint.
    pub loads: Vec<EndpointLoad>,
}

#[derive(Clone, Debug)]
struct Told {
    at: Millis,
    zone: ZoneId,
    loads: Vec<EndpointLoad>,
}

/// Keeps what peers told of their loads; it takes the time from outside.
///
/// A later telling replaces an earlier one; one that is lost costs accuracy and nothing else.
#[derive(Clone, Debug, Default)]
pub struct LoadBook {
    nodes: BTreeMap<NodeId, Told>,
    zones: BTreeMap<ZoneId, Told>,
    /// What all daemons have in flight, as a relay summed it up last, and when.
    total: Option<(Millis, Vec<EndpointLoad>)>,
    /// What this daemon told the relays last, which is part of the total.
    own_told: Vec<EndpointLoad>,
    seen: BTreeMap<BoxId, Millis>,
    /// Whether anything changed since the sums were last taken.
    changed: bool,
}

impl LoadBook {
    /// Takes in what a daemon told of itself.
    pub fn hear_node(&mut self, node: NodeId, zone: ZoneId, loads: Vec<EndpointLoad>, now: Millis) {
        self.see(&loads, now);
        self.nodes.insert(node, Told { at: now, zone, loads });
        self.changed = true;
    }

    /// Takes in the sum of another zone, unless a later one is held.
    pub fn hear_zone(&mut self, told: ZoneLoads, own_zone: &ZoneId, now: Millis) {
        let at = now - told.age;
        let held = self.zones.get(&told.zone);
        if &told.zone == own_zone || held.is_some_and(|held| held.at >= at) {
            return;
        }
        self.see(&told.loads, at);
        let zone = told.zone.clone();
        self.zones.insert(zone.clone(), Told { at, zone, loads: told.loads });
        self.changed = true;
    }

    /// Takes in what all daemons have in flight, as a relay sums it up.
    pub fn hear_total(&mut self, loads: Vec<EndpointLoad>, now: Millis) {
        self.see(&loads, now);
        self.total = Some((now, loads));
        self.changed = true;
    }

    /// Notes what this daemon told relays of itself.
    pub fn told_relays(&mut self, loads: Vec<EndpointLoad>) {
        self.own_told = loads;
    }

    /// Takes in when endpoints last made progress, as a peer saw it at a time.
    pub fn see(&mut self, loads: &[EndpointLoad], at: Millis) {
        for load in loads {
            let seen = at - Millis(u64::from(load.silent_ms));
            let known = self.seen.entry(load.id.clone()).or_default();
            *known = seen.max(*known);
        }
    }

    /// Returns when a peer last saw an endpoint make progress.
    pub fn seen(&self, id: &BoxId) -> Option<Millis> {
        self.seen.get(id).copied()
    }

    /// Forgets what is too old.
    pub fn forget(&mut self, now: Millis) {
        let held = self.held();
        self.nodes.retain(|_, told| now.since(told.at) < NEWS_LIFE);
        self.zones.retain(|_, told| now.since(told.at) < ZONE_LIFE);
        self.total = self.total.take().filter(|(at, _)| now.since(*at) < TOTAL_LIFE);
        self.changed |= self.held() != held;
        self.seen.retain(|_, at| now.since(*at) < SEEN_FOR);
    }

    /// Tells whether any peer has told anything that still counts.
    pub fn is_empty(&self) -> bool {
        self.held() == 0
    }

    fn held(&self) -> usize {
        self.nodes.len() + self.zones.len() + usize::from(self.total.is_some())
    }

    /// Sums what peers have in flight, where that changed since the last time.
    ///
    /// A daemon of 295 hears some 60 tellings a second and chooses 4 endpoints; a sum takes 17 us.
    pub fn take_sums(&mut self) -> Option<BTreeMap<BoxId, EngineLoad>> {
        std::mem::take(&mut self.changed).then(|| self.sums())
    }

    /// Sums what peers have in flight, by endpoint.
    ///
    /// Where the sum of a zone is known, what its daemons told by themselves is part of it; where the
    /// sum of all is known, everything else is.
    pub fn sums(&self) -> BTreeMap<BoxId, EngineLoad> {
        if let Some((_, total)) = &self.total {
            return self.without_own(total);
        }
        let by_node = self.nodes.values().filter(|told| !self.zones.contains_key(&told.zone));
        let mut sums: BTreeMap<BoxId, EngineLoad> = BTreeMap::new();
        for load in by_node.chain(self.zones.values()).flat_map(|told| &told.loads) {
            let sum = sums.entry(load.id.clone()).or_default();
            sum.requests += f64::from(load.requests);
            sum.unread += f64::from(load.unread);
        }
        sums
    }

    /// Returns what a sum says of the others, without what this daemon told of itself.
    fn without_own(&self, total: &[EndpointLoad]) -> BTreeMap<BoxId, EngineLoad> {
        let own: BTreeMap<&BoxId, &EndpointLoad> =
            self.own_told.iter().map(|load| (&load.id, load)).collect();
        let others = total.iter().map(|load| {
            let (requests, unread) =
                own.get(&load.id).map_or((0, 0), |own| (own.requests, own.unread));
            let others = EngineLoad {
                requests: f64::from(load.requests.saturating_sub(requests)),
                unread: f64::from(load.unread.saturating_sub(unread)),
            };
            (load.id.clone(), others)
        });
        others.collect()
    }

    /// Returns what all daemons have in flight: the sum of this daemon's zone and those of others.
    pub fn total(&self, zone_sum: &ZoneLoads, now: Millis) -> Vec<EndpointLoad> {
        let mut all: BTreeMap<BoxId, EndpointLoad> = BTreeMap::new();
        let zones = self.other_zones(now);
        for told in std::iter::once(zone_sum).chain(&zones) {
            let age = told.age.0.min(u64::from(u32::MAX)) as u32;
            for load in &told.loads {
                add(&mut all, load, load.silent_ms.saturating_add(age));
            }
        }
        all.into_values().collect()
    }

    /// Returns the sum of this daemon's zone: its own loads and what its near peers told.
    pub fn sum_of_zone(&self, zone: &ZoneId, own: &[EndpointLoad], now: Millis) -> ZoneLoads {
        let mut sums: BTreeMap<BoxId, EndpointLoad> = BTreeMap::new();
        let near = self.nodes.values().filter(|told| &told.zone == zone);
        let aged = near.flat_map(|told| {
            let age = now.since(told.at).0 as u32;
            told.loads.iter().map(move |load| (load, load.silent_ms.saturating_add(age)))
        });
        let all = own.iter().map(|load| (load, load.silent_ms)).chain(aged);
        for (load, silent_ms) in all {
            add(&mut sums, load, silent_ms);
        }
        ZoneLoads { zone: zone.clone(), age: Millis(0), loads: sums.into_values().collect() }
    }

    /// Returns what a relay tells one that asks for progress: what all daemons of its zone saw.
    ///
    /// A request that waits at a busy replica hears of its progress from others alone, and of 60
    /// daemons those that are asked directly are a third. Where relays told only what they saw
    /// themselves, requests left working replicas 11 to 25 times a day in place of 4 to 7.
    pub fn seen_in_zone(
        &self,
        zone: &ZoneId,
        own: &[EndpointLoad],
        now: Millis,
    ) -> Vec<EndpointLoad> {
        self.sum_of_zone(zone, own, now).loads
    }

    /// Returns the sums of the other zones, to be passed on within this one.
    pub fn other_zones(&self, now: Millis) -> Vec<ZoneLoads> {
        let zones = self.zones.values();
        let sums = zones.map(|told| ZoneLoads {
            zone: told.zone.clone(),
            age: now.since(told.at),
            loads: told.loads.clone(),
        });
        sums.collect()
    }
}

fn add(sums: &mut BTreeMap<BoxId, EndpointLoad>, load: &EndpointLoad, silent_ms: u32) {
    match sums.get_mut(&load.id) {
        Some(sum) => {
            sum.requests = sum.requests.saturating_add(load.requests);
            sum.unread = sum.unread.saturating_add(load.unread);
            sum.silent_ms = sum.silent_ms.min(silent_ms);
        }
        None => {
            sums.insert(load.id.clone(), EndpointLoad { silent_ms, ..load.clone() });
        }
    }
}
