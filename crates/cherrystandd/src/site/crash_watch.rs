//! Tracking which requests were running on boxes that crashed.

use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, BTreeSet};
use std::rc::{Rc, Weak};
use std::sync::Arc;

use cherrystand_core::{
    BoxId, CrashCheck, CrashSuspects, CrashTime, Fingerprint, InterruptedAnswers, LogLimiter,
    MAX_CRASHES, Millis, Outlived, ServiceName, SiteView, SuspectRecord, TrialOwners, Verdict,
};
use cherrystand_peer::LoadMessage;

use crate::site::active_attempt::ActiveAttempt;
use crate::site::confinements::Confinements;
use crate::site::frontend::Frontend;
use crate::site::load_exchange::LoadExchange;
use crate::site::path_checks::PathCheck;
use crate::site::request::SiteRequest;
use crate::{DutyContext, clock};

/// How many requests of one box are accepted from a peer's message. An engine has some 30 slots,
/// and about as many requests wait.
const MAX_REQUESTS_PER_BOX: usize = 1_024;

/// For how long a node that found a crash makes sure that the store's record contains it. All other
/// nodes leave it to those, or hundreds would write the same.
const PUBLISH_PERIOD: Millis = Millis(10_000);

/// A service counts as down once this node has served no request of it completely for this long;
/// streams last 0.3 to 2 s.
const DOWN_AFTER: Millis = Millis(2_000);

/// Keeps requests that were running on boxes that crashed, and decides which of them are no longer
/// sent.
///
/// What a node finds is sent to peers at once, and to the store so that it lasts.
pub(crate) struct CrashWatch {
    pub(super) cx: DutyContext,
    pub(super) loads: Rc<LoadExchange>,
    pub(super) interrupted: RefCell<InterruptedAnswers>,
    pub(super) suspects: RefCell<CrashSuspects>,
    /// The store's record as of the last view.
    stored_record: RefCell<Arc<SuspectRecord>>,
    pub(super) published_at: Cell<Millis>,
    /// When this node last found that a box crashed.
    last_crash_at: Cell<Option<Millis>>,
    /// The boxes at which this node has suspects or a trial in flight.
    pub(super) suspects_in_flight: RefCell<Vec<(BoxId, Fingerprint)>>,
    /// When this node last served a request of each service completely.
    served_at: RefCell<BTreeMap<ServiceName, Millis>>,
    /// All open attempts, and some that have ended since.
    pub(super) attempts: RefCell<Vec<Weak<ActiveAttempt>>>,
    pub(super) confinements: RefCell<Confinements>,
    pub(super) trial_owners: RefCell<TrialOwners>,
    /// What this node refuses and has not told peers of, and when it last told them.
    pub(super) refusing: RefCell<BTreeSet<Fingerprint>>,
    pub(super) told_refusing_at: Cell<Millis>,
    pub(super) overaccused_log: RefCell<LogLimiter>,
    /// A handle to itself for tasks that run later.
    pub(super) weak_self: Weak<CrashWatch>,
}

impl CrashWatch {
    /// Creates it with no crash known.
    pub(crate) fn new(cx: DutyContext, loads: Rc<LoadExchange>) -> Rc<Self> {
        Rc::new_cyclic(|weak_self| Self {
            cx,
            loads,
            interrupted: RefCell::default(),
            suspects: RefCell::default(),
            stored_record: RefCell::default(),
            published_at: Cell::default(),
            last_crash_at: Cell::default(),
            suspects_in_flight: RefCell::default(),
            served_at: RefCell::default(),
            attempts: RefCell::default(),
            confinements: RefCell::default(),
            trial_owners: RefCell::default(),
            refusing: RefCell::default(),
            told_refusing_at: Cell::default(),
            overaccused_log: RefCell::new(LogLimiter::new(1)),
            weak_self: weak_self.clone(),
        })
    }

    /// Returns whether no request is suspected.
    pub(super) fn is_idle(&self) -> bool {
        self.suspects.borrow().is_empty() && self.interrupted.borrow().is_empty()
    }

    /// Returns whether a request that has `open` attempts may be sent once more.
    ///
    /// Each open attempt, and each box that isn't yet known to have crashed, may turn out to be a
    /// further crash. A request is sent only if even then it causes no more than [`MAX_CRASHES`].
    pub(crate) fn may_send(&self, req: &SiteRequest, open: u32) -> bool {
        if self.is_idle() {
            return true;
        }
        let request = req.fingerprint();
        let undecided = self.interrupted.borrow().pending_checks(request);
        let suspects = self.suspects.borrow();
        if suspects.verdict(request) == Verdict::Confined {
            return undecided + open as usize == 0;
        }
        suspects.crash_count(request) + undecided + (open as usize) < MAX_CRASHES
    }

    /// Returns whether a request whose attempt failed may be sent elsewhere, as far as the parts of its
    /// prompt tell. Others with the same part are in flight as well, so the last crash that proves
    /// it guilty is left to them.
    pub(crate) fn parts_may_run_again(&self, req: &SiteRequest) -> bool {
        if self.is_idle() {
            return true;
        }
        let (interrupted, suspects) = (self.interrupted.borrow(), self.suspects.borrow());
        let is_blamed =
            |part: &&Fingerprint| part.is_part() && suspects.verdict(**part) != Verdict::Confined;
        let parts = req.features().iter().filter(is_blamed);
        let crashes = |part: &Fingerprint| {
            let crashes = suspects.unexplained_crash_count(*part);
            crashes + if crashes > 0 { interrupted.pending_checks(*part) } else { 0 }
        };
        parts.map(crashes).all(|crashes| crashes + 1 < MAX_CRASHES)
    }

    /// Records that a request was served completely, which shows that it didn't cause the earlier
    /// crashes.
    pub(crate) fn request_served(&self, req: &SiteRequest) {
        let now = self.cx.clock.now();
        self.set_served_at(&req.service, now);
        let mut suspects = self.suspects.borrow_mut();
        let mut cleared = Vec::new();
        for feature in req.features() {
            let verdict = suspects.verdict(*feature);
            if suspects.record_served(*feature, now) {
                cleared.push(*feature);
            }
            if verdict != Verdict::Sent {
                log::info!(
                    fingerprint = feature.to_string(), is_part = feature.is_part(),
                    was = verdict.as_str();
                    "a refused or confined request was served and is sent like any other"
                );
            }
        }
        drop(suspects);
        if !cleared.is_empty() {
            self.count_refused();
            self.loads.broadcast(LoadMessage::Served(cleared));
            self.publish();
        }
    }

    fn set_served_at(&self, service: &ServiceName, now: Millis) {
        let mut served_at = self.served_at.borrow_mut();
        match served_at.get_mut(service) {
            Some(at) => *at = now,
            None => _ = served_at.insert(service.clone(), now),
        }
    }

    /// Returns whether this node hasn't served a request of a service for a while.
    pub(super) fn is_down(&self, service: &ServiceName, now: Millis) -> bool {
        let served_at = self.served_at.borrow();
        served_at.get(service).is_none_or(|at| now.since(*at) >= DOWN_AFTER)
    }

    fn count_refused(&self) {
        let suspects = self.suspects.borrow();
        self.cx.metrics.requests_refused_for_ends.set(suspects.refused_count() as i64);
        let is_kept = |suspect| suspects.verdict(suspect) != Verdict::Sent;
        self.confinements.borrow_mut().retain(is_kept);
    }

    /// Records a peer's report of a crashed box; this node's own requests there count as well.
    /// Returns the peer's requests that this node served recently, which are reported back to the
    /// peer.
    pub(crate) fn peer_reported_crash(
        &self,
        incarnation: &BoxId,
        requests: &[Fingerprint],
    ) -> Vec<Fingerprint> {
        self.box_crashed(incarnation);
        let requests = &requests[..requests.len().min(MAX_REQUESTS_PER_BOX)];
        let (_, outlived) = self.count_crashes(incarnation, requests, Vec::new());
        self.tell_evidence(Vec::new(), outlived);
        let now = self.cx.clock.now();
        let suspects = self.suspects.borrow();
        let served =
            requests.iter().filter(|request| suspects.was_served_here_recently(**request, now));
        served.copied().collect()
    }

    /// Records that a peer served requests completely.
    pub(crate) fn peer_reported_served(&self, requests: &[Fingerprint]) {
        let now = self.cx.clock.now();
        let mut suspects = self.suspects.borrow_mut();
        requests.iter().for_each(|request| suspects.record_served_by_peer(*request, now));
        drop(suspects);
        self.count_refused();
    }

    /// Records that a box interrupted the answer to a request, and finds out whether the box
    /// crashed.
    pub(crate) fn answer_interrupted(
        &self,
        frontend: &Rc<Frontend>,
        incarnation: &BoxId,
        req: &SiteRequest,
        ran: Millis,
    ) {
        // A box that has announced that it is leaving stops as planned.
        if frontend.is_leaving(incarnation) {
            return;
        }
        let now = self.cx.clock.now();
        let mut interrupted = self.interrupted.borrow_mut();
        let step = interrupted.record(incarnation, req.features(), now);
        interrupted.record_time(incarnation, req.features(), ran);
        drop(interrupted);
        match step {
            CrashCheck::Start => self.probe_box(frontend, incarnation),
            CrashCheck::Pending => {}
            CrashCheck::Crashed => {
                let time = |feature: &Fingerprint| CrashTime {
                    box_id: incarnation.clone(),
                    feature: *feature,
                    ran,
                };
                let times = req.features().iter().map(time).collect();
                self.record_crash(incarnation, req.features().to_vec(), times);
            }
        }
    }

    fn probe_box(&self, frontend: &Rc<Frontend>, incarnation: &BoxId) {
        let Some(address) = frontend.address_of(incarnation) else { return };
        let (frontend, incarnation) = (frontend.clone(), incarnation.clone());
        tokio::task::spawn_local(async move {
            let check = frontend.boxes.check_path(&incarnation, address).await;
            match check {
                PathCheck::Direct | PathCheck::Indirect => {
                    frontend.crashes.interrupted.borrow_mut().record_accepting(&incarnation);
                    frontend.crashes.box_is_alive();
                }
                PathCheck::Refused => frontend.crashes.box_crashed(&incarnation),
                // The box's store entry will show it.
                PathCheck::Unknown => {}
            }
            if check == PathCheck::Indirect {
                frontend.readmit(&incarnation);
            }
        });
    }

    /// Finds out from a new view which of the boxes that interrupted answers have crashed, and
    /// takes over the store's record.
    pub(crate) fn apply_view(&self, view: &SiteView) {
        let crashed = self.interrupted.borrow().crashed_boxes(view);
        crashed.iter().for_each(|incarnation| self.box_crashed(incarnation));
        if !Arc::ptr_eq(&view.suspects, &self.stored_record.borrow()) {
            self.stored_record.replace(view.suspects.clone());
            let now = self.cx.clock.now();
            let mut suspects = self.suspects.borrow_mut();
            suspects.remove_expired(now);
            if !view.suspects.is_bounded() {
                log::warn!("the store's record of suspects has too many entries and is ignored");
            }
            suspects.merge_record(&view.suspects, clock::unix_millis(), now);
            drop(suspects);
            self.count_refused();
            if self.last_crash_at.get().is_some_and(|at| now.since(at) < PUBLISH_PERIOD) {
                self.publish();
            }
        }
    }

    /// Records that a box crashed.
    fn box_crashed(&self, incarnation: &BoxId) {
        let mut interrupted = self.interrupted.borrow_mut();
        let times = interrupted.times_at(incarnation);
        let requests = interrupted.record_crash(incarnation, self.cx.clock.now());
        drop(interrupted);
        if !requests.is_empty() {
            self.record_crash(incarnation, requests, times);
        }
    }

    /// Counts requests of this node that were running on a box as it crashed, and reports them to
    /// peers.
    fn record_crash(&self, incarnation: &BoxId, requests: Vec<Fingerprint>, times: Vec<CrashTime>) {
        let answers = requests.iter().filter(|feature| !feature.is_part()).count();
        self.cx.metrics.answers_ended_with_box.inc_by(answers as u64);
        self.last_crash_at.set(Some(self.cx.clock.now()));
        let (times, outlived) = self.count_crashes(incarnation, &requests, times);
        self.publish();
        self.log_crash(incarnation, &requests);
        let now = self.cx.clock.now();
        let suspects = self.suspects.borrow();
        let reported =
            requests.into_iter().filter(|request| !suspects.was_served_recently(*request, now));
        let reported: Vec<Fingerprint> = reported.collect();
        drop(suspects);
        if !reported.is_empty() {
            self.loads.broadcast(LoadMessage::Crashed(incarnation.clone(), reported));
            self.tell_evidence(times, outlived);
        }
    }

    /// Logs how often the requests of a crashed box had been on crashed boxes before.
    fn log_crash(&self, incarnation: &BoxId, requests: &[Fingerprint]) {
        let suspects = self.suspects.borrow();
        let crashes = |request: &Fingerprint| (suspects.crash_count(*request), *request);
        let Some((max_crashes, request)) = requests.iter().map(crashes).max() else { return };
        let repeated =
            requests.iter().filter(|request| suspects.crash_count(**request) > 1).count();
        log::warn!(
            target_box = incarnation.as_str(), requests = requests.len(), at_earlier_ends = repeated,
            most_ends = max_crashes, fingerprint = request.to_string();
            "a box ended while it worked on requests"
        );
    }

    /// Counts a crash for each request whose answer ended with its box, and returns what else peers are
    /// told of it.
    fn count_crashes(
        &self,
        incarnation: &BoxId,
        requests: &[Fingerprint],
        times: Vec<CrashTime>,
    ) -> (Vec<CrashTime>, Vec<Outlived>) {
        let now = self.cx.clock.now();
        if self.suspects.borrow().is_empty() {
            self.count_arrivals_in_flight();
        }
        let mut suspects = self.suspects.borrow_mut();
        let sent = requests.iter().filter(|it| suspects.verdict(**it) == Verdict::Sent);
        let sent: Vec<Fingerprint> = sent.copied().collect();
        for request in requests {
            suspects.record_crash(incarnation, *request, now);
        }
        drop(suspects);
        let times = self.record_times(times);
        self.count_where_confined(incarnation, requests);
        let outlived = self.find_outlived(requests);
        let suspects = self.suspects.borrow();
        let blamed = sent.into_iter().filter(|it| suspects.verdict(*it) != Verdict::Sent);
        blamed.for_each(|request| self.judge_soon(request));
        drop(suspects);
        self.count_refused();
        (times, outlived)
    }

    /// Publishes what this node has to add to the store's record.
    pub(super) fn publish(&self) {
        let now = self.cx.clock.now();
        self.published_at.set(now);
        let alone = self.cx.view.borrow().alive().count() <= 1;
        let suspects = self.suspects.borrow();
        let own =
            suspects.to_record(&self.stored_record.borrow(), alone, clock::unix_millis(), now);
        if !own.requests.is_empty() {
            self.cx.publish_suspects.send_replace(Arc::new(own));
        }
    }
}
