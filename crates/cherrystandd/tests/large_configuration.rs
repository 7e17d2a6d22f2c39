//! A large configuration that changes often.
//!
//! Story: callers of one class got too few answers in time, on a day on which no box died. The
//! configuration had grown by 1,400 routes and changed three times a second. The daemons that read
//! the store for their zones passed each version on whole, 0.4 MB to each of twenty peers; their
//! links of 20 Mbit/s were full for seconds. Orders and questions to boxes waited behind that,
//! 200 to 250 ms ran out for all of them at once, and the daemons took 83 boxes for dead that were
//! well. Replicas that served were given up, those of sixteen boxes the most often.
//!
//! Evidence: all 188 verdicts of that day were given by four readers; when a verdict was given, no
//! call that began after the question had been answered either. Small versions: 13 boxes.
#![allow(clippy::disallowed_methods, reason = "the machine of a test is not suspended")]

mod support;

use std::time::Duration;

use cherrystand_testkit::whole_stream;
use hyper::{Method, StatusCode};
use serde_json::{Value, json};
use support::site::{CALL, Node, Site, call, config, six_streams};
use support::{call_at, peer_bytes, until};

/// How many routes the configuration grows by.
const MORE_ROUTES: usize = 1_400;

/// How many versions follow, each with one change.
const VERSIONS: u64 = 10;

/// What a version may cost one daemon in bytes from its peers, and what the first large one may.
const BYTES_A_VERSION: f64 = 8_000.0;
const BYTES_AT_FIRST: f64 = 100_000.0;

/// What daemons say to each other meanwhile, bytes a second.
const BYTES_A_SECOND: f64 = 11_000.0;

fn large_config(version: u64, key: &str) -> Value {
    let mut config = config(version, "/calls/", &[key]);
    let more = (0..MORE_ROUTES).map(|number| {
        json!({"name": format!("more-{number}"), "host": format!("more{}.example", number * 7919 % 1000),
            "path_prefix": format!("/m{}/{number}/", number * 104_729 % 9973), "kind": "idempotent",
            "timeout_ms": 4000 + (number as u64 + version) % 3, "latency_goal_ms": 300,
            "max_attempts": 2, "service": "app", "priority": 1})
    });
    config["routes"].as_array_mut().expect("routes").extend(more);
    config
}

async fn bytes_in(node: &Node) -> f64 {
    let text = call_at(node.operators, Method::GET.as_str(), "/metrics", &[], "").await.text();
    peer_bytes(&text, "way=\"in\"")
}

#[test]
fn a_version_of_a_large_configuration_costs_a_daemon_what_changed_in_it() {
    support::run(async {
        let site = Site::serving(4).await;
        let mut before = Vec::new();
        for node in &site.nodes {
            before.push(bytes_in(node).await);
        }
        let began = std::time::Instant::now();
        for version in 2..2 + VERSIONS {
            let key = format!("k{version}");
            site.site.configure(&large_config(version, &key));
            for node in &site.nodes {
                until("a node has the new key", async || {
                    let id = format!("v{version}-{}", node.callers.port());
                    call(node, "POST", CALL, &id, &key).await.status == StatusCode::OK
                })
                .await;
            }
        }
        let allowed = BYTES_AT_FIRST
            + BYTES_A_VERSION * VERSIONS as f64
            + BYTES_A_SECOND * began.elapsed().as_secs_f64();
        for (number, node) in site.nodes.iter().enumerate() {
            let bytes = bytes_in(node).await - before[number];
            assert!(bytes <= allowed, "node {number} was sent {bytes} bytes, allowed: {allowed}");
        }
    });
}

#[test]
fn what_holds_a_daemon_up_is_not_taken_for_the_death_of_its_boxes() {
    /// How long nothing arrives: longer than a question to a box may take, and than a replica that
    /// serves is ever silent.
    const HELD_UP: Duration = Duration::from_millis(700);
    /// How long a wrong verdict would take to show in the replicas.
    const AFTER: Duration = Duration::from_millis(1_500);
    support::run(async {
        let site = Site::serving(1).await;
        let node = &site.nodes[0];
        let before = site.site.leaders();
        let hold_up = async {
            tokio::time::sleep(Duration::from_millis(250)).await;
            site.site.hold(true);
            tokio::time::sleep(HELD_UP).await;
            site.site.hold(false);
        };
        let (answers, ()) = tokio::join!(six_streams(node), hold_up);
        for (answer, id) in answers {
            assert_eq!((answer.status, answer.text()), (StatusCode::OK, whole_stream(&id)));
            assert_eq!(site.site.runs_of(&id).len(), 1, "{id} was taken up elsewhere");
        }
        tokio::time::sleep(AFTER).await;
        assert_eq!(site.site.leaders(), before, "replicas were formed anew");
    });
}
