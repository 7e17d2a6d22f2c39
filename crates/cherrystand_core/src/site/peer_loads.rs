//! The requests that peers have in flight, as reported by each peer or by the relays of its zone.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::{BoxId, EngineLoad, Millis, NodeId, ZoneId};

/// How long a peer's report of its own load counts, if every peer gets each of its reports.
const NODE_TTL: Millis = Millis(1_000);

/// How long the total of another zone counts; within this time seven reports of its relays may be
/// lost.
const ZONE_TTL: Millis = Millis(1_500);

/// How long the last progress of an endpoint is remembered; far beyond any silence that is
/// evaluated.
const PROGRESS_TTL: Millis = Millis(10_000);

/// What one daemon, or all daemons of a zone, have in flight at one endpoint.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EndpointLoad {
    /// The box that takes the requests.
    pub id: BoxId,
    /// Requests in flight.
    pub requests: u32,
    /// Prompt tokens that the engine has yet to read.
    pub unread: u32,
    /// Milliseconds since the endpoint last made progress with any of them.
    pub silent_ms: u32,
}

/// What all daemons of a zone have in flight together.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ZoneLoads {
    /// The zone.
    pub zone: ZoneId,
    /// How long ago the total was computed.
    pub age: Millis,
    /// The total, by endpoint.
    pub loads: Vec<EndpointLoad>,
}

#[derive(Clone, Debug)]
struct ReportedLoads {
    at: Millis,
    zone: ZoneId,
    loads: Vec<EndpointLoad>,
}

/// Keeps the loads that peers report; the caller provides the time.
///
/// A later report replaces an earlier one; a lost report only costs accuracy.
#[derive(Clone, Debug, Default)]
pub struct PeerLoads {
    nodes: BTreeMap<NodeId, ReportedLoads>,
    zones: BTreeMap<ZoneId, ReportedLoads>,
    last_seen: BTreeMap<BoxId, Millis>,
    /// Whether anything changed since the totals were last computed.
    changed: bool,
}

impl PeerLoads {
    /// Records what a daemon reports about itself.
    pub fn record_node(
        &mut self,
        node: NodeId,
        zone: ZoneId,
        loads: Vec<EndpointLoad>,
        now: Millis,
    ) {
        self.record_progress(&loads, now);
        self.nodes.insert(node, ReportedLoads { at: now, zone, loads });
        self.changed = true;
    }

    /// Records the total of another zone, unless a later one is known.
    pub fn record_zone(&mut self, report: ZoneLoads, own_zone: &ZoneId, now: Millis) {
        let at = now - report.age;
        let existing = self.zones.get(&report.zone);
        if &report.zone == own_zone || existing.is_some_and(|existing| existing.at >= at) {
            return;
        }
        self.record_progress(&report.loads, at);
        let zone = report.zone.clone();
        self.zones.insert(zone.clone(), ReportedLoads { at, zone, loads: report.loads });
        self.changed = true;
    }

    /// Records when endpoints last made progress, as a peer saw it at the given time.
    pub fn record_progress(&mut self, loads: &[EndpointLoad], at: Millis) {
        for load in loads {
            let last_seen = at - Millis(u64::from(load.silent_ms));
            let known = self.last_seen.entry(load.id.clone()).or_default();
            *known = last_seen.max(*known);
        }
    }

    /// Returns when a peer last saw an endpoint make progress.
    pub fn last_progress(&self, id: &BoxId) -> Option<Millis> {
        self.last_seen.get(id).copied()
    }

    /// Removes expired reports; each peer reports once in `rounds` rounds.
    pub fn remove_expired(&mut self, rounds: usize, now: Millis) {
        let ttl = Millis(NODE_TTL.0 * rounds.max(1) as u64);
        let existing = self.nodes.len() + self.zones.len();
        self.nodes.retain(|_, report| now.since(report.at) < ttl);
        self.zones.retain(|_, report| now.since(report.at) < ZONE_TTL);
        self.changed |= self.nodes.len() + self.zones.len() != existing;
        self.last_seen.retain(|_, at| now.since(*at) < PROGRESS_TTL);
    }

    /// Returns what peers have in flight by endpoint, if it changed since the last call.
    ///
    /// A daemon among 295 gets some 60 reports a second and chooses 4 endpoints; computing the
    /// totals takes 17 us.
    pub fn changed_totals(&mut self) -> Option<BTreeMap<BoxId, EngineLoad>> {
        std::mem::take(&mut self.changed).then(|| self.totals())
    }

    /// Returns what peers have in flight, by endpoint.
    ///
    /// If the total of a zone is known, the reports of its single daemons are not added to it.
    pub fn totals(&self) -> BTreeMap<BoxId, EngineLoad> {
        let by_node = self.nodes.values().filter(|report| !self.zones.contains_key(&report.zone));
        let mut sums: BTreeMap<BoxId, EngineLoad> = BTreeMap::new();
        for load in by_node.chain(self.zones.values()).flat_map(|report| &report.loads) {
            let sum = sums.entry(load.id.clone()).or_default();
            sum.requests += f64::from(load.requests);
            sum.unread += f64::from(load.unread);
        }
        sums
    }

    /// Returns the total of this daemon's zone: its own load and the reports of the peers in the
    /// zone.
    pub fn zone_total(&self, zone: &ZoneId, own: &[EndpointLoad], now: Millis) -> ZoneLoads {
        let mut sums: BTreeMap<&BoxId, EndpointLoad> = BTreeMap::new();
        let nearby = self.nodes.values().filter(|report| &report.zone == zone);
        let aged = nearby.flat_map(|report| {
            let age = now.since(report.at).0 as u32;
            report.loads.iter().map(move |load| (load, load.silent_ms.saturating_add(age)))
        });
        let all = own.iter().map(|load| (load, load.silent_ms)).chain(aged);
        for (load, silent_ms) in all {
            match sums.get_mut(&load.id) {
                Some(sum) => {
                    sum.requests += load.requests;
                    sum.unread += load.unread;
                    sum.silent_ms = sum.silent_ms.min(silent_ms);
                }
                None => {
                    sums.insert(&load.id, EndpointLoad { silent_ms, ..load.clone() });
                }
            }
        }
        ZoneLoads { zone: zone.clone(), age: Millis(0), loads: sums.into_values().collect() }
    }

    /// Returns the totals of the other zones, to be passed on within this zone.
    pub fn other_zone_totals(&self, now: Millis) -> Vec<ZoneLoads> {
        let zones = self.zones.values();
        let sums = zones.map(|report| ZoneLoads {
            zone: report.zone.clone(),
            age: now.since(report.at),
            loads: report.loads.clone(),
        });
        sums.collect()
    }
}
