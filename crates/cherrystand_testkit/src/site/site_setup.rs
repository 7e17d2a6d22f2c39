//! Settings of daemons, the configuration of a site, and the stream that callers expect.

use std::fmt;
use std::net::SocketAddr;

use serde::Serialize;
use serde_json::{Value, json};

use crate::EVENTS;

/// How long a daemon accepts requests after it was asked to stop, in milliseconds.
const LINGER_MS: u64 = 300;

/// Maximum duration of a planned stop, in milliseconds.
const GRACE_MS: u64 = 8_000;

/// Allowed retries per request, over all daemons.
pub(crate) const RETRY_RATIO: f64 = 0.2;

/// Length of the sliding window over which retries are counted, in seconds.
pub(crate) const RETRY_WINDOW_S: u64 = 10;

/// The settings of one daemon of a site; `Display` writes them as a settings file.
#[derive(Clone, Debug)]
pub struct NodeSettings {
    /// Its name.
    pub name: String,
    /// The peers that it contacts first.
    pub seeds: Vec<SocketAddr>,
    /// The address for callers.
    pub callers: SocketAddr,
    /// The address of its readiness page.
    pub ready: SocketAddr,
    /// The address for operators.
    pub operators: SocketAddr,
    /// The address for peers.
    pub peers: SocketAddr,
    /// The address at which peers read changes.
    pub changes: SocketAddr,
    /// The address of the store.
    pub store: SocketAddr,
    /// Whether all daemons of the site start for the first time.
    pub first_start: bool,
    /// Allowed retries in one window beyond the share of requests, over all daemons.
    pub retry_slack: f64,
    /// Whether it reads the store itself rather than a reader of its zone.
    pub reads_store: bool,
    /// By how much a signal advances its clock to simulate a suspension, in milliseconds; 0 for none.
    pub suspended_ms: u64,
}

impl fmt::Display for NodeSettings {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let seeds: Vec<String> = self.seeds.iter().map(|seed| format!("\"{seed}\"")).collect();
        write!(
            f,
            "node = \"{}\"\nzone = \"z1\"\nseeds = [{}]\n[listen]\ncallers = \"{}\"\n\
             operators = \"{}\"\npeers = \"{}\"\n[platform]\naddress = \"{}\"\n[stop]\n\
             linger_ms = {LINGER_MS}\n[site]\nready = \"{}\"\nchanges = \"{}\"\n\
             first_start = {}\ngrace_ms = {GRACE_MS}\nretry_ratio = {RETRY_RATIO:?}\n\
             retry_slack = {:?}\nretry_window_s = {RETRY_WINDOW_S}\n\
             [site.regions]\nz1 = \"r1\"\nz2 = \"r2\"\n\
             [policy]\nnote_readers_from = 0\nreaders = {}\n[testing]\nsuspended_ms = {}\n",
            self.name,
            seeds.join(", "),
            self.callers,
            self.operators,
            self.peers,
            self.store,
            self.ready,
            self.changes,
            self.first_start,
            self.retry_slack,
            !self.reads_store,
            self.suspended_ms,
        )
    }
}

/// Builds a configuration with a route for streams, one for non-idempotent requests and one for idempotent requests.
pub fn site_config<K: Serialize>(
    version: u64,
    call_prefix: &str,
    keys: &[K],
    timeout_ms: u64,
) -> Value {
    let route = |name: &str, prefix: &str, kind: &str, service: &str| {
        json!({"name": name, "host": "site.example", "path_prefix": prefix, "kind": kind,
            "timeout_ms": timeout_ms, "latency_goal_ms": 300, "max_attempts": 2,
            "service": service, "resumable": kind == "streaming", "gap_target_ms": 300})
    };
    json!({
        "version": version,
        "routes": [
            route("story", "/stories/", "streaming", "models"),
            route("call", call_prefix, "non_idempotent", "app"),
            route("look", "/looks/", "idempotent", "app"),
        ],
        "services": [
            {"name": "models", "engine": {"slots": 8, "stride": 2, "step_ms": 10.0, "chunk": 64,
                "read_per_s": 100000.0, "loads_per_s": 1000.0, "loads_at_once": 9, "form_ms": 0.0,
                "usual": {"prompt": 100, "answer": 80},
                "models": [{"name": "m", "size": 2, "share": 1.0, "pace": 1.0, "load_s": 0.1,
                    "warm_s": 0.1}]}},
            {"name": "app"}],
        "limits": {"max_body_bytes": 2000},
        "tenants": [{"name": "families", "api_keys": keys}],
    })
}

/// Returns the body of the complete stream that answers a request.
pub fn whole_stream(request: &str) -> String {
    (0..EVENTS).map(|number| format!("id: {number}\ndata: {request} {number}\n\n")).collect()
}
