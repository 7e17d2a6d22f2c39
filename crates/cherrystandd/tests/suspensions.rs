//! Machines that are suspended for seconds, during which no timer goes on.
#![allow(clippy::disallowed_methods, reason = "the test's own machine is not suspended")]

mod support;

use std::time::{Duration, Instant};

use cherrystand_testkit::{BoxMood, whole_stream};
use hyper::StatusCode;
use support::site::{CALL, STREAM, Site, call, is_ready};
use support::{call_at, until};

/// When the machine is suspended, after the request came.
const SUSPENDED_AFTER: Duration = Duration::from_millis(300);

/// Within this time of its end a suspension is seen in everything that waits.
const SEEN_WITHIN: Duration = Duration::from_millis(1_000);

/// Story: the daemon's clock stood still while its machine was suspended, so that a request whose caller
/// had given it up was held for the whole rest of its time, at a place of a replica.
#[test]
fn a_suspension_counts_in_the_time_of_a_request() {
    struct Case {
        name: &'static str,
        path: &'static str,
        /// The endpoints that bring nothing meanwhile.
        still: &'static [&'static str],
    }
    let cases = [
        Case { name: "a stream", path: STREAM, still: &["i-1", "i-2", "i-3", "i-4", "i-5"] },
        Case { name: "a call", path: CALL, still: &["a-1", "a-2"] },
    ];
    support::run(async {
        let all = cases.into_iter().map(|case| async move {
            let site = Site::serving(1).await;
            let node = &site.nodes[0];
            case.still.iter().for_each(|id| site.site.set_mood(id, BoxMood::Pauses));
            let began = Instant::now();
            let suspended = async {
                tokio::time::sleep(SUSPENDED_AFTER).await;
                // Callers give a request 5 s, and the suspension is longer.
                node.process.signal("USR1");
            };
            let (answer, ()) = tokio::join!(call(node, "POST", case.path, "s1", "k1"), suspended);
            assert_ne!(answer.status, StatusCode::OK, "{}", case.name);
            let took = began.elapsed();
            assert!(took < SUSPENDED_AFTER + SEEN_WITHIN, "{}: held for {took:?}", case.name);
        });
        futures_util::future::join_all(all).await;
    });
}

/// What a daemon knew before counts as old, it goes on as one that was paused, and serves again soon.
#[test]
fn a_daemon_takes_a_suspension_for_a_pause_and_serves_on() {
    support::run(async {
        let site = Site::serving(3).await;
        for node in &site.nodes {
            node.process.signal("USR1");
        }
        let node = &site.nodes[0];
        until("the pause is noticed", async || {
            let told = call_at(node.operators, "GET", "/metrics", &[], "").await.text();
            told.contains("cherrystand_pauses_total 1")
        })
        .await;
        let began = Instant::now();
        for number in 0..20 {
            let (stream, id) = (format!("s{number}"), format!("c{number}"));
            let answer = call(node, "POST", STREAM, &stream, "k1").await;
            assert_eq!(answer.text(), whole_stream(&stream));
            assert_eq!(call(node, "POST", CALL, &id, "k1").await.status, StatusCode::OK);
            if began.elapsed() > Duration::from_secs(4) {
                break;
            }
        }
        assert!(is_ready(node).await);
    });
}
