//! Which refused request is tried next, and how trials end.
//!
//! Source: docs/design/0021-trials-of-refused-requests.md.

use crate::site::suspect::Suspect;
use crate::{CrashSuspects, Fingerprint, Millis};

/// The longest time a trial blocks the next one. No route holds a request for longer than this
/// minus the time it takes to detect a crash.
const TRIAL_TIMEOUT: Millis = Millis(15_000);

/// A refused request that is being tried.
#[derive(Clone, Copy, Debug)]
pub(super) struct Trial {
    pub(super) request: Fingerprint,
    started: Millis,
}

impl CrashSuspects {
    /// Starts a trial of a refused request if one is due, and returns whether it did. The caller
    /// ensures that only one daemon runs trials.
    ///
    /// One request is tried at a time, the one most likely to be harmless first: the one with the
    /// fewest trials, then the fewest crash groups that no other request shares, then the most
    /// arrivals. If `is_service_down`, nothing else of the service is served, and the first of
    /// several refused requests, or one that most arrivals have, is tried early.
    pub fn try_start_trial(
        &mut self,
        request: Fingerprint,
        is_service_down: bool,
        now: Millis,
    ) -> bool {
        let is_open = self.trial.is_some_and(|trial| now.since(trial.started) < TRIAL_TIMEOUT);
        if is_open || self.next_trial(is_service_down, now) != Some(request) {
            return false;
        }
        let Some(suspect) = self.suspects.get_mut(&request) else { return false };
        suspect.trials += 1;
        suspect.last_trial = now;
        self.trial = Some(Trial { request, started: now });
        true
    }

    /// Returns which of the refused requests that still arrive is tried next, if one is due.
    fn next_trial(&self, is_service_down: bool, now: Millis) -> Option<Fingerprint> {
        let waiting = self.suspects.iter().filter(|(_, suspect)| suspect.awaits_trial(now));
        let waiting = waiting.filter(|(request, _)| self.is_refused(**request));
        let waiting: Vec<(Fingerprint, &Suspect)> =
            waiting.map(|(request, suspect)| (*request, suspect)).collect();
        let is_in_most =
            |(request, _): &(Fingerprint, &Suspect)| self.arrivals.is_in_most(*request);
        let allows_early = is_service_down && (waiting.len() > 1 || waiting.iter().any(is_in_most));
        let due = waiting.iter().filter(|(_, suspect)| suspect.is_trial_due(allows_early, now));
        let order = |(request, suspect): &&(Fingerprint, &Suspect)| {
            let others = waiting.iter().filter(|(other, _)| other != request);
            let others: Vec<&Suspect> = others.map(|(_, suspect)| *suspect).collect();
            let often = std::cmp::Reverse(suspect.refusals);
            (suspect.trials, suspect.unshared_crash_groups(&others), often, *request)
        };
        due.min_by_key(order).map(|(request, _)| *request)
    }

    /// Returns whether a request may be tried as it is: its crash would say nothing of `tried` if it had
    /// another suspect as well, unless the two were always together.
    pub fn isolates(&self, tried: Fingerprint, features: &[Fingerprint]) -> bool {
        let Some(suspect) = self.suspects.get(&tried) else { return true };
        let others = features.iter().filter(|feature| **feature != tried);
        let mut others = others.filter_map(|feature| self.suspects.get(feature));
        others.all(|other| suspect.is_explained_by(other) || other.crash_groups.is_empty())
    }

    /// Returns the request that is being tried, if any.
    pub fn trial_request(&self) -> Option<Fingerprint> {
        self.trial.map(|trial| trial.request)
    }

    /// Returns whether a request is being tried.
    pub fn is_trial_request(&self, request: Fingerprint) -> bool {
        self.trial_request() == Some(request)
    }

    /// Ends a trial without a result. One that certainly didn't run isn't counted.
    ///
    /// One that may have run is counted: where something in front of the box still accepts
    /// connections, the crash may be detected seconds later, and the request would be sent every
    /// second until then.
    pub fn end_trial(&mut self, request: Fingerprint, may_have_run: bool) {
        if !self.is_trial_request(request) {
            return;
        }
        self.trial = None;
        if let Some(suspect) = self.suspects.get_mut(&request).filter(|_| !may_have_run) {
            suspect.trials = suspect.trials.saturating_sub(1);
        }
    }
}
