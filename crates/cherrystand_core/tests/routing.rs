//! Endpoint selection, admission control, limits and queues.

use cherrystand_core::{
    Admission, AdmissionLimits, AttemptEnd, CircuitBreaker, Class, ConcurrencyLimit, EndpointKey,
    EndpointSpec, GroupKey, INITIAL_OPEN_TIME, Millis, NoEndpoint, RefusalReason, Router,
    SeededRng, WaitQueue, WorkspaceId,
};
use proptest::prelude::*;

const NOW: Millis = Millis(60_000);

fn router(near: usize, far: usize, limit: u32) -> (Router, GroupKey, Vec<EndpointKey>) {
    let mut router = Router::default();
    let group = router.add_group();
    let spec = |near| EndpointSpec { near, initial_limit: limit, max_limit: limit };
    let keys = (0..near + far).map(|number| router.add_endpoint(group, spec(number < near)));
    let keys = keys.collect();
    (router, group, keys)
}

#[test]
fn own_zone_is_preferred_until_it_is_full() {
    let (mut router, group, keys) = router(2, 2, 1);
    let mut rng = SeededRng::new(7);
    let mut chosen = Vec::new();
    for _ in 0..4 {
        let key = router.choose(group, None, NOW, &mut rng).expect("an endpoint");
        assert!(router.start(key, NOW).is_some());
        chosen.push(keys.iter().position(|other| *other == key).expect("known"));
    }
    assert!(chosen[..2].iter().all(|number| *number < 2), "{chosen:?}");
    assert!(chosen[2..].iter().all(|number| *number >= 2), "{chosen:?}");
    assert_eq!(router.choose(group, None, NOW, &mut rng), Err(NoEndpoint::AllFull));
}

#[test]
fn failed_endpoint_is_skipped_and_probed_later() {
    struct Case {
        end: AttemptEnd,
        at_once: Result<(), NoEndpoint>,
    }
    let cases = [
        Case { end: AttemptEnd::ConnectFailed, at_once: Err(NoEndpoint::NoneServing) },
        Case { end: AttemptEnd::NotServing, at_once: Err(NoEndpoint::NoneServing) },
        Case { end: AttemptEnd::TimedOut, at_once: Err(NoEndpoint::NoneServing) },
        Case { end: AttemptEnd::CallerDisconnected, at_once: Ok(()) },
        Case { end: AttemptEnd::NotNeeded, at_once: Ok(()) },
        Case { end: AttemptEnd::Answered, at_once: Ok(()) },
        Case { end: AttemptEnd::Refused, at_once: Ok(()) },
    ];
    for case in cases {
        let (mut router, group, keys) = router(1, 0, 8);
        assert!(router.start(keys[0], NOW).is_some());
        router.finish(keys[0], case.end, NOW, None);
        let choose = |now| router.choose(group, None, now, &mut SeededRng::new(1)).map(|_| ());
        assert_eq!(choose(NOW), case.at_once, "{:?}", case.end);
        assert_eq!(choose(NOW + INITIAL_OPEN_TIME), Ok(()), "{:?}", case.end);
    }
}

#[test]
fn prefix_stays_on_one_endpoint_until_it_is_hot() {
    let (mut router, group, _) = router(8, 0, 64);
    let mut rng = SeededRng::new(3);
    let prefix = Some(0xfeed);
    let first = router.choose(group, prefix, NOW, &mut rng).expect("an endpoint");
    for _ in 0..20 {
        let again = router.choose(group, prefix, NOW, &mut rng).expect("an endpoint");
        assert_eq!(again, first, "an endpoint that is not overloaded keeps its prefix");
    }
    let mut used = std::collections::BTreeSet::new();
    for _ in 0..64 {
        let key = router.choose(group, prefix, NOW, &mut rng).expect("an endpoint");
        assert!(router.start(key, NOW).is_some());
        used.insert(key);
    }
    assert!(used.len() >= 6, "a hot prefix spreads, but went to {}", used.len());
    let most = used.iter().map(|key| router.load(*key).0).max();
    assert!(most <= Some(16), "the hottest has {most:?} of 64");
}

#[test]
fn load_reports_count_until_they_expire() {
    let (mut router, group, keys) = router(2, 0, 64);
    router.report_load(keys[0], NOW, 50);
    let mut rng = SeededRng::new(5);
    let mut picks = |now| {
        let picked =
            (0..100).map(|_| router.choose(group, None, now, &mut rng).expect("an endpoint"));
        picked.filter(|key| *key == keys[0]).count()
    };
    assert_eq!(picks(NOW), 0);
    let later = picks(NOW + Millis(6_000));
    assert!((25..=75).contains(&later), "{later}");
}

#[test]
fn circuit_breaker_allows_one_probe_and_doubles_its_open_time() {
    let mut breaker = CircuitBreaker::default();
    let mut now = NOW;
    for expected in [500, 1_000, 2_000, 4_000, 8_000, 8_000] {
        breaker.record_failure(now);
        assert!(!breaker.allows(now + Millis(expected - 1)), "{expected}");
        now = now + Millis(expected);
        assert!(breaker.allows(now), "{expected}");
        breaker.record_start();
        assert!(!breaker.allows(now), "one probe at a time");
    }
    breaker.record_success();
    assert!(breaker.allows(now));
}

#[test]
fn concurrency_limit_grows_with_timely_answers_and_shrinks_with_late_ones() {
    let mut limit = ConcurrencyLimit::new(4, 64);
    for step in 0..200 {
        limit.record_answer(Millis(step * 100), Millis(100), limit.get());
    }
    let grown = limit.get();
    assert!(grown > 10, "{grown}");
    for step in 200..260 {
        limit.record_answer(Millis(step * 1_000), Millis(2_000), grown);
    }
    assert!(limit.get() < grown, "{} of {grown}", limit.get());
    assert!(limit.get() >= 1);
}

#[test]
fn admission_reserves_for_consent_and_shares_between_workspaces() {
    struct Case {
        name: &'static str,
        in_flight: &'static [(Class, &'static str, u32)],
        request: (Class, &'static str),
        refusal_reason: Option<RefusalReason>,
    }
    let cases = [
        Case { name: "empty", in_flight: &[], request: (Class::Batch, "a"), refusal_reason: None },
        Case {
            name: "the shared limit is reached",
            in_flight: &[(Class::Interactive, "a", 80)],
            request: (Class::Interactive, "b"),
            refusal_reason: Some(RefusalReason::NodeFull),
        },
        Case {
            name: "consent is admitted although the shared limit is reached",
            in_flight: &[(Class::Interactive, "a", 80)],
            request: (Class::Consent, "a"),
            refusal_reason: None,
        },
        Case {
            name: "consent beyond its reserved part uses the shared limit",
            in_flight: &[(Class::Consent, "a", 50)],
            request: (Class::Consent, "a"),
            refusal_reason: None,
        },
        Case {
            name: "a workspace with its share of a busy node",
            in_flight: &[(Class::Interactive, "a", 40), (Class::Interactive, "b", 30)],
            request: (Class::Interactive, "a"),
            refusal_reason: Some(RefusalReason::WorkspaceShare),
        },
        Case {
            name: "a workspace below its share of a busy node",
            in_flight: &[(Class::Interactive, "a", 40), (Class::Interactive, "b", 30)],
            request: (Class::Interactive, "b"),
            refusal_reason: None,
        },
        Case {
            name: "batch may use half of the shared limit",
            in_flight: &[(Class::Batch, "a", 40)],
            request: (Class::Batch, "a"),
            refusal_reason: Some(RefusalReason::NodeFull),
        },
    ];
    for case in cases {
        let limits = AdmissionLimits { total: 100, reserved_for_consent: 20, batch_percent: 50 };
        let mut admission = Admission::new(limits);
        for (class, workspace, count) in case.in_flight {
            for _ in 0..*count {
                let admitted = admission.admit(*class, &WorkspaceId::new(*workspace));
                assert_eq!(admitted, Ok(()), "{}", case.name);
            }
        }
        let (class, workspace) = case.request;
        let admitted = admission.admit(class, &WorkspaceId::new(workspace));
        assert_eq!(
            admitted.err().map(|refusal| refusal.reason),
            case.refusal_reason,
            "{}",
            case.name
        );
    }
}

#[test]
fn too_long_wait_is_refused_at_once_with_a_retry_time() {
    let mut queue = WaitQueue::default();
    let mut joined = 0;
    let refusal = loop {
        match queue.join(Millis(1_300), Millis(300)) {
            Ok(()) => joined += 1,
            Err(refusal) => break refusal,
        }
    };
    assert_eq!(joined, 20, "20 waits of 50 ms each make a second");
    assert_eq!(refusal.reason, RefusalReason::WaitTooLong);
    assert_eq!(refusal.retry_after, Some(Millis(1_050)));
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn counters_return_to_zero_and_limits_are_kept(
        steps in prop::collection::vec((any::<u64>(), 0_usize..10), 1..300),
        near in 1_usize..5,
        far in 0_usize..5,
    ) {
        let (mut router, group, keys) = router(near, far, 3);
        let mut rng = SeededRng::new(9);
        let mut open: Vec<EndpointKey> = Vec::new();
        for (number, (prefix, end)) in steps.into_iter().enumerate() {
            let now = NOW + Millis(number as u64 * 50);
            if end < 5 || open.is_empty() {
                if let Ok(key) = router.choose(group, Some(prefix), now, &mut rng) {
                    assert!(router.start(key, now).is_some());
                    open.push(key);
                }
            } else {
                let key = open.swap_remove(prefix as usize % open.len());
                router.finish(key, AttemptEnd::ALL[end], now, None);
            }
            for key in &keys {
                let (in_flight, limit) = router.load(*key);
                prop_assert!(in_flight <= limit.max(3));
                let counted = open.iter().filter(|other| *other == key).count();
                prop_assert_eq!(in_flight as usize, counted);
            }
        }
    }
}
