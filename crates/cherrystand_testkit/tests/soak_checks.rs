//! Tests of the soak's checks: each check reports its violation, and reports nothing if the guarantee holds.
#![allow(clippy::disallowed_methods, reason = "the machine of a test is not suspended")]

use std::time::{Duration, Instant};

use cherrystand_core::Millis;
use cherrystand_testkit::{
    Arrival, CallKind, CallOutcome, CallRecord, ColdInterval, Crash, CutInterval, Disturbance,
    EndedLeader, FaultKind, OldSend, RunRecord, SentSignal, Signal, SilentInterval, Targets,
    UnlistedInterval, draw_schedule,
};
use hyper::StatusCode;

const TARGETS: Targets = Targets { daemons: 3, boxes: 12 };

/// Builds the record of a run with one request, which by default succeeds and runs once.
fn record(change: impl FnOnce(&mut RunRecord, Instant)) -> RunRecord {
    let began = Instant::now();
    let sent = began + Duration::from_secs(60);
    let call = CallRecord {
        id: "r1".to_owned(),
        daemon: 0,
        kind: CallKind::Once,
        sent,
        ended: sent + Duration::from_millis(20),
        outcome: CallOutcome::Whole(StatusCode::OK),
    };
    let (request, body) = ("r1".to_owned(), String::new());
    let arrival =
        Arrival { request, body, target: "a-0".to_owned(), incarnation: Some(1), at: sent };
    let mut record =
        RunRecord { calls: vec![call], arrivals: vec![arrival], ..RunRecord::default() };
    record.runs.insert("r1".to_owned(), 1);
    change(&mut record, began);
    record
}

fn disturbance(daemon: Option<usize>, is_planned: bool, from: Instant, secs: u64) -> Disturbance {
    let until = from + Duration::from_secs(secs);
    Disturbance {
        daemon,
        is_planned,
        is_store: false,
        ends_processes: is_planned,
        affects_answers: false,
        is_cut: false,
        target: None,
        from,
        until,
    }
}

fn old_send(began: Instant, age_ms: u64) -> OldSend {
    let at = began + Duration::from_secs(30);
    OldSend { daemon: 0, at, age: Duration::from_millis(age_ms) }
}

/// Records that a box sent a signal to a daemon five seconds before three requests of that daemon reach it.
fn signal_sent(record: &mut RunRecord, signal: Signal) {
    let at = record.calls[0].sent - Duration::from_secs(5);
    let (request, target) = ("r1".to_owned(), "a-0".to_owned());
    record.signals = vec![SentSignal { request, target, incarnation: 1, at, signal }];
    record.arrivals = vec![record.arrivals[0].clone(); 3];
}

/// Records that a box advertised a limit for eleven seconds, and the requests that reached it ten seconds after the
/// start of that time.
fn limited(record: &mut RunRecord, limit: f64, arrivals: usize) {
    let (last, request_at) = (Duration::from_secs(10), record.calls[0].sent);
    let sent = |at| {
        let (request, target) = ("r1".to_owned(), "a-0".to_owned());
        SentSignal { request, target, incarnation: 1, at, signal: Signal::RateLimit(limit) }
    };
    record.signals = vec![sent(request_at - last), sent(request_at + Duration::from_secs(1))];
    record.arrivals = vec![record.arrivals[0].clone(); arrivals];
}

/// Records that the box no longer named a limit some time before the requests reached it, or after that.
fn limit_ended(record: &mut RunRecord, before: Duration) {
    let at = record.calls[0].sent - before + Duration::from_millis(10);
    let signal = Signal::RateLimit(f64::INFINITY);
    record.signals.insert(1, SentSignal { at, signal, ..record.signals[0].clone() });
}

/// Records that a request crashed three boxes at the start and reached boxes again later, `again` times.
fn crashes(record: &mut RunRecord, began: Instant, again: usize) {
    let (body, target) = ("crashes".to_owned(), "i-0".to_owned());
    let crash = Crash { body: body.clone(), target, at: began };
    record.crashes = vec![crash; 3];
    record.arrivals[0].body = body;
    record.arrivals = vec![record.arrivals[0].clone(); again];
}

/// Records that a box was cold for two seconds, and the requests that reached it in the middle of that time.
fn cold(record: &mut RunRecord, arrivals: usize) {
    let sent = record.calls[0].sent;
    let (from, until) = (sent - Duration::from_secs(1), sent + Duration::from_secs(1));
    let (target, incarnation) = ("a-0".to_owned(), Some(1));
    record.cold_intervals =
        vec![ColdInterval { target, incarnation, requests_per_s: 2.0, from, until }];
    record.arrivals = vec![record.arrivals[0].clone(); arrivals];
}

/// Records that a daemon was cut off from all boxes, and requests that it failed a while after the cut began.
/// Records that a sound box was silent during the request.
fn silent_beside(record: &mut RunRecord) {
    let sent = record.calls[0].sent;
    record.silences = vec![SilentInterval { from: sent, until: sent + Duration::from_secs(1) }];
}

fn leader_ended(record: &mut RunRecord) {
    let at = record.calls[0].sent + Duration::from_secs(2);
    record.ended_leaders = vec![EndedLeader { target: "i-1".to_owned(), at }];
}

fn cut_off(record: &mut RunRecord, failed: usize, after: Duration) {
    let sent = record.calls[0].sent;
    let (from, until) = (sent - after, sent + Duration::from_secs(1));
    record.cuts = vec![CutInterval { daemon: 0, from, until }];
    record.disturbances =
        vec![Disturbance { is_cut: true, ..disturbance(Some(0), false, from, 2) }];
    let refused = CallOutcome::Whole(StatusCode::SERVICE_UNAVAILABLE);
    let refused = |number| CallRecord {
        id: format!("f{number}"),
        outcome: refused,
        ..record.calls[0].clone()
    };
    let refused: Vec<CallRecord> = (0..failed).map(refused).collect();
    record.calls.extend(refused);
}

#[test]
fn each_violation_is_reported() {
    struct Case {
        name: &'static str,
        record: RunRecord,
        violation: Option<&'static str>,
    }
    let not_executed = CallOutcome::Whole(StatusCode::SERVICE_UNAVAILABLE);
    let unauthorized = CallOutcome::Whole(StatusCode::UNAUTHORIZED);
    let case = |name, violation, change: &dyn Fn(&mut RunRecord, Instant)| Case {
        name,
        violation,
        record: record(|record, began| change(record, began)),
    };
    let cases = [
        case("no violation", None, &|_, _| {}),
        case("refused while cut off", Some("2 of 3 requests at daemons"), &|record, _| {
            cut_off(record, 2, Duration::from_millis(1_100));
        }),
        case("one refused while cut off", None, &|record, _| {
            cut_off(record, 1, Duration::from_millis(1_100));
        }),
        case("refused as a cut begins", None, &|record, _| {
            cut_off(record, 2, Duration::from_millis(900));
        }),
        case("refused while cut off and something else fails", None, &|record, began| {
            cut_off(record, 2, Duration::from_millis(1_100));
            record.disturbances.push(disturbance(None, false, began, 58));
        }),
        case("sent by old knowledge", Some("by knowledge 2.001s old"), &|record, began| {
            record.old_sends = vec![old_send(began, 2_001)];
        }),
        case("sent by knowledge that is just new enough", None, &|record, began| {
            record.old_sends = vec![old_send(began, 2_000)];
        }),
        case(
            "sent by old knowledge while another daemon is paused",
            Some("2.5s old"),
            &|record, began| {
                record.old_sends = vec![old_send(began, 2_500)];
                record.disturbances = vec![disturbance(Some(1), false, began, 60)];
            },
        ),
        case("sent by old knowledge after a pause", None, &|record, began| {
            record.old_sends = vec![old_send(began, 2_500)];
            record.disturbances = vec![disturbance(Some(0), false, began, 60)];
        }),
        case("answer of another request", Some("belongs to another request"), &|record, _| {
            record.calls[0].outcome = CallOutcome::Wrong;
        }),
        case(
            "reported as not executed, but run",
            Some("reported as not executed"),
            &|record, _| {
                record.calls[0].outcome = not_executed;
            },
        ),
        case("reported as not executed, and not run", None, &|record, _| {
            record.calls[0].outcome = not_executed;
            record.runs.clear();
        }),
        case("non-idempotent request run twice", Some("run more than once"), &|record, _| {
            record.runs.insert("r1".to_owned(), 2);
        }),
        case("idempotent request run twice", None, &|record, _| {
            record.calls[0].kind = CallKind::Repeatable;
            record.runs.insert("r1".to_owned(), 2);
        }),
        case("run on three boxes", Some("more boxes"), &|record, _| {
            record.calls[0].kind = CallKind::Stream;
            record.runs.insert("r1".to_owned(), 3);
        }),
        case("cold box overloaded", Some("was cold"), &|record, _| cold(record, 9)),
        case("next incarnation of a cold box got more requests", None, &|record, _| {
            cold(record, 9);
            record.arrivals.iter_mut().for_each(|arrival| arrival.incarnation = Some(2));
        }),
        case("cold box got as many requests as the platform allows", None, &|record, _| {
            cold(record, 8)
        }),
        case("sent four times after three crashes", Some("more times after"), &|record, began| {
            crashes(record, began, 4);
        }),
        case(
            "sent four times after three crashes by a disturbed daemon",
            None,
            &|record, began| {
                crashes(record, began, 4);
                record.disturbances = vec![disturbance(Some(0), false, began, 60)];
            },
        ),
        case("sent three times after three crashes", None, &|record, began| {
            crashes(record, began, 3)
        }),
        case("valid key refused", Some("an allowed request was refused"), &|record, _| {
            record.calls[0].outcome = unauthorized;
        }),
        case("valid key refused by a disturbed daemon", None, &|record, began| {
            record.calls[0].outcome = unauthorized;
            record.disturbances.push(disturbance(Some(0), false, began, 58));
        }),
        case(
            "valid key refused while another daemon is disturbed",
            Some("an allowed request was refused"),
            &|record, began| {
                record.calls[0].outcome = unauthorized;
                record.disturbances.push(disturbance(Some(1), false, began, 58));
            },
        ),
        case("revoked key served", Some("a revoked key"), &|record, _| {
            record.calls[0].kind = CallKind::OldKey;
        }),
        case("revoked key refused", None, &|record, _| {
            record.calls[0].kind = CallKind::OldKey;
            record.calls[0].outcome = unauthorized;
        }),
        case("interrupted by a planned stop", Some("a planned stop"), &|record, began| {
            record.calls[0].outcome = CallOutcome::Broken;
            record.disturbances.push(disturbance(Some(0), true, began, 62));
        }),
        case("interrupted beside a silence", Some("a box that was silent"), &|record, _| {
            record.calls[0].outcome = CallOutcome::Broken;
            silent_beside(record);
        }),
        case("a replica ended beside a silence", Some("ordered to leave"), &|record, _| {
            silent_beside(record);
            leader_ended(record);
        }),
        case("a replica ended beside a silence and a fault", None, &|record, began| {
            silent_beside(record);
            leader_ended(record);
            record.disturbances.push(disturbance(None, false, began, 58));
        }),
        case("a replica ended without a silence", None, &|record, _| leader_ended(record)),
        case("interrupted beside a silence and a fault", None, &|record, began| {
            record.calls[0].outcome = CallOutcome::Broken;
            silent_beside(record);
            record.disturbances.push(disturbance(None, false, began, 58));
        }),
        case("interrupted beside a silence before it reached a box", None, &|record, _| {
            record.calls[0].outcome = CallOutcome::Broken;
            silent_beside(record);
            record.runs.clear();
        }),
        case("interrupted by a planned stop during another fault", None, &|record, began| {
            record.calls[0].outcome = CallOutcome::Broken;
            record.disturbances.push(disturbance(Some(0), true, began, 62));
            record.disturbances.push(disturbance(None, false, began, 61));
        }),
        case("interrupted by a planned stop and a crash of its box", None, &|record, began| {
            record.calls[0].outcome = CallOutcome::Broken;
            record.disturbances.push(disturbance(Some(0), true, began, 62));
            let (at, target) = (record.calls[0].ended, "a-0".to_owned());
            record.crashes.push(Crash { body: "crashes".to_owned(), target, at });
        }),
        case(
            "interrupted by a planned stop while another box crashes",
            Some("a planned stop"),
            &|record, began| {
                record.calls[0].outcome = CallOutcome::Broken;
                record.disturbances.push(disturbance(Some(0), true, began, 62));
                let (at, target) = (record.calls[0].ended, "a-1".to_owned());
                record.crashes.push(Crash { body: "crashes".to_owned(), target, at });
            },
        ),
        case(
            "interrupted by a planned stop before its box crashed",
            Some("a planned stop"),
            &|record, began| {
                record.calls[0].outcome = CallOutcome::Broken;
                record.disturbances.push(disturbance(Some(0), true, began, 62));
                let at = record.calls[0].ended + Duration::from_millis(1);
                let target = "a-0".to_owned();
                record.crashes.push(Crash { body: "crashes".to_owned(), target, at });
            },
        ),
        case("sent to an unlisted box", Some("a box that was unlisted"), &|record, began| {
            let until = began + Duration::from_secs(90);
            record.unlisted.push(UnlistedInterval { target: "a-0".to_owned(), from: began, until });
        }),
        case("sent to a box unlisted shortly before", None, &|record, began| {
            let from = began + Duration::from_secs(58);
            let until = began + Duration::from_secs(90);
            record.unlisted.push(UnlistedInterval { target: "a-0".to_owned(), from, until });
        }),
        case("too many retries", Some("retries"), &|record, _| {
            let arrival = record.arrivals[0].clone();
            record.arrivals.extend(vec![arrival; 60]);
        }),
        case("rate limit exceeded", Some("a-0 got 27 within 4 s, 26 allowed"), &|record, _| {
            limited(record, 3.5, 27);
        }),
        case("rate limit reached", None, &|record, _| limited(record, 3.5, 26)),
        case("more requests after the limit ended", None, &|record, _| {
            limited(record, 0.0, 9);
            limit_ended(record, Duration::from_secs(7));
        }),
        case("more requests before the limit ended", Some("a-0 got 9"), &|record, _| {
            limited(record, 0.0, 9);
            limit_ended(record, Duration::ZERO);
        }),
        case("rate limit exceeded by a suspended daemon", None, &|record, began| {
            limited(record, 3.5, 27);
            let since = began + Duration::from_secs(57);
            record.disturbances.push(Disturbance {
                ends_processes: true,
                ..disturbance(Some(0), false, since, 1)
            });
        }),
        case(
            "rate limit exceeded while the link of another box is disturbed",
            Some("a-0 got 27"),
            &|record, began| {
                limited(record, 3.5, 27);
                let target = Some("a-1".to_owned());
                let since = began + Duration::from_secs(57);
                let interval = Disturbance {
                    affects_answers: true,
                    target,
                    ..disturbance(None, false, since, 1)
                };
                record.disturbances.push(interval);
            },
        ),
        case(
            "sent three times during backoff",
            Some("Backoff(10s) in its answer to r1, and got 3"),
            &|record, _| {
                signal_sent(record, Signal::Backoff(Duration::from_secs(10)));
            },
        ),
        case("sent twice during backoff", None, &|record, _| {
            signal_sent(record, Signal::Backoff(Duration::from_secs(10)));
            record.arrivals.truncate(2);
        }),
        case("sent after backoff", None, &|record, _| {
            signal_sent(record, Signal::Backoff(Duration::from_secs(4)));
        }),
        case("sent during backoff of an earlier incarnation", None, &|record, _| {
            signal_sent(record, Signal::Backoff(Duration::from_secs(10)));
            record.signals[0].incarnation = 0;
        }),
        case("sent during backoff by a daemon that was suspended", None, &|record, began| {
            signal_sent(record, Signal::Backoff(Duration::from_secs(10)));
            let since = began + Duration::from_secs(57);
            record.disturbances.push(Disturbance {
                ends_processes: true,
                ..disturbance(Some(0), false, since, 1)
            });
        }),
        case(
            "sent to a leaving box while another daemon was suspended",
            Some("Leaving in its answer to r1, and got 3"),
            &|record, began| {
                signal_sent(record, Signal::Leaving);
                let since = began + Duration::from_secs(57);
                record.disturbances.push(Disturbance {
                    ends_processes: true,
                    ..disturbance(Some(1), false, since, 1)
                });
            },
        ),
        case("signal lost on its way", None, &|record, began| {
            signal_sent(record, Signal::Leaving);
            record.disturbances.push(Disturbance {
                affects_answers: true,
                ..disturbance(None, false, began + Duration::from_secs(54), 2)
            });
        }),
        case("violation detected by a box", Some("joined"), &|record, _| {
            record.box_faults.push("i-1 joined one replica without leaving another".to_owned());
        }),
    ];
    for case in cases {
        let violations = case.record.violations();
        match case.violation {
            None => assert_eq!(violations, Vec::<String>::new(), "{}", case.name),
            Some(text) => {
                let found = violations.iter().any(|line| line.contains(text));
                assert!(found, "{}: {violations:?}", case.name);
            }
        }
    }
}

#[test]
fn schedules_are_deterministic_and_cover_all_usual_fault_kinds() {
    let span = Millis(12_000);
    let kind_of = |kind: FaultKind| {
        let text = format!("{kind:?}");
        text.split(['(', ' ']).next().unwrap_or_default().to_owned()
    };
    let mut kinds = std::collections::BTreeSet::new();
    for seed in 0..60 {
        let faults = draw_schedule(seed, TARGETS, span);
        assert_eq!(faults, draw_schedule(seed, TARGETS, span));
        assert!(faults.iter().all(|fault| fault.at < span));
        kinds.extend(faults.into_iter().map(|fault| kind_of(fault.kind)));
    }
    assert_eq!(kinds.len(), 14, "{kinds:?}");
}
