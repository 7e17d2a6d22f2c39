//! What each end of an attempt says about the request, and when a request is retried.

use cherrystand_core::{
    AttemptEnd, FailedAttempt, MAX_ATTEMPTS, Millis, NoRetry, Outcome, RETRY_FLOOR_INTERVAL,
    RefusalReason, RetryBudget, decide_retry,
};
use proptest::prelude::*;

#[test]
fn not_run_requires_no_byte_sent_or_the_endpoints_own_statement() {
    struct Case {
        end: AttemptEnd,
        outcome: Outcome,
        is_endpoint_failure: bool,
    }
    let case = |end, outcome, is_endpoint_failure| Case { end, outcome, is_endpoint_failure };
    let cases = [
        case(AttemptEnd::ConnectFailed, Outcome::NotRun, true),
        case(AttemptEnd::NotSent, Outcome::NotRun, true),
        case(AttemptEnd::Refused, Outcome::NotRun, false),
        case(AttemptEnd::NotServing, Outcome::NotRun, true),
        case(AttemptEnd::CutBeforeAnswer, Outcome::Unknown, true),
        case(AttemptEnd::TimedOut, Outcome::Unknown, true),
        case(AttemptEnd::AnswerCut, Outcome::Unknown, true),
        case(AttemptEnd::ReplicaLost, Outcome::Unknown, true),
        case(AttemptEnd::Overtaken, Outcome::Unknown, true),
        case(AttemptEnd::NotNeeded, Outcome::Unknown, false),
        case(AttemptEnd::CallerDisconnected, Outcome::Unknown, false),
        case(AttemptEnd::Answered, Outcome::Ran, false),
    ];
    assert_eq!(cases.len(), AttemptEnd::ALL.len(), "a case for every end");
    for case in cases {
        assert_eq!(case.end.outcome(), case.outcome, "{:?}", case.end);
        assert_eq!(case.end.is_endpoint_failure(), case.is_endpoint_failure, "{:?}", case.end);
    }
}

fn failed(end: AttemptEnd) -> FailedAttempt {
    FailedAttempt {
        end,
        attempts: 1,
        is_idempotent: true,
        answer_started: false,
        can_resend: true,
        remaining: Millis(1_000),
        typical_duration: Millis(100),
    }
}

#[test]
fn failed_attempt_is_retried_only_if_safe_and_useful() {
    struct Case {
        name: &'static str,
        failed: FailedAttempt,
        expected: Result<(), NoRetry>,
    }
    let cut = failed(AttemptEnd::CutBeforeAnswer);
    let unsent = failed(AttemptEnd::ConnectFailed);
    let cases = [
        Case { name: "idempotent", failed: cut, expected: Ok(()) },
        Case {
            name: "not idempotent, may have run",
            failed: FailedAttempt { is_idempotent: false, ..cut },
            expected: Err(NoRetry::NotRepeatable),
        },
        Case {
            name: "not idempotent, certainly not run",
            failed: FailedAttempt { is_idempotent: false, ..unsent },
            expected: Ok(()),
        },
        Case {
            name: "a part of the answer was sent",
            failed: FailedAttempt { answer_started: true, ..cut },
            expected: Err(NoRetry::AnswerBegun),
        },
        Case {
            name: "the body was not kept",
            failed: FailedAttempt { can_resend: false, ..unsent },
            expected: Err(NoRetry::NotReplayable),
        },
        Case {
            name: "the caller disconnected",
            failed: failed(AttemptEnd::CallerDisconnected),
            expected: Err(NoRetry::CallerDisconnected),
        },
        Case {
            name: "all attempts made",
            failed: FailedAttempt { attempts: MAX_ATTEMPTS, ..unsent },
            expected: Err(NoRetry::AttemptsSpent),
        },
        Case {
            name: "no time left",
            failed: FailedAttempt { remaining: Millis(100), ..unsent },
            expected: Err(NoRetry::NoTime),
        },
    ];
    for case in cases {
        let decision = decide_retry(&case.failed, &mut RetryBudget::default());
        assert_eq!(decision, case.expected, "{}", case.name);
    }
}

#[test]
fn every_refusal_has_an_error_status() {
    for reason in RefusalReason::ALL {
        assert!((400..600).contains(&reason.status()), "{reason:?}");
    }
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn retries_never_exceed_the_budget(requests in prop::collection::vec(any::<bool>(), 0..4_000)) {
        let mut budget = RetryBudget::default();
        let saved = budget.left();
        let mut retries = 0;
        for fails in &requests {
            budget.earn();
            let attempt = failed(AttemptEnd::ConnectFailed);
            retries += u32::from(*fails && decide_retry(&attempt, &mut budget).is_ok());
        }
        prop_assert!(retries <= saved + requests.len() as u32 / 10 + 1, "{} retries", retries);
    }

    #[test]
    fn an_empty_budget_grants_one_retry_in_each_interval(
        requests in prop::collection::vec((any::<bool>(), 0_u64..200), 0..4_000),
    ) {
        let mut budget = RetryBudget::default();
        let saved = budget.left();
        let (mut now, mut retries) = (Millis(0), 0);
        for (fails, pause) in &requests {
            now = now + Millis(*pause);
            budget.earn();
            budget.grant_if_empty(now);
            let attempt = failed(AttemptEnd::ConnectFailed);
            retries += u32::from(*fails && decide_retry(&attempt, &mut budget).is_ok());
        }
        let granted = (now.0 / RETRY_FLOOR_INTERVAL.0) as u32 + 1;
        let earned = requests.len() as u32 / 10 + 1;
        prop_assert!(retries <= saved + earned + granted, "{} retries", retries);
    }

    #[test]
    fn non_idempotent_call_is_run_at_most_once(
        ends in prop::collection::vec(prop::sample::select(&AttemptEnd::ALL[..]), 1..6),
    ) {
        let mut budget = RetryBudget::default();
        let mut possibly_run = 0;
        for (number, end) in ends.iter().enumerate() {
            possibly_run += u32::from(end.outcome() != Outcome::NotRun);
            if *end == AttemptEnd::Answered {
                break;
            }
            let attempts = number as u32 + 1;
            let attempt = FailedAttempt { attempts, is_idempotent: false, ..failed(*end) };
            if decide_retry(&attempt, &mut budget).is_err() {
                break;
            }
        }
        prop_assert!(possibly_run <= 1, "possibly run {} times", possibly_run);
    }
}
