//! Crashes, freezes, outages and planned stops of real processes.
#![allow(clippy::disallowed_methods, reason = "the machine of a test is not suspended")]

mod support;

use std::cell::Cell;
use std::time::{Duration, Instant};

use cherrystand_testkit::{Prompt, Verdict, check_stream};
use http_body_util::BodyExt;
use hyper::{Method, StatusCode};
use serde_json::json;
use support::{Cluster, Setup, model_body, run};

/// Longer than a daemon serves without contact to the platform or a majority.
const BEYOND_FRESHNESS: Duration = Duration::from_millis(10_500);

/// How long an endpoint that is gone may still be routed to.
const REMOVAL_TIMEOUT: Duration = Duration::from_secs(5);

#[test]
fn a_lost_box_ends_its_stream_with_an_error_and_the_replica_is_repaired() {
    run(async {
        let mut cluster =
            Cluster::serving(Setup { replicas: 1, boxes: 3, ..Setup::default() }).await;
        cluster.set(cluster.boxes[0].address, json!({"token_us": 100_000})).await;
        let stream = cluster.send_model_request(1, "long", 100, true).await.expect("a stream");
        assert_eq!(stream.status(), StatusCode::OK);
        let reading = tokio::task::spawn_local(stream.into_body().collect());
        tokio::time::sleep(Duration::from_millis(500)).await;
        drop(cluster.boxes.remove(1));
        let body = reading.await.expect("read").expect("an end that the caller can see").to_bytes();
        let text = String::from_utf8_lossy(&body).into_owned();
        assert!(text.contains("event: error"), "{text}");
        assert!(!text.contains("[DONE]"), "{text}");
        for daemon in 0..3 {
            let is_repaired = || async {
                let answer =
                    cluster.send_model_request(daemon, "again", 2, false).await.expect("an answer");
                let outcome = answer.headers()["cherrystand-outcome"].clone();
                assert!(outcome == "ran" || outcome == "not-run", "{outcome:?}");
                answer.status() == StatusCode::OK
            };
            cluster.wait_until("the replica is repaired", is_repaired).await;
        }
    });
}

#[test]
fn every_daemon_stops_routing_to_a_replica_that_lost_a_box_within_seconds() {
    run(async {
        // Without a spare box the replica can't be formed again.
        let mut cluster =
            Cluster::serving(Setup { replicas: 1, boxes: 2, ..Setup::default() }).await;
        drop(cluster.boxes.remove(1));
        tokio::time::sleep(REMOVAL_TIMEOUT).await;
        for daemon in &cluster.daemons {
            assert_eq!(cluster.serving_replicas(daemon.operators).await, 0);
        }
        let began = Instant::now();
        let body = model_body("nobody", 2, false);
        let to = cluster.daemons[0].callers;
        let answer = cluster.send(to, Method::POST, "/v1/chat/completions", &[], &body).await;
        let answer = answer.expect("an answer");
        assert_eq!(answer.outcome_and_reason(), ("not-run".to_owned(), "none-serving".to_owned()));
        assert_eq!(answer.header("retry-after"), "1");
        assert!(began.elapsed() < Duration::from_secs(1), "the refusal took too long");
    });
}

/// Guards against a stream that is ended with an error event after 10 s of silence although its
/// replica is in service and working. Silence alone is no reason to end an answer.
#[test]
fn a_long_pause_does_not_end_a_stream_while_its_replica_serves() {
    run(async {
        let cluster = Cluster::serving(Setup { replicas: 1, boxes: 2, ..Setup::default() }).await;
        cluster.set(cluster.boxes[0].address, json!({"token_us": 11_000_000})).await;
        let stream = cluster.send_model_request(1, "slow", 2, true).await.expect("a stream");
        let body = stream.into_body().collect().await.expect("an end").to_bytes();
        let text = String::from_utf8_lossy(&body).into_owned();
        assert!(text.contains("[DONE]") && !text.contains("event: error"), "{text}");
    });
}

#[test]
fn a_planned_stop_interrupts_no_request() {
    run(async {
        let mut cluster = Cluster::serving(Setup::default()).await;
        for stand_in in &cluster.boxes {
            cluster.set(stand_in.address, json!({"token_us": 50_000})).await;
        }
        let stopping = cluster.daemons[0].callers;
        let stream = cluster.send_model_request(0, "slow", 40, true).await.expect("a stream");
        cluster.daemons[0].process.signal("TERM");
        let not_ready = || async { !cluster.is_ready(stopping).await };
        cluster.wait_until("the daemon is not ready", not_ready).await;
        let late_answer = cluster
            .send_model_request(0, "late", 2, false)
            .await
            .expect("an answer while it lingers");
        assert_eq!(late_answer.status(), StatusCode::OK);
        let body = stream.into_body().collect().await.expect("a whole stream").to_bytes();
        let text = "slow".to_owned();
        let prompt = Prompt { text, tokens: 40, stream: true, model: "m".to_owned(), chat: true };
        assert_eq!(check_stream(&prompt, &body), Verdict::Complete);
        let ended = Instant::now() + Duration::from_secs(10);
        while !cluster.daemons[0].process.has_ended() {
            assert!(Instant::now() < ended, "the daemon does not end");
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
    });
}

/// Requests streams of over four seconds each through a daemon until `stop` is set.
///
/// Returns how many there were; each has to be complete.
async fn keep_requesting(cluster: &Cluster, daemon: usize, stop: &Cell<bool>) -> u32 {
    let mut requests = 0;
    while !stop.get() {
        requests += 1;
        let text = format!("daemon {daemon} asks {requests}");
        let stream = cluster.send_model_request(daemon, &text, 30, true).await.expect("a stream");
        assert_eq!(stream.status(), StatusCode::OK, "{text}");
        let body = stream.into_body().collect().await.expect("a whole stream").to_bytes();
        let prompt = Prompt { text, tokens: 30, stream: true, model: "m".to_owned(), chat: true };
        assert_eq!(check_stream(&prompt, &body), Verdict::Complete, "{}", prompt.text);
    }
    requests
}

#[test]
fn a_rollout_interrupts_no_request_and_every_answer_is_complete() {
    run(async {
        let cluster = Cluster::serving(Setup::default()).await;
        for stand_in in &cluster.boxes {
            cluster.set(stand_in.address, json!({"token_us": 150_000})).await;
        }
        let stop = Cell::new(false);
        let start_requests = |daemon| keep_requesting(&cluster, daemon, &stop);
        let rollout = async {
            cluster.apply_config(&cluster.default_config(2, "2", "/consent")).await;
            let is_done = || async {
                let status = cluster.cli(&["status"]).stdout;
                String::from_utf8_lossy(&status).matches("true     m@2").count() == 2
            };
            cluster.wait_until("the rollout is done", is_done).await;
            stop.set(true);
        };
        let streams = [0, 1, 2, 0, 1, 2].map(start_requests);
        let (requests, ()) = tokio::join!(futures_util::future::join_all(streams), rollout);
        assert!(requests.iter().sum::<u32>() > 20, "{requests:?}");
    });
}

#[test]
fn a_platform_outage_interrupts_no_answer_and_no_change_is_accepted() {
    run(async {
        let cluster = Cluster::serving(Setup::default()).await;
        let plan = cluster.plan(&cluster.default_config(2, "2", "/consent"));
        cluster.set(cluster.platform.address, json!({"down": true})).await;
        tokio::time::sleep(BEYOND_FRESHNESS).await;
        for daemon in 0..3 {
            let to = cluster.daemons[daemon].callers;
            let checked = cluster.send(to, Method::GET, "/consent/1", &[], "").await;
            assert_eq!(checked.expect("an answer").status, StatusCode::OK, "daemon {daemon}");
            let answer =
                cluster.send_model_request(daemon, "outage", 2, false).await.expect("an answer");
            assert_eq!(answer.status(), StatusCode::OK, "daemon {daemon}");
        }
        let key = [("idempotency-key", "k"), ("cherrystand-deadline-ms", "700")];
        let to = cluster.daemons[0].callers;
        let began = Instant::now();
        let keyed =
            cluster.send(to, Method::POST, "/consent/1", &key, "").await.expect("an answer");
        assert_eq!(
            keyed.outcome_and_reason(),
            ("not-run".to_owned(), "keys-out-of-reach".to_owned())
        );
        assert!(began.elapsed() < Duration::from_secs(2), "{:?}", began.elapsed());
        assert!(!cluster.service_executions().await.contains_key("k"));
        assert_eq!(cluster.cli(&["confirm", &plan]).status.code(), Some(4));
        cluster.set(cluster.platform.address, json!({"down": false})).await;
        let confirmed = || async { cluster.cli(&["confirm", &plan]).status.success() };
        cluster.wait_until("the plan is confirmed after the outage", confirmed).await;
    });
}

#[test]
fn an_isolated_daemon_stops_accepting_requests() {
    run(async {
        let mut cluster = Cluster::serving(Setup::default()).await;
        cluster.set(cluster.platform.address, json!({"down": true})).await;
        cluster.daemons.truncate(1);
        let to = cluster.daemons[0].callers;
        let cut_off = || async { !cluster.is_ready(to).await };
        cluster.wait_until("the daemon is not ready", cut_off).await;
        let answer = cluster.send(to, Method::GET, "/consent/1", &[], "").await.expect("an answer");
        assert_eq!(
            answer.outcome_and_reason(),
            ("not-run".to_owned(), "configuration-old".to_owned())
        );
    });
}

#[test]
fn a_daemon_that_was_paused_does_not_serve_from_its_old_state() {
    run(async {
        let cluster = Cluster::serving(Setup::default()).await;
        let paused = &cluster.daemons[2];
        paused.process.signal("STOP");
        tokio::time::sleep(Duration::from_secs(1)).await;
        cluster.apply_config(&cluster.default_config(2, "1", "/moved")).await;
        tokio::time::sleep(BEYOND_FRESHNESS).await;
        paused.process.signal("CONT");
        let mut served = 0;
        let until = Instant::now() + Duration::from_secs(5);
        while Instant::now() < until && served < 20 {
            let old = cluster.send(paused.callers, Method::GET, "/consent/1", &[], "").await;
            let old = old.expect("an answer");
            assert_ne!(old.status, StatusCode::OK, "the old configuration is still used");
            let new = cluster.send(paused.callers, Method::GET, "/moved/1", &[], "").await;
            served += u32::from(new.expect("an answer").status == StatusCode::OK);
        }
        assert_eq!(served, 20, "the new configuration is not used");
    });
}

#[test]
fn a_keyed_call_that_times_out_is_never_run_by_another_daemon() {
    run(async {
        let cluster = Cluster::serving(Setup { services: 2, ..Setup::default() }).await;
        for service in &cluster.services {
            cluster.set(service.address, json!({"freeze_ms": 2_500})).await;
        }
        let headers = [("idempotency-key", "story"), ("cherrystand-deadline-ms", "700")];
        let to = cluster.daemons[0].callers;
        let first = cluster.send(to, Method::POST, "/consent/s", &headers, "once").await;
        let first = first.expect("an answer");
        assert_eq!(
            first.outcome_and_reason(),
            ("unknown".to_owned(), "deadline-passed".to_owned())
        );
        for daemon in &cluster.daemons {
            let again = cluster.send(daemon.callers, Method::POST, "/consent/s", &headers, "once");
            let answered = again.await.expect("an answer").outcome_and_reason();
            assert_eq!(answered, ("unknown".to_owned(), "key-in-use".to_owned()));
        }
        tokio::time::sleep(Duration::from_secs(3)).await;
        let ran = cluster.service_executions().await.get("story").copied().unwrap_or(0);
        assert!(ran <= 1, "run {ran} times");
    });
}

#[test]
fn a_keyed_call_whose_daemon_is_killed_is_never_run_by_another() {
    run(async {
        let mut cluster = Cluster::serving(Setup::default()).await;
        for service in &cluster.services {
            cluster.set(service.address, json!({"delay_ms": 1_500})).await;
        }
        let key = [("idempotency-key", "delivery")];
        let to = cluster.daemons[0].callers;
        let sent = cluster.open(to, Method::POST, "/consent/d", &key, "once");
        let cut = tokio::time::timeout(Duration::from_millis(600), sent).await;
        assert!(cut.is_err(), "the call should still be running");
        drop(cluster.daemons.remove(0));
        for daemon in &cluster.daemons {
            let again =
                cluster.send(daemon.callers, Method::POST, "/consent/d", &key, "once").await;
            let answered = again.expect("an answer").outcome_and_reason();
            assert_eq!(answered, ("unknown".to_owned(), "key-in-use".to_owned()));
        }
        tokio::time::sleep(Duration::from_secs(2)).await;
        let ran = cluster.service_executions().await.get("delivery").copied().unwrap_or(0);
        assert!(ran <= 1, "run {ran} times");
    });
}

#[test]
fn a_frozen_service_endpoint_does_not_hold_consent_checks_up() {
    run(async {
        let cluster = Cluster::serving(Setup { daemons: 1, ..Setup::default() }).await;
        let to = cluster.daemons[0].callers;
        for number in 0..40 {
            let path = format!("/consent/{number}");
            let warm = cluster.send(to, Method::GET, &path, &[], "").await.expect("an answer");
            assert_eq!(warm.status, StatusCode::OK);
        }
        cluster.set(cluster.services[0].address, json!({"freeze_ms": 20_000})).await;
        for number in 0..100 {
            let path = format!("/consent/{number}");
            let began = Instant::now();
            let checked = cluster.send(to, Method::GET, &path, &[], "").await.expect("an answer");
            assert_eq!(checked.status, StatusCode::OK, "check {number}");
            let took = began.elapsed();
            assert!(took < Duration::from_secs(2), "check {number} took {took:?}");
        }
    });
}

/// Guards against endpoints that are taken out of service for answers that begin late: as both took
/// 60 ms where they had taken 2, the third call was refused.
#[test]
fn service_endpoints_that_answer_later_than_usual_stay_in_service() {
    run(async {
        let cluster = Cluster::serving(Setup { daemons: 1, ..Setup::default() }).await;
        let to = cluster.daemons[0].callers;
        for delay_ms in [0, 60, 250] {
            for service in &cluster.services {
                cluster.set(service.address, json!({"delay_ms": delay_ms})).await;
            }
            for number in 0..20 {
                let path = format!("/consent/{delay_ms}-{number}");
                let checked = cluster.send(to, Method::GET, &path, &[], "").await;
                let status = checked.expect("an answer").status;
                assert_eq!(status, StatusCode::OK, "check {number} at {delay_ms} ms");
            }
        }
    });
}

/// Has one of two endpoints refuse some calls, each with a `retry-after` of `rest`, then freezes the
/// other one, and checks that further calls are still served soon.
async fn freeze_after_refusals(rest: &str, refused: u32, checked: u32) {
    let cluster = Cluster::serving(Setup { daemons: 1, ..Setup::default() }).await;
    let [frozen, healthy] = [0, 1].map(|number| cluster.services[number].address);
    let to = cluster.daemons[0].callers;
    let check = async |number: u32| {
        let path = format!("/consent/{number}");
        let began = Instant::now();
        let answer = cluster.send(to, Method::GET, &path, &[], "").await.expect("an answer");
        (answer.status, began.elapsed())
    };
    cluster.set(healthy, json!({"rest": rest})).await;
    for number in 0..refused {
        check(number).await;
    }
    cluster.set(healthy, json!({"rest": ""})).await;
    cluster.set(frozen, json!({"freeze_ms": 20_000})).await;
    for number in 0..checked {
        let (status, took) = check(refused + number).await;
        assert_eq!(status, StatusCode::OK, "check {number} after {took:?}");
        assert!(took < Duration::from_secs(2), "check {number} took {took:?}");
    }
}

/// Guards against a late call that no other endpoint could take at the one moment at which it was to
/// be hedged: it waited for a frozen endpoint until its deadline and got 504 after 5 s.
#[test]
fn a_call_to_a_frozen_endpoint_is_hedged_once_another_can_take_it() {
    run(freeze_after_refusals("1", 20, 1));
}

/// Guards against late calls that wait for a frozen endpoint until their deadline, 5 s, because
/// earlier ones have used up the retries and too few requests come to earn another.
#[test]
fn a_frozen_service_endpoint_does_not_hold_calls_up_once_the_retries_are_spent() {
    run(freeze_after_refusals("0", 80, 6));
}

#[test]
fn a_retry_that_times_out_does_not_release_the_key_of_the_first_call() {
    run(async {
        let cluster = Cluster::serving(Setup::default()).await;
        for service in &cluster.services {
            cluster.set(service.address, json!({"delay_ms": 7_000})).await;
        }
        let key = ("idempotency-key", "twice");
        let to = cluster.daemons[0].callers;
        let long_deadline = [key, ("cherrystand-deadline-ms", "20000")];
        let first = cluster.send(to, Method::POST, "/consent/t", &long_deadline, "once");
        let others = async {
            tokio::time::sleep(Duration::from_millis(600)).await;
            cluster.set(cluster.platform.address, json!({"down": true})).await;
            let short_deadline = [key, ("cherrystand-deadline-ms", "500")];
            let second =
                cluster.send(to, Method::POST, "/consent/t", &short_deadline, "once").await;
            let answered = second.expect("an answer").outcome_and_reason();
            assert_eq!(answered, ("not-run".to_owned(), "keys-out-of-reach".to_owned()));
            cluster.set(cluster.platform.address, json!({"down": false})).await;
            tokio::time::sleep(Duration::from_secs(3)).await;
            let elsewhere = cluster.daemons[1].callers;
            let third =
                cluster.send(elsewhere, Method::POST, "/consent/t", &short_deadline, "once").await;
            let answered = third.expect("an answer").outcome_and_reason();
            assert_eq!(answered, ("unknown".to_owned(), "key-in-use".to_owned()));
        };
        let (first, ()) = tokio::join!(first, others);
        assert_eq!(first.expect("an answer").status, StatusCode::OK);
        assert_eq!(cluster.service_executions().await["twice"], 1);
    });
}

/// Guards against calls to an endpoint of a service that refused calls and asked for a backoff: the
/// relay read the refusal and ignored the backoff, as it once did for replicas.
#[test]
fn a_service_endpoint_that_asked_for_backoff_gets_no_requests() {
    run(async {
        let cluster = Cluster::serving(Setup { daemons: 1, ..Setup::default() }).await;
        let to = cluster.daemons[0].callers;
        let check = async |number: usize| {
            let path = format!("/consent/{number}");
            cluster.send(to, Method::GET, &path, &[], "").await.expect("an answer")
        };
        let backing_off = cluster.services[0].address;
        cluster.set(backing_off, json!({"rest": "60"})).await;
        for number in 0..60 {
            assert_eq!(check(number).await.status, StatusCode::OK, "check {number}");
        }
        let turned_away = async |at| {
            let count = cluster.send(at, Method::GET, "/control/turned-away", &[], "").await;
            serde_json::from_slice::<u32>(&count.expect("a count").body).expect("a count")
        };
        // Two calls may already be on their way when it asks.
        assert!(turned_away(backing_off).await <= 2, "{}", turned_away(backing_off).await);
        // If all endpoints back off, callers are refused at once and get a retry time.
        for service in &cluster.services {
            cluster.set(service.address, json!({"rest": "60"})).await;
        }
        let refused = loop {
            let answer = check(100).await;
            if answer.status == StatusCode::SERVICE_UNAVAILABLE {
                break answer;
            }
        };
        assert!(refused.header("retry-after").parse::<u64>().expect("seconds") > 50);
        let before = turned_away(cluster.services[1].address).await;
        for number in 0..20 {
            let status = check(number).await.status;
            assert_eq!(status, StatusCode::SERVICE_UNAVAILABLE, "check {number}");
        }
        assert_eq!(turned_away(cluster.services[1].address).await, before);
    });
}
