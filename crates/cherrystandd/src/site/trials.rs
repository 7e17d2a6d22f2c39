//! Trials of refused requests: each once, and apart from what else is suspected.
//!
//! Source: docs/design/0021-trials-of-refused-requests.md.

use std::cell::Cell;
use std::rc::Rc;

use cherrystand_core::{BoxId, Fingerprint, Millis, owner_of};

use crate::site::crash_watch::CrashWatch;
use crate::site::request::SiteRequest;

/// How often a request that keeps coming is told anew to the store's record, which remembers it for an
/// hour.
const TOLD_ANEW_AFTER: Millis = Millis(600_000);

/// Names what all daemons agree by on which of them tries what is refused.
const TRIALS: &str = "trials of refused requests";

/// One trial of a refused request, which is over once this is dropped.
pub(crate) struct Trial {
    watch: Rc<CrashWatch>,
    request: Fingerprint,
    /// Whether a box may have run it.
    may_have_run: Cell<bool>,
}

impl Trial {
    /// Notes whether a box may have run it by now.
    pub(crate) fn note_run(&self, may_have_run: bool) {
        self.may_have_run.set(may_have_run);
    }
}

impl Drop for Trial {
    fn drop(&mut self) {
        self.watch.trial_over(self.request, self.may_have_run.get());
    }
}

/// Says whether a request may be sent.
pub(crate) enum Permission {
    /// It may.
    Send,
    /// It is refused otherwise and is sent once, as a trial.
    Try(Trial),
    /// It ended what ran it.
    Refuse,
}

impl CrashWatch {
    /// Says whether a request that has just come may be sent.
    pub(crate) fn permission(self: &Rc<Self>, req: &SiteRequest) -> Permission {
        if self.is_idle() {
            return Permission::Send;
        }
        let (request, now) = (req.fingerprint(), self.cx.clock.now());
        let refused = self.suspects.borrow_mut().check_refused(request, now);
        match refused {
            true if self.begins_trial(req, now) => Permission::Try(Trial {
                watch: self.clone(),
                request,
                may_have_run: Cell::new(false),
            }),
            false if self.may_send(req, 0) => Permission::Send,
            _ => Permission::Refuse,
        }
    }

    /// Tells whether a refused request is tried once, now and by this node.
    fn begins_trial(&self, req: &SiteRequest, now: Millis) -> bool {
        let (request, is_out) = (req.fingerprint(), self.is_out(&req.service, now));
        if now.since(self.published.get()) >= TOLD_ANEW_AFTER {
            self.publish();
        }
        let tries =
            self.is_judge() && self.suspects.borrow_mut().try_start_trial(request, is_out, now);
        if tries {
            self.publish();
            log::info!(fingerprint = request.to_string(); "a refused request is tried once");
        }
        tries
    }

    /// Tells whether it is this node that tries what is refused, among all that are alive.
    fn is_judge(&self) -> bool {
        let view = self.cx.view_now();
        owner_of(TRIALS, view.alive()) == Some(&view.own.node)
    }

    /// Takes in that a trial is over; where it is not yet known whether its box ended, that is waited for.
    fn trial_over(&self, request: Fingerprint, may_have_run: bool) {
        if self.cut.borrow().pending_checks(request) == 0 {
            self.suspects.borrow_mut().end_trial(request, may_have_run);
        }
    }

    /// Takes in that a box lives whose answers broke off: a trial whose answer was among them is over.
    pub(super) fn box_lives(&self) {
        let Some(request) = self.suspects.borrow().trial_request() else { return };
        let is_at_a_box = self.under_way.borrow().iter().any(|(_, held)| *held == request);
        if !is_at_a_box {
            self.trial_over(request, true);
        }
    }

    /// Notes that this node sends a request to a box, where it is suspected.
    pub(crate) fn sent(&self, target: &BoxId, req: &SiteRequest) {
        if !self.is_idle() && self.is_suspected(req.fingerprint()) {
            self.under_way.borrow_mut().push((target.clone(), req.fingerprint()));
        }
    }

    /// Notes that a box has a request of this node no more.
    pub(crate) fn ended_at(&self, target: &BoxId, req: &SiteRequest) {
        let mut under_way = self.under_way.borrow_mut();
        // Most requests are at no place that is noted.
        if under_way.is_empty() {
            return;
        }
        let request = req.fingerprint();
        let place = under_way.iter().position(|(at, held)| at == target && *held == request);
        place.map(|place| under_way.swap_remove(place));
    }

    fn is_suspected(&self, request: Fingerprint) -> bool {
        let suspects = self.suspects.borrow();
        suspects.crash_count(request) > 0 || suspects.is_trial_request(request)
    }

    /// Lists the boxes that a request keeps away from while there are others: a trial from those that have
    /// another suspect, and all others from the one that has a trial, or its end would say nothing of
    /// either.
    pub(crate) fn kept_apart(&self, req: &SiteRequest) -> Vec<BoxId> {
        if self.under_way.borrow().is_empty() {
            return Vec::new();
        }
        let (request, suspects) = (req.fingerprint(), self.suspects.borrow());
        let is_trial = suspects.is_trial_request(request);
        let under_way = self.under_way.borrow();
        let others = under_way.iter().filter(|(_, held)| *held != request);
        let apart = others.filter(|(_, held)| is_trial || suspects.is_trial_request(*held));
        apart.map(|(target, _)| target.clone()).collect()
    }
}
