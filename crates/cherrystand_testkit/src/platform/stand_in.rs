//! A stand-in for the platform: key-value service, inventory of boxes and weight store at one
//! address.

use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;

use cherrystand_core::BoxId;
use cherrystand_platform::{Inventory, Swap, WireLease, WireRecords, WireRevision};
use hyper::body::Incoming;
use hyper::{Method, Request, Response, StatusCode};
use serde::{Deserialize, Serialize};
use tokio::sync::{Notify, Semaphore};

use crate::http::{FullBody, empty, json, query, query_number, read_body, read_json};
use crate::platform::store::{RateLimiter, Store};

/// The rate limit of reads per second.
const READS_PER_SECOND: f64 = 2_000.0;

/// The rate limit of writes per second.
const WRITES_PER_SECOND: f64 = 300.0;

/// The maximum number of weight loads that run at the same time.
const MAX_CONCURRENT_LOADS: usize = 8;

/// Faults of the platform, set by `/control/set`; those left out stay unchanged.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PlatformKnobs {
    /// Whether all calls remain without an answer.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub down: Option<bool>,
    /// The delay of every answer, in milliseconds.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub slow_ms: Option<u64>,
    /// The number of next writes that take effect but are not answered.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub lose_answers: Option<u32>,
    /// How long one weight load takes, in milliseconds.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub load_ms: Option<u64>,
    /// Boxes to mark as leaving in the inventory.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub leave: Vec<BoxId>,
    /// Boxes to remove from the inventory.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub unlist: Vec<BoxId>,
}

/// Counts the calls to the key-value service and the inventory.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct CallCounts {
    /// Reads; a long-polling watch counts as one.
    pub reads: u64,
    /// Watches among the reads.
    pub watches: u64,
    /// Writes, including calls that acquire or renew a lease.
    pub writes: u64,
    /// Lease calls among the writes.
    pub leases: u64,
    /// Calls refused by a rate limit; they count as reads or writes too.
    pub refused: u64,
}

struct State {
    store: Store,
    inventory: Inventory,
    knobs: PlatformKnobs,
    counts: CallCounts,
    read_limiter: RateLimiter,
    write_limiter: RateLimiter,
}

/// Stands in for the platform.
#[derive(Clone)]
pub struct PlatformStandIn {
    state: Rc<RefCell<State>>,
    change_notify: Rc<Notify>,
    load_slots: Rc<Semaphore>,
}

impl PlatformStandIn {
    /// Creates a platform with an inventory of boxes and daemons.
    pub fn new(inventory: Inventory) -> Self {
        let state = State {
            store: Store::default(),
            inventory,
            knobs: PlatformKnobs::default(),
            counts: CallCounts::default(),
            read_limiter: RateLimiter::new(READS_PER_SECOND),
            write_limiter: RateLimiter::new(WRITES_PER_SECOND),
        };
        Self {
            state: Rc::new(RefCell::new(state)),
            change_notify: Rc::new(Notify::new()),
            load_slots: Rc::new(Semaphore::new(MAX_CONCURRENT_LOADS)),
        }
    }

    /// Answers one HTTP request.
    pub async fn handle(self, req: Request<Incoming>) -> Response<FullBody> {
        let path = req.uri().path().to_owned();
        match path.as_str() {
            "/control/set" => return self.set(req).await,
            "/control/counts" => return json(StatusCode::OK, &self.state.borrow().counts),
            _ => {}
        }
        self.apply_faults().await;
        let answer = self.answer(&path, req).await;
        if self.state.borrow().knobs.down == Some(true) {
            // The platform went down while the call was in progress.
            std::future::pending::<()>().await;
        }
        answer
    }

    async fn answer(&self, path: &str, req: Request<Incoming>) -> Response<FullBody> {
        if let Some(name) = path.strip_prefix("/v1/weights/") {
            return self.load_weights(name).await;
        }
        if !self.count_call(&req) {
            return empty(StatusCode::TOO_MANY_REQUESTS);
        }
        if let Some(key) = path.strip_prefix("/v1/kv/") {
            return match *req.method() {
                Method::GET => self.get(key),
                Method::PUT => self.swap(key, req).await,
                _ => empty(StatusCode::METHOD_NOT_ALLOWED),
            };
        }
        if let Some(prefix) = path.strip_prefix("/v1/list/") {
            return self.changes_since(prefix, 0);
        }
        if let Some(prefix) = path.strip_prefix("/v1/watch/") {
            return self.watch(prefix, &req).await;
        }
        if let Some(name) = path.strip_prefix("/v1/lease/") {
            return self.lease(name, &req);
        }
        if path == "/v1/boxes" {
            return json(StatusCode::OK, &self.state.borrow().inventory);
        }
        empty(StatusCode::NOT_FOUND)
    }

    async fn apply_faults(&self) {
        let (down, slow) = {
            let knobs = &self.state.borrow().knobs;
            (knobs.down == Some(true), knobs.slow_ms.unwrap_or(0))
        };
        if down {
            std::future::pending::<()>().await;
        }
        if slow > 0 {
            tokio::time::sleep(Duration::from_millis(slow)).await;
        }
    }

    fn count_call(&self, req: &Request<Incoming>) -> bool {
        let mut state = self.state.borrow_mut();
        let path = req.uri().path();
        let is_write = req.method() == Method::PUT;
        let allowed = if is_write {
            state.write_limiter.try_acquire()
        } else {
            state.read_limiter.try_acquire()
        };
        let counts = &mut state.counts;
        counts.writes += u64::from(is_write);
        counts.reads += u64::from(!is_write);
        counts.watches += u64::from(path.starts_with("/v1/watch/"));
        counts.leases += u64::from(path.starts_with("/v1/lease/"));
        counts.refused += u64::from(!allowed);
        allowed
    }

    fn get(&self, key: &str) -> Response<FullBody> {
        match self.state.borrow().store.get(key) {
            Some(record) => json(StatusCode::OK, &record),
            None => empty(StatusCode::NOT_FOUND),
        }
    }

    async fn swap(&self, key: &str, req: Request<Incoming>) -> Response<FullBody> {
        let Some(expected) = query_number(&req, "if-revision") else {
            return empty(StatusCode::BAD_REQUEST);
        };
        let value = read_body(req).await.and_then(|body| String::from_utf8(body.to_vec()).ok());
        let Some(value) = value else {
            return empty(StatusCode::BAD_REQUEST);
        };
        let (outcome, lose_answer) = {
            let mut state = self.state.borrow_mut();
            let outcome = state.store.swap(key, expected, value);
            (outcome, take_fault(&mut state.knobs.lose_answers))
        };
        self.change_notify.notify_waiters();
        if lose_answer {
            std::future::pending::<()>().await;
        }
        match outcome {
            Swap::Done(revision) => {
                json(StatusCode::OK, &WireRevision { revision: revision.number() })
            }
            Swap::Conflict(revision) => {
                json(StatusCode::CONFLICT, &WireRevision { revision: revision.number() })
            }
        }
    }

    fn changes_since(&self, prefix: &str, after: u64) -> Response<FullBody> {
        let store = &self.state.borrow().store;
        let records = store.changed_since(prefix, after);
        json(StatusCode::OK, &WireRecords { revision: store.revision().number(), records })
    }

    async fn watch(&self, prefix: &str, req: &Request<Incoming>) -> Response<FullBody> {
        let after = query_number(req, "after").unwrap_or(0);
        let wait = Duration::from_millis(query_number(req, "wait-ms").unwrap_or(0));
        let deadline = tokio::time::Instant::now() + wait;
        loop {
            let notified = self.change_notify.notified();
            let changed = !self.state.borrow().store.changed_since(prefix, after).is_empty();
            if changed || tokio::time::timeout_at(deadline, notified).await.is_err() {
                return self.changes_since(prefix, after);
            }
        }
    }

    fn lease(&self, name: &str, req: &Request<Incoming>) -> Response<FullBody> {
        let holder = query(req, "holder").unwrap_or_default();
        let ttl = Duration::from_millis(query_number(req, "life-ms").unwrap_or(0));
        let held = self.state.borrow_mut().store.acquire_lease(name, holder, ttl);
        json(StatusCode::OK, &WireLease { held })
    }

    async fn load_weights(&self, name: &str) -> Response<FullBody> {
        let Ok(_slot) = self.load_slots.acquire().await else {
            return empty(StatusCode::SERVICE_UNAVAILABLE);
        };
        let load = self.state.borrow().knobs.load_ms.unwrap_or(500);
        tokio::time::sleep(Duration::from_millis(load)).await;
        json(StatusCode::OK, &name)
    }

    async fn set(&self, req: Request<Incoming>) -> Response<FullBody> {
        let Some(knobs) = read_json::<PlatformKnobs>(req).await else {
            return empty(StatusCode::BAD_REQUEST);
        };
        let mut state = self.state.borrow_mut();
        state.knobs.down = knobs.down.or(state.knobs.down);
        state.knobs.slow_ms = knobs.slow_ms.or(state.knobs.slow_ms);
        state.knobs.lose_answers = knobs.lose_answers.or(state.knobs.lose_answers);
        state.knobs.load_ms = knobs.load_ms.or(state.knobs.load_ms);
        update_inventory(&mut state.inventory, &knobs);
        empty(StatusCode::OK)
    }
}

fn take_fault(count: &mut Option<u32>) -> bool {
    match count {
        Some(remaining) if *remaining > 0 => {
            *remaining -= 1;
            true
        }
        _ => false,
    }
}

fn update_inventory(inventory: &mut Inventory, knobs: &PlatformKnobs) {
    if knobs.leave.is_empty() && knobs.unlist.is_empty() {
        return;
    }
    for info in &mut inventory.boxes {
        info.leaving |= knobs.leave.contains(&info.id);
    }
    inventory.boxes.retain(|info| !knobs.unlist.contains(&info.id));
    inventory.version += 1;
}
