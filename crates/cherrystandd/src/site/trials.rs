//! Trials of refused requests: each is sent once, away from all other suspects.
//!
//! Source: docs/design/0021-trials-of-refused-requests.md.

use std::cell::Cell;
use std::rc::Rc;

use cherrystand_core::{BoxId, Fingerprint, Millis};
use cherrystand_peer::LoadMessage;

use crate::site::crash_watch::CrashWatch;
use crate::site::request::SiteRequest;

/// How often a refused request that keeps arriving is written to the store's record again; the
/// record forgets it after an hour.
const REPUBLISH_AFTER: Millis = Millis(600_000);

/// One trial of a refused request; it ends when this is dropped.
pub(crate) struct Trial {
    watch: Rc<CrashWatch>,
    request: Fingerprint,
    /// Whether a box may have run the request.
    may_have_run: Cell<bool>,
}

impl Trial {
    /// Records whether a box may have run the request by now.
    pub(crate) fn set_may_have_run(&self, may_have_run: bool) {
        self.may_have_run.set(may_have_run);
    }
}

impl Drop for Trial {
    fn drop(&mut self) {
        self.watch.end_trial(self.request, self.may_have_run.get());
    }
}

/// Whether a request may be sent.
pub(crate) enum Permission {
    Send,
    /// The request is refused otherwise and is sent once, as a trial.
    Trial(Trial),
    /// The request crashed the replicas that ran it.
    Refuse,
}

impl CrashWatch {
    /// Decides whether a request that has just arrived may be sent.
    pub(crate) fn permission(self: &Rc<Self>, req: &SiteRequest) -> Permission {
        if self.is_idle() {
            return Permission::Send;
        }
        let now = self.cx.clock.now();
        let mut suspects = self.suspects.borrow_mut();
        suspects.record_arrival(&req.service, req.features(), now);
        let mut refused = Vec::new();
        for feature in req.features() {
            if suspects.check_refused(*feature, now) {
                match suspects.is_overaccused(*feature, &req.service) {
                    true => self.log_overaccused(*feature, now),
                    false => refused.push(*feature),
                }
            }
        }
        drop(suspects);
        if refused.is_empty() {
            return if self.may_send(req, 0) { Permission::Send } else { Permission::Refuse };
        }
        self.tell_refusing(&refused, now);
        match refused.into_iter().find(|feature| self.starts_trial(*feature, req, now)) {
            Some(request) => {
                let may_have_run = Cell::new(false);
                Permission::Trial(Trial { watch: self.clone(), request, may_have_run })
            }
            None => Permission::Refuse,
        }
    }

    /// Returns whether this node now tries what is refused of a request.
    fn starts_trial(&self, request: Fingerprint, req: &SiteRequest, now: Millis) -> bool {
        let is_down = self.is_down(&req.service, now);
        if now.since(self.published_at.get()) >= REPUBLISH_AFTER {
            self.publish();
        }
        let own = self.cx.settings.listen.peers;
        let may_try = self.trial_owners.borrow().may_try(request, own, now);
        let mut suspects = self.suspects.borrow_mut();
        let starts = may_try
            && suspects.isolates(request, req.features())
            && suspects.try_start_trial(request, is_down, now);
        drop(suspects);
        if starts {
            self.loads.broadcast(LoadMessage::Trying(request));
            self.publish();
            log::info!(fingerprint = request.to_string(); "a refused request is tried once");
        }
        starts
    }

    /// Logs now and then that the store's record accuses too much to be believed.
    fn log_overaccused(&self, request: Fingerprint, now: Millis) {
        if self.overaccused_log.borrow_mut().admit(now).is_some() {
            log::warn!(
                fingerprint = request.to_string();
                "the store's record alone accuses too many requests and is not believed"
            );
        }
    }

    /// Ends a trial, unless it is still being determined whether its box crashed.
    fn end_trial(&self, request: Fingerprint, may_have_run: bool) {
        if self.interrupted.borrow().pending_checks(request) == 0 {
            self.suspects.borrow_mut().end_trial(request, may_have_run);
        }
    }

    /// Records that a box whose answers were interrupted is alive. If the trial's answer was among
    /// them, the trial is over.
    pub(super) fn box_is_alive(&self) {
        let Some(request) = self.suspects.borrow().trial_request() else { return };
        let is_in_flight =
            self.suspects_in_flight.borrow().iter().any(|(_, fingerprint)| *fingerprint == request);
        if !is_in_flight {
            self.end_trial(request, true);
        }
    }

    /// Records that this node sends a request to a box, if the request is a suspect.
    pub(crate) fn attempt_sent(&self, target: &BoxId, req: &SiteRequest) {
        if self.is_idle() {
            return;
        }
        let suspected = req.features().iter().filter(|feature| self.is_suspected(**feature));
        let suspected = suspected.map(|feature| (target.clone(), *feature));
        self.suspects_in_flight.borrow_mut().extend(suspected);
    }

    /// Records that a box no longer has a request of this node.
    pub(crate) fn attempt_ended(&self, target: &BoxId, req: &SiteRequest) {
        let mut suspects_in_flight = self.suspects_in_flight.borrow_mut();
        // Most requests are not suspects.
        if suspects_in_flight.is_empty() {
            return;
        }
        for feature in req.features() {
            let index = suspects_in_flight
                .iter()
                .position(|(in_flight_at, suspect)| in_flight_at == target && suspect == feature);
            index.map(|index| suspects_in_flight.swap_remove(index));
        }
    }

    fn is_suspected(&self, request: Fingerprint) -> bool {
        let suspects = self.suspects.borrow();
        suspects.crash_count(request) > 0 || suspects.is_trial_request(request)
    }

    /// Lists the boxes that a request avoids while there are others. A trial avoids the boxes of
    /// other suspects, and all other suspects avoid the box of the trial; otherwise a crash there
    /// would prove nothing about either.
    pub(crate) fn boxes_to_avoid(&self, req: &SiteRequest) -> Vec<BoxId> {
        if self.is_idle() {
            return Vec::new();
        }
        let features = req.features();
        let confined = self.boxes_of_confined(features);
        if self.suspects_in_flight.borrow().is_empty() {
            return confined;
        }
        let suspects = self.suspects.borrow();
        let is_trial = features.iter().any(|feature| suspects.is_trial_request(*feature));
        let suspects_in_flight = self.suspects_in_flight.borrow();
        let others = suspects_in_flight.iter().filter(|(_, suspect)| !features.contains(suspect));
        let avoided =
            others.filter(|(_, fingerprint)| is_trial || suspects.is_trial_request(*fingerprint));
        avoided.map(|(target, _)| target.clone()).chain(confined).collect()
    }
}
