//! The duty that watches over the store and over this node's share of domains.

use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use cherrystand_core::{
    BoxId, CallBook, CapacityPlanner, DomainId, Doubt, Formation, Heartbeat, Millis, NewsBudget,
    Revision, ServiceName, StoreReach, all_readers, owner_of,
};
use cherrystand_peer::{ChangeBatches, ChangeNews, PackedBody};
use cherrystand_platform::{HttpPool, KeyValue, SiteDriver, since_boot};
use tokio::net::TcpListener;
use tokio::sync::{Notify, watch};

use crate::counted::Counted;
use crate::kernel::{Duty, Serves};
use crate::settings::SiteSettings;
use crate::site::box_calls::{handle_hints, probe_unlisted};
use crate::site::change_sharing::serve_changes;
use crate::site::peer_selector::PeerSelector;
use crate::site::reader_notes::maintain_reader_note;
use crate::site::site_state::SiteState;
use crate::site::store_watch::{follow_store, track_awake_time, watch_operator_keys};
use crate::site::suspect_writer::write_suspects;
use crate::site::{ChangeSource, Driver, RefusedKind};
use crate::state::{StateEvent, View};
use crate::{DutyContext, DutyError, StopPhase, keys};

/// The time between two steps where nothing happens.
const STEP_INTERVAL: Duration = Duration::from_millis(250);

/// The time that news gathers before a step.
const COALESCE_DELAY: Duration = Duration::from_millis(4);

/// How many times as long as it took to take news in nothing more is read.
const READ_PAUSE_FACTOR: u32 = 3;

/// How often peers are given the newest configuration, which they compare first.
const PASS_ON_INTERVAL: Millis = Millis(1_000);

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
        tokio::task::spawn_local(serve_changes(control.clone(), listener));
        tokio::task::spawn_local(follow_store(control.clone()));
        tokio::task::spawn_local(track_awake_time(control.clone()));
        tokio::task::spawn_local(watch_operator_keys(control.clone()));
        tokio::task::spawn_local(handle_hints(control.clone()));
        tokio::task::spawn_local(maintain_reader_note(control.clone()));
        tokio::task::spawn_local(write_suspects(control.clone()));
        tokio::select! {
            () = control.clone().run_steps() => {}
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
    pub(crate) state: RefCell<SiteState>,
    /// What was passed on of it last.
    pub(super) packed_batches: RefCell<ChangeBatches>,
    /// Connections to boxes and peers.
    pub(super) pool: HttpPool,
    /// How its calls to boxes fared lately.
    pub(super) call_book: RefCell<CallBook>,
    /// When others were last asked beside a box that may be gone.
    pub(super) witness_probed_at: Cell<Option<Millis>>,
    pub(super) wake: Notify,
    pub(super) formations: RefCell<BTreeMap<DomainId, Formation>>,
    /// Which split of its domains each service's work wants.
    pub(super) capacity_plans: RefCell<BTreeMap<ServiceName, CapacityPlanner>>,
    pub(super) recent_loads: RefCell<BTreeMap<DomainId, VecDeque<Millis>>>,
    /// When boxes were last asked whether they are there, by the reason.
    pub(super) last_probed: RefCell<BTreeMap<(BoxId, Doubt), Millis>>,
    /// Boxes that are being asked whether they are there.
    pub(super) probing: RefCell<BTreeSet<BoxId>>,
    /// How long each step of the way of a change may take.
    pub(super) budget: NewsBudget,
    store_reach: Cell<StoreReach>,
    announced_decides: Cell<bool>,
    passed_on_at: Cell<Millis>,
    passed_on_revisions: Cell<(Revision, Revision)>,
    /// How long the last news took to be taken in.
    last_apply_took: Cell<Duration>,
    /// Whether what changed in the configuration did not fit the one held.
    needs_full_config: Cell<bool>,
    /// Which peers it reads from and asks.
    pub(crate) peers: PeerSelector,
    /// Tells how many changes there have been, to peers that wait for one.
    pub(crate) change_count: watch::Sender<u64>,
}

impl Control {
    fn new(cx: DutyContext) -> Self {
        let store = Driver::store(cx.settings.platform.address);
        Self {
            store: Counted::over(store, &cx, "site"),
            state: RefCell::default(),
            packed_batches: RefCell::default(),
            pool: HttpPool::default(),
            call_book: RefCell::default(),
            witness_probed_at: Cell::default(),
            wake: Notify::new(),
            formations: RefCell::default(),
            capacity_plans: RefCell::default(),
            recent_loads: RefCell::default(),
            last_probed: RefCell::default(),
            probing: RefCell::default(),
            budget: cx.settings.site.as_ref().map(SiteSettings::news_budget).unwrap_or_default(),
            store_reach: Cell::default(),
            announced_decides: Cell::new(true),
            passed_on_at: Cell::default(),
            passed_on_revisions: Cell::default(),
            last_apply_took: Cell::default(),
            needs_full_config: Cell::default(),
            peers: PeerSelector::new(cx.clone()),
            change_count: watch::channel(0).0,
            cx,
        }
    }

    /// Returns the time now.
    pub(crate) fn now(&self) -> Millis {
        self.cx.clock.now()
    }

    fn update_reach<T>(&self, change: impl FnOnce(&mut StoreReach) -> T) -> T {
        let mut reach = self.store_reach.get();
        let out = change(&mut reach);
        self.store_reach.set(reach);
        out
    }

    /// Notes that the store answered this node itself.
    pub(crate) fn record_store_answer(&self) {
        self.update_reach(StoreReach::reached);
    }

    /// Tells whether the store did not answer this node the last time.
    pub(crate) fn is_store_unreachable(&self) -> bool {
        self.store_reach.get().fails()
    }

    /// Notes that the store does not answer this node itself, which reads from a peer.
    pub(crate) fn record_store_miss(&self) {
        self.update_reach(StoreReach::missed);
        self.wake.notify_one();
    }

    /// Takes note of news that the store gave `age` ago and `teller` passed on, and has it looked at.
    pub(crate) fn record_update(&self, teller: &ChangeSource, age: Millis, changes: bool) {
        let at = self.now() - age;
        self.cx.news_heard.told(at, teller);
        self.update_reach(|reach| reach.told(at));
        if changes {
            self.publish_and_wake();
        }
    }

    /// Hands what is known now to the request path and to peers, and has it looked at.
    pub(crate) fn publish_and_wake(&self) {
        self.publish();
        self.wake.notify_one();
    }

    /// Returns how long ago the store is known to have answered, this node or one that it reads
    /// from.
    pub(crate) fn store_age(&self) -> Option<Millis> {
        self.store_reach.get().age(self.now())
    }

    /// Tells whether all daemons start for the very first time.
    pub(crate) fn is_first_start(&self) -> bool {
        self.cx.settings.site.as_ref().is_some_and(|site| site.first_start)
    }

    /// Returns the number of this life of the process.
    pub(crate) fn incarnation(&self) -> u64 {
        self.cx.view.borrow().own.incarnation.0
    }

    fn publish(&self) {
        let nodes = self.cx.view.borrow().alive().count();
        let known = self.state.borrow();
        if let Some(config) = known.config() {
            self.cx.config_versions.note(config);
        }
        let view = known.view(nodes, self.cx.settings.policy.serve_unlisted);
        self.cx.metrics.zones_evacuated.set(view.evacuated.len() as i64);
        self.cx.metrics.store_era.set(known.revision().era().0 as i64);
        self.cx.metrics.endpoints_cold.set(view.cold.iter().count() as i64);
        self.cx.publish_site.send_replace(Arc::new(view));
        self.change_count.send_replace(known.change_count());
    }

    async fn run_steps(self: Rc<Self>) {
        loop {
            let woken = tokio::time::timeout(STEP_INTERVAL, self.wake.notified()).await.is_ok();
            if woken {
                tokio::time::sleep(COALESCE_DELAY).await;
            }
            let view = self.cx.view_now();
            let forgot = self.state.borrow_mut().remove_expired(self.now());
            // The share of the repeats that a node may make hangs on how many there are.
            if forgot || self.cx.site.borrow().nodes != view.alive().count() {
                self.publish();
            }
            probe_unlisted(&self);
            self.count_refused_values();
            self.announce_decides();
            self.exchange_documents(&view);
            if self.cx.stop_phase() == StopPhase::Running
                && self.update_reach(|reach| reach.may_decide(self.now()))
            {
                self.step_domains(&view).await;
            }
        }
    }

    /// Takes in what peers passed on, and hands out what the store told.
    fn exchange_documents(&self, view: &View) {
        let now = self.now();
        let mut known = self.state.borrow_mut();
        let mut news = false;
        for document in &view.passed_on {
            news |= match &*document.key {
                keys::SITE_CONFIG => known.apply_config(document),
                keys::EVACUATED_ZONES => known.apply_evacuation_document(document, now),
                _ => false,
            };
        }
        let due = now.since(self.passed_on_at.get()) >= PASS_ON_INTERVAL;
        let newest = known.operator_revisions();
        if due || newest != self.passed_on_revisions.get() {
            self.passed_on_at.set(now);
            self.passed_on_revisions.set(newest);
            self.cx.tell_state(StateEvent::Records(known.operator_documents()));
        }
        drop(known);
        if news {
            self.publish();
        }
    }

    /// Lets peers decide for this node's domains while the store does not answer it.
    fn announce_decides(&self) {
        let decides = !self.is_store_unreachable();
        if self.announced_decides.replace(decides) != decides {
            self.cx.tell_state(StateEvent::Decides(decides));
        }
    }

    /// Notes that the store failed this node, and tells whether that says anything of the store.
    pub(crate) fn record_store_failure(&self) -> bool {
        let failed = self.state.borrow_mut().record_store_failure(self.now());
        if failed {
            self.record_store_miss();
        }
        failed
    }

    /// Tells whether neither the store nor a reader of it has told this node anything for long.
    pub(crate) fn store_is_silent(&self) -> bool {
        self.store_reach.get().is_silent(self.now())
    }

    /// Returns the revision of the configuration that peers may tell changes against; 0 where the
    /// whole is wanted.
    pub(crate) fn held_config_revision(&self) -> Revision {
        match self.needs_full_config.get() {
            true => Revision::NONE,
            false => self.cx.config_versions.newest(),
        }
    }

    /// Takes in a configuration that a peer passed on, and tells whether it is a new one; one that
    /// does not fit is asked for whole the next time, and the one in force stays.
    pub(crate) fn apply_packed_config(&self, packed: Option<&PackedBody>) -> bool {
        let mut known = self.state.borrow_mut();
        let Some(packed) = packed.filter(|packed| packed.revision > known.config_revision()) else {
            return false;
        };
        let unpacked = self.cx.config_versions.unpack(Driver::CONFIG_KEY, packed);
        self.needs_full_config.set(unpacked.is_err());
        unpacked.is_ok_and(|config| known.apply_config(&config))
    }

    /// Reads a configuration by `read`, keeping how long that takes.
    pub(crate) fn time_apply<T>(&self, read: impl FnOnce() -> T) -> T {
        let began = since_boot();
        let out = read();
        self.last_apply_took.set(since_boot().saturating_sub(began));
        out
    }

    /// Returns how long to wait before more is read: `least`, or longer after what took long, so
    /// that a storm of large configurations leaves the processor to orders and requests. Versions
    /// that come meanwhile arrive as one.
    pub(crate) fn read_pause(&self, least: Duration) -> Duration {
        let rest = self.last_apply_took.take() * READ_PAUSE_FACTOR;
        rest.min(to_duration(self.budget.longest_rest())).max(least)
    }

    /// Counts values of the store that could not be used.
    fn count_refused_values(&self) {
        let eras = self.store.take_refused_eras();
        if eras > 0 {
            log::warn!(answers = eras; "the store told eras that are none, or earlier than known");
            self.cx
                .metrics
                .values_refused
                .with_label_values(&[RefusedKind::Era.as_str()])
                .inc_by(eras);
        }
        for (kind, count) in self.state.borrow_mut().take_refused() {
            self.cx.metrics.values_refused.with_label_values(&[kind.as_str()]).inc_by(count);
        }
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
}

/// Returns a span of the decisions as timers take it.
pub(super) fn to_duration(span: Millis) -> Duration {
    Duration::from_millis(span.0)
}

/// Returns the daemons that decide for domains.
pub(super) fn readers_in(view: &View) -> Vec<&Heartbeat> {
    let alive: Vec<&Heartbeat> = view.alive().collect();
    all_readers(&alive)
}

/// Tells whether this node, among the readers, decides for a domain.
pub(super) fn owns_domain(view: &View, readers: &[&Heartbeat], domain: &DomainId) -> bool {
    owner_of(domain.as_str(), readers.iter().copied()) == Some(&view.own.node)
}
