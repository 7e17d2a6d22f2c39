//! Watching which requests were at boxes as these ended.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::io::ErrorKind;
use std::net::SocketAddr;
use std::rc::{Rc, Weak};
use std::sync::Arc;
use std::time::Duration;

use cherrystand_core::{
    BoxId, CrashCheck, CrashSuspects, Fingerprint, InterruptedAnswers, MAX_CRASHES, Millis,
    ServiceName, SiteView, SuspectRecord,
};
use cherrystand_peer::LoadNews;
use tokio::net::TcpStream;

use crate::site::active_attempt::ActiveAttempt;
use crate::site::frontend::Frontend;
use crate::site::load_exchange::LoadExchange;
use crate::site::request::SiteRequest;
use crate::{DutyContext, clock};

/// How long a box may take to accept a connection that shows that it is there.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(250);

/// How many requests of one box are taken from a peer's news; an engine has places for some 30, and as
/// many wait.
const MAX_REQUESTS_PER_BOX: usize = 1_024;

/// For how long a node that found an end sees to it that the store's record tells of it; all others leave
/// it to those, or hundreds would write the same.
const PUBLISH_PERIOD: Millis = Millis(10_000);

/// A service of which this node has served nothing whole for so long is out; streams last 0.3 to 2 s.
const DOWN_AFTER: Millis = Millis(2_000);

/// Keeps requests that were at boxes as these ended, and says which are sent no more.
///
/// What is found here is told to peers at once, and to the store where it is to last.
pub(crate) struct CrashWatch {
    pub(super) cx: DutyContext,
    loads: Rc<LoadExchange>,
    pub(super) interrupted: RefCell<InterruptedAnswers>,
    pub(super) suspects: RefCell<CrashSuspects>,
    /// The store's record as it was last taken over.
    stored_record: RefCell<Arc<SuspectRecord>>,
    pub(super) published_at: Cell<Millis>,
    /// When this node last found that a box ended.
    last_crash_at: Cell<Option<Millis>>,
    /// Where this node has requests that were at ends of boxes, or that are tried.
    pub(super) suspects_in_flight: RefCell<Vec<(BoxId, Fingerprint)>>,
    /// When this node last served a request of a service whole.
    served_at: RefCell<BTreeMap<ServiceName, Millis>>,
    /// All attempts under way, those that have ended since among them.
    pub(super) attempts: RefCell<Vec<Weak<ActiveAttempt>>>,
    /// This itself, for what is decided a little later.
    pub(super) weak_self: Weak<CrashWatch>,
}

impl CrashWatch {
    /// Creates one that knows of no end.
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
            weak_self: weak_self.clone(),
        })
    }

    /// Tells whether no request is suspected.
    pub(super) fn is_idle(&self) -> bool {
        self.suspects.borrow().is_empty() && self.interrupted.borrow().is_empty()
    }

    /// Tells whether a request that has `open` attempts may be sent once more.
    ///
    /// Each open attempt, and each box that is not yet known to have ended, may turn out to be one end
    /// more: so no daemon sends it where it could end more than [`MAX_CRASHES`].
    pub(crate) fn may_send(&self, req: &SiteRequest, open: u32) -> bool {
        if self.is_idle() {
            return true;
        }
        let request = req.fingerprint();
        let undecided = self.interrupted.borrow().pending_checks(request);
        let crashes = self.suspects.borrow().crash_count(request);
        crashes + undecided + (open as usize) < MAX_CRASHES
    }

    /// Takes in that a request was served whole, so that what ended before did not end by it.
    pub(crate) fn request_served(&self, req: &SiteRequest) {
        let (request, now) = (req.fingerprint(), self.cx.clock.now());
        self.set_served_at(&req.service, now);
        let crashes = self.suspects.borrow().crash_count(request);
        if self.suspects.borrow_mut().record_served(request, now) {
            if crashes >= MAX_CRASHES {
                log::info!(
                    fingerprint = request.to_string();
                    "a refused request was served and is refused no more"
                );
            }
            self.count_refused();
            self.loads.broadcast(LoadNews::Served(vec![request]));
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

    /// Tells whether this node has served no request of a service for a while.
    pub(super) fn is_down(&self, service: &ServiceName, now: Millis) -> bool {
        let served_at = self.served_at.borrow();
        served_at.get(service).is_none_or(|at| now.since(*at) >= DOWN_AFTER)
    }

    fn count_refused(&self) {
        let refused = self.suspects.borrow().refused_count();
        self.cx.metrics.requests_refused_for_ends.set(refused as i64);
    }

    /// Takes in what a peer tells of a box that ended: its own requests there count as well. Returns those
    /// of the peer's that this node served lately, which that peer is to be told.
    pub(crate) fn peer_reported_crash(
        &self,
        incarnation: &BoxId,
        requests: &[Fingerprint],
    ) -> Vec<Fingerprint> {
        self.box_crashed(incarnation);
        let requests = &requests[..requests.len().min(MAX_REQUESTS_PER_BOX)];
        self.count_crashes(incarnation, requests);
        let now = self.cx.clock.now();
        let suspects = self.suspects.borrow();
        let served =
            requests.iter().filter(|request| suspects.was_served_here_recently(**request, now));
        served.copied().collect()
    }

    /// Takes in that a peer served requests whole.
    pub(crate) fn peer_reported_served(&self, requests: &[Fingerprint]) {
        let now = self.cx.clock.now();
        let mut suspects = self.suspects.borrow_mut();
        requests.iter().for_each(|request| suspects.record_served_by_peer(*request, now));
        drop(suspects);
        self.count_refused();
    }

    /// Takes in that a box cut the answer to a request, and finds out whether the box ended.
    pub(crate) fn answer_interrupted(
        &self,
        frontend: &Rc<Frontend>,
        incarnation: &BoxId,
        request: Fingerprint,
    ) {
        // A box that says that it leaves ends as planned.
        if frontend.is_leaving(incarnation) {
            return;
        }
        let step = self.interrupted.borrow_mut().record(incarnation, request, self.cx.clock.now());
        match step {
            CrashCheck::Start => self.probe_box(frontend, incarnation),
            CrashCheck::Pending => {}
            CrashCheck::Crashed => self.record_crash(incarnation, vec![request]),
        }
    }

    fn probe_box(&self, frontend: &Rc<Frontend>, incarnation: &BoxId) {
        let Some(address) = frontend.address_of(incarnation) else { return };
        let (frontend, incarnation) = (frontend.clone(), incarnation.clone());
        tokio::task::spawn_local(async move {
            match is_listening(address).await {
                Some(true) => {
                    frontend.crashes.interrupted.borrow_mut().record_accepting(&incarnation);
                    frontend.crashes.box_is_alive();
                }
                Some(false) => frontend.crashes.box_crashed(&incarnation),
                // Its entry will tell.
                None => {}
            }
        });
    }

    /// Takes in by the newest view which boxes ended that cut answers, and the store's record.
    pub(crate) fn apply_view(&self, view: &SiteView) {
        let ended = self.interrupted.borrow().crashed_boxes(view);
        ended.iter().for_each(|incarnation| self.box_crashed(incarnation));
        if !Arc::ptr_eq(&view.suspects, &self.stored_record.borrow()) {
            self.stored_record.replace(view.suspects.clone());
            let now = self.cx.clock.now();
            let mut suspects = self.suspects.borrow_mut();
            suspects.remove_expired(now);
            suspects.merge_record(&view.suspects, clock::unix_millis(), now);
            drop(suspects);
            self.count_refused();
            if self.last_crash_at.get().is_some_and(|at| now.since(at) < PUBLISH_PERIOD) {
                self.publish();
            }
        }
    }

    /// Takes in that a box ended.
    fn box_crashed(&self, incarnation: &BoxId) {
        let requests = self.interrupted.borrow_mut().record_crash(incarnation, self.cx.clock.now());
        if !requests.is_empty() {
            self.record_crash(incarnation, requests);
        }
    }

    /// Notes requests of this node that were at a box as it ended, and tells peers.
    fn record_crash(&self, incarnation: &BoxId, requests: Vec<Fingerprint>) {
        self.cx.metrics.answers_ended_with_box.inc_by(requests.len() as u64);
        self.last_crash_at.set(Some(self.cx.clock.now()));
        self.count_crashes(incarnation, &requests);
        self.publish();
        self.log_crash(incarnation, &requests);
        let now = self.cx.clock.now();
        let suspects = self.suspects.borrow();
        let reported =
            requests.into_iter().filter(|request| !suspects.was_served_recently(*request, now));
        let reported: Vec<Fingerprint> = reported.collect();
        drop(suspects);
        if !reported.is_empty() {
            self.loads.broadcast(LoadNews::Ended(incarnation.clone(), reported));
        }
    }

    /// Writes down how often requests were at the ends of boxes, now that another one ended.
    fn log_crash(&self, incarnation: &BoxId, requests: &[Fingerprint]) {
        let suspects = self.suspects.borrow();
        let crashes = |request: &Fingerprint| (suspects.crash_count(*request), *request);
        let Some((most, request)) = requests.iter().map(crashes).max() else { return };
        let repeated =
            requests.iter().filter(|request| suspects.crash_count(**request) > 1).count();
        log::warn!(
            target_box = incarnation.as_str(), requests = requests.len(), at_earlier_ends = repeated,
            most_ends = most, fingerprint = request.to_string();
            "a box ended while it worked on requests"
        );
    }

    /// Notes requests whose answers ended with their box.
    fn count_crashes(&self, incarnation: &BoxId, requests: &[Fingerprint]) {
        let now = self.cx.clock.now();
        for request in requests {
            let mut suspects = self.suspects.borrow_mut();
            let before = suspects.crash_count(*request);
            let crashes = suspects.record_crash(incarnation, *request, now);
            if before < MAX_CRASHES && crashes >= MAX_CRASHES {
                log::warn!(
                    fingerprint = request.to_string();
                    "a request is refused from now on: it was at the ends of {MAX_CRASHES} boxes"
                );
                self.cancel_attempts_soon(*request);
            }
        }
        self.count_refused();
    }

    /// Publishes what this node has to say beside the store's record.
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

/// Tells whether somebody listens at an address; nothing where it does not answer.
async fn is_listening(address: SocketAddr) -> Option<bool> {
    match tokio::time::timeout(CONNECT_TIMEOUT, TcpStream::connect(address)).await {
        Ok(Ok(_)) => Some(true),
        Ok(Err(err)) if err.kind() == ErrorKind::ConnectionRefused => Some(false),
        _ => None,
    }
}
