//! A stand-in for a whole site: its store, boxes with engines, and plain endpoints.

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
use crate::site::endpoint_links::EndpointLinks;
use crate::site::metadata_stand_in::{MetadataStandIn, StoreMode};
use crate::site::site_box::{
    Arrival, BoxMode, ColdReport, Crash, EndedLeader, Membership, SiteBoxState, StandInState,
};

/// How often a held answer checks whether it may be sent.
const POLL_INTERVAL: Duration = Duration::from_millis(5);

/// The availability zone of boxes that are added without one.
const DEFAULT_ZONE: &str = "z1";

/// The key prefix of the entries of boxes.
const ENTRY_PREFIX: &str = "servers/";

/// How long a box is down after a request crashed it.
const CRASH_DOWNTIME: Duration = Duration::from_millis(1_200);

/// A site on loopback addresses that runs on the thread of the test.
#[derive(Clone)]
pub struct SiteStandIn {
    /// The store.
    pub store: MetadataStandIn,
    pub(super) state: Rc<RefCell<StandInState>>,
    tasks: Rc<RefCell<Vec<JoinHandle<()>>>>,
    /// The task that serves each box; aborting it closes the connections to the box.
    box_tasks: Rc<RefCell<BTreeMap<String, JoinHandle<()>>>>,
}

impl SiteStandIn {
    /// Creates a site without boxes and with an empty store.
    pub fn new() -> Self {
        Self {
            store: MetadataStandIn::default(),
            state: Rc::default(),
            tasks: Rc::default(),
            box_tasks: Rc::default(),
        }
    }

    /// Opens another address of the store, with a mode of its own, and returns it.
    ///
    /// # Errors
    ///
    /// Returns an error if no loopback address can be listened on.
    pub async fn open_store(&self) -> std::io::Result<SocketAddr> {
        self.open_store_through(EndpointLinks::default()).await
    }

    /// Opens another address of the store as [`Self::open_store`] does, for a daemon that reaches endpoints through
    /// `links`.
    ///
    /// # Errors
    ///
    /// Returns an error if no loopback address can be listened on.
    pub async fn open_store_through(&self, links: EndpointLinks) -> std::io::Result<SocketAddr> {
        let listener = TcpListener::bind(("127.0.0.1", 0)).await?;
        let address = listener.local_addr()?;
        let number = self.state.borrow().store_modes.len();
        self.state.borrow_mut().store_modes.insert(number, StoreMode::Open);
        let site = self.clone();
        let serving = serve(listener, move |req| {
            let mode = site.state.borrow().store_modes.get(&number).copied().unwrap_or_default();
            let store = site.store.seen_through(links.clone());
            async move { store.handle(mode, req).await.map(full_body) }
        });
        self.tasks.borrow_mut().push(serving);
        Ok(address)
    }

    /// Sets how the store treats calls on one of its addresses, numbered in the order of opening.
    pub fn set_store_mode(&self, number: usize, mode: StoreMode) {
        self.state.borrow_mut().store_modes.insert(number, mode);
    }

    /// Writes a configuration to the store.
    pub fn configure(&self, config: &Value) {
        self.store.put("op/config", STANDARD.encode(config.to_string()));
    }

    /// Writes a configuration right after a read has found that there is none.
    pub fn configure_after_miss(&self, config: &Value) {
        self.store.put_after_miss("op/config", STANDARD.encode(config.to_string()));
    }

    /// Adds a box or plain endpoint of a service, and writes its entry.
    ///
    /// # Errors
    ///
    /// Returns an error if no loopback address can be listened on.
    pub async fn add_box(&self, id: &str, service: &'static str) -> std::io::Result<()> {
        self.add_box_in(DEFAULT_ZONE, id, service).await
    }

    /// Adds a box as `add_box` does, in an availability zone. Each zone has a domain of its own.
    ///
    /// # Errors
    ///
    /// Returns an error if no loopback address can be listened on.
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

    /// Crashes a box by a request: its connections close, and new ones are refused until it restarts under its id.
    pub(super) async fn crash<T>(&self, id: &str, body: &str) -> T {
        let crash = Crash { body: body.to_owned(), target: id.to_owned(), at: Instant::now() };
        self.state.borrow_mut().crashes.push(crash);
        let (site, id) = (self.clone(), id.to_owned());
        let start = self.start_of(&id);
        tokio::task::spawn_local(async move {
            // Another request may have crashed the box at the same time, and then restarts it.
            let Some(serving) = site.box_tasks.borrow_mut().remove(&id) else { return };
            serving.abort();
            tokio::time::sleep(CRASH_DOWNTIME).await;
            let address =
                site.state.borrow().boxes.get(&id).map(|site_box| site_box.listen_address);
            let Some(address) = address else { return };
            // No other socket is bound to the address meanwhile.
            let listener = TcpListener::bind(address).await.expect("the box's address");
            // Another fault may have restarted the box meanwhile.
            if site.start_of(&id) == start {
                site.restart(&id, false);
            }
            site.serve_box(&id, listener);
        });
        std::future::pending().await
    }

    /// Returns the crashes of boxes by requests, oldest first.
    pub fn crashes(&self) -> Vec<Crash> {
        self.state.borrow().crashes.clone()
    }

    /// Sets how a box treats requests.
    pub fn set_mode(&self, id: &str, mode: BoxMode) {
        if let Some(site_box) = self.state.borrow_mut().boxes.get_mut(id) {
            site_box.mode = mode;
        }
    }

    /// Makes a box cold for a while.
    pub fn turn_cold(&self, id: &str, duration: Duration, report: ColdReport) {
        if let Some(site_box) = self.state.borrow_mut().boxes.get_mut(id) {
            site_box.cold = Some((Instant::now() + duration, report));
        }
        if report == ColdReport::Entry {
            self.write_own_entry(id);
        }
    }

    /// Evacuates an availability zone; the key's value may be anything.
    pub fn evacuate(&self, zone: &str, value: &[u8]) {
        self.store.put(&format!("op/evacuate/{zone}"), STANDARD.encode(value));
    }

    /// Ends the evacuation of an availability zone.
    pub fn end_evacuation(&self, zone: &str) {
        self.store.remove(&format!("op/evacuate/{zone}"));
    }

    /// Returns the leaders that were ordered to leave while they served.
    pub fn ended_leaders(&self) -> Vec<EndedLeader> {
        self.state.borrow().ended_leaders.clone()
    }

    /// Returns the boxes that aborted an unread answer, once for each such answer.
    pub fn unread_aborts(&self) -> Vec<String> {
        self.state.borrow().unread_aborts.clone()
    }

    /// Returns the boxes of an availability zone.
    pub fn boxes_in(&self, zone: &str) -> Vec<String> {
        let state = self.state.borrow();
        let boxes = state.boxes.iter().filter(|(_, site_box)| site_box.zone == zone);
        boxes.map(|(id, _)| id.clone()).collect()
    }

    /// Sets what a box tells daemons in its answers, until it restarts.
    pub fn set_wishes(&self, id: &str, wishes: BoxWishes) {
        if let Some(site_box) = self.state.borrow_mut().boxes.get_mut(id) {
            site_box.wishes = wishes;
        }
    }

    /// Returns the signals that boxes sent to daemons in their answers.
    pub fn signals(&self) -> Vec<SentSignal> {
        self.state.borrow().signals.clone()
    }

    /// Holds back all answers of boxes, as a congested link does, or lets them through again.
    pub fn hold_answers(&self, held: bool) {
        self.state.borrow_mut().holds_answers = held;
    }

    pub(super) async fn wait_while_held(&self) {
        while self.state.borrow().holds_answers {
            tokio::time::sleep(POLL_INTERVAL).await;
        }
    }

    /// Marks a box as draining in its entry while it keeps serving.
    pub fn drain(&self, id: &str) {
        if let Some(site_box) = self.state.borrow_mut().boxes.get_mut(id) {
            site_box.draining = true;
        }
        self.write_own_entry(id);
    }

    /// Returns the boxes that have an entry in the store.
    pub fn listed(&self) -> Vec<String> {
        let keys = self.store.keys(ENTRY_PREFIX).into_iter();
        keys.filter_map(|key| key.strip_prefix(ENTRY_PREFIX).map(str::to_owned)).collect()
    }

    /// Writes the entry of a box again in its current state.
    pub fn list(&self, id: &str) {
        self.write_own_entry(id);
    }

    /// Removes the entry of a box.
    pub fn unlist(&self, id: &str) {
        self.store.remove(&format!("servers/{id}"));
    }

    /// Returns the address in the entry of a box.
    pub fn address_of(&self, id: &str) -> Option<SocketAddr> {
        self.state.borrow().boxes.get(id).map(|site_box| site_box.address)
    }

    /// Sets the address in the entry of a box, such as that of a link in front of it.
    pub fn set_address(&self, id: &str, address: SocketAddr) {
        if let Some(site_box) = self.state.borrow_mut().boxes.get_mut(id) {
            site_box.address = address;
        }
        self.write_own_entry(id);
    }

    /// Has entries of boxes report when they started from now on.
    pub fn report_starts(&self) {
        self.state.borrow_mut().reports_starts = true;
        let ids: Vec<String> = self.state.borrow().boxes.keys().cloned().collect();
        ids.iter().for_each(|id| self.write_own_entry(id));
    }

    /// Restarts a box under its id without state, and writes its entry at once. With `repeat_last_join` the last join
    /// that it had taken is carried out late, in the new incarnation.
    pub fn restart(&self, id: &str, repeat_last_join: bool) {
        let mut state = self.state.borrow_mut();
        let Some(before) = state.boxes.remove(id) else { return };
        let mut new_box = SiteBoxState::new(before.address, before.service, before.zone);
        new_box.listen_address = before.listen_address;
        new_box.start_ms = before.start_ms + 1;
        (new_box.runs, new_box.request_headers) = (before.runs, before.request_headers);
        if let Some(group) = before.membership {
            state.restarted.insert((group.group.clone(), group.epoch));
            if repeat_last_join {
                new_box.staged = before.staged;
                new_box.highest_epoch = group.epoch;
                new_box.membership = Some(Membership { state: "ready", ..group });
            }
        }
        state.boxes.insert(id.to_owned(), new_box);
        drop(state);
        self.write_own_entry(id);
    }

    /// Overwrites the entry of a box with any bytes.
    pub fn write_entry(&self, id: &str, value: &[u8]) {
        self.store.write_value(&format!("servers/{id}"), value);
    }

    /// Restarts a box without state under another id at the same address. The old entry stays and no new one is
    /// written, as if the box were partitioned from the store.
    pub fn restart_as(&self, id: &str, new_id: &str) {
        let mut state = self.state.borrow_mut();
        let Some(old) = state.boxes.remove(id) else { return };
        let site_box = SiteBoxState::new(old.address, old.service, old.zone);
        state.boxes.insert(new_id.to_owned(), site_box);
        state.successors.insert(id.to_owned(), new_id.to_owned());
    }

    /// Returns the refused orders: box, operation and status.
    pub fn refused_orders(&self) -> Vec<(String, String, u16)> {
        self.state.borrow().refused_orders.clone()
    }

    /// Returns descriptions of violated rules of the platform.
    pub fn violations(&self) -> Vec<String> {
        self.state.borrow().violations.clone()
    }

    /// Returns every request that reached a box, run or not.
    pub fn arrivals(&self) -> Vec<Arrival> {
        self.state.borrow().arrivals.clone()
    }

    /// Returns the leaders that serve, with the members of their replicas.
    pub fn leaders(&self) -> BTreeMap<String, Vec<String>> {
        let state = self.state.borrow();
        let leads = |(id, site_box): (&String, &SiteBoxState)| {
            let group = site_box.membership.as_ref().filter(|group| group.state == "open")?;
            Some((id.clone(), group.members.clone()))
        };
        state.boxes.iter().filter_map(leads).collect()
    }

    /// Returns the number of replicas that serve with all their members.
    pub fn complete_replicas(&self) -> usize {
        self.leaders().keys().filter(|leader| self.is_complete(leader)).count()
    }

    /// Tells whether a box has a model staged on its host.
    pub fn has_staged(&self, id: &str) -> bool {
        self.state.borrow().boxes.get(id).is_some_and(|site_box| site_box.staged.is_some())
    }

    /// Returns the boxes that ran a request, and the last event that the caller had received before each run.
    pub fn runs_of(&self, request: &str) -> Vec<(String, Option<u64>)> {
        let state = self.state.borrow();
        let runs = state.boxes.iter().flat_map(|(id, site_box)| {
            let own = site_box.runs.iter().filter(|(ran, _)| ran == request);
            own.map(|(_, after)| (id.clone(), *after))
        });
        runs.collect()
    }

    /// Returns the headers of all requests that boxes ran.
    pub fn request_headers(&self) -> Vec<BTreeMap<String, String>> {
        let state = self.state.borrow();
        state.boxes.values().flat_map(|site_box| site_box.request_headers.clone()).collect()
    }

    /// Writes the entry of a box.
    pub(super) fn write_own_entry(&self, id: &str) {
        let state = self.state.borrow();
        let Some(site_box) = state.boxes.get(id) else { return };
        let group = site_box.membership.as_ref().map(|group| {
            let rank = group.members.iter().position(|member| member == id);
            json!({"name": group.group, "epoch": group.epoch, "rank": rank, "state": group.state})
        });
        let cold = site_box.cold.filter(|(_, report)| *report == ColdReport::Entry);
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
