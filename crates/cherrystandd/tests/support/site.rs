//! Daemons before a site whose store holds one configuration of routes.

use std::net::SocketAddr;

use cherrystand_testkit::{EVENTS, SiteStandIn};
use hyper::StatusCode;
use serde_json::{Value, json};

use super::{Answer, Process, call_at, free_addresses, start_in, until};

pub(crate) const CALL: &str = "/calls/1";
pub(crate) const STREAM: &str = "/stories/1";

/// How many addresses one daemon listens at.
const NODE_ADDRESSES: usize = 5;

pub(crate) fn config(version: u64, call_prefix: &str, keys: &[&str]) -> Value {
    let route = |name: &str, prefix: &str, kind: &str, service: &str| {
        json!({"name": name, "host": "site.example", "path_prefix": prefix, "kind": kind,
            "timeout_ms": 6000, "latency_goal_ms": 300, "max_attempts": 2, "service": service,
            "resumable": kind == "streaming", "gap_target_ms": 300})
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

pub(crate) struct Node {
    pub(crate) process: Process,
    pub(crate) callers: SocketAddr,
    pub(crate) ready: SocketAddr,
    pub(crate) operators: SocketAddr,
}

pub(crate) struct Site {
    pub(crate) site: SiteStandIn,
    pub(crate) nodes: Vec<Node>,
}

impl Site {
    /// Starts daemons before a site of five model boxes and two plain endpoints.
    pub(crate) async fn start(daemons: usize) -> Self {
        let site = SiteStandIn::new();
        let all = free_addresses(daemons * NODE_ADDRESSES);
        let mut nodes = Vec::new();
        for (number, own) in all.chunks(NODE_ADDRESSES).enumerate() {
            let door = site.open_door().await.expect("a door");
            nodes.push(start_node(number, own, all[3], door));
        }
        for id in ["i-1", "i-2", "i-3", "i-4", "i-5"] {
            site.add_box(id, "models").await.expect("a box");
        }
        for id in ["a-1", "a-2"] {
            site.add_box(id, "app").await.expect("an endpoint");
        }
        Self { site, nodes }
    }

    /// Puts a configuration in force and waits until everything serves.
    pub(crate) async fn serving(daemons: usize) -> Self {
        let site = Self::start(daemons).await;
        site.site.configure(&config(1, "/calls/", &["k1"]));
        until("two replicas serve", async || site.site.leaders().len() == 2).await;
        for node in &site.nodes {
            until("a node is ready", async || is_ready(node).await).await;
            until("a node serves", async || {
                call(node, "GET", STREAM, "warm", "k1").await.status == StatusCode::OK
            })
            .await;
        }
        site
    }
}

fn start_node(number: usize, own: &[SocketAddr], seed: SocketAddr, store: SocketAddr) -> Node {
    let settings = format!(
        "node = \"n{number}\"\nzone = \"z1\"\nseeds = [\"{seed}\"]\n[listen]\ncallers = \"{}\"\n\
         operators = \"{}\"\npeers = \"{}\"\n[platform]\naddress = \"{store}\"\n[stop]\n\
         linger_ms = 300\n[site]\nready = \"{}\"\nchanges = \"{}\"\nfirst_start = true\ngrace_ms = 8000\n\
         retry_ratio = 0.2\nretry_slack = 136.0\nretry_window_s = 10\n",
        own[0], own[1], own[3], own[2], own[4]
    );
    let process = start_in("cherrystandd", &settings, own[0]);
    Node { process, callers: own[0], ready: own[2], operators: own[1] }
}

pub(crate) async fn is_ready(node: &Node) -> bool {
    call_at(node.ready, "GET", "/ready", &[], "").await.status == StatusCode::OK
}

pub(crate) async fn call(node: &Node, method: &str, path: &str, id: &str, key: &str) -> Answer {
    send(node, method, path, id, &[("authorization", &format!("Bearer {key}"))], "body").await
}

pub(crate) async fn send(
    node: &Node,
    method: &str,
    path: &str,
    id: &str,
    more: &[(&str, &str)],
    body: &str,
) -> Answer {
    let mut headers = vec![
        ("host", "site.example"),
        ("cherrystand-request-id", id),
        ("cherrystand-deadline-ms", "5000"),
        ("cherrystand-model", "m"),
        ("cherrystand-token-usage", "100,80"),
        ("cherrystand-tenant", "forged"),
    ];
    headers.extend(more);
    call_at(node.callers, method, path, &headers, body).await
}

pub(crate) fn whole_stream(id: &str) -> String {
    (0..EVENTS).map(|number| format!("id: {number}\ndata: {id} {number}\n\n")).collect()
}
