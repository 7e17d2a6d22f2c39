//! Simulated callers: they send requests continuously and check every answer.

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

/// The deadline that a caller sends with each request, in milliseconds.
const DEADLINE_MS: u64 = 5_000;

/// Timeout for opening a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// Timeout for a whole exchange: the deadline, and a margin in which an answer that has started may end.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(DEADLINE_MS + 1_000);

/// Upper bound of the random pause between two requests of one caller, in milliseconds.
const MAX_PAUSE_MS: usize = 60;

/// Pause between two sends of the request that crashes boxes.
const CRASH_INTERVAL: Duration = Duration::from_millis(150);

/// The API keys of callers: each version of the configuration adds one and drops the oldest.
#[derive(Clone, Default)]
pub(crate) struct ApiKeys {
    /// When each version was written, oldest first.
    written_at: Rc<RefCell<Vec<Instant>>>,
}

/// Number of consecutive versions of the configuration that accept a key.
pub(crate) const KEY_VERSIONS: usize = 4;

/// Time after which a written version is in force at every daemon that no fault affects.
const CONFIG_APPLY_TIME: Duration = Duration::from_millis(3_000);

impl ApiKeys {
    /// Returns the number of the next version and the keys that it accepts, and records that it is written now.
    pub(crate) fn next_version(&self) -> (u64, Vec<String>) {
        let mut written = self.written_at.borrow_mut();
        written.push(Instant::now());
        let newest = written.len();
        let keys = (newest.saturating_sub(KEY_VERSIONS - 1).max(1)..=newest).map(key_for);
        (newest as u64, keys.collect())
    }

    /// Returns a key that is accepted whichever of the recent versions a daemon has in force.
    fn valid_key(&self) -> String {
        let written = self.written_at.borrow();
        let versions_in_force =
            written.iter().take_while(|at| at.elapsed() > CONFIG_APPLY_TIME).count();
        key_for(versions_in_force.max(1))
    }

    /// Returns a key that is no longer accepted by any version in force, if there is one yet.
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

/// State that all callers of a run share.
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

    /// Sends random requests to one daemon, one at a time, until `stop` is set.
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

    /// Sends a request that crashes boxes to each daemon in turn until `stop` is set.
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

    /// Sends one request, records its outcome and returns it.
    ///
    /// Returns nothing if a revoked key is asked for and there is none yet.
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
            Err(SendError::Malformed(_)) => return CallOutcome::Wrong,
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

/// Returns the body of a request. Requests that crash boxes all have the same body, so that they count as one
/// request that is sent again and again.
fn request_body(kind: CallKind) -> String {
    match kind {
        CallKind::Crash => format!("{CRASHES}1"),
        _ => "body".to_owned(),
    }
}

/// Returns the body that an endpoint sends in answer to a request.
fn expected_body(id: &str, kind: CallKind) -> String {
    match kind {
        CallKind::Stream | CallKind::Crash => whole_stream(id),
        _ => format!("answer to {id}"),
    }
}
