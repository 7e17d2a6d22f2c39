//! Machines that are suspended for seconds, during which no timer advances.
#![allow(clippy::disallowed_methods, reason = "the test's own machine is not suspended")]

mod support;

use std::time::{Duration, Instant};

use cherrystand_testkit::{BoxMode, whole_stream};
use hyper::StatusCode;
use support::site::{MODEL_PATH, SERVICE_PATH, Site, call, is_ready};
use support::{call_at, wait_until};

/// How long after the request arrived the machine is suspended.
const SUSPENDED_AFTER: Duration = Duration::from_millis(300);

/// How long after the machine resumes everything that waits may take to notice the suspension.
const NOTICE_LIMIT: Duration = Duration::from_millis(1_000);

/// Guards against a clock that stops while the machine is suspended: a request that its caller had
/// abandoned was held for the rest of its timeout and occupied a slot of a replica.
#[test]
fn suspended_time_counts_toward_the_request_timeout() {
    struct Case {
        name: &'static str,
        path: &'static str,
        /// The endpoints that make no progress in the meantime.
        stalled: &'static [&'static str],
    }
    let cases = [
        Case { name: "a stream", path: MODEL_PATH, stalled: &["i-1", "i-2", "i-3", "i-4", "i-5"] },
        Case { name: "a call", path: SERVICE_PATH, stalled: &["a-1", "a-2"] },
    ];
    support::run(async {
        let all = cases.into_iter().map(|case| async move {
            let site = Site::serving(1).await;
            let node = &site.nodes[0];
            case.stalled.iter().for_each(|id| site.stand_in.set_mode(id, BoxMode::Pauses));
            let began = Instant::now();
            let suspended = async {
                tokio::time::sleep(SUSPENDED_AFTER).await;
                // Callers time out after 5 s, and the suspension is longer.
                node.process.signal("USR1");
            };
            let (answer, ()) = tokio::join!(call(node, "POST", case.path, "s1", "k1"), suspended);
            assert_ne!(answer.status, StatusCode::OK, "{}", case.name);
            let took = began.elapsed();
            assert!(took < SUSPENDED_AFTER + NOTICE_LIMIT, "{}: held for {took:?}", case.name);
        });
        futures_util::future::join_all(all).await;
    });
}

/// After a suspension the daemon treats what it knew as stale, continues as after a pause, and soon
/// serves again.
#[test]
fn a_daemon_treats_a_suspension_as_a_pause_and_serves_again() {
    support::run(async {
        let site = Site::serving(3).await;
        for node in &site.nodes {
            node.process.signal("USR1");
        }
        let node = &site.nodes[0];
        wait_until("the pause is noticed", async || {
            let metrics = call_at(node.operators, "GET", "/metrics", &[], "").await.text();
            metrics.contains("cherrystand_pauses_total 1")
        })
        .await;
        let began = Instant::now();
        for number in 0..20 {
            let (stream, id) = (format!("s{number}"), format!("c{number}"));
            let answer = call(node, "POST", MODEL_PATH, &stream, "k1").await;
            assert_eq!(answer.text(), whole_stream(&stream));
            assert_eq!(call(node, "POST", SERVICE_PATH, &id, "k1").await.status, StatusCode::OK);
            if began.elapsed() > Duration::from_secs(4) {
                break;
            }
        }
        assert!(is_ready(node).await);
    });
}
