//! Boxes that are sound, and silent for a second.
#![allow(clippy::disallowed_methods, reason = "the machine of a test is not suspended")]

mod support;

use std::time::Duration;

use cherrystand_testkit::{BoxMode, whole_stream};
use hyper::StatusCode;
use support::site::{MODEL_PATH, SERVICE_PATH, Site, call, config, six_streams};

/// For how long a sound box is silent.
const SILENCE: Duration = Duration::from_millis(1_000);

/// How long after all boxes fell silent they are known to be.
const KNOWN: Duration = Duration::from_millis(700);

/// All boxes of the models.
const BOXES: [&str; 5] = ["i-1", "i-2", "i-3", "i-4", "i-5"];

/// How long after a silence everything that follows from it has happened.
const SETTLED: Duration = Duration::from_millis(1_000);

/// The time between two changes of the configuration.
const CHANGE_INTERVAL: Duration = Duration::from_millis(300);

/// Changes the configuration again and again, without an effect on the requests of the test.
async fn change_configuration(site: &Site) {
    for version in 2.. {
        tokio::time::sleep(CHANGE_INTERVAL).await;
        site.stand_in.configure(&config(version, "/calls/", &["k1"]));
    }
}

#[test]
fn a_second_of_silence_of_a_sound_box_ends_no_answer_and_no_replica() {
    struct Case {
        name: &'static str,
        daemons: usize,
        /// The member of the replica that is silent; 0 is the leader.
        rank: usize,
        /// When it falls silent, in milliseconds after the requests arrived.
        after_ms: u64,
        silence: Duration,
        retry_slack: f64,
    }
    let leader = Case {
        name: "the leader",
        daemons: 2,
        rank: 0,
        after_ms: 250,
        silence: SILENCE,
        retry_slack: 136.0,
    };
    let cases = [
        Case {
            name: "the leader, nearly as long as a sound box may be",
            silence: Duration::from_millis(1_400),
            retry_slack: 0.0,
            ..leader
        },
        Case { name: "the leader, no retry is left", retry_slack: 0.0, ..leader },
        Case {
            name: "the leader, no answer has begun, no retry is left",
            after_ms: 0,
            retry_slack: 0.0,
            ..leader
        },
        Case { name: "a member", rank: 1, ..leader },
        Case { name: "a member, no retry is left", rank: 1, retry_slack: 0.0, ..leader },
        Case { name: "the leader, one daemon", daemons: 1, retry_slack: 0.0, ..leader },
        leader,
    ];
    support::run(async {
        let all = cases.into_iter().map(|case| async move {
            let site = Site::serving_with(case.daemons, case.retry_slack).await;
            let replicas = site.stand_in.leaders();
            let silent = &replicas.values().next().expect("a replica")[case.rank];
            let silence = async {
                tokio::time::sleep(Duration::from_millis(case.after_ms)).await;
                site.stand_in.set_mode(silent, BoxMode::Silent);
                tokio::time::sleep(case.silence).await;
                site.stand_in.set_mode(silent, BoxMode::Well);
            };
            let streams = async { tokio::join!(six_streams(&site.nodes[0]), silence) };
            let (answers, ()) = tokio::select! {
                ended = streams => ended,
                () = change_configuration(&site) => unreachable!("it goes on"),
            };
            tokio::time::sleep(SETTLED).await;
            let mut lost: Vec<String> = answers
                .into_iter()
                .filter(|(answer, id)| answer.text() != whole_stream(id))
                .map(|(answer, id)| format!("{}: {id} {}", case.name, answer.status))
                .collect();
            if site.stand_in.leaders() != replicas {
                lost.push(format!("{}: a replica was given up", case.name));
            }
            lost.extend(site.stand_in.violations());
            lost
        });
        let lost: Vec<String> = futures_util::future::join_all(all).await.concat();
        assert!(lost.is_empty(), "{lost:#?}");
    });
}

#[test]
fn a_call_to_a_service_that_is_silent_for_a_second_is_answered() {
    support::run(async {
        let site = Site::serving_with(2, 0.0).await;
        for id in ["a-1", "a-2"] {
            site.stand_in.set_mode(id, BoxMode::Silent);
        }
        let calls = (0..8).map(async |number| {
            let id = format!("c{number}");
            (call(&site.nodes[0], "POST", SERVICE_PATH, &id, "k1").await.status, id)
        });
        let silence = async {
            tokio::time::sleep(SILENCE).await;
            for id in ["a-1", "a-2"] {
                site.stand_in.set_mode(id, BoxMode::Well);
            }
        };
        let (answers, ()) = tokio::join!(futures_util::future::join_all(calls), silence);
        for (status, id) in answers {
            assert_eq!(status, StatusCode::OK, "{id}");
            assert_eq!(site.stand_in.runs_of(&id).len(), 1, "{id}");
        }
    });
}

#[test]
fn requests_that_arrive_while_all_replicas_are_silent_are_served() {
    support::run(async {
        let site = Site::serving_with(2, 0.0).await;
        let replicas = site.stand_in.leaders();
        let set_all = |mode| BOXES.into_iter().for_each(|id| site.stand_in.set_mode(id, mode));
        set_all(BoxMode::Silent);
        let early = six_streams(&site.nodes[0]);
        let late = async {
            tokio::time::sleep(KNOWN).await;
            let late = (0..6).map(async |number| {
                let id = format!("late{number}");
                (call(&site.nodes[1], "POST", MODEL_PATH, &id, "k1").await, id)
            });
            futures_util::future::join_all(late).await
        };
        let silence = async {
            tokio::time::sleep(SILENCE).await;
            set_all(BoxMode::Well);
        };
        let (early, late, ()) = tokio::join!(early, late, silence);
        let mut lost: Vec<String> = early
            .into_iter()
            .chain(late)
            .filter(|(answer, id)| answer.text() != whole_stream(id))
            .map(|(answer, id)| format!("{id} {}", answer.status))
            .collect();
        tokio::time::sleep(SETTLED).await;
        if site.stand_in.leaders() != replicas {
            lost.push("a replica was given up".to_owned());
        }
        assert!(lost.is_empty(), "{lost:#?}");
    });
}
