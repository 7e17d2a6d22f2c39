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
use crate::site::crash_watch::CrashWatch;
use crate::site::failure_log::FailureLog;
use crate::site::flight::Flight;
use crate::site::load_exchange::LoadExchange;
use crate::site::request::SiteRequest;
use crate::site::retry_shares::RetryShares;
use crate::site::wish_notes::WishNotes;
use crate::{DutyContext, clock};

/// A look that takes this long tells that the thread was busy; looks are 40 ms apart.
const BUSY: Millis = Millis(100);

/// News of the store that is older than this at a send is written down; usual is a tenth of it.
const OLD_NEWS: Millis = Millis(1_000);

/// How many such lines are written each second.
const OLD_NEWS_LOGGED: u32 = 5;

/// A request that comes within this time after the daemon's start waits until the daemon knows what
/// is in service, as long as its readers may take to tell it.
///
/// After a loss of all power daemons of 10 learned it within 130 ms and refused 23 requests
/// meanwhile, those of 60 within 430 ms, those of 295 within 50 to 550 ms (logs of one day each).
const KNOWS_WITHIN: Millis = Millis(1_000);

/// Says what a look at the replica of an open attempt shows.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ReplicaLook {
    /// It goes on, as far as can be told.
    GoesOn,
    /// It stands still, and may go on at any moment.
    StandsStill,
    /// So does everything that this node has requests at: a pause of the machines, rather.
    Pauses,
    /// It stands still and is known to be lost.
    Lost,
}

/// Says what a replica is chosen for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Urgency {
    /// An answer that begins.
    Begins,
    /// A stream that broke off and goes on.
    GoesOn,
}

/// Holds it, on the one thread that serves callers.
pub(crate) struct Front {
    pub(super) cx: DutyContext,
    /// What the choice of an endpoint needs.
    pub(crate) balancer: Rc<RefCell<LoadBalancer>>,
    /// Its connections to endpoints.
    pub(crate) pool: EndpointPool,
    /// The room for bodies that are held whole.
    pub(crate) room: HeldBytes,
    pub(super) view: RefCell<Arc<SiteView>>,
    addresses: RefCell<BTreeMap<BoxId, SocketAddr>>,
    pub(super) seed: Cell<Seed>,
    /// This node's share of the repeats.
    pub(crate) repeats: RetryShares,
    /// Where failed requests are written down.
    pub(crate) failures: FailureLog,
    pub(super) wish_notes: WishNotes,
    old_news: RefCell<LogLimiter>,
    /// Requests that were at boxes as these ended.
    pub(crate) crashes: Rc<CrashWatch>,
    /// What peers have in flight.
    pub(super) loads: Rc<LoadExchange>,
}

impl Front {
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
            room: HeldBytes::new(cx.settings.limits.held_bytes(), cx.metrics.bytes_held.clone()),
            view: RefCell::default(),
            addresses: RefCell::default(),
            repeats: RetryShares::new(cx.clone(), loads.clone()),
            failures: FailureLog::new(cx.clock),
            wish_notes: WishNotes::new(cx.clock, cx.metrics.clone()),
            old_news: RefCell::new(LogLimiter::new(OLD_NEWS_LOGGED)),
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
    pub(crate) async fn by<T>(&self, at: Millis, awaited: impl Future<Output = T>) -> Option<T> {
        self.cx.clock.by(at, awaited).await
    }

    /// Takes over the newest view.
    pub(crate) fn follow(&self) -> Arc<SiteView> {
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
            self.tell_lost(&before, &newest);
        }
        self.crashes.follow(&newest);
        newest
    }

    /// Tells peers which leaders this node has found to be lost; by the store they learn of one that
    /// lost power after 3.6 s, and of one whose member did after 4 s.
    fn tell_lost(&self, before: &SiteView, newest: &SiteView) {
        let known = before.lost_leaders();
        let lost = newest.lost_leaders().into_iter().filter(|leader| !known.contains(leader));
        lost.for_each(|leader| self.loads.tell_left(leader, self.now()));
    }

    /// Takes over the newest view; one that says nothing yet, shortly after the daemon's start, is
    /// waited for.
    pub(crate) async fn follow_once_known(&self) -> Arc<SiteView> {
        let left = KNOWS_WITHIN.since(self.now());
        let mut site = self.cx.site.clone();
        if left > Millis(0) && !site.borrow().is_known() {
            let known = site.wait_for(|view| view.is_known());
            // Where it stays unknown the request is answered by what the daemon knows.
            let _ = tokio::time::timeout(Duration::from_millis(left.0), known).await;
        }
        self.follow()
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
    pub(crate) fn kept_connections(&self, service: &ServiceName) -> usize {
        let view = self.view.borrow();
        let known = view.table.as_ref().and_then(|table| table.config().service(service));
        kept_connections(known.and_then(|service| service.connections), view.nodes)
    }

    /// Tells whether a box says that it leaves.
    pub(crate) fn is_leaving(&self, id: &BoxId) -> bool {
        let said = self.balancer.borrow().is_leaving(id);
        said || self.view.borrow().boxes.get(id).is_some_and(|known| known.leaving)
    }

    /// Chooses an endpoint and counts the request there.
    pub(crate) fn choose(
        self: &Rc<Self>,
        req: &Rc<SiteRequest>,
        not: &[BoxId],
        urgency: Urgency,
    ) -> Option<Rc<Flight>> {
        let view = self.follow();
        let engine = view.table.as_ref()?.config().engine(&req.service);
        let objective = match urgency {
            Urgency::Begins => req.objective_left(self.now()),
            Urgency::GoesOn => req.route.latency_goal,
        };
        let ask = req.ask(engine, objective);
        let mut seed = self.seed.get();
        self.loads.hand_over(&mut self.balancer.borrow_mut());
        let mut apart = self.crashes.kept_apart(req);
        let balancer = self.balancer.borrow();
        let key = match apart.is_empty() {
            true => balancer.choose(ask, engine, not, self.now(), &mut seed),
            false => {
                apart.extend_from_slice(not);
                let key = balancer.choose(ask, engine, &apart, self.now(), &mut seed);
                key.or_else(|| balancer.choose(ask, engine, not, self.now(), &mut seed))
            }
        };
        self.seed.set(seed);
        let key = key.or_else(|| balancer.choose(ask, engine, &[], self.now(), &mut seed))?;
        let target = balancer.id(key)?.clone();
        let expected = engine.and_then(|engine| balancer.predict(key, ask, engine));
        let expected = expected.map(|expected| match urgency {
            Urgency::Begins => expected,
            Urgency::GoesOn => Prediction { deferred: false, ..expected },
        });
        drop(balancer);
        let rank = req.route.priority;
        let priority = expected.map(|expected| engine_priority(rank, expected.deferred));
        let permit = self.balancer.borrow_mut().permit(key, self.now())?;
        let flight =
            Flight::start(permit, self.clone(), req.clone(), key, target, expected, priority);
        let flight = Rc::new(flight);
        self.crashes.track_attempt(&flight);
        Some(flight)
    }

    /// Counts how old what this node knows of the store is as it sends a request, and writes it down where that is
    /// old: an endpoint that leaves gets requests for as long.
    pub(super) fn note_age_of_news(&self, target: &BoxId, req: &SiteRequest) {
        let age = self.cx.news_heard.age(self.now());
        self.cx.metrics.news_age_at_send.observe(age.as_secs_f64());
        if age < OLD_NEWS {
            return;
        }
        let Some(left_out) = self.old_news.borrow_mut().admit(self.now()) else { return };
        log::info!(
            target_box = target.as_str(), request = req.facts.id.as_deref(), age_ms = age.0,
            told_by = self.cx.news_heard.teller().to_string(), left_out = left_out;
            "a request is sent by old news of the store"
        );
    }

    /// Tells whether this thread came back so late to a look begun at `looked` that it has yet to
    /// read what arrived meanwhile.
    pub(crate) fn was_busy(&self, looked: Millis) -> bool {
        self.now().since(looked) > BUSY
    }

    /// Returns what is known of the silence of the replica that a request is at, where neither the
    /// request nor any other one there, on this node, has made progress for longer than its engine
    /// can take.
    fn standstill(
        &self,
        req: &SiteRequest,
        flight: &Flight,
        heard: Millis,
    ) -> Option<StallEvidence> {
        let now = self.now();
        let progress = self.balancer.borrow().last_progress(flight.key);
        let progress = progress.unwrap_or_default().max(heard);
        let silence = now.since(progress);
        // Most looks end here, and need not know what peers have in flight.
        if silence <= STALL_MARGIN {
            return None;
        }
        self.loads.hand_over(&mut self.balancer.borrow_mut());
        let balancer = self.balancer.borrow();
        let longest = self.max_silence(req, balancer.load(flight.key));
        if silence <= longest {
            return None;
        }
        let peers = match self.cx.settings.policy.ask_peers {
            true => self.loads.peers_tell(&flight.target, now - longest, now),
            false => PeerProgress::NotAsked,
        };
        let others = balancer.others_progress(flight.key, now - longest);
        let peers_age = self.loads.peers_age(now);
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
    pub(crate) fn look(&self, req: &SiteRequest, flight: &Flight, heard: Millis) -> ReplicaLook {
        if flight.is_called_off() {
            return ReplicaLook::Lost;
        }
        let still = self.standstill(req, flight, heard).filter(StallEvidence::is_stalled);
        flight.note_standstill(still);
        let Some(still) = still else {
            return ReplicaLook::GoesOn;
        };
        if flight.tells_stall() {
            self.stalled(flight);
        }
        let lost = self.follow().is_lost(&flight.target)
            || self.loads.ended_since(&flight.target, flight.sent);
        match lost {
            true => ReplicaLook::Lost,
            false if still.is_node_wide_pause() => ReplicaLook::Pauses,
            false => ReplicaLook::StandsStill,
        }
    }

    /// Leaves a replica out that stands still, and has its members looked at.
    fn stalled(&self, flight: &Flight) {
        flight.avoid();
        self.cx.hint(Hint::Stalled(flight.target.clone()));
        self.loads.tell_stalled(flight.target.clone());
    }

    /// Leaves a replica out whose leader says that it serves no more, here and at peers.
    pub(crate) fn not_serving(&self, flight: &Flight) {
        if !self.balancer.borrow().is_ejected(flight.key, self.now()) {
            flight.avoid();
            self.loads.tell_left(flight.target.clone(), self.now());
        }
    }

    /// Leaves a box out that cannot be connected to, and has it looked at.
    pub(crate) fn unreachable(&self, flight: &Flight) {
        flight.failed();
        flight.avoid();
        self.cx.hint(Hint::Unreachable(flight.target.clone()));
    }

    /// Waits for a repeat where this node has none left and another one may lend it.
    pub(crate) async fn await_repeat(&self, req: &SiteRequest) {
        let nodes = self.view.borrow().nodes;
        self.repeats.await_one(&req.service, nodes).await;
    }

    /// Takes a repeat of a request out of this node's share.
    pub(crate) fn may_repeat(&self, req: &SiteRequest, end: AttemptEnd) -> bool {
        let nodes = self.view.borrow().nodes;
        self.repeats.spend(&req.service, nodes, end)
    }

    /// Writes down that no endpoint serves what a request asks for.
    pub(crate) fn note_none_serving(&self, req: &SiteRequest) {
        let targets = self.addresses.borrow().len();
        self.failures.none_serving(req, targets, || self.unavailable_until(req));
    }

    /// Counts an answer of the node's own.
    pub(crate) fn count_refusal(&self, reason: &str) {
        self.cx.metrics.refusals.with_label_values(&[reason]).inc();
    }

    /// Tells whether a repeat is left for a request, without taking it.
    pub(crate) fn has_repeat(&self, req: &SiteRequest) -> bool {
        self.repeats.has_left(&req.service, self.view.borrow().nodes)
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
