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

use crate::soak::seen::{Answered, Call, Seen};
use crate::{CRASHES, whole_stream};

/// How long a caller waits, in milliseconds.
const DEADLINE_MS: u64 = 5_000;

/// How long a connection may take.
const CONNECT_WITHIN: Duration = Duration::from_millis(500);

/// How long a caller waits for the rest of an answer beyond its deadline.
const PATIENCE: Duration = Duration::from_millis(DEADLINE_MS + 1_000);

/// The pause between two requests of one caller at the most, in milliseconds.
const LONGEST_PAUSE: usize = 60;

/// The pause between two tries of a request that ends boxes.
const CRASH_EVERY: Duration = Duration::from_millis(150);

/// The keys that callers bring, by version of the configuration.
#[derive(Clone, Default)]
pub(crate) struct Keys {
    /// When each version was written, the first one first.
    written: Rc<RefCell<Vec<Instant>>>,
}

/// How many versions a key lives through.
pub(crate) const KEY_LIVES: usize = 4;

/// After this time a version is in force at daemons in touch.
const IN_FORCE: Duration = Duration::from_millis(3_000);

impl Keys {
    /// Returns the keys that the next version allows, and notes that it is written.
    pub(crate) fn next_version(&self) -> (u64, Vec<String>) {
        let mut written = self.written.borrow_mut();
        written.push(Instant::now());
        let newest = written.len();
        let keys = (newest.saturating_sub(KEY_LIVES - 1).max(1)..=newest).map(key_of);
        (newest as u64, keys.collect())
    }

    /// Returns a key that every version in force allows.
    fn good(&self) -> String {
        let written = self.written.borrow();
        let in_force = written.iter().take_while(|at| at.elapsed() > IN_FORCE).count();
        key_of(in_force.max(1))
    }

    /// Returns a key that no version in force allows any more, where there is one.
    fn old(&self) -> Option<String> {
        let written = self.written.borrow();
        let in_force = written.iter().take_while(|at| at.elapsed() > IN_FORCE).count();
        let gone = in_force.checked_sub(KEY_LIVES)?;
        (gone > 0).then(|| key_of(gone))
    }
}

fn key_of(version: usize) -> String {
    format!("k{version}")
}

/// What all callers of a run share.
#[derive(Clone)]
pub(crate) struct Callers {
    pub(crate) keys: Keys,
    pub(crate) seen: Rc<RefCell<Vec<Seen>>>,
    next: Rc<Cell<u64>>,
    pool: HttpPool,
}

impl Callers {
    pub(crate) fn new(keys: Keys) -> Self {
        Self { keys, seen: Rc::default(), next: Rc::default(), pool: HttpPool::default() }
    }

    /// Sends one request after the other to a daemon until `stop`.
    pub(crate) async fn run(self, daemon: usize, at: SocketAddr, seed: u64, stop: Rc<Cell<bool>>) {
        let mut seed = SeededRng::new(seed);
        while !stop.get() {
            let call = match seed.below(16) {
                0 => Call::OldKey,
                1..=4 => Call::Once,
                5..=7 => Call::Repeatable,
                _ => Call::Stream,
            };
            self.send(daemon, at, call).await;
            tokio::time::sleep(Duration::from_millis(seed.below(LONGEST_PAUSE) as u64)).await;
        }
    }

    /// Sends a request that ends boxes to one daemon after the other until `stop`.
    pub(crate) async fn run_crashing(self, daemons: Vec<SocketAddr>, stop: Rc<Cell<bool>>) {
        for (daemon, at) in daemons.iter().enumerate().cycle() {
            if stop.get() {
                return;
            }
            self.send(daemon, *at, Call::Crash).await;
            tokio::time::sleep(CRASH_EVERY).await;
        }
    }

    /// Sends one request, and notes and returns how it was answered.
    pub(crate) async fn send(&self, daemon: usize, at: SocketAddr, call: Call) -> Option<Answered> {
        let key = match call {
            Call::OldKey => self.keys.old()?,
            _ => self.keys.good(),
        };
        let number = self.next.get();
        self.next.set(number + 1);
        let id = format!("r{number}");
        let sent = Instant::now();
        let exchange = self.exchange(at, &id, call, &key);
        let answered = tokio::time::timeout(PATIENCE, exchange).await.unwrap_or(Answered::Broken);
        let ended = Instant::now();
        self.seen.borrow_mut().push(Seen { id, daemon, call, sent, ended, answered });
        Some(answered)
    }

    async fn exchange(&self, at: SocketAddr, id: &str, call: Call, key: &str) -> Answered {
        let (method, path) = match call {
            Call::Once | Call::OldKey => ("POST", "/calls/1"),
            Call::Repeatable => ("GET", "/looks/1"),
            Call::Stream | Call::Crash => ("POST", "/stories/1"),
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
            .body(Full::new(Bytes::from(body_of(call))));
        let Ok(req) = req else { return Answered::NotSent };
        let answer = match self.pool.send(at, req, CONNECT_WITHIN).await {
            Ok(answer) => answer,
            Err(SendError::ConnectionLost(_)) => return Answered::Broken,
            Err(_) => return Answered::NotSent,
        };
        let status = answer.status();
        let Ok(body) = answer.into_body().collect().await else { return Answered::Broken };
        let body = body.to_bytes();
        if status == StatusCode::OK && *body != *expected(id, call).as_bytes() {
            return Answered::Wrong;
        }
        Answered::Whole(status)
    }
}

/// Returns the body of a request; those that end boxes are the same each time.
fn body_of(call: Call) -> String {
    match call {
        Call::Crash => format!("{CRASHES}1"),
        _ => "body".to_owned(),
    }
}

/// Returns the body that an endpoint sends for a request.
fn expected(id: &str, call: Call) -> String {
    match call {
        Call::Stream | Call::Crash => whole_stream(id),
        _ => format!("answer to {id}"),
    }
}
