//! Decides which way a daemon takes to each endpoint: its own link, or a peer that carries its
//! requests.
//!
//! A daemon that cannot connect to an endpoint knows nothing of the endpoint as long as nobody else
//! has tried: its own link may have failed. Peers that reach the endpoint show that it has.
//!
//! Source: docs/design/0028-another-way-to-an-endpoint.md.

use std::collections::{BTreeMap, BTreeSet};

use serde::{Deserialize, Serialize};

use crate::{BoxId, Heartbeat, Millis, NodeId, SeededRng, ZoneId};

/// From this many endpoints that only peers reach, the daemon's own link counts as cut, and it no
/// longer tries that first.
const CUT_OFF_ENDPOINTS: usize = 3;

/// How soon a direct path that failed is checked again. The pause doubles with each failed check.
const FIRST_CHECK_PAUSE: Millis = Millis(400);

/// The longest pause between two checks of a direct path.
const MAX_CHECK_PAUSE: Millis = Millis(2_000);

/// How many direct paths are checked at once while the daemon's own link seems to be cut.
const CHECKS_WHILE_CUT: usize = 2;

/// How many are checked at once after one of them works again.
const CHECKS_AFTER_CUT: usize = 16;

/// The time over which the checks of the other paths are spread once one works again.
const RETURN_SPREAD: Millis = Millis(500);

/// How many peers are asked in the first round of a search. Each further round asks twice as many.
const FIRST_ROUND: usize = 2;

/// How many peers one search asks at most.
const MAX_ASKED: usize = 64;

/// How many peers that reach other endpoints have to miss an endpoint before it counts as gone: one
/// of them may have lost its own way to it.
const REFUTING_PEERS: usize = 2;

/// How long a peer that reached any endpoint is preferred.
const GOOD_FOR: Millis = Millis(10_000);

/// How long a peer is not asked for an endpoint that it did not reach.
const MISSED_FOR: Millis = Millis(1_000);

/// How long a peer that failed as a carrier is avoided. The time doubles with each failure.
const FIRST_AVOIDANCE: Millis = Millis(200);

/// The longest time for which it is avoided.
const MAX_AVOIDANCE: Millis = Millis(2_000);

/// How long no new search for an endpoint begins after one that found nobody.
const SEARCH_PAUSE: Millis = Millis(300);

/// How often a direct path is verified at most while its endpoint is silent.
const VERIFY_INTERVAL: Millis = Millis(1_000);

/// What a peer says of an endpoint that it was asked to reach.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ReachReport {
    /// It can connect to the endpoint.
    Reached,
    /// It cannot, although it reaches other endpoints.
    Missed,
    /// It reaches no endpoint itself, doesn't know this one or did not answer, so it knows nothing.
    Unknown,
}

/// Why a peer did not carry a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CarrierFailure {
    /// It could not be reached, or it carries as much as it can.
    Unavailable,
    /// It could not reach the endpoint.
    EndpointMissed,
}

/// What a search for a peer that reaches an endpoint has found.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SearchResult {
    /// A peer reaches it, so it is the daemon's own link that fails.
    Reached,
    /// Peers that reach other endpoints do not reach it either.
    Missed,
    /// No peer could tell.
    Unknown,
}

impl SearchResult {
    /// Returns the name that metrics use.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Reached => "reached",
            Self::Missed => "missed",
            Self::Unknown => "unknown",
        }
    }
}

/// Collects what peers report in one search.
#[derive(Clone, Debug, Default)]
pub struct PathSearch {
    asked: BTreeSet<NodeId>,
    round: u32,
    missed: usize,
}

impl PathSearch {
    /// Records a report, and returns the result once it is known.
    pub fn record(&mut self, report: ReachReport) -> Option<SearchResult> {
        match report {
            ReachReport::Reached => Some(SearchResult::Reached),
            ReachReport::Missed => {
                self.missed += 1;
                (self.missed >= REFUTING_PEERS).then_some(SearchResult::Missed)
            }
            ReachReport::Unknown => None,
        }
    }

    /// Returns the result once all peers that were asked have reported or their time is over.
    pub fn finish(&self) -> SearchResult {
        match self.missed {
            0 => SearchResult::Unknown,
            _ => SearchResult::Missed,
        }
    }
}

/// An endpoint that this daemon reaches only through peers.
#[derive(Clone, Copy, Debug)]
struct IndirectEndpoint {
    since: Millis,
    check_at: Millis,
    pause: Millis,
}

/// A search that found no peer that reaches an endpoint.
#[derive(Clone, Copy, Debug)]
struct VainSearch {
    at: Millis,
    result: SearchResult,
}

/// What is known of a peer as a carrier.
#[derive(Clone, Debug)]
struct Carrier {
    in_flight: u32,
    /// When it last reached any endpoint.
    reached_at: Option<Millis>,
    avoided_until: Millis,
    avoidance: Millis,
    /// When it last missed each endpoint.
    missed: BTreeMap<BoxId, Millis>,
}

impl Default for Carrier {
    fn default() -> Self {
        Self {
            in_flight: 0,
            reached_at: None,
            avoided_until: Millis(0),
            avoidance: FIRST_AVOIDANCE,
            missed: BTreeMap::new(),
        }
    }
}

impl Carrier {
    fn is_good(&self, now: Millis) -> bool {
        self.reached_at.is_some_and(|at| now.since(at) < GOOD_FOR)
    }

    fn may_carry_to(&self, endpoint: &BoxId, now: Millis) -> bool {
        let has_missed = self.missed.get(endpoint).is_some_and(|at| now.since(*at) < MISSED_FOR);
        now >= self.avoided_until && !has_missed
    }
}

/// Returns whether a peer can be asked to carry requests.
fn can_carry(own: &Heartbeat, peer: &Heartbeat) -> bool {
    peer.node != own.node && peer.serving && peer.changes.is_some()
}

/// Tracks which endpoints are reached only through peers, and which peers carry.
#[derive(Clone, Debug)]
pub struct EndpointPaths {
    indirect: BTreeMap<BoxId, IndirectEndpoint>,
    /// The endpoints whose direct path failed since any last worked.
    failed: BTreeSet<BoxId>,
    carriers: BTreeMap<NodeId, Carrier>,
    /// The last searches that found nobody.
    vain_searches: BTreeMap<BoxId, VainSearch>,
    verified_at: BTreeMap<BoxId, Millis>,
    rng: SeededRng,
}

impl EndpointPaths {
    /// Creates the state of a daemon that reaches all endpoints.
    pub fn new(seed: u64) -> Self {
        Self {
            indirect: BTreeMap::new(),
            failed: BTreeSet::new(),
            carriers: BTreeMap::new(),
            vain_searches: BTreeMap::new(),
            verified_at: BTreeMap::new(),
            rng: SeededRng::new(seed),
        }
    }

    /// Returns whether requests to an endpoint go over this daemon's own link.
    pub fn is_direct(&self, endpoint: &BoxId) -> bool {
        !self.is_cut_off() && !self.indirect.contains_key(endpoint)
    }

    /// Returns since when an endpoint is reached only through peers.
    pub fn indirect_since(&self, endpoint: &BoxId) -> Option<Millis> {
        self.indirect.get(endpoint).map(|indirect| indirect.since)
    }

    /// Returns whether this daemon's own link to endpoints seems to be cut.
    pub fn is_cut_off(&self) -> bool {
        self.failed.len() >= CUT_OFF_ENDPOINTS
    }

    /// Returns how many endpoints are reached only through peers.
    pub fn indirect_count(&self) -> usize {
        self.indirect.len()
    }

    /// Records that the direct path to an endpoint failed while a peer reaches it. Returns whether
    /// that is new.
    pub fn record_indirect(&mut self, endpoint: &BoxId, now: Millis) -> bool {
        self.failed.insert(endpoint.clone());
        if self.indirect.contains_key(endpoint) {
            return false;
        }
        let check_at = now + self.jittered(FIRST_CHECK_PAUSE);
        let indirect = IndirectEndpoint { since: now, check_at, pause: FIRST_CHECK_PAUSE };
        self.indirect.insert(endpoint.clone(), indirect);
        true
    }

    /// Records that a connection to an endpoint was opened over the own link. Returns whether it had
    /// been reached only through peers.
    pub fn record_direct(&mut self, endpoint: &BoxId, now: Millis) -> bool {
        if !self.failed.is_empty() {
            self.failed.clear();
            let due: Vec<BoxId> = self.indirect.keys().cloned().collect();
            for id in due {
                let check_at = now + Millis(self.rng.below(RETURN_SPREAD.0 as usize) as u64);
                if let Some(indirect) = self.indirect.get_mut(&id) {
                    indirect.check_at = indirect.check_at.min(check_at);
                }
            }
        }
        self.indirect.remove(endpoint).is_some()
    }

    /// Returns the endpoints whose direct path is to be checked now, by a connection that carries no
    /// request.
    pub fn due_checks(&mut self, now: Millis) -> Vec<BoxId> {
        let limit = if self.failed.is_empty() { CHECKS_AFTER_CUT } else { CHECKS_WHILE_CUT };
        let mut due: Vec<(Millis, BoxId)> = self
            .indirect
            .iter()
            .filter(|(_, indirect)| now >= indirect.check_at)
            .map(|(id, indirect)| (indirect.check_at, id.clone()))
            .collect();
        due.sort();
        due.truncate(limit);
        for (_, id) in &due {
            let pause = self.indirect.get(id).map_or(FIRST_CHECK_PAUSE, |indirect| indirect.pause);
            let pause = Millis(pause.0 * 2).min(MAX_CHECK_PAUSE);
            let check_at = now + self.jittered(pause);
            if let Some(indirect) = self.indirect.get_mut(id) {
                (indirect.pause, indirect.check_at) = (pause, check_at);
            }
        }
        due.into_iter().map(|(_, id)| id).collect()
    }

    /// Forgets an endpoint that is no longer listed.
    pub fn forget(&mut self, endpoint: &BoxId) {
        self.indirect.remove(endpoint);
        self.failed.remove(endpoint);
    }

    /// Returns whether the direct path to a silent endpoint is to be verified now, and records it.
    pub fn may_verify(&mut self, endpoint: &BoxId, now: Millis) -> bool {
        self.verified_at.retain(|_, at| now.since(*at) < VERIFY_INTERVAL);
        if self.verified_at.contains_key(endpoint) {
            return false;
        }
        self.verified_at.insert(endpoint.clone(), now);
        true
    }

    /// Returns what the last search for an endpoint found, if it found nobody and it is too early for
    /// the next one.
    pub fn last_vain_search(&self, endpoint: &BoxId, now: Millis) -> Option<SearchResult> {
        let last = self.vain_searches.get(endpoint)?;
        (now.since(last.at) < SEARCH_PAUSE).then_some(last.result)
    }

    /// Records that a search for an endpoint found no peer that reaches it.
    pub fn record_vain_search(&mut self, endpoint: &BoxId, result: SearchResult, now: Millis) {
        self.vain_searches.retain(|_, search| now.since(search.at) < SEARCH_PAUSE);
        self.vain_searches.insert(endpoint.clone(), VainSearch { at: now, result });
    }

    /// Returns the peers to ask next whether they reach an endpoint: in each round twice as many as
    /// before, half of them in the own zone, as whole zones may be cut off.
    pub fn next_round<'a>(
        &mut self,
        search: &mut PathSearch,
        own: &Heartbeat,
        alive: &[&'a Heartbeat],
    ) -> Vec<&'a Heartbeat> {
        let count = (FIRST_ROUND << search.round).min(MAX_ASKED - search.asked.len());
        search.round += 1;
        let left = |in_zone: bool| {
            let left = alive.iter().copied().filter(|peer| {
                can_carry(own, peer)
                    && !search.asked.contains(&peer.node)
                    && (peer.zone == own.zone) == in_zone
            });
            left.collect::<Vec<&Heartbeat>>()
        };
        let (mut near, mut far) = (left(true), left(false));
        let mut picked = Vec::new();
        while picked.len() < count && !(near.is_empty() && far.is_empty()) {
            let from_near = far.is_empty() || (!near.is_empty() && picked.len() % 2 == 0);
            let list = if from_near { &mut near } else { &mut far };
            picked.push(list.swap_remove(self.rng.below(list.len())));
        }
        search.asked.extend(picked.iter().map(|peer| peer.node.clone()));
        picked
    }

    /// Chooses a peer that is known to reach endpoints to carry a request to one, or `None` if there
    /// is none, so that one has to be searched for.
    ///
    /// Peers in the own zone come first, then those in the endpoint's, since bytes between zones
    /// cost. Of two random ones the one that carries less for this daemon is chosen.
    pub fn choose_carrier<'a>(
        &mut self,
        own: &Heartbeat,
        alive: &[&'a Heartbeat],
        endpoint: &BoxId,
        endpoint_zone: Option<&ZoneId>,
        tried: &[NodeId],
        now: Millis,
    ) -> Option<&'a Heartbeat> {
        let distance = |peer: &Heartbeat| match () {
            () if peer.zone == own.zone => 0,
            () if Some(&peer.zone) == endpoint_zone => 1,
            () => 2,
        };
        let is_usable = |peer: &&&Heartbeat| {
            can_carry(own, peer)
                && !tried.contains(&peer.node)
                && self.carriers.get(&peer.node).is_some_and(|carrier| {
                    carrier.is_good(now) && carrier.may_carry_to(endpoint, now)
                })
        };
        let usable: Vec<&Heartbeat> = alive.iter().filter(is_usable).copied().collect();
        let nearest = usable.iter().map(|peer| distance(peer)).min()?;
        let nearest: Vec<&Heartbeat> =
            usable.into_iter().filter(|peer| distance(peer) == nearest).collect();
        let mut draw = || nearest[self.rng.below(nearest.len())];
        let (one, other) = (draw(), draw());
        let load = |peer: &Heartbeat| self.carriers.get(&peer.node).map_or(0, |it| it.in_flight);
        Some(if load(other) < load(one) { other } else { one })
    }

    fn carrier(&mut self, node: &NodeId) -> &mut Carrier {
        self.carriers.entry(node.clone()).or_default()
    }

    /// Records that a peer reached an endpoint.
    pub fn record_reached(&mut self, node: &NodeId, endpoint: &BoxId, now: Millis) {
        let carrier = self.carrier(node);
        carrier.reached_at = Some(now);
        carrier.avoidance = FIRST_AVOIDANCE;
        carrier.missed.remove(endpoint);
    }

    /// Records that a peer did not carry a request.
    pub fn record_carrier_failure(
        &mut self,
        node: &NodeId,
        endpoint: &BoxId,
        failure: CarrierFailure,
        now: Millis,
    ) {
        let carrier = self.carrier(node);
        match failure {
            CarrierFailure::EndpointMissed => {
                carrier.missed.retain(|_, at| now.since(*at) < MISSED_FOR);
                carrier.missed.insert(endpoint.clone(), now);
                if carrier.missed.len() >= CUT_OFF_ENDPOINTS {
                    carrier.reached_at = None;
                }
            }
            CarrierFailure::Unavailable => {
                carrier.avoided_until = now + carrier.avoidance;
                carrier.avoidance = Millis(carrier.avoidance.0 * 2).min(MAX_AVOIDANCE);
            }
        }
    }

    /// Records that a peer begins to carry a request.
    pub fn begin_carry(&mut self, node: &NodeId) {
        self.carrier(node).in_flight += 1;
    }

    /// Records that a peer no longer carries a request.
    pub fn end_carry(&mut self, node: &NodeId) {
        let carrier = self.carrier(node);
        carrier.in_flight = carrier.in_flight.saturating_sub(1);
    }

    /// Returns whether nothing is known of any peer as a carrier.
    pub fn has_no_carriers(&self) -> bool {
        self.carriers.is_empty()
    }

    /// Forgets the peers that are no longer alive and carry nothing.
    pub fn retain_carriers(&mut self, alive: &[&Heartbeat]) {
        self.carriers.retain(|node, carrier| {
            carrier.in_flight > 0 || alive.iter().any(|peer| &peer.node == node)
        });
    }

    fn jittered(&mut self, pause: Millis) -> Millis {
        pause + Millis(self.rng.below(pause.0 as usize) as u64) - Millis(pause.0 / 2)
    }
}
