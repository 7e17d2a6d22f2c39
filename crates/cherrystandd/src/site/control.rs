//! The state of the duty that follows the store and decides for this node's share of the domains.

use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use cherrystand_core::{
    BoxId, CallHistory, CapacityPlanner, DomainId, Formation, Heartbeat, Millis, ProbeReason,
    PropagationBudget, Revision, ServiceName, StoreReachability, all_readers, owner_of,
};
use cherrystand_peer::{BatchCache, ChangeUpdate};
use cherrystand_platform::{AnswerPool, BufferBudget, CallIds, KeyValue, SiteDriver, since_boot};
use tokio::sync::{Notify, watch};

use crate::counting_client::CountingClient;
use crate::settings::SiteSettings;
use crate::site::box_client::BoxClient;
use crate::site::carried_requests::CarriedRequests;
use crate::site::opened_update::{OpenError, OpenedUpdate};
use crate::site::peer_selector::PeerSelector;
use crate::site::site_state::SiteState;
use crate::site::{ChangeSource, Driver, RefusedKind};
use crate::state::{StateEvent, View};
use crate::{DutyContext, keys};

/// The pause after applying changes, as a multiple of the time that applying them took.
const READ_PAUSE_FACTOR: u32 = 3;

/// How often the newest operator documents are passed on to peers even if they have not changed.
/// Peers compare revisions before they apply one.
const PASS_ON_INTERVAL: Millis = Millis(1_000);

/// The state of the duty and its connections.
pub(crate) struct Control {
    pub(super) cx: DutyContext,
    /// The store.
    pub(crate) store: CountingClient<<Driver as SiteDriver>::Store>,
    /// The state of the site.
    pub(crate) state: RefCell<SiteState>,
    /// The batches of changes last packed for peers.
    pub(super) packed_batches: RefCell<BatchCache>,
    /// Connections to peers.
    pub(super) pool: AnswerPool<CallIds>,
    /// Connections to boxes.
    pub(super) boxes: Rc<BoxClient>,
    /// The requests that this node carries for peers.
    pub(super) carried: CarriedRequests,
    /// The results of recent calls to boxes.
    pub(super) call_book: RefCell<CallHistory>,
    /// When other boxes or peers were last probed to check this node's own network.
    pub(super) witness_probed_at: Cell<Option<Millis>>,
    pub(super) wake: Notify,
    pub(super) formations: RefCell<BTreeMap<DomainId, Formation>>,
    /// The planner that splits each service's domains between its models.
    pub(super) capacity_planners: RefCell<BTreeMap<ServiceName, CapacityPlanner>>,
    pub(super) recent_loads: RefCell<BTreeMap<DomainId, VecDeque<Millis>>>,
    /// When each box was last probed, by the reason for the probe.
    pub(super) last_probed: RefCell<BTreeMap<(BoxId, ProbeReason), Millis>>,
    /// Boxes that are being probed.
    pub(super) probing: RefCell<BTreeSet<BoxId>>,
    /// Silent boxes that are asked on until they answer or are dead.
    pub(super) followed: RefCell<BTreeSet<BoxId>>,
    /// How long each hop of a change may take while the store is quick.
    quick_budget: PropagationBudget,
    /// The revision up to which everything is known, from which the store can be read on.
    complete_up_to: Cell<Option<Revision>>,
    store_reach: Cell<StoreReachability>,
    announced_decides: Cell<bool>,
    passed_on_at: Cell<Millis>,
    passed_on_revisions: Cell<(Revision, Revision)>,
    /// How long applying the last changes took.
    last_apply_took: Cell<Duration>,
    /// Whether a configuration difference did not apply to the one held, so that the next one is
    /// requested in full.
    needs_full_config: Cell<bool>,
    /// Selects the peers that this node reads from and asks.
    pub(crate) peers: PeerSelector,
    /// Publishes the number of changes to peers that wait for one.
    pub(crate) change_count: watch::Sender<u64>,
}

impl Control {
    pub(super) fn new(cx: DutyContext) -> Self {
        let store = Driver::store(cx.settings.platform.address);
        Self {
            store: CountingClient::wrap(store, &cx, "site"),
            state: RefCell::default(),
            packed_batches: RefCell::default(),
            pool: AnswerPool::default(),
            boxes: BoxClient::new(cx.clone()),
            carried: CarriedRequests::new(
                cx.carried.clone(),
                BufferBudget::new(
                    cx.settings.limits.max_buffer_bytes(),
                    cx.metrics.bytes_held.clone(),
                ),
            ),
            call_book: RefCell::default(),
            witness_probed_at: Cell::default(),
            wake: Notify::new(),
            formations: RefCell::default(),
            capacity_planners: RefCell::default(),
            recent_loads: RefCell::default(),
            last_probed: RefCell::default(),
            probing: RefCell::default(),
            followed: RefCell::default(),
            quick_budget: cx
                .settings
                .site
                .as_ref()
                .map(SiteSettings::propagation_budget)
                .unwrap_or_default(),
            complete_up_to: Cell::default(),
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

    /// Returns how long each hop of a change may take now.
    pub(crate) fn budget(&self) -> PropagationBudget {
        self.quick_budget.with_answer_time(self.cx.store_freshness.answer_time())
    }

    /// Records how long the store takes to answer, as the source of the last update says.
    pub(crate) fn record_answer_time(&self, answer_time: Millis) {
        self.cx.store_freshness.record_answer_time(answer_time);
        let slack = self.budget().slack();
        self.update_reach(|reach| reach.record_slack(slack));
        self.state.borrow_mut().store_outage.record_slack(slack);
    }

    /// Returns the current time.
    pub(crate) fn now(&self) -> Millis {
        self.cx.clock.now()
    }

    pub(super) fn update_reach<T>(&self, change: impl FnOnce(&mut StoreReachability) -> T) -> T {
        let mut reach = self.store_reach.get();
        let out = change(&mut reach);
        self.store_reach.set(reach);
        out
    }

    /// Records that the store answered this node directly.
    pub(crate) fn record_store_answer(&self) {
        self.update_reach(StoreReachability::record_success);
    }

    /// Returns whether this node's last direct call to the store failed.
    pub(crate) fn is_store_unreachable(&self) -> bool {
        self.store_reach.get().is_failing()
    }

    /// Records that the store did not answer this node directly, while it may still read from a
    /// peer.
    pub(crate) fn record_store_miss(&self) {
        self.update_reach(StoreReachability::record_failure);
        self.wake.notify_one();
    }

    /// Records an update that the store made `age` ago and that arrived from `source`. With
    /// `has_changes`, publishes the new state and wakes the duty.
    pub(crate) fn record_update(&self, source: &ChangeSource, age: Millis, has_changes: bool) {
        let at = self.now() - age;
        self.cx.store_freshness.record_update(at, source);
        self.update_reach(|reach| reach.record_update(at));
        if has_changes {
            self.publish_and_wake();
        }
    }

    /// Returns the revision up to which everything is known, or `None` if the store has to be listed
    /// again.
    pub(crate) fn complete_up_to(&self) -> Option<Revision> {
        self.complete_up_to.get()
    }

    /// Records that everything up to a revision is known.
    pub(crate) fn record_complete(&self, revision: Revision) {
        self.complete_up_to.set(self.complete_up_to.get().max(Some(revision)));
    }

    /// Records that the store has to be listed again.
    pub(crate) fn discard_complete(&self) {
        self.complete_up_to.set(None);
    }

    /// Publishes the state to the request path and to peers, and wakes the duty.
    pub(crate) fn publish_and_wake(&self) {
        self.publish();
        self.wake.notify_one();
    }

    /// Returns how long ago the store is known to have answered this node or the peer that it reads
    /// from.
    pub(crate) fn store_age(&self) -> Option<Millis> {
        self.store_reach.get().age(self.now())
    }

    /// Returns whether this is the very first start of all daemons.
    pub(crate) fn is_first_start(&self) -> bool {
        self.cx.settings.site.as_ref().is_some_and(|site| site.first_start)
    }

    /// Returns the incarnation of this process.
    pub(crate) fn incarnation(&self) -> u64 {
        self.cx.view.borrow().own.incarnation.0
    }

    pub(super) fn publish(&self) {
        let nodes = self.cx.view.borrow().alive().count();
        let state = self.state.borrow();
        if let Some(config) = state.config() {
            self.cx.config_versions.record(config);
        }
        let view = state.view(nodes, self.cx.settings.policy.serve_unlisted);
        self.cx.metrics.zones_evacuated.set(view.evacuated.len() as i64);
        self.cx.metrics.store_era.set(state.revision().era().0 as i64);
        self.cx.metrics.endpoints_cold.set(view.cold.iter().count() as i64);
        self.cx.publish_site.send_replace(Arc::new(view));
        self.change_count.send_replace(state.change_count());
    }

    /// Applies the documents that peers passed on, and passes on those read from the store.
    pub(super) fn exchange_documents(&self, view: &View) {
        let now = self.now();
        let mut state = self.state.borrow_mut();
        let mut is_new = false;
        for document in &view.site_records {
            is_new |= match &*document.key {
                keys::SITE_CONFIG => state.apply_config(document, &ChangeSource::Gossip),
                keys::EVACUATED_ZONES => state.apply_evacuation_document(document, now),
                _ => false,
            };
        }
        let due = now.since(self.passed_on_at.get()) >= PASS_ON_INTERVAL;
        let newest = state.operator_revisions();
        if due || newest != self.passed_on_revisions.get() {
            self.passed_on_at.set(now);
            self.passed_on_revisions.set(newest);
            self.cx.send_to_state(StateEvent::Records(state.operator_documents()));
        }
        drop(state);
        if is_new {
            self.publish();
        }
    }

    /// Announces to peers whether this node decides, so that they take over its domains while the
    /// store does not answer it.
    pub(super) fn announce_decides(&self) {
        let decides = !self.is_store_unreachable();
        if self.announced_decides.replace(decides) != decides {
            self.cx.send_to_state(StateEvent::MayDecide(decides));
        }
    }

    /// Records that a call to the store failed. Returns whether the failure counts against the
    /// store rather than against a pause of this daemon.
    pub(crate) fn record_store_failure(&self) -> bool {
        let failed = self.state.borrow_mut().record_store_failure(self.now());
        if failed {
            self.record_store_miss();
        }
        failed
    }

    /// Returns whether neither the store nor a peer that reads it has answered this node for a long
    /// time.
    pub(crate) fn store_is_silent(&self) -> bool {
        self.store_reach.get().is_silent(self.now())
    }

    /// Returns the revision of the configuration against which peers may send differences, or 0 to
    /// request the full configuration.
    pub(crate) fn held_config_revision(&self) -> Revision {
        match self.needs_full_config.get() {
            true => Revision::NONE,
            false => self.cx.config_versions.newest_revision(),
        }
    }

    /// Opens a peer's answer. If its configuration can't be unpacked, the next one is requested in full.
    pub(crate) fn open_update(&self, update: &ChangeUpdate) -> Result<OpenedUpdate, OpenError> {
        let held = self.state.borrow().config_revision();
        let opened = OpenedUpdate::open(update, held, &self.cx.config_versions);
        match &opened {
            Ok(opened) if opened.config.is_some() => self.needs_full_config.set(false),
            Err(OpenError::Configuration(_)) => self.needs_full_config.set(true),
            _ => {}
        }
        opened
    }

    /// Runs `apply` and records how long it takes.
    pub(crate) fn time_apply<T>(&self, apply: impl FnOnce() -> T) -> T {
        let began = since_boot();
        let out = apply();
        self.last_apply_took.set(since_boot().saturating_sub(began));
        out
    }

    /// Returns how long to wait before the next read: at least `min`, and longer after changes that
    /// took long to apply.
    ///
    /// This leaves the processor to orders and requests while large configurations change often.
    /// Versions written in the meantime arrive as one.
    pub(crate) fn read_pause(&self, min: Duration) -> Duration {
        let pause = self.last_apply_took.take() * READ_PAUSE_FACTOR;
        pause.min(to_duration(self.quick_budget.max_pause())).max(min)
    }

    /// Adds the values from the store that could not be used to the metrics.
    pub(super) fn count_refused_values(&self) {
        let eras = self.store.take_rejected_era_count();
        if eras > 0 {
            log::warn!(answers = eras; "the store answered with invalid or outdated eras");
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

    /// Counts the bytes of changes sent to a peer or read from one.
    pub(crate) fn count_changes(&self, way: &str, update: &ChangeUpdate, bytes: usize) {
        let kind = match (update.config.is_some(), update.whole) {
            (_, true) => "whole-lists",
            (true, false) => "configuration",
            (false, false) => "changes",
        };
        self.cx.metrics.peer_bytes.with_label_values(&[way, kind]).inc_by(bytes as u64);
    }
}

/// Converts a span to a [`Duration`] for timers.
pub(super) fn to_duration(span: Millis) -> Duration {
    Duration::from_millis(span.0)
}

/// Returns the daemons that decide for domains.
pub(super) fn readers_in(view: &View) -> Vec<&Heartbeat> {
    let alive: Vec<&Heartbeat> = view.alive().collect();
    all_readers(&alive)
}

/// Returns whether this node, among the readers, decides for a domain.
pub(super) fn owns_domain(view: &View, readers: &[&Heartbeat], domain: &DomainId) -> bool {
    owner_of(domain.as_str(), readers.iter().copied()) == Some(&view.own.node)
}
