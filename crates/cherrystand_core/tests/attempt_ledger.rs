//! The failure reported to a caller after several attempts.

use cherrystand_core::{
    AttemptEnd, AttemptLedger, FinalFailure, Millis, Outcome, Route, RouteKind, ServiceName,
};

const NOW: Millis = Millis(1_000);
const DEADLINE: Millis = Millis(5_000);

fn route(kind: RouteKind, resumable: bool, attempts: u32) -> Route {
    Route {
        name: "r".to_owned(),
        host: "albums.example".to_owned(),
        prefix: "/".to_owned(),
        split: vec![(ServiceName::new("app"), 1)],
        kind,
        timeout: Millis(6_000),
        latency_goal: Millis(300),
        gap_target: None,
        attempts,
        priority: 1,
        public: true,
        resumable,
        allowed_regions: Vec::new(),
    }
}

fn after(ends: &[AttemptEnd]) -> AttemptLedger {
    let mut ledger = AttemptLedger::default();
    for end in ends {
        ledger.record_sent();
        ledger.record_end(*end);
    }
    ledger
}

#[test]
fn not_run_is_reported_only_if_no_attempt_may_have_run_for_all_pairs_of_ends() {
    for first in AttemptEnd::ALL {
        for second in AttemptEnd::ALL {
            let failure = after(&[first, second]).failure();
            let none_ran = [first, second].iter().all(|end| end.outcome() == Outcome::NotRun);
            assert_eq!(failure == FinalFailure::NotRun, none_ran, "{first:?}, {second:?}");
            let last = if second.outcome() == Outcome::NotRun { first } else { second };
            if !none_ran {
                let timed_out = last == AttemptEnd::TimedOut;
                assert_eq!(failure == FinalFailure::TimedOut, timed_out, "{first:?}, {second:?}");
            }
        }
    }
}

#[test]
fn a_request_is_retried_within_its_route_its_executions_and_its_deadline() {
    struct Case {
        name: &'static str,
        route: Route,
        ends: &'static [AttemptEnd],
        now: Millis,
        may_send: bool,
    }
    let idempotent = || route(RouteKind::Idempotent, false, 2);
    let once = || route(RouteKind::NonIdempotent, false, 2);
    let cases = [
        Case {
            name: "not run, runs at most once",
            route: once(),
            ends: &[AttemptEnd::Refused],
            now: NOW,
            may_send: true,
        },
        Case {
            name: "may have run, runs at most once",
            route: once(),
            ends: &[AttemptEnd::CutBeforeAnswer],
            now: NOW,
            may_send: false,
        },
        Case {
            name: "may have run before one that did not",
            route: once(),
            ends: &[AttemptEnd::CutBeforeAnswer, AttemptEnd::Refused],
            now: NOW,
            may_send: false,
        },
        Case {
            name: "may have run, idempotent",
            route: idempotent(),
            ends: &[AttemptEnd::CutBeforeAnswer],
            now: NOW,
            may_send: true,
        },
        Case {
            name: "may have run, a resumable stream",
            route: route(RouteKind::Streaming, true, 2),
            ends: &[AttemptEnd::TimedOut],
            now: NOW,
            may_send: true,
        },
        Case {
            name: "may have run, a stream that can't be resumed",
            route: route(RouteKind::Streaming, false, 2),
            ends: &[AttemptEnd::TimedOut],
            now: NOW,
            may_send: false,
        },
        Case {
            name: "as many executions as the route allows",
            route: idempotent(),
            ends: &[AttemptEnd::CutBeforeAnswer, AttemptEnd::Answered],
            now: NOW,
            may_send: false,
        },
        Case {
            name: "refused three times",
            route: idempotent(),
            ends: &[AttemptEnd::Refused, AttemptEnd::NotServing, AttemptEnd::ConnectFailed],
            now: NOW,
            may_send: false,
        },
        Case {
            name: "deadline passed",
            route: idempotent(),
            ends: &[AttemptEnd::Refused],
            now: DEADLINE,
            may_send: false,
        },
    ];
    for case in cases {
        let ledger = after(case.ends);
        assert_eq!(
            ledger.may_send(&case.route, case.now, DEADLINE),
            case.may_send,
            "{}",
            case.name
        );
    }
}

#[test]
fn an_open_attempt_counts_as_a_possible_execution() {
    struct Case {
        name: &'static str,
        route: Route,
        open: u32,
        may_send: bool,
    }
    let stream = |attempts| route(RouteKind::Streaming, true, attempts);
    let cases = [
        Case { name: "nothing sent", route: stream(2), open: 0, may_send: true },
        Case { name: "a second one is allowed", route: stream(2), open: 1, may_send: true },
        Case { name: "as many as the route allows", route: stream(2), open: 2, may_send: false },
        Case { name: "the route allows more", route: stream(3), open: 2, may_send: true },
        Case { name: "three attempts open", route: stream(9), open: 3, may_send: false },
        Case {
            name: "runs at most once",
            route: route(RouteKind::NonIdempotent, false, 2),
            open: 1,
            may_send: false,
        },
    ];
    for case in cases {
        let mut ledger = AttemptLedger::default();
        (0..case.open).for_each(|_| ledger.record_sent());
        assert_eq!(ledger.may_send(&case.route, NOW, DEADLINE), case.may_send, "{}", case.name);
        assert_eq!(ledger.max_executions(), case.open, "{}", case.name);
        ledger.record_remaining_ends(AttemptEnd::Overtaken);
        // An overtaken attempt may have run.
        assert_eq!(ledger.max_executions(), case.open, "{}", case.name);
        assert_eq!(ledger.failure() == FinalFailure::NotRun, case.open == 0, "{}", case.name);
    }
}
