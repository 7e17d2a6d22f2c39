//! The duty that watches over the store and over this node's share of domains.

use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant};

use cherrystand_core::{
    CallBook, Document, DomainId, DomainRecord, Epoch, Formation, FormationInput, FormationStep,
    Heartbeat, Millis, NodeId, Revision, Seed, ServiceName, SiteBox, Source, SourceChooser,
    all_readers, home_models, owner_of, readers_of,
};
use cherrystand_peer::{ChangeNews, PackedBody};
use cherrystand_platform::{HttpPool, KeyValue, SiteDriver, Swap};
use tokio::net::TcpListener;
use tokio::sync::{Notify, watch};

use crate::counted::Counted;
use crate::kernel::{Duty, Serves};
use crate::site::Driver;
use crate::site::box_calls::{ask_unlisted, follow_hints};
use crate::site::change_sharing::share_changes;
use crate::site::known::Known;
use crate::site::watching::{follow_config, follow_store};
use crate::state::{StateEvent, View};
use crate::{DutyContext, DutyError, StopPhase, clock, keys};

/// The time between two steps where nothing happens.
const STEP: Duration = Duration::from_millis(250);

/// The time that news gathers before a step.
const GATHER: Duration = Duration::from_millis(4);

/// The window over which loads are counted.
const LOAD_WINDOW: Millis = Millis(5_000);

/// For how long after its first start a site loads without bounds, since nothing is asked yet.
const EARLY_FOR: Millis = Millis(8_500);

/// A node decides only by what the store told within this time.
const DECIDES_WITHIN: Millis = Millis(1_700);

/// How long the store has to answer a node, and its state to be known freshly, before the node
/// decides: one that just started, or was cut off, learns meanwhile who else decides.
const SETTLES_FOR: Millis = Millis(1_200);

/// Nothing is formed in a domain that never formed any before no box has come for this long, so
/// that all nodes see the same boxes and give each domain the same home.
const SETTLED_AFTER: Millis = Millis(500);

/// How many times as long as it took to take news in nothing more is read.
const REST_FOR_READING: u32 = 3;

/// How long nothing is read at the most, well below the seconds in which a configuration has to be
/// in force.
const LONGEST_REST: Duration = Duration::from_millis(400);

/// How often peers are given the newest configuration, which they compare first.
const PASS_ON_EVERY: Millis = Millis(1_000);

/// After this time without news of the store, peers' copies of what it told count.
const STORE_SILENT: Millis = Millis(1_500);

/// One copy of this many is asked of a peer anywhere, so that a zone that knows nothing learns.
const FAR_COPY_EVERY: usize = 3;

inventory::submit! {
    Duty { name: "site-control", serves: Serves::Routes, run }
}

fn run(cx: DutyContext) -> Result<(), DutyError> {
    let Some(site) = &cx.settings.site else {
        return Ok(());
    };
    cx.run_local(async {
        let control = Rc::new(Control::new(cx.clone()));
        let address = site.changes;
        let listener = TcpListener::bind(address)
            .await
            .map_err(|source| DutyError::Listen { address, source })?;
        tokio::task::spawn_local(share_changes(control.clone(), listener));
        tokio::task::spawn_local(follow_store(control.clone()));
        tokio::task::spawn_local(follow_config(control.clone()));
        tokio::task::spawn_local(follow_hints(control.clone()));
        tokio::select! {
            () = control.clone().steps() => {}
            () = cx.stopping(StopPhase::Stopped) => {}
        }
        Ok(())
    })?
}

/// Keeps what the duty knows and does.
pub(crate) struct Control {
    pub(super) cx: DutyContext,
    /// The store.
    pub(crate) store: Counted<<Driver as SiteDriver>::Store>,
    /// What is known of the site.
    pub(crate) known: RefCell<Known>,
    /// Connections to boxes and peers.
    pub(super) pool: HttpPool,
    /// How its calls to boxes fared lately.
    pub(super) calls: RefCell<CallBook>,
    /// When others were last asked beside a box that may be gone.
    pub(super) witness_asked: Cell<Option<Millis>>,
    pub(super) wake: Notify,
    pub(super) formations: RefCell<BTreeMap<DomainId, Formation>>,
    loads: RefCell<BTreeMap<DomainId, VecDeque<Millis>>>,
    pub(super) asked: RefCell<BTreeMap<String, Millis>>,
    heard_store: Cell<Option<Millis>>,
    /// Since when the store's state has been known freshly.
    fresh_since: Cell<Option<Millis>>,
    store_fails: Cell<bool>,
    said_decides: Cell<bool>,
    passed_on: Cell<Millis>,
    seed: Cell<Seed>,
    config_passed: Cell<Revision>,
    /// How long the last news took to be taken in.
    reading_took: Cell<Duration>,
    /// Whether what changed in the configuration did not fit the one held.
    wants_whole: Cell<bool>,
    sources: RefCell<SourceChooser>,
    /// Tells how many changes there have been, to peers that wait for one.
    pub(crate) changed: watch::Sender<u64>,
}

impl Control {
    fn new(cx: DutyContext) -> Self {
        let store = Driver::store(cx.settings.platform.address);
        Self {
            store: Counted::over(store, &cx, "site"),
            known: RefCell::default(),
            pool: HttpPool::default(),
            calls: RefCell::default(),
            witness_asked: Cell::default(),
            wake: Notify::new(),
            formations: RefCell::default(),
            loads: RefCell::default(),
            asked: RefCell::default(),
            heard_store: Cell::default(),
            fresh_since: Cell::default(),
            store_fails: Cell::default(),
            said_decides: Cell::new(true),
            passed_on: Cell::default(),
            seed: Cell::new(Seed::new(clock::unix_millis())),
            config_passed: Cell::default(),
            reading_took: Cell::default(),
            wants_whole: Cell::default(),
            sources: RefCell::default(),
            changed: watch::channel(0).0,
            cx,
        }
    }

    /// Returns the time now.
    pub(crate) fn now(&self) -> Millis {
        self.cx.clock.now()
    }

    /// Notes that the store answered this node itself.
    pub(crate) fn store_reached(&self) {
        self.store_fails.set(false);
    }

    /// Tells whether the store did not answer this node the last time.
    pub(crate) fn is_turned_away(&self) -> bool {
        self.store_fails.get()
    }

    /// Tells whether this node is a reader of its zone.
    pub(crate) fn is_reader(&self) -> bool {
        let view = self.cx.view_now();
        let alive: Vec<&Heartbeat> = view.alive().collect();
        readers_of(&view.own.zone, &alive).iter().any(|beat| beat.node == view.own.node)
    }

    /// Returns a time between half of a pause and one and a half, by chance.
    pub(crate) fn jittered(&self, pause: Duration) -> Duration {
        let mut seed = self.seed.get();
        let more = seed.below(pause.as_millis() as usize) as u64;
        self.seed.set(seed);
        pause / 2 + Duration::from_millis(more)
    }

    /// Notes that the store does not answer this node itself, which reads from a peer.
    pub(crate) fn store_missed(&self) {
        self.store_fails.set(true);
        self.wake.notify_one();
    }

    /// Takes note of news that the store gave `age` ago, and has it looked at.
    pub(crate) fn learned(&self, age: Millis, changes: bool) {
        self.heard_store.set(Some(self.now() - age));
        if changes {
            self.spread_news();
        }
    }

    /// Hands what is known now to the request path and to peers, and has it looked at.
    pub(crate) fn spread_news(&self) {
        self.publish();
        self.wake.notify_one();
    }

    /// Returns how long ago the store is known to have answered, this node or one that it reads
    /// from.
    pub(crate) fn store_age(&self) -> Option<Millis> {
        self.heard_store.get().map(|heard| self.now().since(heard))
    }

    /// Returns where this node reads now: the peer's name and address, or nothing for the store.
    pub(crate) fn source(&self) -> Option<(NodeId, SocketAddr)> {
        if !self.cx.settings.policy.readers {
            return None;
        }
        let view = self.cx.view_now();
        let alive: Vec<&Heartbeat> = view.alive().collect();
        match self.sources.borrow_mut().choose(&view.own, &alive, self.now()) {
            Source::Store => None,
            Source::Peer(peer) => peer.changes.map(|address| (peer.node.clone(), address)),
        }
    }

    /// Notes that a peer failed as a source, or that it answered that it knows nothing fresh.
    pub(crate) fn source_failed(&self, peer: &NodeId, answered: bool) {
        let mut sources = self.sources.borrow_mut();
        match answered {
            true => sources.knows_nothing(peer, self.now()),
            false => sources.failed(peer, self.now()),
        }
    }

    /// Tells whether all daemons start for the very first time.
    pub(crate) fn is_first_start(&self) -> bool {
        self.cx.settings.site.as_ref().is_some_and(|site| site.first_start)
    }

    /// Returns the number of this life of the process.
    pub(crate) fn life(&self) -> u64 {
        self.cx.view.borrow().own.incarnation.0
    }

    fn publish(&self) {
        let nodes = self.cx.view.borrow().alive().count();
        let known = self.known.borrow();
        if let Some(config) = known.config() {
            self.cx.config_versions.note(config);
        }
        let view = known.view(nodes, self.cx.settings.policy.serve_unlisted);
        self.cx.publish_site.send_replace(Arc::new(view));
        self.changed.send_replace(known.changes());
    }

    async fn steps(self: Rc<Self>) {
        loop {
            let woken = tokio::time::timeout(STEP, self.wake.notified()).await.is_ok();
            if woken {
                tokio::time::sleep(GATHER).await;
            }
            let view = self.cx.view_now();
            if self.known.borrow_mut().forget(self.now()) {
                self.publish();
            }
            ask_unlisted(&self);
            self.say_whether_it_decides();
            self.exchange_with_peers(&view);
            if self.cx.stop_phase() == StopPhase::Running && self.may_decide() {
                self.step_domains(&view).await;
            }
        }
    }

    /// Takes in what peers passed on, and hands out what the store told.
    fn exchange_with_peers(&self, view: &View) {
        let now = self.now();
        let mut known = self.known.borrow_mut();
        let mut news = false;
        for document in &view.passed_on {
            if &*document.key == keys::SITE_CONFIG {
                news |= known.take_config(document);
            }
        }
        let due = now.since(self.passed_on.get()) >= PASS_ON_EVERY;
        let config = known.config_revision();
        if due || config > self.config_passed.get() {
            self.passed_on.set(now);
            self.config_passed.set(config);
            self.cx.tell_state(StateEvent::Records(known.config_to_pass_on()));
        }
        drop(known);
        if news {
            self.publish();
        }
    }

    /// Lets peers decide for this node's domains while the store does not answer it.
    fn say_whether_it_decides(&self) {
        let decides = !self.store_fails.get();
        if self.said_decides.replace(decides) != decides {
            self.cx.tell_state(StateEvent::Decides(decides));
        }
    }

    /// Notes that the store failed this node.
    pub(crate) fn store_failed(&self) {
        self.known.borrow_mut().store_failed();
        self.store_missed();
    }

    /// Tells whether neither the store nor a reader of it has told this node anything for long.
    pub(crate) fn store_is_silent(&self) -> bool {
        self.store_age().is_none_or(|age| age > STORE_SILENT)
    }

    /// Returns any peer of this zone, or of another where there is none.
    pub(super) fn near_peer(&self) -> Option<SocketAddr> {
        let view = self.cx.view_now();
        let others = view.alive().filter(|beat| beat.node != view.own.node);
        let others: Vec<&Heartbeat> = others.filter(|beat| beat.changes.is_some()).collect();
        let near = others.iter().copied().filter(|beat| beat.zone == view.own.zone);
        let near: Vec<&Heartbeat> = near.collect();
        let from = if near.is_empty() { others } else { near };
        let mut seed = self.seed.get();
        let pick = seed.below(from.len());
        self.seed.set(seed);
        from.get(pick)?.changes
    }

    /// Returns a peer to take a copy of what it knows from, the near ones more often.
    pub(crate) fn any_peer(&self) -> Option<SocketAddr> {
        let view = self.cx.view_now();
        let others = view.alive().filter(|beat| beat.node != view.own.node);
        let others: Vec<&Heartbeat> = others.filter(|beat| beat.changes.is_some()).collect();
        let near = others.iter().copied().filter(|beat| beat.zone == view.own.zone);
        let near: Vec<&Heartbeat> = near.collect();
        let mut seed = self.seed.get();
        let from = if near.is_empty() || seed.below(FAR_COPY_EVERY) == 0 { others } else { near };
        let pick = seed.below(from.len());
        self.seed.set(seed);
        from.get(pick)?.changes
    }

    /// Returns the revision of the configuration that peers may tell changes against; 0 where the
    /// whole is wanted.
    pub(crate) fn config_held(&self) -> Revision {
        match self.wants_whole.get() {
            true => Revision(0),
            false => self.cx.config_versions.newest(),
        }
    }

    /// Takes in a configuration that a peer passed on, and tells whether it is a new one; one that
    /// does not fit is asked for whole the next time, and the one in force stays.
    pub(crate) fn take_packed_config(&self, packed: Option<&PackedBody>) -> bool {
        let mut known = self.known.borrow_mut();
        let Some(packed) = packed.filter(|packed| packed.revision > known.config_revision()) else {
            return false;
        };
        let unpacked = self.cx.config_versions.unpack(Driver::CONFIG_KEY, packed);
        self.wants_whole.set(unpacked.is_err());
        unpacked.is_ok_and(|config| known.take_config(&config))
    }

    /// Reads a configuration by `read`, keeping how long that takes.
    pub(crate) fn timed<T>(&self, read: impl FnOnce() -> T) -> T {
        let began = Instant::now();
        let out = read();
        self.reading_took.set(began.elapsed());
        out
    }

    /// Returns how long to wait before more is read: `least`, or longer after what took long, so
    /// that a storm of large configurations leaves the processor to orders and requests. Versions
    /// that come meanwhile arrive as one.
    pub(crate) fn rest_after_reading(&self, least: Duration) -> Duration {
        let rest = self.reading_took.take() * REST_FOR_READING;
        rest.min(LONGEST_REST).max(least)
    }

    /// Counts changes that a peer was sent or that were read from one.
    pub(crate) fn count_changes(&self, way: &str, news: &ChangeNews, bytes: usize) {
        let kind = match (news.config.is_some(), news.whole) {
            (_, true) => "whole-lists",
            (true, false) => "configuration",
            (false, false) => "changes",
        };
        self.cx.metrics.peer_bytes.with_label_values(&[way, kind]).inc_by(bytes as u64);
    }

    /// Tells whether this node has known the store's state freshly for long enough.
    fn may_decide(&self) -> bool {
        let now = self.now();
        let fresh = self.store_age().is_some_and(|age| age <= DECIDES_WITHIN);
        let fresh = fresh && !self.store_fails.get();
        let since = self.fresh_since.get().unwrap_or(now);
        self.fresh_since.set(fresh.then_some(since));
        fresh && now.since(since) >= SETTLES_FOR
    }

    async fn step_domains(self: &Rc<Self>, view: &View) {
        let mut domains = self.known.borrow().domains();
        let readers = readers_in(view);
        domains.retain(|domain| owns(view, &readers, domain));
        for domain in domains {
            self.step_domain(&domain).await;
        }
    }

    async fn step_domain(self: &Rc<Self>, domain: &DomainId) {
        let Some((revision, step)) = self.decide(domain) else {
            return;
        };
        for reason in &step.reasons {
            log::info!(domain = domain.as_str(); "{reason}");
        }
        if step.loads > 0 {
            let mut loads = self.loads.borrow_mut();
            let begun = loads.entry(domain.clone()).or_default();
            begun.extend(std::iter::repeat_n(self.now(), step.loads as usize));
        }
        for order in step.orders {
            let control = self.clone();
            let domain = domain.clone();
            tokio::task::spawn_local(async move {
                control.send_order(&domain, order, revision).await;
            });
        }
        if let Some(next) = step.write {
            self.write(domain, revision, next).await;
        }
    }

    fn decide(&self, domain: &DomainId) -> Option<(Revision, FormationStep)> {
        let known = self.known.borrow();
        let boxes = known.boxes_of(domain);
        let service = service_of(&boxes)?;
        let engine = known.table()?.config().engine(&service)?.clone();
        let (revision, record) = known.record(domain);
        if record.last_epoch == Epoch(0) && known.settled_for(self.now()) < SETTLED_AFTER {
            return None;
        }
        let silent = known.silent();
        let departed = known.departed_of(domain);
        let domains = known.domains().len();
        let policy = self.cx.settings.policy;
        let homes = match policy.home_models {
            true => home_models(&engine, &known.by_domain()),
            false => BTreeMap::new(),
        };
        let input = FormationInput {
            now: self.now(),
            domain,
            service: &service,
            record: &record,
            engine: &engine,
            boxes: &boxes,
            departed: &departed,
            silent: &silent,
            ended: known.ended_replicas(),
            left: known.epochs_left(),
            loads_allowed: self.loads_allowed(domain, engine.loads_per_s, domains),
            home: homes.get(domain).map(String::as_str),
            policy,
        };
        let mut formations = self.formations.borrow_mut();
        let step = formations.entry(domain.clone()).or_default().step(input);
        Some((revision, step))
    }

    /// Returns how many loads a domain may begin now: its even part of the store's rate.
    fn loads_allowed(&self, domain: &DomainId, per_s: f64, domains: usize) -> u32 {
        let now = self.now();
        if self.is_first_start() && now < EARLY_FOR {
            return u32::MAX;
        }
        let share = (per_s * LOAD_WINDOW.as_secs_f64() / domains.max(1) as f64).max(1.0) as u32;
        let mut loads = self.loads.borrow_mut();
        let begun = loads.entry(domain.clone()).or_default();
        begun.retain(|at| now.since(*at) < LOAD_WINDOW);
        share.saturating_sub(begun.len() as u32)
    }

    /// Writes a record; whatever comes of it, the next step decides from what then stands.
    async fn write(&self, domain: &DomainId, expected: Revision, next: DomainRecord) {
        let Ok(body) = serde_json::to_string(&next) else {
            return;
        };
        let key = keys::domain(domain);
        match self.store.swap(&key, expected, &body).await {
            Ok(Swap::Done(revision)) => {
                let copy = Document { key: Arc::from(key), revision, body: Arc::from(body) };
                self.known.borrow_mut().take_domain(&copy);
                self.spread_news();
            }
            Ok(Swap::Conflict(_)) => self.read_back(&key).await,
            Err(err) => {
                log::warn!(domain = domain.as_str(); "a record may not be written: {err}");
                self.read_back(&key).await;
            }
        }
    }

    async fn read_back(&self, key: &str) {
        match self.store.get(key).await {
            Ok(Some(record)) => {
                let changes = cherrystand_platform::Changes {
                    revision: Revision(0),
                    records: vec![record],
                    gone: Vec::new(),
                };
                self.known.borrow_mut().take_changes(&changes, self.now());
            }
            Ok(None) => {}
            Err(err) => log::warn!("a record could not be read back: {err}"),
        }
    }
}

/// Returns the daemons that decide for domains.
pub(super) fn readers_in(view: &View) -> Vec<&Heartbeat> {
    let alive: Vec<&Heartbeat> = view.alive().collect();
    all_readers(&alive)
}

/// Tells whether this node, among the readers, decides for a domain.
pub(super) fn owns(view: &View, readers: &[&Heartbeat], domain: &DomainId) -> bool {
    owner_of(domain.as_str(), readers.iter().copied()) == Some(&view.own.node)
}

fn service_of(boxes: &[&SiteBox]) -> Option<ServiceName> {
    boxes.first().map(|known| known.service.clone())
}
