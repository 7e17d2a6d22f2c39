//! Stands in for a whole site: its store, boxes with engines, and plain endpoints.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use base64::Engine as _;
use base64::engine::general_purpose::STANDARD;
use cherrystand_platform::serve_http;
use hyper::Request;
use hyper::body::Incoming;
use serde_json::{Value, json};
use tokio::net::TcpListener;
use tokio::task::JoinHandle;

use crate::site::box_answers::{Answer, full_body};
use crate::site::box_wishes::{BoxWishes, SentSignal};
use crate::site::metadata_stand_in::{MetadataStandIn, StoreMode};
use crate::site::site_box::{
    Arrival, BoxMode, ColdReport, Crash, Membership, SiteBoxState, SiteState,
};

/// How often what is held up looks whether it may go on.
const POLL_INTERVAL: Duration = Duration::from_millis(5);

/// The availability zone of boxes that are added without one.
const DEFAULT_ZONE: &str = "z1";

/// The prefix of the keys under which boxes tell of themselves.
const ENTRY_PREFIX: &str = "servers/";

/// How long a box is away that a request ended.
const CRASH_DOWNTIME: Duration = Duration::from_millis(1_200);

/// A site on loopback addresses; it runs on the test's own thread.
#[derive(Clone)]
pub struct SiteStandIn {
    /// The store.
    pub store: MetadataStandIn,
    pub(super) state: Rc<RefCell<SiteState>>,
    tasks: Rc<RefCell<Vec<JoinHandle<()>>>>,
    /// What serves each box; the connections to it end with it.
    box_tasks: Rc<RefCell<BTreeMap<String, JoinHandle<()>>>>,
}

impl SiteStandIn {
    /// Creates a site with nothing in it.
    pub fn new() -> Self {
        Self {
            store: MetadataStandIn::default(),
            state: Rc::default(),
            tasks: Rc::default(),
            box_tasks: Rc::default(),
        }
    }

    /// Opens a door to the store and returns its address.
    ///
    /// # Errors
    ///
    /// Returns an error where no address can be listened at.
    pub async fn open_store(&self) -> std::io::Result<SocketAddr> {
        let listener = TcpListener::bind(("127.0.0.1", 0)).await?;
        let address = listener.local_addr()?;
        let number = self.state.borrow().store_modes.len();
        self.state.borrow_mut().store_modes.insert(number, StoreMode::Open);
        let site = self.clone();
        let serving = serve(listener, move |req| {
            let door = site.state.borrow().store_modes.get(&number).copied().unwrap_or_default();
            let store = site.store.clone();
            async move { store.handle(door, req).await.map(full_body) }
        });
        self.tasks.borrow_mut().push(serving);
        Ok(address)
    }

    /// Says how a door behaves from now on.
    pub fn set_store_mode(&self, number: usize, door: StoreMode) {
        self.state.borrow_mut().store_modes.insert(number, door);
    }

    /// Puts a configuration in force.
    pub fn configure(&self, config: &Value) {
        self.store.put("op/config", STANDARD.encode(config.to_string()));
    }

    /// Puts a configuration in force right after somebody found that there is none.
    pub fn configure_after_miss(&self, config: &Value) {
        self.store.put_after_miss("op/config", STANDARD.encode(config.to_string()));
    }

    /// Adds a box, or a plain endpoint, of a service and lists it.
    ///
    /// # Errors
    ///
    /// Returns an error where no address can be listened at.
    pub async fn add_box(&self, id: &str, service: &'static str) -> std::io::Result<()> {
        self.add_box_in(DEFAULT_ZONE, id, service).await
    }

    /// The same in an availability zone, each of which has a domain of its own.
    ///
    /// # Errors
    ///
    /// Returns an error where no address can be listened at.
    pub async fn add_box_in(
        &self,
        zone: &'static str,
        id: &str,
        service: &'static str,
    ) -> std::io::Result<()> {
        let listener = TcpListener::bind(("127.0.0.1", 0)).await?;
        let site_box = SiteBoxState::new(listener.local_addr()?, service, zone);
        self.state.borrow_mut().boxes.insert(id.to_owned(), site_box);
        self.write_own_entry(id);
        self.serve_box(id, listener);
        Ok(())
    }

    pub(super) fn serve_box(&self, id: &str, listener: TcpListener) {
        let (site, own) = (self.clone(), id.to_owned());
        let serving = serve(listener, move |req| {
            let (site, id) = (site.clone(), own.clone());
            async move { site.answer(&id, req).await }
        });
        self.box_tasks.borrow_mut().insert(id.to_owned(), serving);
    }

    /// Ends a box by a request: its connections close, new ones are refused, and it says nothing until
    /// it starts again under its id.
    pub(super) async fn crash<T>(&self, id: &str, body: &str) -> T {
        let crash = Crash { body: body.to_owned(), target: id.to_owned(), at: Instant::now() };
        self.state.borrow_mut().crashes.push(crash);
        let (site, id) = (self.clone(), id.to_owned());
        let start = self.start_of(&id);
        tokio::task::spawn_local(async move {
            // Another request may have ended it in the same moment, and has it come back.
            let Some(serving) = site.box_tasks.borrow_mut().remove(&id) else { return };
            serving.abort();
            tokio::time::sleep(CRASH_DOWNTIME).await;
            let listens =
                site.state.borrow().boxes.get(&id).map(|site_box| site_box.listen_address);
            let Some(listens) = listens else { return };
            // Nobody else has the address meanwhile.
            let listener = TcpListener::bind(listens).await.expect("the box's address");
            // Another fault may have started it again meanwhile.
            if site.start_of(&id) == start {
                site.restart(&id, false);
            }
            site.serve_box(&id, listener);
        });
        std::future::pending().await
    }

    /// Returns the boxes that requests ended, in their order.
    pub fn crashes(&self) -> Vec<Crash> {
        self.state.borrow().crashes.clone()
    }

    /// Changes what a box does.
    pub fn set_mode(&self, id: &str, mode: BoxMode) {
        if let Some(site_box) = self.state.borrow_mut().boxes.get_mut(id) {
            site_box.mode = mode;
        }
    }

    /// Has a box be cold for a while.
    pub fn turn_cold(&self, id: &str, lasts: Duration, told: ColdReport) {
        if let Some(site_box) = self.state.borrow_mut().boxes.get_mut(id) {
            site_box.cold = Some((Instant::now() + lasts, told));
        }
        if told == ColdReport::Entry {
            self.write_own_entry(id);
        }
    }

    /// Empties an availability zone; the value may be anything.
    pub fn evacuate(&self, zone: &str, value: &[u8]) {
        self.store.put(&format!("op/evacuate/{zone}"), STANDARD.encode(value));
    }

    /// Takes an availability zone back.
    pub fn end_evacuation(&self, zone: &str) {
        self.store.remove(&format!("op/evacuate/{zone}"));
    }

    /// Returns the boxes that broke off an answer which nobody read, each as often as it did.
    pub fn unread_aborts(&self) -> Vec<String> {
        self.state.borrow().unread_aborts.clone()
    }

    /// Returns the boxes of an availability zone.
    pub fn boxes_in(&self, zone: &str) -> Vec<String> {
        let state = self.state.borrow();
        let boxes = state.boxes.iter().filter(|(_, site_box)| site_box.zone == zone);
        boxes.map(|(id, _)| id.clone()).collect()
    }

    /// Changes what a box asks of daemons, for as long as its life lasts.
    pub fn set_wishes(&self, id: &str, wishes: BoxWishes) {
        if let Some(site_box) = self.state.borrow_mut().boxes.get_mut(id) {
            site_box.wishes = wishes;
        }
    }

    /// Returns what boxes asked of daemons in their answers.
    pub fn signals(&self) -> Vec<SentSignal> {
        self.state.borrow().signals.clone()
    }

    /// Holds up all that boxes say, as a link does that is full, or lets it through again.
    pub fn hold_answers(&self, held: bool) {
        self.state.borrow_mut().holds_answers = held;
    }

    pub(super) async fn wait_while_held(&self) {
        while self.state.borrow().holds_answers {
            tokio::time::sleep(POLL_INTERVAL).await;
        }
    }

    /// Has a box's entry say that it leaves, while it serves on.
    pub fn drain(&self, id: &str) {
        if let Some(site_box) = self.state.borrow_mut().boxes.get_mut(id) {
            site_box.draining = true;
        }
        self.write_own_entry(id);
    }

    /// Returns the boxes that are listed.
    pub fn listed(&self) -> Vec<String> {
        let keys = self.store.keys(ENTRY_PREFIX).into_iter();
        keys.filter_map(|key| key.strip_prefix(ENTRY_PREFIX).map(str::to_owned)).collect()
    }

    /// Lists a box again as it is.
    pub fn list(&self, id: &str) {
        self.write_own_entry(id);
    }

    /// Takes a box out of the list.
    pub fn unlist(&self, id: &str) {
        self.store.remove(&format!("servers/{id}"));
    }

    /// Returns where a box is reached.
    pub fn address_of(&self, id: &str) -> Option<SocketAddr> {
        self.state.borrow().boxes.get(id).map(|site_box| site_box.address)
    }

    /// Has a box tell another address from now on, as one that stands behind a link.
    pub fn set_address(&self, id: &str, address: SocketAddr) {
        if let Some(site_box) = self.state.borrow_mut().boxes.get_mut(id) {
            site_box.address = address;
        }
        self.write_own_entry(id);
    }

    /// Has boxes tell when they started from now on.
    pub fn report_starts(&self) {
        self.state.borrow_mut().reports_starts = true;
        let ids: Vec<String> = self.state.borrow().boxes.keys().cloned().collect();
        ids.iter().for_each(|id| self.write_own_entry(id));
    }

    /// Has a box start again under its id, empty, and tell so at once; the last join that it took may
    /// be carried out late, in its new life.
    pub fn restart(&self, id: &str, last_join_again: bool) {
        let mut state = self.state.borrow_mut();
        let Some(before) = state.boxes.remove(id) else { return };
        let mut fresh = SiteBoxState::new(before.address, before.service, before.zone);
        fresh.listen_address = before.listen_address;
        fresh.start_ms = before.start_ms + 1;
        (fresh.runs, fresh.request_headers) = (before.runs, before.request_headers);
        if let Some(group) = before.membership {
            state.restarted.insert((group.group.clone(), group.epoch));
            if last_join_again {
                fresh.staged = before.staged;
                fresh.highest_epoch = group.epoch;
                fresh.membership = Some(Membership { state: "ready", ..group });
            }
        }
        state.boxes.insert(id.to_owned(), fresh);
        drop(state);
        self.write_own_entry(id);
    }

    /// Writes any bytes where a box tells of itself.
    pub fn write_entry(&self, id: &str, value: &[u8]) {
        self.store.put(&format!("servers/{id}"), STANDARD.encode(value));
    }

    /// Has a box start again under another id, at its address and empty; its old entry stays and the
    /// new one is not listed, as behind a cut from the store.
    pub fn restart_as(&self, id: &str, new_id: &str) {
        let mut state = self.state.borrow_mut();
        let Some(old) = state.boxes.remove(id) else { return };
        let site_box = SiteBoxState::new(old.address, old.service, old.zone);
        state.boxes.insert(new_id.to_owned(), site_box);
        state.successors.insert(id.to_owned(), new_id.to_owned());
    }

    /// Returns the orders that were refused: the box, the operation and the status.
    pub fn refused_orders(&self) -> Vec<(String, String, u16)> {
        self.state.borrow().refused_orders.clone()
    }

    /// Returns what must never happen and did.
    pub fn violations(&self) -> Vec<String> {
        self.state.borrow().violations.clone()
    }

    /// Returns every request that reached a box.
    pub fn arrivals(&self) -> Vec<Arrival> {
        self.state.borrow().arrivals.clone()
    }

    /// Returns the leaders that serve and the members of each.
    pub fn leaders(&self) -> BTreeMap<String, Vec<String>> {
        let state = self.state.borrow();
        let leads = |(id, site_box): (&String, &SiteBoxState)| {
            let group = site_box.membership.as_ref().filter(|group| group.state == "open")?;
            Some((id.clone(), group.members.clone()))
        };
        state.boxes.iter().filter_map(leads).collect()
    }

    /// Returns how many replicas serve with all their members.
    pub fn complete_replicas(&self) -> usize {
        self.leaders().keys().filter(|leader| self.is_complete(leader)).count()
    }

    /// Tells whether a box holds a model on its host.
    pub fn has_staged(&self, id: &str) -> bool {
        self.state.borrow().boxes.get(id).is_some_and(|site_box| site_box.staged.is_some())
    }

    /// Returns who ran a request, and after which event each run began.
    pub fn runs_of(&self, request: &str) -> Vec<(String, Option<u64>)> {
        let state = self.state.borrow();
        let runs = state.boxes.iter().flat_map(|(id, site_box)| {
            let own = site_box.runs.iter().filter(|(ran, _)| ran == request);
            own.map(|(_, after)| (id.clone(), *after))
        });
        runs.collect()
    }

    /// Returns the heads of requests that reached any box.
    pub fn request_headers(&self) -> Vec<BTreeMap<String, String>> {
        let state = self.state.borrow();
        state.boxes.values().flat_map(|site_box| site_box.request_headers.clone()).collect()
    }

    /// Writes what a box tells of itself.
    pub(super) fn write_own_entry(&self, id: &str) {
        let state = self.state.borrow();
        let Some(site_box) = state.boxes.get(id) else { return };
        let group = site_box.membership.as_ref().map(|group| {
            let rank = group.members.iter().position(|member| member == id);
            json!({"name": group.group, "epoch": group.epoch, "rank": rank, "state": group.state})
        });
        let cold = site_box.cold.filter(|(_, told)| *told == ColdReport::Entry);
        let cold_left = cold.map(|(until, _)| until.saturating_duration_since(Instant::now()));
        let cold_left = cold_left.unwrap_or_default().as_millis() as u64;
        let readiness = if site_box.draining { "draining" } else { "ready" };
        let loaded = site_box.membership.is_some().then(|| site_box.staged.clone()).flatten();
        let mut entry = json!({
            "service": site_box.service, "address": site_box.address.to_string(), "zone": site_box.zone,
            "version": "v1", "slots": 8, "state": readiness, "cold_left_ms": cold_left, "seq_no": 0,
            "domain": (site_box.service == "models").then(|| format!("{}-d0", site_box.zone)),
            "staged": site_box.staged.iter().collect::<Vec<_>>(), "group": group,
            "models": loaded.iter().map(|name| json!({"name": name})).collect::<Vec<_>>(),
        });
        if state.reports_starts {
            entry["born"] = json!(site_box.start_ms);
        }
        drop(state);
        self.store.put(&format!("servers/{id}"), STANDARD.encode(entry.to_string()));
    }

    pub(super) fn mode(&self, id: &str) -> BoxMode {
        self.state.borrow().boxes.get(id).map(|site_box| site_box.mode).unwrap_or(BoxMode::Dark)
    }
}

fn serve<H, F>(listener: TcpListener, handle: H) -> JoinHandle<()>
where
    H: Fn(Request<Incoming>) -> F + 'static,
    F: Future<Output = Answer> + 'static,
{
    let (stop, stopped) = tokio::sync::watch::channel(false);
    tokio::task::spawn_local(async move {
        serve_http(listener, handle, stopped).await;
        drop(stop);
    })
}

impl Default for SiteStandIn {
    fn default() -> Self {
        Self::new()
    }
}
