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

use crate::site::box_answers::{Out, whole};
use crate::site::box_wishes::{BoxWishes, Told};
use crate::site::metadata_stand_in::{Door, MetadataStandIn};
use crate::site::site_box::{Arrival, BoxMood, ColdTold, Crash, Held, SiteBoxState, World};

/// How often what is held up looks whether it may go on.
const LOOK_EVERY: Duration = Duration::from_millis(5);

/// The availability zone of boxes that are added without one.
const FIRST_ZONE: &str = "z1";

/// The prefix of the keys under which boxes tell of themselves.
const ENTRIES: &str = "servers/";

/// How long a box is away that a request ended.
const AWAY: Duration = Duration::from_millis(1_200);

/// A site on loopback addresses; it runs on the test's own thread.
#[derive(Clone)]
pub struct SiteStandIn {
    /// The store.
    pub store: MetadataStandIn,
    pub(super) world: Rc<RefCell<World>>,
    tasks: Rc<RefCell<Vec<JoinHandle<()>>>>,
    /// What serves each box; the connections to it end with it.
    box_tasks: Rc<RefCell<BTreeMap<String, JoinHandle<()>>>>,
}

impl SiteStandIn {
    /// Creates a site with nothing in it.
    pub fn new() -> Self {
        Self {
            store: MetadataStandIn::default(),
            world: Rc::default(),
            tasks: Rc::default(),
            box_tasks: Rc::default(),
        }
    }

    /// Opens a door to the store and returns its address.
    ///
    /// # Errors
    ///
    /// Returns an error where no address can be listened at.
    pub async fn open_door(&self) -> std::io::Result<SocketAddr> {
        let listener = TcpListener::bind(("127.0.0.1", 0)).await?;
        let address = listener.local_addr()?;
        let number = self.world.borrow().doors.len();
        self.world.borrow_mut().doors.insert(number, Door::Open);
        let site = self.clone();
        let serving = serve(listener, move |req| {
            let door = site.world.borrow().doors.get(&number).copied().unwrap_or_default();
            let store = site.store.clone();
            async move { store.handle(door, req).await.map(whole) }
        });
        self.tasks.borrow_mut().push(serving);
        Ok(address)
    }

    /// Says how a door behaves from now on.
    pub fn set_door(&self, number: usize, door: Door) {
        self.world.borrow_mut().doors.insert(number, door);
    }

    /// Puts a configuration in force.
    pub fn configure(&self, config: &Value) {
        self.store.put("op/config", STANDARD.encode(config.to_string()));
    }

    /// Puts a configuration in force right after somebody found that there is none.
    pub fn configure_once_missed(&self, config: &Value) {
        self.store.put_once_missed("op/config", STANDARD.encode(config.to_string()));
    }

    /// Adds a box, or a plain endpoint, of a service and lists it.
    ///
    /// # Errors
    ///
    /// Returns an error where no address can be listened at.
    pub async fn add_box(&self, id: &str, service: &'static str) -> std::io::Result<()> {
        self.add_box_in(FIRST_ZONE, id, service).await
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
        let state = SiteBoxState::new(listener.local_addr()?, service, zone);
        self.world.borrow_mut().boxes.insert(id.to_owned(), state);
        self.tell(id);
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
        self.world.borrow_mut().crashes.push(crash);
        let (site, id) = (self.clone(), id.to_owned());
        let start = self.start_of(&id);
        tokio::task::spawn_local(async move {
            // Another request may have ended it in the same moment, and has it come back.
            let Some(serving) = site.box_tasks.borrow_mut().remove(&id) else { return };
            serving.abort();
            tokio::time::sleep(AWAY).await;
            let listens = site.world.borrow().boxes.get(&id).map(|held| held.listens);
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
        self.world.borrow().crashes.clone()
    }

    /// Changes what a box does.
    pub fn set_mood(&self, id: &str, mood: BoxMood) {
        if let Some(held) = self.world.borrow_mut().boxes.get_mut(id) {
            held.mood = mood;
        }
    }

    /// Has a box be cold for a while.
    pub fn turn_cold(&self, id: &str, lasts: Duration, told: ColdTold) {
        if let Some(held) = self.world.borrow_mut().boxes.get_mut(id) {
            held.cold = Some((Instant::now() + lasts, told));
        }
        if told == ColdTold::Entry {
            self.tell(id);
        }
    }

    /// Empties an availability zone; the value may be anything.
    pub fn evacuate(&self, zone: &str, value: &[u8]) {
        self.store.put(&format!("op/evacuate/{zone}"), STANDARD.encode(value));
    }

    /// Takes an availability zone back.
    pub fn take_back(&self, zone: &str) {
        self.store.remove(&format!("op/evacuate/{zone}"));
    }

    /// Returns the boxes that broke off an answer which nobody read, each as often as it did.
    pub fn cuts_unread(&self) -> Vec<String> {
        self.world.borrow().cuts_unread.clone()
    }

    /// Returns the boxes of an availability zone.
    pub fn boxes_in(&self, zone: &str) -> Vec<String> {
        let world = self.world.borrow();
        let boxes = world.boxes.iter().filter(|(_, held)| held.zone == zone);
        boxes.map(|(id, _)| id.clone()).collect()
    }

    /// Changes what a box asks of daemons, for as long as its life lasts.
    pub fn set_wishes(&self, id: &str, wishes: BoxWishes) {
        if let Some(held) = self.world.borrow_mut().boxes.get_mut(id) {
            held.wishes = wishes;
        }
    }

    /// Returns what boxes asked of daemons in their answers.
    pub fn told(&self) -> Vec<Told> {
        self.world.borrow().told.clone()
    }

    /// Holds up all that boxes say, as a link does that is full, or lets it through again.
    pub fn hold(&self, held: bool) {
        self.world.borrow_mut().held = held;
    }

    pub(super) async fn held_up(&self) {
        while self.world.borrow().held {
            tokio::time::sleep(LOOK_EVERY).await;
        }
    }

    /// Has a box's entry say that it leaves, while it serves on.
    pub fn drain(&self, id: &str) {
        if let Some(held) = self.world.borrow_mut().boxes.get_mut(id) {
            held.drains = true;
        }
        self.tell(id);
    }

    /// Returns the boxes that are listed.
    pub fn listed(&self) -> Vec<String> {
        let keys = self.store.keys(ENTRIES).into_iter();
        keys.filter_map(|key| key.strip_prefix(ENTRIES).map(str::to_owned)).collect()
    }

    /// Lists a box again as it is.
    pub fn list(&self, id: &str) {
        self.tell(id);
    }

    /// Takes a box out of the list.
    pub fn unlist(&self, id: &str) {
        self.store.remove(&format!("servers/{id}"));
    }

    /// Returns where a box is reached.
    pub fn address_of(&self, id: &str) -> Option<SocketAddr> {
        self.world.borrow().boxes.get(id).map(|held| held.address)
    }

    /// Has a box tell another address from now on, as one that stands behind a link.
    pub fn set_address(&self, id: &str, address: SocketAddr) {
        if let Some(held) = self.world.borrow_mut().boxes.get_mut(id) {
            held.address = address;
        }
        self.tell(id);
    }

    /// Has boxes tell when they started from now on.
    pub fn tell_starts(&self) {
        self.world.borrow_mut().tells_starts = true;
        let ids: Vec<String> = self.world.borrow().boxes.keys().cloned().collect();
        ids.iter().for_each(|id| self.tell(id));
    }

    /// Has a box start again under its id, empty, and tell so at once; the last join that it took may
    /// be carried out late, in its new life.
    pub fn restart(&self, id: &str, last_join_again: bool) {
        let mut world = self.world.borrow_mut();
        let Some(before) = world.boxes.remove(id) else { return };
        let mut fresh = SiteBoxState::new(before.address, before.service, before.zone);
        fresh.listens = before.listens;
        fresh.start = before.start + 1;
        (fresh.runs, fresh.heads) = (before.runs, before.heads);
        if let Some(group) = before.held {
            world.torn.insert((group.group.clone(), group.epoch));
            if last_join_again {
                fresh.staged = before.staged;
                fresh.highest = group.epoch;
                fresh.held = Some(Held { state: "ready", ..group });
            }
        }
        world.boxes.insert(id.to_owned(), fresh);
        drop(world);
        self.tell(id);
    }

    /// Writes any bytes where a box tells of itself.
    pub fn write_entry(&self, id: &str, value: &[u8]) {
        self.store.put(&format!("servers/{id}"), STANDARD.encode(value));
    }

    /// Has a box start again under another id, at its address and empty; its old entry stays and the
    /// new one is not listed, as behind a cut from the store.
    pub fn start_again_as(&self, id: &str, new_id: &str) {
        let mut world = self.world.borrow_mut();
        let Some(old) = world.boxes.remove(id) else { return };
        let state = SiteBoxState::new(old.address, old.service, old.zone);
        world.boxes.insert(new_id.to_owned(), state);
        world.successors.insert(id.to_owned(), new_id.to_owned());
    }

    /// Returns the orders that were refused: the box, the operation and the status.
    pub fn refused_orders(&self) -> Vec<(String, String, u16)> {
        self.world.borrow().refused.clone()
    }

    /// Returns what must never happen and did.
    pub fn faults(&self) -> Vec<String> {
        self.world.borrow().faults.clone()
    }

    /// Returns every request that reached a box.
    pub fn arrivals(&self) -> Vec<Arrival> {
        self.world.borrow().arrivals.clone()
    }

    /// Returns the leaders that serve and the members of each.
    pub fn leaders(&self) -> BTreeMap<String, Vec<String>> {
        let world = self.world.borrow();
        let leads = |(id, held): (&String, &SiteBoxState)| {
            let group = held.held.as_ref().filter(|group| group.state == "open")?;
            Some((id.clone(), group.members.clone()))
        };
        world.boxes.iter().filter_map(leads).collect()
    }

    /// Returns how many replicas serve with all their members.
    pub fn whole_replicas(&self) -> usize {
        self.leaders().keys().filter(|leader| self.is_whole(leader)).count()
    }

    /// Tells whether a box holds a model on its host.
    pub fn staged(&self, id: &str) -> bool {
        self.world.borrow().boxes.get(id).is_some_and(|held| held.staged.is_some())
    }

    /// Returns who ran a request, and after which event each run began.
    pub fn runs_of(&self, request: &str) -> Vec<(String, Option<u64>)> {
        let world = self.world.borrow();
        let runs = world.boxes.iter().flat_map(|(id, held)| {
            let own = held.runs.iter().filter(|(ran, _)| ran == request);
            own.map(|(_, after)| (id.clone(), *after))
        });
        runs.collect()
    }

    /// Returns the heads of requests that reached any box.
    pub fn heads(&self) -> Vec<BTreeMap<String, String>> {
        let world = self.world.borrow();
        world.boxes.values().flat_map(|held| held.heads.clone()).collect()
    }

    /// Writes what a box tells of itself.
    pub(super) fn tell(&self, id: &str) {
        let world = self.world.borrow();
        let Some(held) = world.boxes.get(id) else { return };
        let group = held.held.as_ref().map(|group| {
            let rank = group.members.iter().position(|member| member == id);
            json!({"name": group.group, "epoch": group.epoch, "rank": rank, "state": group.state})
        });
        let cold = held.cold.filter(|(_, told)| *told == ColdTold::Entry);
        let cold_left = cold.map(|(until, _)| until.saturating_duration_since(Instant::now()));
        let cold_left = cold_left.unwrap_or_default().as_millis() as u64;
        let state = if held.drains { "draining" } else { "ready" };
        let loaded = held.held.is_some().then(|| held.staged.clone()).flatten();
        let mut entry = json!({
            "service": held.service, "address": held.address.to_string(), "zone": held.zone,
            "version": "v1", "slots": 8, "state": state, "cold_left_ms": cold_left, "seq_no": 0,
            "domain": (held.service == "models").then(|| format!("{}-d0", held.zone)),
            "staged": held.staged.iter().collect::<Vec<_>>(), "group": group,
            "models": loaded.iter().map(|name| json!({"name": name})).collect::<Vec<_>>(),
        });
        if world.tells_starts {
            entry["born"] = json!(held.start);
        }
        drop(world);
        self.store.put(&format!("servers/{id}"), STANDARD.encode(entry.to_string()));
    }

    pub(super) fn mood(&self, id: &str) -> BoxMood {
        self.world.borrow().boxes.get(id).map(|held| held.mood).unwrap_or(BoxMood::Dark)
    }
}

fn serve<H, F>(listener: TcpListener, handle: H) -> JoinHandle<()>
where
    H: Fn(Request<Incoming>) -> F + 'static,
    F: Future<Output = Out> + 'static,
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
