//! Callers that send requests all the time and look at every answer.

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use cherrystand_core::SeededRng;
use cherrystand_platform::{HttpPool, SendError};
use http_body_util::{BodyExt, Full};
use hyper::{Request, StatusCode};

use crate::soak::run_record::{CallKind, CallOutcome, CallRecord};
use crate::{CRASHES, whole_stream};

/// How long a caller waits, in milliseconds.
const DEADLINE_MS: u64 = 5_000;

/// How long a connection may take.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// How long a caller waits for the rest of an answer beyond its deadline.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(DEADLINE_MS + 1_000);

/// The pause between two requests of one caller at the most, in milliseconds.
const MAX_PAUSE_MS: usize = 60;

/// The pause between two tries of a request that ends boxes.
const CRASH_INTERVAL: Duration = Duration::from_millis(150);

/// The keys that callers bring, by version of the configuration.
#[derive(Clone, Default)]
pub(crate) struct ApiKeys {
    /// When each version was written, the first one first.
    written_at: Rc<RefCell<Vec<Instant>>>,
}

/// How many versions a key lives through.
pub(crate) const KEY_VERSIONS: usize = 4;

/// After this time a version is in force at daemons in touch.
const CONFIG_APPLY_TIME: Duration = Duration::from_millis(3_000);

impl ApiKeys {
    /// Returns the keys that the next version allows, and notes that it is written.
    pub(crate) fn next_version(&self) -> (u64, Vec<String>) {
        let mut written = self.written_at.borrow_mut();
        written.push(Instant::now());
        let newest = written.len();
        let keys = (newest.saturating_sub(KEY_VERSIONS - 1).max(1)..=newest).map(key_for);
        (newest as u64, keys.collect())
    }

    /// Returns a key that every version in force allows.
    fn valid_key(&self) -> String {
        let written = self.written_at.borrow();
        let versions_in_force =
            written.iter().take_while(|at| at.elapsed() > CONFIG_APPLY_TIME).count();
        key_for(versions_in_force.max(1))
    }

    /// Returns a key that no version in force allows any more, where there is one.
    fn revoked_key(&self) -> Option<String> {
        let written = self.written_at.borrow();
        let versions_in_force =
            written.iter().take_while(|at| at.elapsed() > CONFIG_APPLY_TIME).count();
        let version = versions_in_force.checked_sub(KEY_VERSIONS)?;
        (version > 0).then(|| key_for(version))
    }
}

fn key_for(version: usize) -> String {
    format!("k{version}")
}

/// What all callers of a run share.
#[derive(Clone)]
pub(crate) struct Callers {
    pub(crate) keys: ApiKeys,
    pub(crate) records: Rc<RefCell<Vec<CallRecord>>>,
    next_id: Rc<Cell<u64>>,
    pool: HttpPool,
}

impl Callers {
    pub(crate) fn new(keys: ApiKeys) -> Self {
        Self { keys, records: Rc::default(), next_id: Rc::default(), pool: HttpPool::default() }
    }

    /// Sends one request after the other to a daemon until `stop`.
    pub(crate) async fn run(
        self,
        daemon: usize,
        address: SocketAddr,
        seed: u64,
        stop: Rc<Cell<bool>>,
    ) {
        let mut rng = SeededRng::new(seed);
        while !stop.get() {
            let kind = match rng.below(16) {
                0 => CallKind::OldKey,
                1..=4 => CallKind::Once,
                5..=7 => CallKind::Repeatable,
                _ => CallKind::Stream,
            };
            self.send(daemon, address, kind).await;
            tokio::time::sleep(Duration::from_millis(rng.below(MAX_PAUSE_MS) as u64)).await;
        }
    }

    /// Sends a request that ends boxes to one daemon after the other until `stop`.
    pub(crate) async fn run_crashing_requests(
        self,
        daemons: Vec<SocketAddr>,
        stop: Rc<Cell<bool>>,
    ) {
        for (daemon, address) in daemons.iter().enumerate().cycle() {
            if stop.get() {
                return;
            }
            self.send(daemon, *address, CallKind::Crash).await;
            tokio::time::sleep(CRASH_INTERVAL).await;
        }
    }

    /// Sends one request, and notes and returns how it was answered.
    pub(crate) async fn send(
        &self,
        daemon: usize,
        address: SocketAddr,
        kind: CallKind,
    ) -> Option<CallOutcome> {
        let key = match kind {
            CallKind::OldKey => self.keys.revoked_key()?,
            _ => self.keys.valid_key(),
        };
        let number = self.next_id.get();
        self.next_id.set(number + 1);
        let id = format!("r{number}");
        let sent = Instant::now();
        let exchange = self.exchange(address, &id, kind, &key);
        let outcome =
            tokio::time::timeout(ANSWER_TIMEOUT, exchange).await.unwrap_or(CallOutcome::Broken);
        let ended = Instant::now();
        self.records.borrow_mut().push(CallRecord { id, daemon, kind, sent, ended, outcome });
        Some(outcome)
    }

    async fn exchange(
        &self,
        address: SocketAddr,
        id: &str,
        kind: CallKind,
        key: &str,
    ) -> CallOutcome {
        let (method, path) = match kind {
            CallKind::Once | CallKind::OldKey => ("POST", "/calls/1"),
            CallKind::Repeatable => ("GET", "/looks/1"),
            CallKind::Stream | CallKind::Crash => ("POST", "/stories/1"),
        };
        let req = Request::builder()
            .method(method)
            .uri(path)
            .header("host", "site.example")
            .header("authorization", format!("Bearer {key}"))
            .header("cherrystand-request-id", id)
            .header("cherrystand-deadline-ms", DEADLINE_MS.to_string())
            .header("cherrystand-model", "m")
            .header("cherrystand-token-usage", "100,80")
            .body(Full::new(Bytes::from(request_body(kind))));
        let Ok(req) = req else { return CallOutcome::NotSent };
        let answer = match self.pool.send(address, req, CONNECT_TIMEOUT).await {
            Ok(answer) => answer,
            Err(SendError::ConnectionLost(_)) => return CallOutcome::Broken,
            Err(_) => return CallOutcome::NotSent,
        };
        let status = answer.status();
        let Ok(body) = answer.into_body().collect().await else { return CallOutcome::Broken };
        let body = body.to_bytes();
        if status == StatusCode::OK && *body != *expected_body(id, kind).as_bytes() {
            return CallOutcome::Wrong;
        }
        CallOutcome::Whole(status)
    }
}

/// Returns the body of a request; those that end boxes are the same each time.
fn request_body(kind: CallKind) -> String {
    match kind {
        CallKind::Crash => format!("{CRASHES}1"),
        _ => "body".to_owned(),
    }
}

/// Returns the body that an endpoint sends for a request.
fn expected_body(id: &str, kind: CallKind) -> String {
    match kind {
        CallKind::Stream | CallKind::Crash => whole_stream(id),
        _ => format!("answer to {id}"),
    }
}
