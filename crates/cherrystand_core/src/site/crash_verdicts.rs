//! What the crashes of a suspect mean: it is sent, confined to a few replicas, or refused.
//!
//! Source: docs/design/0032-blame-that-explains.md.

use crate::site::suspect::{Suspect, Testimony};
use crate::{
    BoxId, CrashSuspects, CrashTime, Fingerprint, MAX_CRASHES, Millis, Outlived, ServiceName,
};

/// What is done with requests that have a suspect.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Verdict {
    /// They are sent like any other.
    Sent,
    /// They are sent to the few replicas of [`confined_boxes`](crate::confined_boxes) alone.
    Confined,
    /// They are refused.
    Refused,
}

impl Verdict {
    /// Returns its name in logs.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Sent => "sent",
            Self::Confined => "confined",
            Self::Refused => "refused",
        }
    }
}

impl CrashSuspects {
    /// Returns what is done with requests that have a suspect.
    ///
    /// Of what many requests have a copy is at each box that crashes, so that its crashes say little.
    pub fn verdict(&self, feature: Fingerprint) -> Verdict {
        let Some(suspect) = self.suspects.get(&feature) else { return Verdict::Sent };
        if !self.reaches_limit(feature, suspect) {
            return Verdict::Sent;
        }
        let is_confined = match suspect.testimony() {
            Testimony::CrashedWhereConfined | Testimony::NotOutlived => false,
            Testimony::Outlived => true,
            Testimony::StoreOnly => feature.is_part() || self.arrivals.is_common(feature),
            Testimony::Unknown => self.arrivals.is_common(feature),
        };
        if is_confined { Verdict::Confined } else { Verdict::Refused }
    }

    /// Returns whether a suspect has as many crashes to answer for as make it refused or confined.
    fn reaches_limit(&self, feature: Fingerprint, suspect: &Suspect) -> bool {
        // Few reach the limit at all, and what explains their crashes is looked for among all suspects.
        suspect.reaches_limit()
            && (!feature.is_part() || self.unexplained_crash_count(feature) >= MAX_CRASHES)
    }

    /// Returns whether a request, or each one with a part of prompts, is refused.
    pub fn is_refused(&self, request: Fingerprint) -> bool {
        self.verdict(request) == Verdict::Refused
    }

    /// Returns whether a request that has just arrived for a service is refused by the store's record
    /// alone, which has accused too many of its arrivals to be believed.
    pub fn is_overaccused(&mut self, request: Fingerprint, service: &ServiceName) -> bool {
        let suspect = self.suspects.get(&request);
        suspect.is_some_and(|it| !it.is_witnessed) && !self.arrivals.admits_hearsay(service)
    }

    /// Records how long a suspect had run at a box as that crashed, as this daemon or a peer saw it.
    pub fn record_time(&mut self, time: &CrashTime) {
        if let Some(suspect) = self.suspects.get_mut(&time.feature) {
            suspect.record_time(&time.box_id, time.ran);
        }
    }

    /// Records how long a suspect has run at a box that lives, and returns whether the box so speaks for
    /// it, which it did not before.
    pub fn record_running(&mut self, feature: Fingerprint, box_id: &BoxId, ran: Millis) -> bool {
        self.suspects.get_mut(&feature).is_some_and(|it| it.record_running(box_id, ran))
    }

    /// Records that a peer saw a box outlive a suspect.
    pub fn record_outlived(&mut self, outlived: &Outlived) {
        if let Some(suspect) = self.suspects.get_mut(&outlived.feature) {
            suspect.record_outlived(&outlived.box_id);
        }
    }

    /// Records that a box crashed to which a suspect was confined: nothing else has it there.
    pub fn record_crash_where_confined(&mut self, feature: Fingerprint) {
        if let Some(suspect) = self.suspects.get_mut(&feature) {
            suspect.crashes_where_confined += 1;
        }
    }

    /// Describes for a log what a suspect is blamed for: at which boxes that crashed it was, after what
    /// time, and which live with it.
    pub fn evidence(&self, request: Fingerprint) -> String {
        let Some(suspect) = self.suspects.get(&request) else { return String::new() };
        let groups = suspect.crash_groups.iter().flat_map(|group| &group.boxes);
        let crashed = groups.map(|box_id| match suspect.times.get(box_id) {
            Some(ran) => format!("{box_id} after {} ms", ran.0),
            None => box_id.to_string(),
        });
        let crashed: Vec<String> = crashed.collect();
        let outlived = suspect.outlived_by.iter().map(BoxId::as_str);
        let outlived: Vec<&str> = outlived.collect();
        format!("crashed: {}; outlived it: {}", crashed.join(", "), outlived.join(", "))
    }

    /// Returns whether an attempt of a request that has run for `ran` is to be cancelled: it ran less
    /// long than the crashes took, which nothing else explains, and no box outlived the request. What goes
    /// on may clear it.
    pub fn must_cancel(&self, request: Fingerprint, ran: Millis) -> bool {
        let longest = self.suspects.get(&request).and_then(Suspect::longest_time);
        let is_outlived = || self.suspects.get(&request).is_some_and(Suspect::is_outlived);
        longest.is_some_and(|longest| ran < longest)
            && !is_outlived()
            && self.is_sole_cause(request)
            && !self.is_trial_request(request)
    }

    /// Returns whether a request is refused and no other request was involved in each of its crash
    /// groups.
    pub fn is_sole_cause(&self, request: Fingerprint) -> bool {
        let Some(suspect) = self.suspects.get(&request) else { return false };
        let mut others = self.suspects.iter().filter(|(other, _)| **other != request);
        self.is_refused(request) && !others.any(|(_, other)| suspect.is_explained_by(other))
    }

    /// Returns how many crashes a part of prompts has to answer for.
    ///
    /// A part is in flight wherever the requests are that share it. So a crash is left out that a
    /// stronger suspect explains: a part that was at more crashes, or a single request at as many.
    pub fn unexplained_crash_count(&self, part: Fingerprint) -> usize {
        let Some(suspect) = self.suspects.get(&part) else { return 0 };
        let crashes = suspect.crash_count();
        let is_stronger = |(other, held): &(&Fingerprint, &Suspect)| match other.is_part() {
            true => held.crash_count() > crashes,
            false => held.crash_count() >= crashes,
        };
        let stronger = self.suspects.iter().filter(is_stronger);
        let stronger: Vec<&Suspect> = stronger.map(|(_, held)| held).collect();
        suspect.unexplained_crash_count(&stronger)
    }

    /// Returns whether a request is to be refused. A refusal is no evidence, and renews nothing.
    pub fn check_refused(&mut self, request: Fingerprint, now: Millis) -> bool {
        let refused = self.is_refused(request);
        let Some(suspect) = self.suspects.get_mut(&request) else { return false };
        if refused {
            suspect.last_refused = now;
            suspect.refusals = suspect.refusals.saturating_add(1);
        }
        refused
    }
}
