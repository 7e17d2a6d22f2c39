//! Stands in for a whole site: its store, boxes with engines, and plain endpoints.

use std::cell::RefCell;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::pin::Pin;
use std::rc::Rc;
use std::time::{Duration, Instant};

use base64::Engine as _;
use base64::engine::general_purpose::STANDARD;
use bytes::Bytes;
use cherrystand_platform::serve_http;
use futures_util::stream;
use http_body_util::{BodyExt, Full, StreamBody};
use hyper::body::{Body, Frame, Incoming};
use hyper::{Method, Request, Response, StatusCode};
use serde_json::{Value, json};
use tokio::net::TcpListener;
use tokio::task::JoinHandle;

use crate::http::read_json;
use crate::site::box_wishes::{BoxWishes, Sheds, Told, Wish};
use crate::site::metadata_stand_in::{Door, MetadataStandIn};

type OutBody = Pin<Box<dyn Body<Data = Bytes, Error = std::io::Error>>>;

type Out = Response<OutBody>;

/// How many events a stream has.
pub const EVENTS: u64 = 40;

/// The time between two events.
const EVENT_EVERY: Duration = Duration::from_millis(20);

/// How often what is held up looks whether it may go on.
const LOOK_EVERY: Duration = Duration::from_millis(5);

/// When boxes started, in Unix milliseconds.
pub(crate) const FIRST_START: u64 = 1_790_000_000_000;

/// How long a box is away that a request ended.
const AWAY: Duration = Duration::from_millis(1_200);

/// With this the body of a request begins that ends the box that runs it; how many events of it the box
/// makes before follows, or nothing where it ends before its answer.
pub const CRASHES: &str = "crashes after ";

/// How long a join takes.
const JOIN: Duration = Duration::from_millis(30);

/// What a box does with requests.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum BoxMood {
    /// It serves.
    #[default]
    Well,
    /// It says and does nothing, as without power.
    Dark,
    /// It refuses every request without running it.
    Sheds,
    /// It runs every request and cuts the connection instead of an answer.
    LosesAnswers,
    /// It fails every request.
    Fails,
    /// It answers questions and orders, and makes no event of any stream for now.
    Pauses,
}

#[derive(Clone, Debug)]
struct Held {
    group: String,
    epoch: u64,
    members: Vec<String>,
    state: &'static str,
}

struct SiteBoxState {
    /// Where it says that it is reached.
    address: SocketAddr,
    /// Where it listens.
    listens: SocketAddr,
    service: &'static str,
    mood: BoxMood,
    wishes: BoxWishes,
    /// How many requests came that it could turn away.
    asked: usize,
    /// Held by each request that it works on.
    working: Rc<()>,
    /// When it started, in Unix milliseconds.
    start: u64,
    staged: Option<String>,
    held: Option<Held>,
    highest: u64,
    /// The highest fence seen.
    fence: u64,
    /// Requests run, by id, and the event each began after.
    runs: Vec<(String, Option<u64>)>,
    /// Tenants and headers that reached it.
    heads: Vec<BTreeMap<String, String>>,
}

impl SiteBoxState {
    /// A box as it starts, which holds and knows nothing.
    fn new(address: SocketAddr, service: &'static str) -> Self {
        Self {
            address,
            listens: address,
            service,
            mood: BoxMood::Well,
            wishes: BoxWishes::default(),
            asked: 0,
            working: Rc::default(),
            start: FIRST_START,
            staged: None,
            held: None,
            highest: 0,
            fence: 0,
            runs: Vec::new(),
            heads: Vec::new(),
        }
    }
}

#[derive(Default)]
struct World {
    boxes: BTreeMap<String, SiteBoxState>,
    doors: BTreeMap<usize, Door>,
    /// Whether nothing that boxes say arrives for now.
    held: bool,
    /// Whether boxes tell when they started.
    tells_starts: bool,
    /// Replicas of which a member started again: nothing moves in them.
    torn: BTreeSet<(String, u64)>,
    /// Which members have ever been ready, by replica and epoch.
    ready: BTreeSet<(String, u64, String)>,
    /// What must never happen and did.
    faults: Vec<String>,
    /// Every request that reached a box, run or not.
    arrivals: Vec<Arrival>,
    /// What boxes asked of daemons in their answers.
    told: Vec<Told>,
    /// Boxes that have the address of an earlier one, by the id of that one.
    successors: BTreeMap<String, String>,
    /// Orders that were refused: the box, the operation and the status.
    refused: Vec<(String, String, u16)>,
    /// Boxes that ended by a request, in their order.
    crashes: Vec<Crash>,
}

/// A box that a request ended.
#[derive(Clone, Debug)]
pub struct Crash {
    /// The body of the request.
    pub body: String,
    /// The box.
    pub target: String,
    /// When it ended.
    pub at: Instant,
}

/// A request that reached a box.
#[derive(Clone, Debug)]
pub struct Arrival {
    /// The request's id.
    pub request: String,
    /// Its body, once that came whole.
    pub body: String,
    /// The box.
    pub target: String,
    /// When the life of the box began that it reached, in Unix milliseconds; nothing where another box
    /// was meant.
    pub life: Option<u64>,
    /// When it came.
    pub at: Instant,
}

/// A site on loopback addresses; it runs on the test's own thread.
#[derive(Clone)]
pub struct SiteStandIn {
    /// The store.
    pub store: MetadataStandIn,
    world: Rc<RefCell<World>>,
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
        let listener = TcpListener::bind(("127.0.0.1", 0)).await?;
        let state = SiteBoxState::new(listener.local_addr()?, service);
        self.world.borrow_mut().boxes.insert(id.to_owned(), state);
        self.tell(id);
        self.serve_box(id, listener);
        Ok(())
    }

    fn serve_box(&self, id: &str, listener: TcpListener) {
        let (site, own) = (self.clone(), id.to_owned());
        let serving = serve(listener, move |req| {
            let (site, id) = (site.clone(), own.clone());
            async move { site.answer(&id, req).await }
        });
        self.box_tasks.borrow_mut().insert(id.to_owned(), serving);
    }

    /// Ends a box by a request: its connections close, new ones are refused, and it says nothing until
    /// it starts again under its id.
    async fn crash<T>(&self, id: &str, body: &str) -> T {
        let crash = Crash { body: body.to_owned(), target: id.to_owned(), at: Instant::now() };
        self.world.borrow_mut().crashes.push(crash);
        let (site, id) = (self.clone(), id.to_owned());
        let start = self.start_of(&id);
        tokio::task::spawn_local(async move {
            if let Some(serving) = site.box_tasks.borrow_mut().remove(&id) {
                serving.abort();
            }
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

    async fn held_up(&self) {
        while self.world.borrow().held {
            tokio::time::sleep(LOOK_EVERY).await;
        }
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
        let mut fresh = SiteBoxState::new(before.address, before.service);
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
        let state = SiteBoxState::new(old.address, old.service);
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
    fn tell(&self, id: &str) {
        let world = self.world.borrow();
        let Some(held) = world.boxes.get(id) else { return };
        let group = held.held.as_ref().map(|group| {
            let rank = group.members.iter().position(|member| member == id);
            json!({"name": group.group, "epoch": group.epoch, "rank": rank, "state": group.state})
        });
        let loaded = held.held.is_some().then(|| held.staged.clone()).flatten();
        let mut entry = json!({
            "service": held.service, "address": held.address.to_string(), "zone": "z1",
            "version": "v1", "slots": 8, "state": "ready", "cold_left_ms": 0, "seq_no": 0,
            "domain": (held.service == "models").then_some("z1-d0"),
            "staged": held.staged.iter().collect::<Vec<_>>(), "group": group,
            "models": loaded.iter().map(|name| json!({"name": name})).collect::<Vec<_>>(),
        });
        if world.tells_starts {
            entry["born"] = json!(held.start);
        }
        drop(world);
        self.store.put(&format!("servers/{id}"), STANDARD.encode(entry.to_string()));
    }

    fn mood(&self, id: &str) -> BoxMood {
        self.world.borrow().boxes.get(id).map(|held| held.mood).unwrap_or(BoxMood::Dark)
    }

    async fn answer(&self, id: &str, req: Request<Incoming>) -> Out {
        let successor = self.world.borrow().successors.get(id).cloned();
        let id = successor.as_deref().unwrap_or(id);
        if self.mood(id) == BoxMood::Dark {
            std::future::pending::<()>().await;
        }
        self.held_up().await;
        let request = req.headers().get("cherrystand-request-id").cloned();
        let mut answer = self.answer_well(id, req).await;
        if self.leaves(id) {
            set(&mut answer, "server-leaving", "1");
            if let Some(request) = request.as_ref().and_then(|request| request.to_str().ok()) {
                self.note_told(id, request, Wish::Leaves);
            }
        }
        answer
    }

    async fn answer_well(&self, id: &str, req: Request<Incoming>) -> Out {
        match (req.method(), req.uri().path()) {
            (_, "/report" | "/order") if !is_meant(&req, id) => {
                plain(StatusCode::MISDIRECTED_REQUEST, "")
            }
            (&Method::GET, "/report") => plain(StatusCode::OK, "{}"),
            (&Method::POST, "/order") => match read_json::<Value>(req).await {
                Some(order) => self.order(id, &order),
                None => plain(StatusCode::BAD_REQUEST, ""),
            },
            _ => self.run(id, req).await,
        }
    }

    fn order(&self, id: &str, order: &Value) -> Out {
        let status = self.follow(id, order);
        match status {
            StatusCode::ACCEPTED => self.tell(id),
            StatusCode::OK => {}
            _ => {
                let operation = order["operation"].as_str().unwrap_or_default().to_owned();
                let refused = (id.to_owned(), operation, status.as_u16());
                self.world.borrow_mut().refused.push(refused);
            }
        }
        plain(status, "")
    }

    fn follow(&self, id: &str, order: &Value) -> StatusCode {
        let name = order["group"].as_str().unwrap_or_default().to_owned();
        let epoch = order["epoch"].as_u64().unwrap_or_default();
        if order["operation"] == "join" {
            self.note_join(id, &name, epoch);
        }
        let mut world = self.world.borrow_mut();
        let Some(held) = world.boxes.get_mut(id) else {
            return StatusCode::NOT_FOUND;
        };
        let fence = order["fence_token"].as_u64().unwrap_or_default();
        if fence < held.fence {
            return StatusCode::PRECONDITION_FAILED;
        }
        held.fence = fence;
        let model = order["model"].as_str().map(str::to_owned);
        let in_group =
            held.held.as_ref().is_some_and(|held| held.group == name && held.epoch == epoch);
        match order["operation"].as_str().unwrap_or_default() {
            "stage" => held.staged = model,
            "join" if epoch < held.highest => return StatusCode::PRECONDITION_FAILED,
            "join" if in_group => return StatusCode::OK,
            "join" => {
                let members = order["members"].as_array().cloned().unwrap_or_default();
                if !members.iter().any(|member| member == id) {
                    return StatusCode::BAD_REQUEST;
                }
                let members = members.iter().filter_map(|id| id.as_str().map(str::to_owned));
                held.staged = model;
                held.highest = epoch;
                let members = members.collect();
                held.held = Some(Held { group: name, epoch, members, state: "joining" });
                let (site, id) = (self.clone(), id.to_owned());
                tokio::task::spawn_local(async move { site.get_ready(&id, epoch).await });
            }
            _ if !in_group => return StatusCode::CONFLICT,
            "leave" => held.held = None,
            "open" | "close" => {
                let opens = order["operation"] == "open";
                if let Some(group) = held.held.as_mut() {
                    group.state = if opens { "open" } else { "ready" };
                }
            }
            _ => return StatusCode::BAD_REQUEST,
        }
        StatusCode::ACCEPTED
    }

    /// Notes a join that a box would take out of a replica whose leader serves.
    fn note_join(&self, id: &str, name: &str, epoch: u64) {
        let mut world = self.world.borrow_mut();
        let Some(held) = world.boxes.get(id) else { return };
        let Some(last) = held.held.as_ref().filter(|_| epoch >= held.highest) else { return };
        let leader = last.members.first().and_then(|leader| world.boxes.get(leader));
        let leads = leader.and_then(|leader| leader.held.as_ref()).is_some_and(|group| {
            group.group == last.group && group.epoch == last.epoch && group.state == "open"
        });
        let another = last.group != name || last.epoch != epoch;
        let answers = leader.is_some_and(|leader| leader.mood != BoxMood::Dark);
        if leads && another && answers {
            let fault = format!("{id} joined {name} {epoch} out of {} {}", last.group, last.epoch);
            world.faults.push(fault);
        }
    }

    /// Notes a request that a leader runs though some member of its replica was never ready.
    fn note_run(&self, leader: &str) {
        let mut world = self.world.borrow_mut();
        let Some(group) = world.boxes.get(leader).and_then(|held| held.held.clone()) else {
            return;
        };
        let was_ready =
            |id: &String| world.ready.contains(&(group.group.clone(), group.epoch, id.clone()));
        if let Some(id) = group.members.iter().find(|id| !was_ready(id)) {
            let fault =
                format!("{leader} ran a request, and {id} was never ready in {}", group.group);
            world.faults.push(fault);
        }
    }

    async fn get_ready(&self, id: &str, epoch: u64) {
        tokio::time::sleep(JOIN).await;
        let mut world = self.world.borrow_mut();
        if let Some(held) = world.boxes.get_mut(id)
            && let Some(group) = held.held.as_mut().filter(|group| group.epoch == epoch)
        {
            group.state = "ready";
            let place = (group.group.clone(), epoch, id.to_owned());
            world.ready.insert(place);
        }
        drop(world);
        self.tell(id);
    }

    /// Tells whether the replica that a box leads has all its members.
    fn is_whole(&self, leader: &str) -> bool {
        let world = self.world.borrow();
        let Some(group) = world.boxes.get(leader).and_then(|held| held.held.clone()) else {
            return false;
        };
        if world.torn.contains(&(group.group.clone(), group.epoch)) {
            return false;
        }
        group.members.iter().all(|id| {
            let member = world.boxes.get(id).filter(|held| held.mood != BoxMood::Dark);
            let held = member.and_then(|held| held.held.as_ref());
            held.is_some_and(|held| held.group == group.group && held.epoch == group.epoch)
        })
    }

    async fn run(&self, id: &str, req: Request<Incoming>) -> Out {
        let head: BTreeMap<String, String> = req
            .headers()
            .iter()
            .map(|(name, value)| {
                (name.to_string(), String::from_utf8_lossy(value.as_bytes()).into_owned())
            })
            .collect();
        let request = head.get("cherrystand-request-id").cloned().unwrap_or_default();
        let meant = head.get("cherrystand-expect-instance").is_some_and(|meant| meant == id);
        let last: Option<u64> = head.get("last-event-id").and_then(|id| id.parse().ok());
        let (service, leads) = {
            let world = self.world.borrow();
            let held = &world.boxes[id];
            let open = held.held.as_ref().is_some_and(|group| group.state == "open");
            (held.service, open)
        };
        let arrival = Arrival {
            request: request.clone(),
            body: String::new(),
            target: id.to_owned(),
            life: self.start_of(id).filter(|_| meant),
            at: Instant::now(),
        };
        self.world.borrow_mut().arrivals.push(arrival);
        let arrival = self.world.borrow().arrivals.len() - 1;
        if !meant || (service == "models" && !leads) {
            return plain(StatusCode::MISDIRECTED_REQUEST, "");
        }
        // A caller whose body does not come whole has left.
        let body = req.into_body().collect().await.map(|body| body.to_bytes()).unwrap_or_default();
        let body = String::from_utf8_lossy(&body).into_owned();
        self.world.borrow_mut().arrivals[arrival].body.clone_from(&body);
        if self.turns_away(id, &request) {
            return self.refusal(id, &request);
        }
        if service == "models" {
            self.note_run(id);
        }
        if let Some(held) = self.world.borrow_mut().boxes.get_mut(id) {
            held.runs.push((request.clone(), last));
            held.heads.push(head);
        }
        let crash_after = body.strip_prefix(CRASHES).map(|events| events.parse::<u64>().ok());
        if crash_after == Some(None) {
            return self.crash(id, &body).await;
        }
        while self.mood(id) == BoxMood::Pauses {
            tokio::time::sleep(EVENT_EVERY).await;
        }
        let mut answer = match self.mood(id) {
            BoxMood::LosesAnswers => broken(),
            BoxMood::Fails => plain(StatusCode::INTERNAL_SERVER_ERROR, "failed"),
            _ if service == "models" => {
                let first = last.map_or(0, |id| id + 1);
                let ends = crash_after.flatten().map(|events| (first + events, body));
                self.stream(id, &request, first, ends)
            }
            _ => plain(StatusCode::OK, &format!("answer to {request}")),
        };
        set(&mut answer, "cherrystand-request-id", &request);
        set(&mut answer, "cherrystand-response-seal", &format!("seal.{id}"));
        answer
    }

    /// Tells whether a box turns a request away.
    fn turns_away(&self, id: &str, request: &str) -> bool {
        let mut world = self.world.borrow_mut();
        let Some(held) = world.boxes.get_mut(id) else { return false };
        held.asked += 1;
        let sheds = match held.wishes.sheds {
            Sheds::None => false,
            Sheds::All => true,
            Sheds::EverySecond => held.asked.is_multiple_of(2),
            Sheds::Beyond(most) => Rc::strong_count(&held.working) > most,
            Sheds::From(daemon) => request.starts_with(daemon),
        };
        sheds || held.mood == BoxMood::Sheds
    }

    /// Makes a box's answer to a request that it turns away.
    fn refusal(&self, id: &str, request: &str) -> Out {
        let rest = self.world.borrow().boxes.get(id).and_then(|held| held.wishes.rest);
        let mut answer = plain(StatusCode::SERVICE_UNAVAILABLE, "");
        set(&mut answer, "cherrystand-not-executed", "1");
        set(&mut answer, "cherrystand-request-id", request);
        if let Some(rest) = rest {
            set(&mut answer, "retry-after", rest);
            let secs = rest.parse().ok().and_then(|secs| Duration::try_from_secs_f64(secs).ok());
            if let Some(rest) = secs {
                self.note_told(id, request, Wish::Rest(rest));
            }
        }
        answer
    }

    fn note_told(&self, id: &str, request: &str, wish: Wish) {
        let Some(life) = self.start_of(id) else { return };
        let (request, target) = (request.to_owned(), id.to_owned());
        let told = Told { request, target, life, at: Instant::now(), wish };
        self.world.borrow_mut().told.push(told);
    }

    fn leaves(&self, id: &str) -> bool {
        self.world.borrow().boxes.get(id).is_some_and(|held| held.wishes.leaves)
    }

    fn start_of(&self, id: &str) -> Option<u64> {
        self.world.borrow().boxes.get(id).map(|held| held.start)
    }

    /// Makes a stream from an event on; `ends` is where its body ends the box.
    fn stream(&self, id: &str, request: &str, first: u64, ends: Option<(u64, String)>) -> Out {
        let (site, id, request) = (self.clone(), id.to_owned(), request.to_owned());
        let start = self.start_of(&id);
        let working = self.world.borrow().boxes.get(&id).map(|held| held.working.clone());
        let events = stream::unfold(first, move |number| {
            // It is worked on until its last event.
            let _working = &working;
            let (site, id, request) = (site.clone(), id.clone(), request.clone());
            let ends = ends.clone();
            async move {
                if let Some((_, body)) = ends.filter(|(event, _)| number >= *event) {
                    return site.crash(&id, &body).await;
                }
                if number >= EVENTS {
                    return None;
                }
                tokio::time::sleep(EVENT_EVERY).await;
                site.held_up().await;
                while site.start_of(&id) == start && !site.is_whole(&id)
                    || site.mood(&id) == BoxMood::Pauses
                {
                    tokio::time::sleep(EVENT_EVERY).await;
                }
                if site.start_of(&id) != start {
                    // Its connections ended with its life.
                    return Some((Err(std::io::ErrorKind::ConnectionReset.into()), EVENTS));
                }
                let event = Bytes::from(format!("id: {number}\ndata: {request} {number}\n\n"));
                Some((Ok::<_, std::io::Error>(Frame::data(event)), number + 1))
            }
        });
        let mut answer = Response::new(Box::pin(StreamBody::new(events)) as OutBody);
        set(&mut answer, "content-type", "text/event-stream");
        answer
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

fn whole(body: Full<Bytes>) -> OutBody {
    Box::pin(body.map_err(|never| match never {}))
}

fn plain(status: StatusCode, text: &str) -> Out {
    let mut answer = Response::new(whole(Full::new(Bytes::from(text.to_owned()))));
    *answer.status_mut() = status;
    answer
}

/// Makes an answer whose body breaks off at once.
fn broken() -> Out {
    let failed = stream::once(async { Err(std::io::ErrorKind::ConnectionReset.into()) });
    Response::new(Box::pin(StreamBody::new(failed)))
}

/// Tells whether a call names this box, or none.
fn is_meant(req: &Request<Incoming>, id: &str) -> bool {
    req.headers().get("cherrystand-expect-instance").is_none_or(|meant| meant == id)
}

fn set(answer: &mut Out, name: &'static str, value: &str) {
    if let Ok(value) = value.parse() {
        answer.headers_mut().insert(name, value);
    }
}
