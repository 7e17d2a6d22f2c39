//! Evidence for and against suspects beside their crashes: how long they ran at boxes that crashed, and
//! at boxes that live.
//!
//! Source: docs/design/0032-blame-that-explains.md.

use std::net::SocketAddr;
use std::rc::{Rc, Weak};

use cherrystand_core::{BoxId, CrashTime, Fingerprint, Millis, Outlived, Verdict};
use cherrystand_peer::LoadMessage;

use crate::site::active_attempt::ActiveAttempt;
use crate::site::crash_watch::CrashWatch;

/// How often this node tells what it refuses.
const TELL_INTERVAL: Millis = Millis(1_000);

/// How much of it is told at a time, at 16 bytes each.
const MAX_TOLD: usize = 64;

/// How many entries of evidence are accepted from a peer's message.
const MAX_EVIDENCE: usize = 4_096;

impl CrashWatch {
    /// Returns this node's open attempts.
    pub(super) fn open_attempts(&self) -> Vec<Rc<ActiveAttempt>> {
        self.attempts.borrow().iter().filter_map(Weak::upgrade).collect()
    }

    /// Counts what is in flight as this node's latest arrivals, which were not counted while nothing
    /// was suspected.
    pub(super) fn count_arrivals_in_flight(&self) {
        let mut suspects = self.suspects.borrow_mut();
        for attempt in self.open_attempts() {
            let req = attempt.request();
            suspects.record_arrival(&req.service, req.features(), attempt.started_at);
        }
    }

    /// Records how long suspects had run at a box that crashed, and returns what peers are told of it.
    pub(super) fn record_times(&self, times: Vec<CrashTime>) -> Vec<CrashTime> {
        let mut suspects = self.suspects.borrow_mut();
        times.iter().for_each(|time| suspects.record_time(time));
        // What was at one crash alone, and comes no more, is not worth telling.
        let is_told = |time: &CrashTime| {
            suspects.crash_count(time.feature) > usize::from(!time.feature.is_part())
        };
        times.into_iter().filter(is_told).collect()
    }

    /// Returns which living boxes run suspects for longer than it took to crash others, as far as that
    /// is new.
    pub(super) fn find_outlived(&self, crashed: &[Fingerprint]) -> Vec<Outlived> {
        let now = self.cx.clock.now();
        let interrupted = self.interrupted.borrow();
        let mut suspects = self.suspects.borrow_mut();
        let blamed = crashed.iter().filter(|it| suspects.verdict(**it) != Verdict::Sent);
        let blamed: Vec<Fingerprint> = blamed.copied().collect();
        let mut outlived = Vec::new();
        if blamed.is_empty() {
            return outlived;
        }
        for attempt in self.open_attempts() {
            let box_id = &attempt.target;
            if interrupted.may_have_crashed(box_id) {
                continue;
            }
            let ran = now.since(attempt.started_at);
            for feature in blamed.iter().filter(|feature| attempt.has_feature(**feature)) {
                if suspects.record_running(*feature, box_id, ran) {
                    outlived.push(Outlived { box_id: box_id.clone(), feature: *feature });
                }
            }
        }
        outlived
    }

    /// Tells peers what this node knows of suspects beside their crashes.
    pub(super) fn tell_evidence(&self, times: Vec<CrashTime>, outlived: Vec<Outlived>) {
        if !times.is_empty() || !outlived.is_empty() {
            self.loads.broadcast(LoadMessage::CrashEvidence { times, outlived });
        }
    }

    /// Records what a peer knows of suspects beside their crashes.
    pub(crate) fn peer_reported_evidence(&self, times: &[CrashTime], outlived: &[Outlived]) {
        let mut suspects = self.suspects.borrow_mut();
        times.iter().take(MAX_EVIDENCE).for_each(|time| suspects.record_time(time));
        outlived.iter().take(MAX_EVIDENCE).for_each(|it| suspects.record_outlived(it));
        drop(suspects);
        let blamed: Vec<Fingerprint> = times.iter().map(|time| time.feature).collect();
        let found = self.find_outlived(&blamed);
        self.tell_evidence(Vec::new(), found);
    }

    /// Counts crashes of a box to which suspects were confined.
    pub(super) fn count_where_confined(&self, incarnation: &BoxId, features: &[Fingerprint]) {
        let confinements = self.confinements.borrow();
        let mut suspects = self.suspects.borrow_mut();
        for feature in features.iter().filter(|it| confinements.contains(**it, incarnation)) {
            suspects.record_crash_where_confined(*feature);
        }
    }

    /// Tells peers now and then what this node refuses, so that one of the daemons at which it arrives
    /// tries it.
    pub(super) fn tell_refusing(&self, refused: &[Fingerprint], now: Millis) {
        let mut to_tell = self.refusing.borrow_mut();
        let room = MAX_TOLD.saturating_sub(to_tell.len());
        to_tell.extend(refused.iter().take(room));
        if now.since(self.told_refusing_at.get()) >= TELL_INTERVAL {
            self.told_refusing_at.set(now);
            let told = std::mem::take(&mut *to_tell).into_iter().collect();
            self.loads.broadcast(LoadMessage::Refusing(told));
        }
    }

    /// Records what a peer refuses, and returns which of it this node served recently.
    pub(crate) fn peer_refuses(
        &self,
        refused: &[Fingerprint],
        peer: SocketAddr,
    ) -> Vec<Fingerprint> {
        let now = self.cx.clock.now();
        let refused = &refused[..refused.len().min(MAX_TOLD)];
        self.trial_owners.borrow_mut().record_refusing(refused, peer, now);
        let suspects = self.suspects.borrow();
        let served = refused.iter().filter(|it| suspects.was_served_here_recently(**it, now));
        served.copied().collect()
    }

    /// Records that a peer has begun a trial.
    pub(crate) fn peer_tries(&self) {
        self.trial_owners.borrow_mut().record_trial(self.cx.clock.now());
    }
}
