//! State that the requests of one node share: the endpoints in service, the load balancer, counters
//! and evidence of stalls.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use cherrystand_core::{
    AttemptEnd, BoxId, EngineLoad, LoadBalancer, LogLimiter, Millis, Outcome, PeerProgress,
    Prediction, Route, STALL_MARGIN, SeededRng, ServiceName, SiteView, StallEvidence, StreamEnd,
    engine_priority, max_idle_connections,
};
use cherrystand_platform::{BufferBudget, SendError};

use crate::site::Hint;
use crate::site::active_attempt::ActiveAttempt;
use crate::site::box_client::BoxClient;
use crate::site::caller_load::CallerLoad;
use crate::site::crash_watch::CrashWatch;
use crate::site::failure_log::FailureLog;
use crate::site::grace_period::GracePeriod;
use crate::site::load_exchange::LoadExchange;
use crate::site::path_checks::PathCheck;
use crate::site::request::SiteRequest;
use crate::site::retry_shares::RetryShares;
use crate::site::signal_log::SignalLog;
use crate::store_freshness::OLD_KNOWLEDGE;
use crate::{DutyContext, StopPhase, clock};

/// A replica check that takes longer than this shows that the thread was busy; checks run every 40
/// ms.
const BUSY_THRESHOLD: Millis = Millis(100);

/// How many stale-data lines are logged each second.
const STALE_LOGS_PER_SECOND: u32 = 5;

/// How many failures to connect are logged each second.
const CONNECT_LOGS_PER_SECOND: u32 = 5;

/// For how long after its start the daemon holds requests back until it knows what is in service.
/// Its readers may take that long to report it.
///
/// After a power failure of all daemons, fleets of 10 learned it within 130 ms and refused 23
/// requests meanwhile, fleets of 60 within 430 ms, and fleets of 295 within 50 to 550 ms.
const STARTUP_GRACE: Millis = Millis(1_000);

/// What a check of the replica of an open attempt shows.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ReplicaHealth {
    /// It makes progress, as far as this node knows.
    Progressing,
    /// It is stalled and may resume at any moment.
    Stalled,
    /// It is stalled, and so is every other replica that this node has requests at: the machines
    /// were probably paused.
    AllStalled,
    /// It is stalled and known to be lost.
    Lost,
}

/// What a replica is chosen for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum AttemptPurpose {
    /// The first answer to a request.
    FirstAnswer,
    /// Resuming an interrupted stream.
    Resume,
}

/// The shared state, owned by the one thread that serves callers.
pub(crate) struct Frontend {
    pub(super) cx: DutyContext,
    /// Chooses the endpoint of each attempt.
    pub(crate) balancer: Rc<RefCell<LoadBalancer>>,
    /// Connections to endpoints.
    pub(crate) boxes: Rc<BoxClient>,
    /// What callers have open.
    pub(crate) callers: Rc<CallerLoad>,
    /// Memory budget of bodies that are buffered whole.
    pub(crate) buffer_budget: BufferBudget,
    pub(super) view: RefCell<Arc<SiteView>>,
    addresses: RefCell<BTreeMap<BoxId, SocketAddr>>,
    pub(super) rng: Cell<SeededRng>,
    /// This node's share of the retries.
    pub(crate) retries: RetryShares,
    /// Logs failed requests.
    pub(crate) failures: FailureLog,
    pub(super) signal_log: SignalLog,
    stale_log: RefCell<LogLimiter>,
    connect_log: RefCell<LogLimiter>,
    /// Tracks requests that were running on boxes that crashed.
    pub(crate) crashes: Rc<CrashWatch>,
    /// The loads that peers report.
    pub(super) loads: Rc<LoadExchange>,
    /// Which requests are taken while the daemon shuts down.
    pub(crate) grace: Rc<GracePeriod>,
}

impl Frontend {
    /// Creates the shared state; `loads` is exchanged with peers by a task of its own.
    pub(crate) fn new(
        cx: DutyContext,
        balancer: Rc<RefCell<LoadBalancer>>,
        loads: Rc<LoadExchange>,
        crashes: Rc<CrashWatch>,
        boxes: Rc<BoxClient>,
    ) -> Self {
        balancer.borrow_mut().rate_limits_mut().set_last_request_number(clock::unix_millis());
        Self {
            balancer,
            boxes,
            callers: Rc::new(CallerLoad::new(&cx.metrics)),
            buffer_budget: BufferBudget::new(
                cx.settings.limits.max_buffer_bytes(),
                cx.metrics.bytes_held.clone(),
            ),
            view: RefCell::default(),
            addresses: RefCell::default(),
            retries: RetryShares::new(cx.clone(), loads.clone()),
            failures: FailureLog::new(cx.clock),
            signal_log: SignalLog::new(cx.clock, cx.metrics.clone()),
            stale_log: RefCell::new(LogLimiter::new(STALE_LOGS_PER_SECOND)),
            connect_log: RefCell::new(LogLimiter::new(CONNECT_LOGS_PER_SECOND)),
            crashes,
            rng: Cell::new(SeededRng::new(clock::unix_millis())),
            grace: Rc::new(GracePeriod::new(cx.clock)),
            loads,
            cx,
        }
    }

    /// Returns the current time.
    pub(crate) fn now(&self) -> Millis {
        self.cx.clock.now()
    }

    /// Returns whether the daemon shuts down.
    pub(crate) fn is_stopping(&self) -> bool {
        self.cx.stop_phase() > StopPhase::Running
    }

    /// Waits until the daemon shuts down and no longer waits for requests to finish.
    pub(crate) async fn closing(&self) {
        self.cx.wait_for_stop(StopPhase::Closing).await;
    }

    /// Waits for a future until a point in time. Returns `None` if it isn't ready by then.
    pub(crate) async fn timeout_at<T>(
        &self,
        at: Millis,
        awaited: impl Future<Output = T>,
    ) -> Option<T> {
        self.cx.clock.timeout_at(at, awaited).await
    }

    /// Takes over the newest view of the site.
    pub(crate) fn refresh_view(&self) -> Arc<SiteView> {
        let newest = self.cx.site.borrow().clone();
        if Arc::ptr_eq(&newest, &self.view.borrow()) {
            return newest;
        }
        let targets = newest.targets(&self.cx.settings.zone, self.cx.settings.regions());
        let mut addresses = self.addresses.borrow_mut();
        addresses.clear();
        addresses.extend(targets.iter().map(|(spec, address)| (spec.id.clone(), *address)));
        let specs = targets.into_iter().map(|(spec, _)| spec).collect();
        self.balancer.borrow_mut().set_targets(specs);
        let before = self.view.replace(newest.clone());
        if newest.dead != before.dead {
            self.announce_lost_leaders(&before, &newest);
        }
        self.crashes.apply_view(&newest);
        newest
    }

    /// Reports to peers which replica leaders this node has found to be lost. Through the store
    /// alone they would learn of a leader that lost power after 3.6 s, and of one whose member did
    /// after 4 s.
    fn announce_lost_leaders(&self, before: &SiteView, newest: &SiteView) {
        let known = before.lost_leaders();
        let lost = newest.lost_leaders().into_iter().filter(|leader| !known.contains(leader));
        lost.for_each(|leader| self.loads.announce_stopped(leader, self.now()));
    }

    /// Takes over the newest view of the site. Shortly after the daemon's start, waits for one that
    /// knows what is in service.
    pub(crate) async fn view_once_known(&self) -> Arc<SiteView> {
        let left = STARTUP_GRACE.since(self.now());
        let mut site = self.cx.site.clone();
        if left > Millis(0) && !site.borrow().is_complete() {
            let known = site.wait_for(|view| view.is_complete());
            // If it stays unknown, the request is answered with what the daemon knows.
            let _ = tokio::time::timeout(Duration::from_millis(left.0), known).await;
        }
        self.refresh_view()
    }

    /// Returns whether the answer to a request may be resumed at another replica after it ran
    /// `runs` times.
    pub(crate) fn may_resume(&self, route: &Route, runs: u32) -> bool {
        self.cx.settings.policy.resume_elsewhere && route.resumable && runs < route.attempts
    }

    /// Returns the address at which a box takes requests.
    pub(crate) fn address_of(&self, target: &BoxId) -> Option<SocketAddr> {
        self.addresses.borrow().get(target).copied()
    }

    /// Returns how many idle connections this node keeps to each box of a service.
    pub(crate) fn max_idle_connections(&self, service: &ServiceName) -> usize {
        let view = self.view.borrow();
        let known = view.routes.as_ref().and_then(|table| table.config().service(service));
        max_idle_connections(known.and_then(|service| service.connections), view.live_nodes)
    }

    /// Returns whether a box has announced that it is leaving.
    pub(crate) fn is_leaving(&self, id: &BoxId) -> bool {
        let by_answer = self.balancer.borrow().is_leaving(id);
        by_answer || self.view.borrow().boxes.get(id).is_some_and(|known| known.leaving)
    }

    /// Chooses an endpoint and counts the request as in flight there. Boxes in `tried` are chosen
    /// only if there is no other.
    pub(crate) fn choose(
        self: &Rc<Self>,
        req: &Rc<SiteRequest>,
        tried: &[BoxId],
        purpose: AttemptPurpose,
    ) -> Option<Rc<ActiveAttempt>> {
        let view = self.refresh_view();
        let engine = view.routes.as_ref()?.config().engine(&req.service);
        let latency_goal = match purpose {
            AttemptPurpose::FirstAnswer => req.latency_goal_left(self.now()),
            AttemptPurpose::Resume => req.route.latency_goal,
        };
        let spec = req.spec(engine, latency_goal);
        let mut rng = self.rng.get();
        self.loads.update_balancer(&mut self.balancer.borrow_mut());
        let mut excluded = self.crashes.boxes_to_avoid(req);
        let balancer = self.balancer.borrow();
        let now = self.now();
        let confined = self
            .crashes
            .boxes_confined_to(req, || balancer.serving_boxes(spec, engine, now).collect());
        let only = confined.as_deref().unwrap_or_default();
        excluded.retain(|id| !only.contains(id));
        let key = match excluded.is_empty() {
            true => balancer.choose_among(spec, engine, only, tried, now, &mut rng),
            false => {
                excluded.extend_from_slice(tried);
                let key = balancer.choose_among(spec, engine, only, &excluded, now, &mut rng);
                key.or_else(|| balancer.choose_among(spec, engine, only, tried, now, &mut rng))
            }
        };
        self.rng.set(rng);
        let key = key.or_else(|| balancer.choose_among(spec, engine, only, &[], now, &mut rng))?;
        let target = balancer.box_id(key)?.clone();
        let prediction = engine.and_then(|engine| balancer.predict(key, spec, engine));
        let prediction = prediction.map(|prediction| match purpose {
            AttemptPurpose::FirstAnswer => prediction,
            AttemptPurpose::Resume => Prediction { deferred: false, ..prediction },
        });
        drop(balancer);
        let rank = req.route.priority;
        let priority = prediction.map(|prediction| engine_priority(rank, prediction.deferred));
        let permit = self.balancer.borrow_mut().acquire_permit(key, self.now())?;
        let attempt = ActiveAttempt::start(
            permit,
            self.clone(),
            req.clone(),
            key,
            target,
            prediction,
            priority,
        );
        let attempt = Rc::new(attempt);
        self.crashes.track_attempt(&attempt);
        Some(attempt)
    }

    /// Records the age of this node's store data when it sends a request, and logs it if it is old:
    /// for as long, an endpoint that is leaving still gets requests.
    ///
    /// The endpoint was chosen at `chosen_at`, maybe by older data.
    pub(super) fn observe_store_age(&self, target: &BoxId, chosen_at: Millis, req: &SiteRequest) {
        let age = self.cx.store_freshness.age(self.now());
        self.cx.metrics.news_age_at_send.observe(age.as_secs_f64());
        if age < OLD_KNOWLEDGE {
            return;
        }
        let Some(left_out) = self.stale_log.borrow_mut().admit(self.now()) else { return };
        log::info!(
            target_box = target.as_str(), request = req.headers.id.as_deref(), age_ms = age.0,
            chosen_ms_ago = self.now().since(chosen_at).0,
            told_by = self.cx.store_freshness.source().to_string(), left_out = left_out;
            "a request is sent by old news of the store"
        );
    }

    /// Records that something arrived from an endpoint.
    pub(crate) fn record_contact(&self) {
        self.cx.endpoint_contact.record(self.now());
    }

    /// Returns whether nothing has arrived from any endpoint since `since`.
    pub(crate) fn heard_nothing_since(&self, since: Millis) -> bool {
        self.cx.endpoint_contact.heard_at() < since
    }

    /// Counts a connection to a box that could not be opened, and logs some of them with the time
    /// since anything last arrived from any endpoint.
    pub(crate) fn record_connect_failure(&self, target: &BoxId, err: &SendError) {
        let reason = err.connect_failure().unwrap_or_default();
        self.cx.metrics.connect_failures.with_label_values(&[reason]).inc();
        let now = self.now();
        let Some(left_out) = self.connect_log.borrow_mut().admit(now) else { return };
        log::info!(
            target_box = target.as_str(), reason = reason,
            heard_ms_ago = now.since(self.cx.endpoint_contact.heard_at()).0, left_out = left_out;
            "a box could not be connected to"
        );
    }

    /// Returns whether this thread resumed a check that began at `since` so late that it hasn't yet
    /// read what arrived in the meantime.
    pub(crate) fn was_busy(&self, since: Millis) -> bool {
        self.now().since(since) > BUSY_THRESHOLD
    }

    /// Returns evidence of a stall if neither this request nor any other of this node at the same
    /// replica has made progress for longer than its engine can take.
    fn detect_stall(
        &self,
        req: &SiteRequest,
        attempt: &ActiveAttempt,
        last_received: Millis,
    ) -> Option<StallEvidence> {
        let now = self.now();
        let progress = self.balancer.borrow().last_progress(attempt.key);
        let progress = progress.unwrap_or_default().max(last_received);
        let silence = now.since(progress);
        // Most checks end here and don't need the loads of peers.
        if silence <= STALL_MARGIN {
            return None;
        }
        self.loads.update_balancer(&mut self.balancer.borrow_mut());
        let balancer = self.balancer.borrow();
        let longest_expected = self.max_silence(req, balancer.load(attempt.key));
        if silence <= longest_expected {
            return None;
        }
        let peers = match self.cx.settings.policy.ask_peers {
            true => self.loads.peer_progress(&attempt.target, now - longest_expected, now),
            false => PeerProgress::NotAsked,
        };
        let others_progressed = balancer.others_progress(attempt.key, now - longest_expected);
        let peers_age = self.loads.last_peer_answer_age(now);
        Some(StallEvidence { silence, longest_expected, peers, peers_age, others_progressed })
    }

    fn max_silence(&self, req: &SiteRequest, load: EngineLoad) -> Millis {
        let view = self.view.borrow();
        let engine = view.routes.as_ref().and_then(|table| table.config().engine(&req.service));
        let model = req.headers.model.as_deref();
        let predicted = engine.and_then(|engine| {
            let model = engine.model(model?)?;
            Some(engine.max_silence(model, load))
        });
        STALL_MARGIN + Millis(predicted.unwrap_or_default() as u64)
    }

    /// Checks the replica of an open attempt; `last_received` is when it last sent anything.
    ///
    /// Silence alone ends no attempt, as a replica that is slow, or whose machine is paused,
    /// resumes. A stalled replica is taken out of the choice and its members are probed. Their
    /// answers, the box's store entry or a peer may then show that it is lost.
    pub(crate) fn check_replica(
        self: &Rc<Self>,
        req: &SiteRequest,
        attempt: &Rc<ActiveAttempt>,
        last_received: Millis,
    ) -> ReplicaHealth {
        if attempt.is_cancelled() {
            return ReplicaHealth::Lost;
        }
        let evidence = self.detect_stall(req, attempt, last_received);
        if evidence.is_some_and(|evidence| evidence.peers != PeerProgress::AskedJustNow) {
            self.check_path(attempt);
        }
        // Peers see the replica make progress, and nothing of it arrives here.
        let is_path_lost = evidence.is_some() && self.is_path_lost(attempt);
        let stall = evidence.filter(StallEvidence::is_stalled);
        attempt.set_stall(stall.or(evidence.filter(|_| is_path_lost)));
        if is_path_lost {
            return ReplicaHealth::Stalled;
        }
        let Some(stall) = stall else {
            return ReplicaHealth::Progressing;
        };
        if attempt.should_report_stall() {
            self.report_stalled(attempt);
        }
        let lost = self.refresh_view().is_lost(&attempt.target)
            || self.loads.stopped_since(&attempt.target, attempt.started_at);
        match lost {
            true => ReplicaHealth::Lost,
            false if stall.is_node_wide_pause() => ReplicaHealth::AllStalled,
            false => ReplicaHealth::Stalled,
        }
    }

    /// Returns whether the way of an attempt was found to be lost, by a check of its own or of another
    /// attempt that began later.
    fn is_path_lost(&self, attempt: &ActiveAttempt) -> bool {
        let lost_at = || self.cx.paths().indirect_since(&attempt.target);
        attempt.is_path_lost()
            || (attempt.path.carrier().is_none()
                && lost_at().is_some_and(|lost_at| lost_at >= attempt.started_at))
    }

    /// Checks the way of an attempt of which nothing arrives, by a connection without a request.
    pub(crate) fn check_path(self: &Rc<Self>, attempt: &Rc<ActiveAttempt>) {
        if attempt.is_path_lost() || !self.cx.paths().may_verify(&attempt.target, self.now()) {
            return;
        }
        let Some(address) = self.address_of(&attempt.target) else { return };
        let (frontend, attempt) = (self.clone(), attempt.clone());
        tokio::task::spawn_local(async move {
            let is_lost = match attempt.path.carrier() {
                Some(carrier) => !frontend.boxes.carrier_reaches(&carrier, &attempt.target).await,
                None => {
                    let check = frontend.boxes.check_path(&attempt.target, address).await;
                    check == PathCheck::Indirect
                }
            };
            if is_lost {
                attempt.set_path_lost();
                frontend.readmit(&attempt.target);
            }
        });
    }

    /// Takes a box back into the choice that seemed to fail, and was found to be reached by peers.
    pub(crate) fn readmit(&self, id: &BoxId) {
        self.balancer.borrow_mut().readmit_box(id);
    }

    /// Takes a stalled replica out of the choice and has its members probed. Peers are told once the
    /// way to it is known to work.
    fn report_stalled(self: &Rc<Self>, attempt: &Rc<ActiveAttempt>) {
        attempt.eject();
        self.cx.hint(Hint::Stalled(attempt.target.clone()));
        let Some(address) = self.address_of(&attempt.target) else { return };
        let (frontend, attempt) = (self.clone(), attempt.clone());
        tokio::task::spawn_local(async move {
            match frontend.boxes.check_path(&attempt.target, address).await {
                PathCheck::Indirect => frontend.readmit(&attempt.target),
                _ => frontend.loads.announce_stalled(attempt.target.clone()),
            }
        });
    }

    /// Takes a replica whose leader says that it no longer serves out of the choice, here and at
    /// peers.
    pub(crate) fn report_not_serving(&self, attempt: &ActiveAttempt) {
        if !self.balancer.borrow().is_ejected(attempt.key, self.now()) {
            attempt.eject();
            self.loads.announce_stopped(attempt.target.clone(), self.now());
        }
    }

    /// Takes a box that refuses or times out connections out of the choice and has it probed.
    pub(crate) fn report_unreachable(&self, attempt: &ActiveAttempt) {
        attempt.failed();
        attempt.eject();
        self.cx.hint(Hint::Unreachable(attempt.target.clone()));
    }

    /// Waits for a borrowed retry if this node has none left and another one may lend it.
    pub(crate) async fn await_borrowed_retry(&self, req: &SiteRequest) {
        let nodes = self.view.borrow().live_nodes;
        self.retries.await_borrowed(&req.service, nodes).await;
    }

    /// Spends a retry of this node's share on a request and returns whether there was one.
    pub(crate) fn spend_retry(&self, req: &SiteRequest, end: AttemptEnd) -> bool {
        let nodes = self.view.borrow().live_nodes;
        self.retries.spend(&req.service, nodes, end)
    }

    /// Logs that no endpoint serves what a request asks for.
    pub(crate) fn log_none_serving(&self, req: &SiteRequest) {
        let targets = self.addresses.borrow().len();
        self.failures.none_serving(req, targets, || self.unavailable_until(req));
    }

    /// Counts a refusal by this node itself.
    pub(crate) fn count_refusal(&self, reason: &str) {
        self.cx.metrics.refusals.with_label_values(&[reason]).inc();
    }

    /// Returns whether a retry is left for a request, without spending it.
    pub(crate) fn has_retry(&self, req: &SiteRequest) -> bool {
        self.retries.has_left(&req.service, self.view.borrow().live_nodes)
    }

    /// Counts how a stream ended.
    pub(crate) fn count_stream_end(&self, end: StreamEnd) {
        self.cx.metrics.stream_ends.with_label_values(&[end.as_str()]).inc();
        if matches!(end, StreamEnd::BrokenOff | StreamEnd::ReplicaLost) {
            let labels = [Outcome::Unknown.as_str(), "broken-stream"];
            self.cx.metrics.answers.with_label_values(&labels).inc();
        }
    }
}
