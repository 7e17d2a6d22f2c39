//! Which daemon tries a refused request: one of those at which it arrives.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use crate::{Fingerprint, Millis, hash_bytes, mix};

/// For how long a daemon that told of a refusal may be the one that tries; it tells anew each second.
const TOLD_TTL: Millis = Millis(3_000);

/// How long a trial of one daemon holds back those of the others.
const HELD_BACK: Millis = Millis(3_000);

/// The number of refused requests and parts of which it is remembered who refuses them.
const MAX_REFUSED: usize = 256;

/// The number of daemons remembered for each of them.
const MAX_DAEMONS: usize = 64;

/// Keeps which other daemons lately refused what, and when one of them last began a trial.
#[derive(Clone, Debug, Default)]
pub struct TrialOwners {
    told: BTreeMap<Fingerprint, BTreeMap<SocketAddr, Millis>>,
    last_trial: Option<Millis>,
}

impl TrialOwners {
    /// Records that another daemon refuses requests.
    pub fn record_refusing(&mut self, refused: &[Fingerprint], daemon: SocketAddr, now: Millis) {
        self.told.retain(|_, daemons| {
            daemons.retain(|_, at| now.since(*at) < TOLD_TTL);
            !daemons.is_empty()
        });
        for request in refused {
            if self.told.len() >= MAX_REFUSED && !self.told.contains_key(request) {
                return;
            }
            let daemons = self.told.entry(*request).or_default();
            if daemons.len() < MAX_DAEMONS || daemons.contains_key(&daemon) {
                daemons.insert(daemon, now);
            }
        }
    }

    /// Records that another daemon began a trial.
    pub fn record_trial(&mut self, now: Millis) {
        self.last_trial = Some(now);
    }

    /// Returns whether this daemon, at which a refused request has just arrived, is the one that may
    /// try it now.
    pub fn may_try(&self, request: Fingerprint, own: SocketAddr, now: Millis) -> bool {
        if self.last_trial.is_some_and(|at| now.since(at) < HELD_BACK) {
            return false;
        }
        let request_hash = hash_bytes(&request.0.to_le_bytes());
        let rank = |daemon: &SocketAddr| {
            (mix(request_hash ^ hash_bytes(daemon.to_string().as_bytes())), *daemon)
        };
        let told = self.told.get(&request).into_iter().flatten();
        let mut refusing = told.filter(|(_, at)| now.since(**at) < TOLD_TTL);
        refusing.all(|(daemon, _)| rank(&own) <= rank(daemon))
    }
}
