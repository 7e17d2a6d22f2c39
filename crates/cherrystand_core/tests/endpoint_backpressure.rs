//! Backpressure of endpoints, and which requests may be sent to them.

use cherrystand_core::{
    AllowedRegions, BackpressureState, BoxId, EndpointBackpressure, LoadBalancer, MAX_BACKOFF,
    Millis, ObservedRateLimit, RequestRate, RequestSpec, SeededRng, SendPermit, ServiceName,
    TargetSpec,
};
use proptest::prelude::*;

const NOW: Millis = Millis(50_000);

/// An endpoint of the service `app`.
fn service_target(id: BoxId) -> TargetSpec {
    TargetSpec {
        id,
        service: ServiceName::new("app"),
        model: None,
        near: true,
        slots: 6,
        region: None,
        evacuated_since: None,
        cold: None,
        is_silent: false,
    }
}

fn service_request(service: &ServiceName) -> RequestSpec<'_> {
    RequestSpec {
        service,
        model: None,
        prompt_tokens: 0.0,
        latency_goal: Millis(100),
        regions: AllowedRegions::default(),
    }
}

fn first_incarnation() -> BoxId {
    BoxId::new("i-1").with_incarnation(7)
}

#[test]
fn overlapping_backoffs_end_with_the_last() {
    struct Case {
        name: &'static str,
        /// When a backoff is requested, and for how long.
        requested: &'static [(u64, Millis)],
        until: Millis,
    }
    let cases = [
        Case { name: "one backoff", requested: &[(0, Millis(3_000))], until: Millis(3_000) },
        Case {
            name: "a shorter one within it",
            requested: &[(0, Millis(3_000)), (500, Millis(1_000))],
            until: Millis(3_000),
        },
        Case {
            name: "a longer one within it",
            requested: &[(0, Millis(3_000)), (500, Millis(4_000))],
            until: Millis(4_500),
        },
        Case {
            name: "capped at the maximum",
            requested: &[(0, Millis(u64::MAX))],
            until: MAX_BACKOFF,
        },
    ];
    for case in cases {
        let mut backpressure = EndpointBackpressure::default();
        for (at, backoff) in case.requested {
            backpressure.record_backoff(&first_incarnation(), *backoff, 1, NOW + Millis(*at));
        }
        let until = NOW + case.until;
        let last = until - Millis(1);
        assert_eq!(
            backpressure.state(&first_incarnation(), 0, last),
            BackpressureState::BackingOff(until),
            "{}",
            case.name
        );
        assert!(
            backpressure.acquire_permit(&first_incarnation(), 0, last).is_none(),
            "{}",
            case.name
        );
        assert_eq!(
            backpressure.state(&first_incarnation(), 0, until),
            BackpressureState::Open,
            "{}",
            case.name
        );
    }
}

#[test]
fn backpressure_applies_to_one_incarnation() {
    let (next_incarnation, another) =
        (BoxId::new("i-1").with_incarnation(8), BoxId::new("i-2").with_incarnation(7));
    let mut backpressure = EndpointBackpressure::default();
    backpressure.record_backoff(&first_incarnation(), Millis(60_000), 1, NOW);
    assert!(backpressure.record_leaving(&another));
    assert!(!backpressure.record_leaving(&another), "already known");
    assert!(backpressure.acquire_permit(&first_incarnation(), 0, NOW).is_none());
    assert!(
        backpressure
            .acquire_permit(&next_incarnation, 0, NOW)
            .is_some_and(|permit| !permit.is_after_backoff())
    );
    // Leaving is final, however long ago it was announced.
    for later in [0, 10_000, 100_000_000] {
        assert!(
            backpressure.acquire_permit(&another, 0, NOW + Millis(later)).is_none(),
            "{later} ms later"
        );
    }
}

/// Guards against a thundering herd: nine daemons sent all their callers to a replica in the
/// millisecond in which its backoff ended, and it asked for the next one at once.
#[test]
fn recovery_starts_with_one_request_and_doubles_with_each_answer() {
    let id = first_incarnation();
    let after_backoff = || {
        let mut backpressure = EndpointBackpressure::default();
        backpressure.record_backoff(&id, Millis(1_000), 30, NOW);
        backpressure
    };
    let over = NOW + Millis(1_000);
    let mut backpressure = after_backoff();
    let mut opened = Vec::new();
    for _ in 0..4 {
        let mut sent = 0;
        while backpressure.state(&id, 0, over) == BackpressureState::Open && sent < 100 {
            assert!(
                backpressure.acquire_permit(&id, 0, over).expect("a permit").is_after_backoff()
            );
            sent += 1;
        }
        opened.push(sent);
        (0..sent).for_each(|_| backpressure.record_end(&id));
        backpressure.record_answer(&id, over);
    }
    assert_eq!(opened, [1, 2, 4, 8]);
    // Half a minute after the backoff, nothing of it applies any more.
    let later = over + Millis(30_000);
    assert!(
        backpressure
            .acquire_permit(&id, 100, later)
            .is_some_and(|permit| !permit.is_after_backoff())
    );
    // A refusal does not widen the window, and as a last resort the endpoint may still be sent a
    // request.
    let mut backpressure = after_backoff();
    let first = backpressure.acquire_permit(&id, 0, over);
    assert_eq!(backpressure.state(&id, 0, over), BackpressureState::Recovering);
    assert!(first.is_some() && backpressure.acquire_permit(&id, 0, over).is_some());
    // An endpoint that has not been sent anything is open again some seconds later.
    assert_eq!(backpressure.state(&id, 0, over + Millis(10_000)), BackpressureState::Open);
}

/// Guards against backoffs that follow each other without end: daemons that sent as much as before
/// after each backoff got 5,300 of 10,200 answers a minute from replicas that were asked for half
/// as much again as they can answer.
#[test]
fn concurrency_is_limited_after_a_backoff() {
    struct Case {
        name: &'static str,
        /// The requests in flight when it asked for a backoff, including the one that it turned
        /// away.
        in_flight: u32,
        /// How many answers have begun since.
        answers: usize,
        /// The resulting concurrency limit.
        limit: u32,
    }
    let cases = [
        Case {
            name: "seven tenths of the requests in flight",
            in_flight: 11,
            answers: 0,
            limit: 7,
        },
        Case { name: "one more after as many answers", in_flight: 11, answers: 8, limit: 9 },
        Case { name: "at least one", in_flight: 1, answers: 0, limit: 1 },
        Case { name: "more after some answers", in_flight: 1, answers: 6, limit: 4 },
    ];
    let over = NOW + Millis(1_000);
    for case in cases {
        let (id, mut backpressure) = (first_incarnation(), EndpointBackpressure::default());
        backpressure.record_backoff(&id, Millis(1_000), case.in_flight, NOW);
        // Other requests in flight are refused as well, which is no further evidence.
        backpressure.record_backoff(&id, Millis(900), 2, NOW + Millis(50));
        (0..case.answers).for_each(|_| backpressure.record_answer(&id, over));
        let is_closed = |in_flight| backpressure.state(&id, in_flight, over).is_closed();
        let limit = (0..100).find(|in_flight| is_closed(*in_flight));
        assert_eq!(limit, Some(case.limit), "{}", case.name);
        assert!(backpressure.acquire_permit(&id, case.limit, over).is_none(), "{}", case.name);
    }
}

/// Events of one endpoint, in any order.
#[derive(Clone, Copy, Debug)]
enum Event {
    Asks(u64),
    Sent,
    Answers,
    Ends,
    Passes(u64),
}

fn event() -> impl Strategy<Value = Event> {
    prop_oneof![
        (0..5_000_u64).prop_map(Event::Asks),
        Just(Event::Sent),
        Just(Event::Sent),
        Just(Event::Answers),
        Just(Event::Ends),
        (0..2_000_u64).prop_map(Event::Passes),
    ]
}

proptest! {
    #[test]
    fn nothing_is_sent_during_a_backoff(events in proptest::collection::vec(event(), 1..200)) {
        let (id, mut backpressure) = (first_incarnation(), EndpointBackpressure::default());
        let (mut now, mut backoff_until) = (NOW, Millis(0));
        for event in events {
            match event {
                Event::Asks(backoff) => {
                    backpressure.record_backoff(&id, Millis(backoff), 5, now);
                    backoff_until = backoff_until.max(now + Millis(backoff));
                }
                Event::Sent => {
                    let permit: Option<SendPermit> = backpressure.acquire_permit(&id, 0, now);
                    prop_assert_eq!(permit.is_some(), now >= backoff_until);
                }
                Event::Answers => backpressure.record_answer(&id, now),
                Event::Ends => backpressure.record_end(&id),
                Event::Passes(span) => now = now + Millis(span),
            }
        }
    }
}

/// The load balancer skips an endpoint that backs off even if no other is left, and also after its
/// entry has disappeared and returned meanwhile.
#[test]
fn load_balancer_skips_endpoints_that_back_off_or_leave() {
    struct Case {
        name: &'static str,
        /// The backoff of each endpoint in seconds, if it has one.
        backoffs: [Option<u64>; 2],
        leaving: [bool; 2],
        chosen: Option<usize>,
        /// The end of the first backoff, if all endpoints are unavailable.
        unavailable_until: Option<u64>,
    }
    let case = Case {
        name: "no backoff",
        backoffs: [None; 2],
        leaving: [false; 2],
        chosen: Some(0),
        unavailable_until: None,
    };
    let cases = [
        Case {
            name: "near endpoint backing off",
            backoffs: [Some(3), None],
            chosen: Some(1),
            ..case
        },
        Case {
            name: "both backing off",
            backoffs: [Some(3), Some(2)],
            chosen: None,
            unavailable_until: Some(2),
            ..case
        },
        Case { name: "one leaving", leaving: [true, false], chosen: Some(1), ..case },
        Case {
            name: "one leaving, the other backing off",
            backoffs: [None, Some(2)],
            leaving: [true, false],
            chosen: None,
            unavailable_until: Some(2),
        },
        Case { name: "both leaving", leaving: [true; 2], chosen: None, ..case },
        case,
    ];
    let service = ServiceName::new("app");
    let spec = |number: usize| TargetSpec {
        near: number == 0,
        ..service_target(BoxId::new(format!("a-{number}")))
    };
    for case in cases {
        let mut balancer = LoadBalancer::default();
        balancer.set_targets(vec![spec(0), spec(1)]);
        for number in 0..2 {
            if let Some(secs) = case.backoffs[number] {
                balancer.record_backoff(&spec(number).id, Millis::from_secs(secs), NOW);
            }
            if case.leaving[number] {
                balancer.record_leaving(&spec(number).id);
            }
        }
        // The entries disappear and return.
        balancer.set_targets(Vec::new());
        balancer.set_targets(vec![spec(0), spec(1)]);
        let ask = service_request(&service);
        let key = balancer.choose(ask, None, &[], NOW, &mut SeededRng::new(3));
        let id = key.and_then(|key| balancer.box_id(key)).cloned();
        let chosen = case.chosen.map(|number| spec(number).id);
        assert_eq!(id, chosen, "{}", case.name);
        let unavailable_until = case.unavailable_until.map(|secs| NOW + Millis::from_secs(secs));
        assert_eq!(balancer.unavailable_until(ask, None, NOW), unavailable_until, "{}", case.name);
    }
}

/// Guards against signals that are lost as a box begins to report its start: one that had asked for
/// 1.5 s was sent requests again after 0.2 s, under the id that names its incarnation.
#[test]
fn signals_of_a_box_are_kept_once_it_reports_its_start() {
    struct Case {
        name: &'static str,
        before: &'static str,
        after: &'static str,
        is_kept: bool,
    }
    let cases = [
        Case { name: "it reports its start", before: "b0", after: "b0@5", is_kept: true },
        Case { name: "it no longer does", before: "b0@5", after: "b0", is_kept: true },
        Case { name: "it started again", before: "b0@5", after: "b0@6", is_kept: false },
        Case { name: "another box", before: "b0", after: "b1", is_kept: false },
    ];
    let service = ServiceName::new("app");
    for case in cases {
        let (before, after) = (BoxId::new(case.before), BoxId::new(case.after));
        let target = |id: &BoxId| service_target(id.clone());
        let mut balancer = LoadBalancer::default();
        balancer.set_targets(vec![target(&before)]);
        balancer.record_backoff(&before, Millis(1_500), NOW);
        let limit = RequestRate::per_second(2.0);
        let observed = ObservedRateLimit { limit, request_sent_at: NOW };
        balancer.rate_limits_mut().record_answer(&before, observed, NOW);
        balancer.set_targets(vec![target(&after)]);
        let until = balancer.unavailable_until(service_request(&service), None, NOW);
        let is_limited = balancer.rate_limits().limit(&after) == limit;
        let expected = case.is_kept.then_some(NOW + Millis(1_500));
        assert_eq!((until, is_limited), (expected, case.is_kept), "{}", case.name);
        // A request that was sent before is refused now, under the id of then.
        balancer.record_backoff(&before, Millis(3_000), NOW);
        let expected = case.is_kept.then_some(NOW + Millis(3_000));
        assert_eq!(
            balancer.unavailable_until(service_request(&service), None, NOW),
            expected,
            "{}",
            case.name
        );
    }
}
