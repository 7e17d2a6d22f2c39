//! What endpoints ask of this node, and which requests may be sent to them.

use cherrystand_core::{
    AllowedRegions, BackpressureState, BoxId, EndpointBackpressure, LoadBalancer, MAX_BACKOFF,
    Millis, RequestSpec, SeededRng, SendPermit, ServiceName, TargetSpec,
};
use proptest::prelude::*;

const NOW: Millis = Millis(50_000);

fn first_incarnation() -> BoxId {
    BoxId::new("i-1").with_incarnation(7)
}

#[test]
fn overlapping_backoffs_end_with_the_last() {
    struct Case {
        name: &'static str,
        /// What is asked for, and when.
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
    assert!(backpressure.record_draining(&another));
    assert!(!backpressure.record_draining(&another), "already known");
    assert!(backpressure.acquire_permit(&first_incarnation(), 0, NOW).is_none());
    assert!(
        backpressure
            .acquire_permit(&next_incarnation, 0, NOW)
            .is_some_and(|permit| !permit.is_after_backoff())
    );
    // What leaves has left for good, however long ago it said so.
    for later in [0, 10_000, 100_000_000] {
        assert!(
            backpressure.acquire_permit(&another, 0, NOW + Millis(later)).is_none(),
            "{later} ms later"
        );
    }
}

/// Nine daemons with all their callers came back to a replica in the millisecond in which its rest
/// ended; it asked for the next one at once.
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
    // Half a minute later nothing of it counts any more.
    let later = over + Millis(30_000);
    assert!(
        backpressure
            .acquire_permit(&id, 100, later)
            .is_some_and(|permit| !permit.is_after_backoff())
    );
    // What it refuses opens nothing, and the last resort may still try it.
    let mut backpressure = after_backoff();
    let first = backpressure.acquire_permit(&id, 0, over);
    assert_eq!(backpressure.state(&id, 0, over), BackpressureState::Recovering);
    assert!(first.is_some() && backpressure.acquire_permit(&id, 0, over).is_some());
    // One that nobody asked anything is open some seconds later.
    assert_eq!(backpressure.state(&id, 0, over + Millis(10_000)), BackpressureState::Open);
}

/// Daemons that sent on as much as before after each rest got 5,300 of 10,200 answers a minute from replicas that
/// were asked for half as much again as they can answer: each rest was followed by the next.
#[test]
fn concurrency_is_limited_after_a_backoff() {
    struct Case {
        name: &'static str,
        /// What was under way as it asked for rest, the request that it turned away among it.
        in_flight: u32,
        /// How many answers began since.
        answers: usize,
        /// How many may be under way then.
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
        // Others that were on their way are turned away as well, and say nothing more of it.
        backpressure.record_backoff(&id, Millis(900), 2, NOW + Millis(50));
        (0..case.answers).for_each(|_| backpressure.record_answer(&id, over));
        let is_closed = |in_flight| backpressure.state(&id, in_flight, over).is_closed();
        let limit = (0..100).find(|in_flight| is_closed(*in_flight));
        assert_eq!(limit, Some(case.limit), "{}", case.name);
        assert!(backpressure.acquire_permit(&id, case.limit, over).is_none(), "{}", case.name);
    }
}

/// What one endpoint does and is asked, in any order.
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

/// The choice passes over what rests also where nothing else is left, and when its entry has gone and come
/// back meanwhile.
#[test]
fn load_balancer_skips_endpoints_that_back_off_or_drain() {
    struct Case {
        name: &'static str,
        /// Seconds of rest of each endpoint; nothing where it asked for none.
        backoffs: [Option<u64>; 2],
        draining: [bool; 2],
        chosen: Option<usize>,
        /// When the first rest ends, where all rest.
        unavailable_until: Option<u64>,
    }
    let case = Case {
        name: "no backoff",
        backoffs: [None; 2],
        draining: [false; 2],
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
        Case { name: "one draining", draining: [true, false], chosen: Some(1), ..case },
        Case {
            name: "one draining, the other backing off",
            backoffs: [None, Some(2)],
            draining: [true, false],
            chosen: None,
            unavailable_until: Some(2),
        },
        Case { name: "both draining", draining: [true; 2], chosen: None, ..case },
        case,
    ];
    let service = ServiceName::new("app");
    let spec = |number: usize| TargetSpec {
        id: BoxId::new(format!("a-{number}")),
        service: service.clone(),
        model: None,
        near: number == 0,
        slots: 6,
        region: None,
        evacuated_since: None,
        cold: None,
    };
    for case in cases {
        let mut balancer = LoadBalancer::default();
        balancer.set_targets(vec![spec(0), spec(1)]);
        for number in 0..2 {
            if let Some(secs) = case.backoffs[number] {
                balancer.record_backoff(&spec(number).id, Millis::from_secs(secs), NOW);
            }
            if case.draining[number] {
                balancer.record_draining(&spec(number).id);
            }
        }
        // Their entries go and come back.
        balancer.set_targets(Vec::new());
        balancer.set_targets(vec![spec(0), spec(1)]);
        let ask = RequestSpec {
            service: &service,
            model: None,
            prompt_tokens: 0.0,
            latency_goal: Millis(100),
            regions: AllowedRegions::default(),
        };
        let key = balancer.choose(ask, None, &[], NOW, &mut SeededRng::new(3));
        let id = key.and_then(|key| balancer.box_id(key)).cloned();
        let chosen = case.chosen.map(|number| spec(number).id);
        assert_eq!(id, chosen, "{}", case.name);
        let unavailable_until = case.unavailable_until.map(|secs| NOW + Millis::from_secs(secs));
        assert_eq!(balancer.unavailable_until(ask, None, NOW), unavailable_until, "{}", case.name);
    }
}
