//! What endpoints ask of this node, and which requests may be sent to them.

use cherrystand_core::{
    AllowedRegions, BackpressureState, BoxId, EndpointBackpressure, LoadBalancer, MAX_BACKOFF,
    Millis, RequestSpec, SeededRng, SendPermit, ServiceName, TargetSpec,
};
use proptest::prelude::*;

const NOW: Millis = Millis(50_000);

fn first_life() -> BoxId {
    BoxId::new("i-1").with_incarnation(7)
}

#[test]
fn a_rest_lasts_as_long_as_the_longest_wish_for_it() {
    struct Case {
        name: &'static str,
        /// What is asked for, and when.
        asked: &'static [(u64, Millis)],
        until: Millis,
    }
    let cases = [
        Case { name: "one wish", asked: &[(0, Millis(3_000))], until: Millis(3_000) },
        Case {
            name: "a shorter one within it",
            asked: &[(0, Millis(3_000)), (500, Millis(1_000))],
            until: Millis(3_000),
        },
        Case {
            name: "a longer one within it",
            asked: &[(0, Millis(3_000)), (500, Millis(4_000))],
            until: Millis(4_500),
        },
        Case { name: "the longest there is", asked: &[(0, Millis(u64::MAX))], until: MAX_BACKOFF },
    ];
    for case in cases {
        let mut wishes = EndpointBackpressure::default();
        for (at, rest) in case.asked {
            wishes.record_backoff(&first_life(), *rest, 1, NOW + Millis(*at));
        }
        let until = NOW + case.until;
        let last = until - Millis(1);
        assert_eq!(
            wishes.state(&first_life(), 0, last),
            BackpressureState::BackingOff(until),
            "{}",
            case.name
        );
        assert!(wishes.acquire_permit(&first_life(), 0, last).is_none(), "{}", case.name);
        assert_eq!(wishes.state(&first_life(), 0, until), BackpressureState::Open, "{}", case.name);
    }
}

#[test]
fn a_wish_binds_one_life_of_a_box_and_no_other() {
    let (next_life, another) =
        (BoxId::new("i-1").with_incarnation(8), BoxId::new("i-2").with_incarnation(7));
    let mut wishes = EndpointBackpressure::default();
    wishes.record_backoff(&first_life(), Millis(60_000), 1, NOW);
    assert!(wishes.record_draining(&another));
    assert!(!wishes.record_draining(&another), "it is known");
    assert!(wishes.acquire_permit(&first_life(), 0, NOW).is_none());
    assert!(
        wishes.acquire_permit(&next_life, 0, NOW).is_some_and(|permit| !permit.is_after_backoff())
    );
    // What leaves has left for good, however long ago it said so.
    for later in [0, 10_000, 100_000_000] {
        assert!(
            wishes.acquire_permit(&another, 0, NOW + Millis(later)).is_none(),
            "{later} ms later"
        );
    }
}

/// Nine daemons with all their callers came back to a replica in the millisecond in which its rest
/// ended; it asked for the next one at once.
#[test]
fn an_endpoint_comes_back_by_one_request_first_and_by_more_as_it_answers() {
    let id = first_life();
    let rested = || {
        let mut wishes = EndpointBackpressure::default();
        wishes.record_backoff(&id, Millis(1_000), 30, NOW);
        wishes
    };
    let over = NOW + Millis(1_000);
    let mut wishes = rested();
    let mut opened = Vec::new();
    for _ in 0..4 {
        let mut sent = 0;
        while wishes.state(&id, 0, over) == BackpressureState::Open && sent < 100 {
            assert!(wishes.acquire_permit(&id, 0, over).expect("leave").is_after_backoff());
            sent += 1;
        }
        opened.push(sent);
        (0..sent).for_each(|_| wishes.record_end(&id));
        wishes.record_answer(&id, over);
    }
    assert_eq!(opened, [1, 2, 4, 8]);
    // Half a minute later nothing of it counts any more.
    let later = over + Millis(30_000);
    assert!(
        wishes.acquire_permit(&id, 100, later).is_some_and(|permit| !permit.is_after_backoff())
    );
    // What it refuses opens nothing, and the last resort may still try it.
    let mut wishes = rested();
    let first = wishes.acquire_permit(&id, 0, over);
    assert_eq!(wishes.state(&id, 0, over), BackpressureState::Recovering);
    assert!(first.is_some() && wishes.acquire_permit(&id, 0, over).is_some());
    // One that nobody asked anything is open some seconds later.
    assert_eq!(wishes.state(&id, 0, over + Millis(10_000)), BackpressureState::Open);
}

/// Daemons that sent on as much as before after each rest got 5,300 of 10,200 answers a minute from replicas that
/// were asked for half as much again as they can answer: each rest was followed by the next.
#[test]
fn after_a_rest_an_endpoint_gets_no_more_at_once_than_it_bore() {
    struct Case {
        name: &'static str,
        /// What was under way as it asked for rest, the request that it turned away among it.
        under_way: u32,
        /// How many answers began since.
        answers: usize,
        /// How many may be under way then.
        borne: u32,
    }
    let cases = [
        Case { name: "seven tenths of what it had", under_way: 11, answers: 0, borne: 7 },
        Case { name: "one more for as many answers", under_way: 11, answers: 8, borne: 9 },
        Case { name: "one at least", under_way: 1, answers: 0, borne: 1 },
        Case { name: "and soon more", under_way: 1, answers: 6, borne: 4 },
    ];
    let over = NOW + Millis(1_000);
    for case in cases {
        let (id, mut wishes) = (first_life(), EndpointBackpressure::default());
        wishes.record_backoff(&id, Millis(1_000), case.under_way, NOW);
        // Others that were on their way are turned away as well, and say nothing more of it.
        wishes.record_backoff(&id, Millis(900), 2, NOW + Millis(50));
        (0..case.answers).for_each(|_| wishes.record_answer(&id, over));
        let is_closed = |under_way| wishes.state(&id, under_way, over).is_closed();
        let borne = (0..100).find(|under_way| is_closed(*under_way));
        assert_eq!(borne, Some(case.borne), "{}", case.name);
        assert!(wishes.acquire_permit(&id, case.borne, over).is_none(), "{}", case.name);
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
    fn nothing_is_sent_into_a_rest_whatever_comes_between(events in proptest::collection::vec(event(), 1..200)) {
        let (id, mut wishes) = (first_life(), EndpointBackpressure::default());
        let (mut now, mut rests_until) = (NOW, Millis(0));
        for event in events {
            match event {
                Event::Asks(rest) => {
                    wishes.record_backoff(&id, Millis(rest), 5, now);
                    rests_until = rests_until.max(now + Millis(rest));
                }
                Event::Sent => {
                    let permit: Option<SendPermit> = wishes.acquire_permit(&id, 0, now);
                    prop_assert_eq!(permit.is_some(), now >= rests_until);
                }
                Event::Answers => wishes.record_answer(&id, now),
                Event::Ends => wishes.record_end(&id),
                Event::Passes(span) => now = now + Millis(span),
            }
        }
    }
}

/// The choice passes over what rests also where nothing else is left, and when its entry has gone and come
/// back meanwhile.
#[test]
fn the_choice_never_takes_an_endpoint_that_rests_or_leaves() {
    struct Case {
        name: &'static str,
        /// Seconds of rest of each endpoint; nothing where it asked for none.
        rests: [Option<u64>; 2],
        leaves: [bool; 2],
        chosen: Option<usize>,
        /// When the first rest ends, where all rest.
        all_rest: Option<u64>,
    }
    let case = Case {
        name: "none rests",
        rests: [None; 2],
        leaves: [false; 2],
        chosen: Some(0),
        all_rest: None,
    };
    let cases = [
        Case { name: "the near one", rests: [Some(3), None], chosen: Some(1), ..case },
        Case { name: "both", rests: [Some(3), Some(2)], chosen: None, all_rest: Some(2), ..case },
        Case { name: "one leaves", leaves: [true, false], chosen: Some(1), ..case },
        Case {
            name: "one leaves, the other rests",
            rests: [None, Some(2)],
            leaves: [true, false],
            chosen: None,
            all_rest: Some(2),
        },
        Case { name: "both leave", leaves: [true; 2], chosen: None, ..case },
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
            if let Some(secs) = case.rests[number] {
                balancer.record_backoff(&spec(number).id, Millis::from_secs(secs), NOW);
            }
            if case.leaves[number] {
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
        let all_rest = case.all_rest.map(|secs| NOW + Millis::from_secs(secs));
        assert_eq!(balancer.unavailable_until(ask, None, NOW), all_rest, "{}", case.name);
    }
}
