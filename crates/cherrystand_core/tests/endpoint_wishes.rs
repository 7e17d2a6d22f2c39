//! What endpoints ask of this node, and which requests may be sent to them.

use cherrystand_core::{
    Ask, BoxId, Chooser, EndpointWishes, LONGEST_REST, Millis, Seed, SendPermit, ServiceName,
    TargetSpec, WishState,
};
use proptest::prelude::*;

const NOW: Millis = Millis(50_000);

fn first_life() -> BoxId {
    BoxId::new("i-1").in_life(7)
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
        Case { name: "the longest there is", asked: &[(0, Millis(u64::MAX))], until: LONGEST_REST },
    ];
    for case in cases {
        let mut wishes = EndpointWishes::default();
        for (at, rest) in case.asked {
            wishes.hear_rest(&first_life(), *rest, NOW + Millis(*at));
        }
        let until = NOW + case.until;
        let last = until - Millis(1);
        assert_eq!(wishes.state(&first_life(), last), WishState::Rests(until), "{}", case.name);
        assert!(wishes.permit(&first_life(), last).is_none(), "{}", case.name);
        assert_eq!(wishes.state(&first_life(), until), WishState::Open, "{}", case.name);
    }
}

#[test]
fn a_wish_binds_one_life_of_a_box_and_no_other() {
    let (next_life, another) = (BoxId::new("i-1").in_life(8), BoxId::new("i-2").in_life(7));
    let mut wishes = EndpointWishes::default();
    wishes.hear_rest(&first_life(), Millis(60_000), NOW);
    assert!(wishes.hear_leaving(&another));
    assert!(!wishes.hear_leaving(&another), "it is known");
    assert!(wishes.permit(&first_life(), NOW).is_none());
    assert!(wishes.permit(&next_life, NOW).is_some_and(|permit| !permit.comes_back()));
    // What leaves has left for good, however long ago it said so.
    for later in [0, 10_000, 100_000_000] {
        assert!(wishes.permit(&another, NOW + Millis(later)).is_none(), "{later} ms later");
    }
}

/// Nine daemons with all their callers came back to a replica in the millisecond in which its rest
/// ended; it asked for the next one at once.
#[test]
fn an_endpoint_comes_back_by_one_request_first_and_by_more_as_it_answers() {
    let id = first_life();
    let rested = || {
        let mut wishes = EndpointWishes::default();
        wishes.hear_rest(&id, Millis(1_000), NOW);
        wishes
    };
    let over = NOW + Millis(1_000);
    let mut wishes = rested();
    let mut opened = Vec::new();
    for _ in 0..4 {
        let mut sent = 0;
        while wishes.state(&id, over) == WishState::Open && sent < 100 {
            assert!(wishes.permit(&id, over).expect("leave").comes_back());
            sent += 1;
        }
        opened.push(sent);
        (0..sent).for_each(|_| wishes.ended(&id));
        wishes.answered(&id, over);
    }
    assert_eq!(opened, [1, 2, 4, 8]);
    assert!(wishes.permit(&id, over).is_some_and(|permit| !permit.comes_back()));
    // What it refuses opens nothing, and the last resort may still try it.
    let mut wishes = rested();
    let first = wishes.permit(&id, over);
    assert_eq!(wishes.state(&id, over), WishState::ComesBack);
    assert!(first.is_some() && wishes.permit(&id, over).is_some());
    // One that nobody asked anything is open some seconds later.
    assert_eq!(wishes.state(&id, over + Millis(10_000)), WishState::Open);
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
        let (id, mut wishes) = (first_life(), EndpointWishes::default());
        let (mut now, mut rests_until) = (NOW, Millis(0));
        for event in events {
            match event {
                Event::Asks(rest) => {
                    wishes.hear_rest(&id, Millis(rest), now);
                    rests_until = rests_until.max(now + Millis(rest));
                }
                Event::Sent => {
                    let permit: Option<SendPermit> = wishes.permit(&id, now);
                    prop_assert_eq!(permit.is_some(), now >= rests_until);
                }
                Event::Answers => wishes.answered(&id, now),
                Event::Ends => wishes.ended(&id),
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
    };
    for case in cases {
        let mut chooser = Chooser::default();
        chooser.follow(vec![spec(0), spec(1)]);
        for number in 0..2 {
            if let Some(secs) = case.rests[number] {
                chooser.hear_rest(&spec(number).id, Millis::from_secs(secs), NOW);
            }
            if case.leaves[number] {
                chooser.hear_leaving(&spec(number).id);
            }
        }
        // Their entries go and come back.
        chooser.follow(Vec::new());
        chooser.follow(vec![spec(0), spec(1)]);
        let ask = Ask { service: &service, model: None, prompt: 0.0, objective: Millis(100) };
        let key = chooser.choose(ask, None, &[], NOW, &mut Seed::new(3));
        let id = key.and_then(|key| chooser.id(key)).cloned();
        let chosen = case.chosen.map(|number| spec(number).id);
        assert_eq!(id, chosen, "{}", case.name);
        let all_rest = case.all_rest.map(|secs| NOW + Millis::from_secs(secs));
        assert_eq!(chooser.all_rest_until(ask, None, NOW), all_rest, "{}", case.name);
    }
}
