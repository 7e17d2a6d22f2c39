//! What the requests of one node share: what is in service, the choice, counts and evidence.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use cherrystand_core::{
    AttemptEnd, BoxId, EngineLoad, LoadBalancer, LogLimiter, Millis, Outcome, PeerProgress,
    Prediction, Route, STALL_MARGIN, Seed, ServiceName, SiteView, StallEvidence, StreamEnd,
    engine_priority, kept_connections,
};
use cherrystand_platform::{EndpointPool, HeldBytes};

use crate::site::Hint;
use crate::site::active_attempt::ActiveAttempt;
use crate::site::crash_watch::CrashWatch;
use crate::site::failure_log::FailureLog;
use crate::site::load_exchange::LoadExchange;
use crate::site::request::SiteRequest;
use crate::site::retry_shares::RetryShares;
use crate::site::signal_log::SignalLog;
use crate::{DutyContext, clock};

/// A look that takes this long tells that the thread was busy; looks are 40 ms apart.
const BUSY_THRESHOLD: Millis = Millis(100);

/// News of the store that is older than this at a send is written down; usual is a tenth of it.
const STALE_STORE_AGE: Millis = Millis(1_000);

/// How many such lines are written each second.
const STALE_LOGS_PER_SECOND: u32 = 5;

/// A request that comes within this time after the daemon's start waits until the daemon knows what
/// is in service, as long as its readers may take to tell it.
///
/// After a loss of all power daemons of 10 learned it within 130 ms and refused 23 requests
/// meanwhile, those of 60 within 430 ms, those of 295 within 50 to 550 ms (logs of one day each).
const STARTUP_GRACE: Millis = Millis(1_000);

/// Says what a look at the replica of an open attempt shows.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ReplicaHealth {
    /// It goes on, as far as can be told.
    Progressing,
    /// It stands still, and may go on at any moment.
    Stalled,
    /// So does everything that this node has requests at: a pause of the machines, rather.
    AllStalled,
    /// It stands still and is known to be lost.
    Lost,
}

/// Says what a replica is chosen for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum AttemptPurpose {
    /// An answer that begins.
    FirstAnswer,
    /// A stream that broke off and goes on.
    Resume,
}

/// Holds it, on the one thread that serves callers.
pub(crate) struct Frontend {
    pub(super) cx: DutyContext,
    /// What the choice of an endpoint needs.
    pub(crate) balancer: Rc<RefCell<LoadBalancer>>,
    /// Its connections to endpoints.
    pub(crate) pool: EndpointPool,
    /// The room for bodies that are held whole.
    pub(crate) held_bytes: HeldBytes,
    pub(super) view: RefCell<Arc<SiteView>>,
    addresses: RefCell<BTreeMap<BoxId, SocketAddr>>,
    pub(super) seed: Cell<Seed>,
    /// This node's share of the repeats.
    pub(crate) retries: RetryShares,
    /// Where failed requests are written down.
    pub(crate) failures: FailureLog,
    pub(super) signal_log: SignalLog,
    stale_log: RefCell<LogLimiter>,
    /// Requests that were at boxes as these ended.
    pub(crate) crashes: Rc<CrashWatch>,
    /// What peers have in flight.
    pub(super) loads: Rc<LoadExchange>,
}

impl Frontend {
    /// Creates what requests share, with loads that are exchanged beside them.
    pub(crate) fn new(
        cx: DutyContext,
        balancer: Rc<RefCell<LoadBalancer>>,
        loads: Rc<LoadExchange>,
        crashes: Rc<CrashWatch>,
    ) -> Self {
        balancer.borrow_mut().limits_mut().number_from(clock::unix_millis());
        Self {
            balancer,
            pool: EndpointPool::default(),
            held_bytes: HeldBytes::new(
                cx.settings.limits.held_bytes(),
                cx.metrics.bytes_held.clone(),
            ),
            view: RefCell::default(),
            addresses: RefCell::default(),
            retries: RetryShares::new(cx.clone(), loads.clone()),
            failures: FailureLog::new(cx.clock),
            signal_log: SignalLog::new(cx.clock, cx.metrics.clone()),
            stale_log: RefCell::new(LogLimiter::new(STALE_LOGS_PER_SECOND)),
            crashes,
            seed: Cell::new(Seed::new(clock::unix_millis())),
            loads,
            cx,
        }
    }

    /// Returns the time now.
    pub(crate) fn now(&self) -> Millis {
        self.cx.clock.now()
    }

    /// Waits for something until a time at the longest; nothing where it does not come.
    pub(crate) async fn timeout_at<T>(
        &self,
        at: Millis,
        awaited: impl Future<Output = T>,
    ) -> Option<T> {
        self.cx.clock.by(at, awaited).await
    }

    /// Takes over the newest view.
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
        if newest.silent != before.silent {
            self.announce_lost_leaders(&before, &newest);
        }
        self.crashes.apply_view(&newest);
        newest
    }

    /// Tells peers which leaders this node has found to be lost; by the store they learn of one that
    /// lost power after 3.6 s, and of one whose member did after 4 s.
    fn announce_lost_leaders(&self, before: &SiteView, newest: &SiteView) {
        let known = before.lost_leaders();
        let lost = newest.lost_leaders().into_iter().filter(|leader| !known.contains(leader));
        lost.for_each(|leader| self.loads.announce_stopped(leader, self.now()));
    }

    /// Takes over the newest view; one that says nothing yet, shortly after the daemon's start, is
    /// waited for.
    pub(crate) async fn view_once_known(&self) -> Arc<SiteView> {
        let left = STARTUP_GRACE.since(self.now());
        let mut site = self.cx.site.clone();
        if left > Millis(0) && !site.borrow().is_known() {
            let known = site.wait_for(|view| view.is_known());
            // Where it stays unknown the request is answered by what the daemon knows.
            let _ = tokio::time::timeout(Duration::from_millis(left.0), known).await;
        }
        self.refresh_view()
    }

    /// Tells whether the answer to a request may be taken up at another replica after `runs`.
    pub(crate) fn may_resume(&self, route: &Route, runs: u32) -> bool {
        self.cx.settings.policy.resume_elsewhere && route.resumable && runs < route.attempts
    }

    /// Returns where a box takes requests.
    pub(crate) fn address_of(&self, target: &BoxId) -> Option<SocketAddr> {
        self.addresses.borrow().get(target).copied()
    }

    /// Returns how many idle connections this node keeps to each box of a service.
    pub(crate) fn max_idle_connections(&self, service: &ServiceName) -> usize {
        let view = self.view.borrow();
        let known = view.table.as_ref().and_then(|table| table.config().service(service));
        kept_connections(known.and_then(|service| service.connections), view.nodes)
    }

    /// Tells whether a box says that it leaves.
    pub(crate) fn is_leaving(&self, id: &BoxId) -> bool {
        let by_answer = self.balancer.borrow().is_leaving(id);
        by_answer || self.view.borrow().boxes.get(id).is_some_and(|known| known.leaving)
    }

    /// Chooses an endpoint and counts the request there.
    pub(crate) fn choose(
        self: &Rc<Self>,
        req: &Rc<SiteRequest>,
        tried: &[BoxId],
        purpose: AttemptPurpose,
    ) -> Option<Rc<ActiveAttempt>> {
        let view = self.refresh_view();
        let engine = view.table.as_ref()?.config().engine(&req.service);
        let objective = match purpose {
            AttemptPurpose::FirstAnswer => req.objective_left(self.now()),
            AttemptPurpose::Resume => req.route.latency_goal,
        };
        let ask = req.ask(engine, objective);
        let mut seed = self.seed.get();
        self.loads.update_balancer(&mut self.balancer.borrow_mut());
        let mut excluded = self.crashes.boxes_to_avoid(req);
        let balancer = self.balancer.borrow();
        let key = match excluded.is_empty() {
            true => balancer.choose(ask, engine, tried, self.now(), &mut seed),
            false => {
                excluded.extend_from_slice(tried);
                let key = balancer.choose(ask, engine, &excluded, self.now(), &mut seed);
                key.or_else(|| balancer.choose(ask, engine, tried, self.now(), &mut seed))
            }
        };
        self.seed.set(seed);
        let key = key.or_else(|| balancer.choose(ask, engine, &[], self.now(), &mut seed))?;
        let target = balancer.id(key)?.clone();
        let expected = engine.and_then(|engine| balancer.predict(key, ask, engine));
        let expected = expected.map(|expected| match purpose {
            AttemptPurpose::FirstAnswer => expected,
            AttemptPurpose::Resume => Prediction { deferred: false, ..expected },
        });
        drop(balancer);
        let rank = req.route.priority;
        let priority = expected.map(|expected| engine_priority(rank, expected.deferred));
        let permit = self.balancer.borrow_mut().permit(key, self.now())?;
        let attempt = ActiveAttempt::start(
            permit,
            self.clone(),
            req.clone(),
            key,
            target,
            expected,
            priority,
        );
        let attempt = Rc::new(attempt);
        self.crashes.track_attempt(&attempt);
        Some(attempt)
    }

    /// Counts how old what this node knows of the store is as it sends a request, and writes it down where that is
    /// old: an endpoint that leaves gets requests for as long.
    pub(super) fn observe_store_age(&self, target: &BoxId, req: &SiteRequest) {
        let age = self.cx.news_heard.age(self.now());
        self.cx.metrics.news_age_at_send.observe(age.as_secs_f64());
        if age < STALE_STORE_AGE {
            return;
        }
        let Some(left_out) = self.stale_log.borrow_mut().admit(self.now()) else { return };
        log::info!(
            target_box = target.as_str(), request = req.facts.id.as_deref(), age_ms = age.0,
            told_by = self.cx.news_heard.teller().to_string(), left_out = left_out;
            "a request is sent by old news of the store"
        );
    }

    /// Tells whether this thread came back so late to a look begun at `looked` that it has yet to
    /// read what arrived meanwhile.
    pub(crate) fn was_busy(&self, since: Millis) -> bool {
        self.now().since(since) > BUSY_THRESHOLD
    }

    /// Returns what is known of the silence of the replica that a request is at, where neither the
    /// request nor any other one there, on this node, has made progress for longer than its engine
    /// can take.
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
        // Most looks end here, and need not know what peers have in flight.
        if silence <= STALL_MARGIN {
            return None;
        }
        self.loads.update_balancer(&mut self.balancer.borrow_mut());
        let balancer = self.balancer.borrow();
        let longest = self.max_silence(req, balancer.load(attempt.key));
        if silence <= longest {
            return None;
        }
        let peers = match self.cx.settings.policy.ask_peers {
            true => self.loads.peer_progress(&attempt.target, now - longest, now),
            false => PeerProgress::NotAsked,
        };
        let others = balancer.others_progress(attempt.key, now - longest);
        let peers_age = self.loads.last_peer_answer_age(now);
        Some(StallEvidence {
            silence,
            longest_expected: longest,
            peers,
            peers_age,
            others_progressed: others,
        })
    }

    fn max_silence(&self, req: &SiteRequest, load: EngineLoad) -> Millis {
        let view = self.view.borrow();
        let engine = view.table.as_ref().and_then(|table| table.config().engine(&req.service));
        let model = req.facts.model.as_deref();
        let predicted = engine.and_then(|engine| {
            let model = engine.model(model?)?;
            Some(engine.max_silence(model, load))
        });
        STALL_MARGIN + Millis(predicted.unwrap_or_default() as u64)
    }

    /// Looks at the replica of an open attempt, from which it was last `heard`.
    ///
    /// Silence alone ends no attempt: a replica that turns slow, or whose machine pauses, goes on. One
    /// that stands still is left out of the choice and has its members asked; what they, its entry or
    /// a peer tell may show that it is lost.
    pub(crate) fn check_replica(
        &self,
        req: &SiteRequest,
        attempt: &ActiveAttempt,
        last_received: Millis,
    ) -> ReplicaHealth {
        if attempt.is_cancelled() {
            return ReplicaHealth::Lost;
        }
        let stall =
            self.detect_stall(req, attempt, last_received).filter(StallEvidence::is_stalled);
        attempt.set_stall(stall);
        let Some(stall) = stall else {
            return ReplicaHealth::Progressing;
        };
        if attempt.should_report_stall() {
            self.report_stalled(attempt);
        }
        let lost = self.refresh_view().is_lost(&attempt.target)
            || self.loads.stopped_since(&attempt.target, attempt.sent);
        match lost {
            true => ReplicaHealth::Lost,
            false if stall.is_node_wide_pause() => ReplicaHealth::AllStalled,
            false => ReplicaHealth::Stalled,
        }
    }

    /// Leaves a replica out that stands still, and has its members looked at.
    fn report_stalled(&self, attempt: &ActiveAttempt) {
        attempt.avoid();
        self.cx.hint(Hint::Stalled(attempt.target.clone()));
        self.loads.announce_stalled(attempt.target.clone());
    }

    /// Leaves a replica out whose leader says that it serves no more, here and at peers.
    pub(crate) fn report_not_serving(&self, attempt: &ActiveAttempt) {
        if !self.balancer.borrow().is_ejected(attempt.key, self.now()) {
            attempt.avoid();
            self.loads.announce_stopped(attempt.target.clone(), self.now());
        }
    }

    /// Leaves a box out that cannot be connected to, and has it looked at.
    pub(crate) fn report_unreachable(&self, attempt: &ActiveAttempt) {
        attempt.failed();
        attempt.avoid();
        self.cx.hint(Hint::Unreachable(attempt.target.clone()));
    }

    /// Waits for a repeat where this node has none left and another one may lend it.
    pub(crate) async fn await_borrowed_retry(&self, req: &SiteRequest) {
        let nodes = self.view.borrow().nodes;
        self.retries.await_borrowed(&req.service, nodes).await;
    }

    /// Takes a repeat of a request out of this node's share.
    pub(crate) fn spend_retry(&self, req: &SiteRequest, end: AttemptEnd) -> bool {
        let nodes = self.view.borrow().nodes;
        self.retries.spend(&req.service, nodes, end)
    }

    /// Writes down that no endpoint serves what a request asks for.
    pub(crate) fn log_none_serving(&self, req: &SiteRequest) {
        let targets = self.addresses.borrow().len();
        self.failures.none_serving(req, targets, || self.unavailable_until(req));
    }

    /// Counts an answer of the node's own.
    pub(crate) fn count_refusal(&self, reason: &str) {
        self.cx.metrics.refusals.with_label_values(&[reason]).inc();
    }

    /// Tells whether a repeat is left for a request, without taking it.
    pub(crate) fn has_retry(&self, req: &SiteRequest) -> bool {
        self.retries.has_left(&req.service, self.view.borrow().nodes)
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
