//! Requests that were in flight on boxes as these crashed.
//!
//! A request that crashes whatever runs it is retried and sent again like any other. Before daemons
//! remembered such requests, one of them crashed 25 replicas within 40 s, each of which took 12 to
//! 16 s to repair.
//!
//! Source: docs/design/0018-requests-that-crash-replicas.md.

use std::collections::{BTreeMap, HashMap, VecDeque};

use crate::site::arrival_shares::ArrivalShares;
use crate::site::crash_trials::Trial;
use crate::site::suspect::Suspect;
use crate::{BoxId, Fingerprint, Millis, ServiceName};

/// How long a request is remembered after it last crashed a box. One that keeps arriving costs at
/// most three replicas an hour.
pub const SUSPECT_TTL: Millis = Millis(3_600_000);

/// The number of requests remembered, at 300 bytes each.
const MAX_SUSPECTS: usize = 4_096;

/// A request that was served within this time is not blamed for a crash: many callers send
/// identical requests, such as calls without a body, and some of these are in flight on every box
/// that crashes.
const SERVED_RECENTLY_WITHIN: Millis = Millis(60_000);

/// After this time a served request is remembered anew.
const SERVED_RENEWED_AFTER: Millis = Millis(1_000);

/// The number of served requests remembered, at 40 bytes each. A daemon of the target size serves
/// 34 a second.
const MAX_SERVED: usize = 4_096;

/// When a request was last served completely.
#[derive(Clone, Copy, Debug)]
struct Served {
    at: Millis,
    /// Whether this daemon served it, rather than a peer that reported it.
    served_here: bool,
}

/// Tracks requests that were in flight on boxes as these crashed, and decides which are refused.
///
/// What daemons know merges as a union of crashed boxes per request, independent of who reports a
/// crash and in which order.
#[derive(Clone, Debug, Default)]
pub struct CrashSuspects {
    pub(super) suspects: BTreeMap<Fingerprint, Suspect>,
    /// Requests that were served completely, as far as this daemon knows.
    served: HashMap<Fingerprint, Served>,
    /// The same requests by time, for expiry.
    served_order: VecDeque<(Millis, Fingerprint)>,
    /// The one trial this daemon has open.
    pub(super) trial: Option<Trial>,
    /// What the latest arrivals have.
    pub(super) arrivals: ArrivalShares,
}

impl CrashSuspects {
    /// Returns whether no request is remembered, so that no fingerprint needs to be computed.
    pub fn is_empty(&self) -> bool {
        self.suspects.is_empty()
    }

    /// Returns whether any daemon served a request recently.
    pub fn was_served_recently(&self, request: Fingerprint, now: Millis) -> bool {
        self.served
            .get(&request)
            .is_some_and(|served| now.since(served.at) < SERVED_RECENTLY_WITHIN)
    }

    /// Returns whether this daemon itself served a request recently.
    pub fn was_served_here_recently(&self, request: Fingerprint, now: Millis) -> bool {
        let served_here = self.served.get(&request).is_some_and(|served| served.served_here);
        served_here && self.was_served_recently(request, now)
    }

    fn remember_served(&mut self, request: Fingerprint, now: Millis, served_here: bool) {
        // Parts of prompts are served with each request that has them.
        let is_known = self.served.get(&request).is_some_and(|served| {
            now.since(served.at) < SERVED_RENEWED_AFTER && served.served_here >= served_here
        });
        if is_known {
            return;
        }
        self.served.insert(request, Served { at: now, served_here });
        self.served_order.push_back((now, request));
        while self.served_order.len() > MAX_SERVED {
            let Some((at, oldest)) = self.served_order.pop_front() else { return };
            if self.served.get(&oldest).is_some_and(|served| served.at == at) {
                self.served.remove(&oldest);
            }
        }
    }

    /// Records what may crash replicas of a request that arrived for a service.
    pub fn record_arrival(&mut self, service: &ServiceName, features: &[Fingerprint], now: Millis) {
        self.arrivals.record(service, features, now);
    }

    /// Records that a box crashed while running a request, and returns the request's crash count; 0
    /// if it was served recently.
    pub fn record_crash(&mut self, box_id: &BoxId, request: Fingerprint, now: Millis) -> usize {
        if self.was_served_recently(request, now) {
            return 0;
        }
        self.close_trial(request);
        self.make_room(request, now);
        let suspect = self.suspects.entry(request).or_default();
        if !suspect.knows_crash_of(box_id) {
            suspect.last_activity = now;
            suspect.add_crash(box_id, now);
        }
        suspect.is_witnessed = true;
        suspect.outlived_by.remove(box_id);
        suspect.longer_at.remove(box_id);
        suspect.crash_count()
    }

    /// Records that a request was served completely, which clears it of all crashes so far. Returns
    /// whether it had any.
    pub fn record_served(&mut self, request: Fingerprint, now: Millis) -> bool {
        self.remember_served(request, now, true);
        self.dismiss_crashes(request, now)
    }

    /// Records that a peer served a request recently. This daemon doesn't report it as served by
    /// itself, or daemons would renew the report among each other forever.
    pub fn record_served_by_peer(&mut self, request: Fingerprint, now: Millis) {
        if !self.was_served_recently(request, now) {
            self.remember_served(request, now, false);
        }
        self.dismiss_crashes(request, now);
    }

    /// Clears a request of its crashes, and returns whether it had any.
    pub(super) fn dismiss_crashes(&mut self, request: Fingerprint, now: Millis) -> bool {
        self.close_trial(request);
        let Some(suspect) = self.suspects.get_mut(&request) else { return false };
        let had_crashes = !suspect.crash_groups.is_empty();
        suspect.dismiss_crashes();
        suspect.last_activity = now;
        had_crashes
    }

    /// Returns how many boxes crashed while running a request since it was last served.
    pub fn crash_count(&self, request: Fingerprint) -> usize {
        self.suspects.get(&request).map_or(0, Suspect::crash_count)
    }

    pub(super) fn close_trial(&mut self, request: Fingerprint) {
        self.trial = self.trial.filter(|trial| trial.request != request);
    }

    /// Makes room for a new request: drops the expired ones, or else the one with the fewest crash
    /// groups.
    pub(super) fn make_room(&mut self, request: Fingerprint, now: Millis) {
        if self.suspects.contains_key(&request) || self.suspects.len() < MAX_SUSPECTS {
            return;
        }
        self.suspects.retain(|_, suspect| now.since(suspect.last_activity) < SUSPECT_TTL);
        if self.suspects.len() < MAX_SUSPECTS {
            return;
        }
        let weight = |(_, suspect): &(&Fingerprint, &Suspect)| {
            (suspect.crash_groups.len(), suspect.last_activity)
        };
        let least = self.suspects.iter().min_by_key(weight).map(|(request, _)| *request);
        least.map(|least| self.suspects.remove(&least));
    }

    /// Drops requests whose last activity is too long ago.
    pub fn remove_expired(&mut self, now: Millis) {
        self.suspects.retain(|_, suspect| now.since(suspect.last_activity) < SUSPECT_TTL);
    }

    /// Returns the number of refused requests.
    pub fn refused_count(&self) -> usize {
        self.suspects.keys().filter(|request| self.is_refused(**request)).count()
    }
}
