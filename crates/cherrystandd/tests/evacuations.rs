//! Availability zones that operators evacuate and return to traffic.
#![allow(clippy::disallowed_methods, reason = "the machine of a test is not suspended")]

mod support;

use std::time::{Duration, Instant};

use cherrystand_testkit::{ColdReport, StoreMode};
use futures_util::future::join_all;
use serde_json::json;
use support::caller_requests::{
    CallerRequest, describe_failures, is_served, prefix_with_case, run_cases, send_request,
    send_to_all,
};
use support::site::{MODEL_PATH, SERVICE_PATH, Site, config};

/// How often each daemon gets a request.
const REQUEST_INTERVAL: Duration = Duration::from_millis(50);

/// When the zone is evacuated, and how long requests are sent.
const EVACUATED_AFTER: Duration = Duration::from_secs(1);
const REQUESTS_FOR: Duration = Duration::from_secs(4);

/// The zone of the daemons, whose endpoints they prefer.
const EVACUATED: &str = "z1";

/// How long after the store acknowledged the evacuation requests may still be sent to the zone.
const PROPAGATION_LIMIT: Duration = Duration::from_secs(1);

/// How long a request may take to be refused if no endpoint may serve it.
const REFUSAL_LIMIT: Duration = Duration::from_millis(300);

/// Returns how many requests reached the boxes of a zone after a time.
fn sent_to(site: &Site, zone: &str, from: Instant) -> usize {
    let boxes = site.stand_in.boxes_in(zone);
    let arrivals = site.stand_in.arrivals();
    arrivals.iter().filter(|arrival| boxes.contains(&arrival.target) && arrival.at > from).count()
}

/// Guards against evacuations that no daemon reads: 632 requests were sent to the replicas of an
/// evacuated zone after all daemons had to know of it.
#[test]
fn nothing_is_sent_to_an_evacuated_zone() {
    #[derive(Clone, Copy)]
    enum Condition {
        Nothing,
        /// The store rejects one daemon's calls.
        NodeRejected,
        /// A daemon starts while the zone is evacuated, and gets requests at once.
        NodeStarts,
        /// There are also a key of an unknown zone and one that names no zone at all.
        UnknownZones,
    }
    struct Case {
        name: &'static str,
        path: &'static str,
        value: &'static [u8],
        condition: Condition,
    }
    let case =
        Case { name: "streams", path: MODEL_PATH, value: b"{}", condition: Condition::Nothing };
    let cases = [
        Case { name: "a plain service", path: SERVICE_PATH, ..case },
        Case { name: "an unreadable value", value: b"\xff\x00{", ..case },
        Case {
            name: "a daemon that the store rejects",
            condition: Condition::NodeRejected,
            ..case
        },
        Case { name: "a daemon that starts", condition: Condition::NodeStarts, ..case },
        Case { name: "additional unknown zones", condition: Condition::UnknownZones, ..case },
        case,
    ];
    support::run(async {
        let all = cases.into_iter().map(|case| async move {
            let mut site = Site::in_two_zones(3, &config(1, "/calls/", &["k1"])).await;
            if let Condition::NodeRejected = case.condition {
                site.stand_in.set_store_mode(1, StoreMode::Busy);
            }
            let asking = send_to_all(&site.nodes, case.path, REQUEST_INTERVAL, REQUESTS_FOR);
            let evacuating = async {
                tokio::time::sleep(EVACUATED_AFTER).await;
                if let Condition::UnknownZones = case.condition {
                    site.stand_in.evacuate("nowhere", b"{}");
                    site.stand_in.evacuate("", b"{}");
                }
                site.stand_in.evacuate(EVACUATED, case.value);
                Instant::now()
            };
            let (mut asked, evacuated_at) = tokio::join!(asking, evacuating);
            let before = site.stand_in.arrivals();
            let boxes = site.stand_in.boxes_in(EVACUATED);
            let before = before.iter().filter(|arrival| arrival.at < evacuated_at);
            let before = before.filter(|arrival| boxes.contains(&arrival.target)).count();
            if let Condition::NodeStarts = case.condition {
                let seed = site.nodes[0].peers;
                site.add_daemon(seed).await;
                let node = site.nodes.last().expect("a node");
                let first =
                    (0..40).map(|number| send_request(node, case.path, format!("n3-{number}")));
                let first = join_all(first).await;
                // Requests sent before it listens do not count.
                asked.extend(first.into_iter().filter(is_served));
            }
            let late = sent_to(&site, EVACUATED, evacuated_at + PROPAGATION_LIMIT);
            let mut wrong = Vec::new();
            if before == 0 || late > 0 {
                wrong.push(format!("{before} sent to the zone before, {late} after"));
            }
            wrong.extend(describe_failures(&asked));
            prefix_with_case(case.name, wrong)
        });
        let wrong = run_cases(all).await.concat();
        assert!(wrong.is_empty(), "{} wrong: {wrong:#?}", wrong.len());
    });
}

/// If all zones are evacuated, requests are refused at once with a `retry-after` header and reach
/// no box.
#[test]
fn with_all_zones_evacuated_requests_are_refused_at_once() {
    support::run(async {
        let site = Site::in_two_zones(2, &config(1, "/calls/", &["k1"])).await;
        for zone in ["z1", "z2"] {
            site.stand_in.evacuate(zone, b"{}");
        }
        tokio::time::sleep(PROPAGATION_LIMIT).await;
        let from = Instant::now();
        for path in [MODEL_PATH, SERVICE_PATH] {
            let asked =
                send_to_all(&site.nodes, path, REQUEST_INTERVAL, Duration::from_secs(1)).await;
            let wrong: Vec<&CallerRequest> = asked
                .iter()
                .filter(|asked| {
                    let after: Option<f64> = asked.answer.header("retry-after").parse().ok();
                    let is_refused = asked.answer.status == 503 && asked.elapsed < REFUSAL_LIMIT;
                    !is_refused || after.is_none_or(|after| after < 0.5)
                })
                .collect();
            let first = wrong.first().map(|asked| (asked.answer.status, asked.elapsed));
            assert!(wrong.is_empty(), "{path}: {} wrong, first {first:?}", wrong.len());
        }
        assert_eq!(sent_to(&site, "z1", from) + sent_to(&site, "z2", from), 0);
        // The zone serves at once, because its replicas were kept.
        site.stand_in.end_evacuation("z1");
        tokio::time::sleep(PROPAGATION_LIMIT).await;
        let asked =
            send_to_all(&site.nodes, MODEL_PATH, REQUEST_INTERVAL, Duration::from_secs(1)).await;
        assert_eq!(describe_failures(&asked), None);
    });
}

/// The requests per second that a cold endpoint can handle in these tests.
const COLD_PER_S: usize = 4;

/// How long an endpoint is cold according to the configuration, in seconds.
const COLD_S: f64 = 3.0;

/// The span over which the requests to a cold endpoint are counted.
const SPAN: Duration = Duration::from_secs(1);

/// Returns the most requests that reached a box within one second between two times.
fn most_in_a_second(site: &Site, id: &str, from: Instant, until: Instant) -> usize {
    let arrivals = site.stand_in.arrivals();
    let own = arrivals.iter().filter(|arrival| arrival.target == id);
    let own: Vec<Instant> =
        own.map(|arrival| arrival.at).filter(|at| *at >= from && *at < until).collect();
    let within = |last: &Instant| {
        own.iter().filter(|at| **at <= *last && last.duration_since(**at) < SPAN).count()
    };
    own.iter().map(within).max().unwrap_or_default()
}

/// Guards against daemons that ignore that endpoints are cold: after a zone returned to traffic its
/// cold replicas got 27 and 30 requests in one second, while they could handle 14.
#[test]
fn all_daemons_together_respect_the_rate_of_a_cold_endpoint() {
    #[derive(Clone, Copy, PartialEq)]
    enum ColdCause {
        /// The endpoint turns cold at any moment and reports it.
        Cold(ColdReport),
        /// The endpoint turns cold while its zone is evacuated, and its entry states so only later.
        ZoneReturned,
    }
    struct Case {
        name: &'static str,
        cause: ColdCause,
    }
    /// How long all daemons may take to learn that the endpoint is cold.
    const DETECTION_LIMIT: Duration = Duration::from_millis(600);
    /// How long the endpoint is cold.
    const COLD: Duration = Duration::from_secs(4);
    /// How long after the return of its zone the endpoint's entry states that it is cold.
    const REPORTED_AFTER: Duration = Duration::from_secs(1);
    let cases = [
        Case { name: "its entry states so", cause: ColdCause::Cold(ColdReport::Entry) },
        Case { name: "only its answers state so", cause: ColdCause::Cold(ColdReport::Answers) },
        Case { name: "its zone returns to traffic", cause: ColdCause::ZoneReturned },
    ];
    support::run(async {
        let all = cases.into_iter().map(|case| async move {
            let mut config = config(1, "/calls/", &["k1"]);
            for service in [0, 1] {
                config["services"][service]["cold_per_s"] = json!(COLD_PER_S);
                config["services"][service]["cold_start_s"] = json!(COLD_S);
            }
            let site = Site::in_two_zones(3, &config).await;
            let asking =
                send_to_all(&site.nodes, SERVICE_PATH, REQUEST_INTERVAL, Duration::from_secs(8));
            let turning_cold = async {
                tokio::time::sleep(EVACUATED_AFTER).await;
                let ColdCause::Cold(reported) = case.cause else {
                    site.stand_in.evacuate(EVACUATED, b"{}");
                    tokio::time::sleep(Duration::from_secs(2)).await;
                    site.stand_in.turn_cold("a-1", COLD, ColdReport::Nowhere);
                    site.stand_in.end_evacuation(EVACUATED);
                    let returned_at = Instant::now();
                    tokio::time::sleep(REPORTED_AFTER).await;
                    site.stand_in.turn_cold("a-1", COLD - REPORTED_AFTER, ColdReport::Entry);
                    return returned_at;
                };
                site.stand_in.turn_cold("a-1", COLD, reported);
                Instant::now() + DETECTION_LIMIT
            };
            let (asked, from) = tokio::join!(asking, turning_cold);
            let until = from + COLD - DETECTION_LIMIT;
            let most = most_in_a_second(&site, "a-1", from, until);
            let mut wrong = Vec::new();
            if most > COLD_PER_S + 2 || most == 0 {
                wrong.push(format!("{most} requests in a second, the limit is {COLD_PER_S}"));
            }
            wrong.extend(describe_failures(&asked));
            prefix_with_case(case.name, wrong)
        });
        let wrong = run_cases(all).await.concat();
        assert!(wrong.is_empty(), "{} wrong: {wrong:#?}", wrong.len());
    });
}

/// Guards against endpoints that turn cold while nobody can read their entries: two got 11 and 13
/// requests in a second where 5 were allowed.
#[test]
fn an_endpoint_that_turns_cold_in_an_outage_of_the_store_is_spared() {
    /// How long the store answers nobody.
    const OUTAGE: Duration = Duration::from_millis(4_500);
    /// How long after the beginning of the outage the endpoint turns cold.
    const COLD_AFTER: Duration = Duration::from_millis(1_700);
    /// How long all daemons may take to learn it.
    const DETECTION_LIMIT: Duration = Duration::from_secs(1);
    /// What the platform lets a cold endpoint get in a second.
    const ALLOWED: usize = COLD_PER_S * 3 / 2 + 5;
    struct Case {
        name: &'static str,
        path: &'static str,
        /// The endpoint that turns cold; all leaders of replicas if none is named.
        endpoint: Option<&'static str>,
    }
    let cases = [
        Case { name: "a plain endpoint", path: SERVICE_PATH, endpoint: Some("a-1") },
        Case { name: "all replicas", path: MODEL_PATH, endpoint: None },
    ];
    support::run(async {
        let all = cases.into_iter().map(|case| async move {
            let mut config = config(1, "/calls/", &["k1"]);
            for service in [0, 1] {
                config["services"][service]["cold_per_s"] = json!(COLD_PER_S);
                config["services"][service]["cold_start_s"] = json!(COLD_S);
            }
            let site = Site::in_two_zones(3, &config).await;
            let ids: Vec<String> = match case.endpoint {
                Some(endpoint) => vec![endpoint.to_owned()],
                None => site.stand_in.leaders().into_keys().collect(),
            };
            let set_store = |mode| (0..3).for_each(|node| site.stand_in.set_store_mode(node, mode));
            let asking =
                send_to_all(&site.nodes, case.path, REQUEST_INTERVAL, Duration::from_secs(5));
            let turning_cold = async {
                set_store(StoreMode::Silent);
                tokio::time::sleep(COLD_AFTER).await;
                for id in &ids {
                    site.stand_in.turn_cold(id, Duration::from_secs(8), ColdReport::Entry);
                }
                let from = Instant::now() + DETECTION_LIMIT;
                tokio::time::sleep(OUTAGE - COLD_AFTER).await;
                let until = Instant::now();
                set_store(StoreMode::Open);
                (from, until)
            };
            let (_, (from, until)) = tokio::join!(asking, turning_cold);
            let most = ids.iter().map(|id| most_in_a_second(&site, id, from, until));
            let most = most.max().unwrap_or_default();
            let is_wrong = most > ALLOWED || most == 0;
            let wrong = is_wrong.then(|| format!("{most} in a second, {ALLOWED} allowed"));
            prefix_with_case(case.name, wrong.into_iter().collect())
        });
        let wrong = run_cases(all).await.concat();
        assert!(wrong.is_empty(), "{} wrong: {wrong:#?}", wrong.len());
    });
}
