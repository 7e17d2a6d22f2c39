//! What endpoints say of the requests that they take, and what holds of it.

use std::net::{Ipv4Addr, SocketAddr};

use cherrystand_core::{
    BackpressureState, BoxId, EndpointBackpressure, EndpointRateLimits, Heartbeat, Incarnation,
    Liveness, Millis, NodeId, ObservedRateLimit, RateLimitMessage, RateLimitOwner,
    RateLimitRecipient, RateLimitReport, RequestRate, ZoneId, rate_limit_owner_of,
};
use proptest::prelude::*;

const NOW: Millis = Millis(50_000);

/// This node keeps the account.
const OWN: RateLimitOwner = RateLimitOwner { address: None, share: 1.0 };

fn rate(per_second: f64) -> RequestRate {
    RequestRate::per_second(per_second).expect("a rate")
}

fn peer(port: u16) -> SocketAddr {
    SocketAddr::from((Ipv4Addr::LOCALHOST, port))
}

#[test]
fn a_limit_holds_as_answers_name_it() {
    struct Case {
        name: &'static str,
        /// What answers name, when they come and when their requests were sent, in milliseconds.
        answers: &'static [(Option<f64>, u64, u64)],
        limit: Option<f64>,
    }
    let cases = [
        Case { name: "named", answers: &[(Some(3.5), 10, 0)], limit: Some(3.5) },
        Case { name: "nothing at all", answers: &[(Some(0.0), 10, 0)], limit: Some(0.0) },
        Case { name: "more than anybody sends", answers: &[(Some(1e9), 10, 0)], limit: None },
        Case {
            name: "raised by what was sent since",
            answers: &[(Some(3.5), 10, 0), (Some(20.0), 30, 20)],
            limit: Some(20.0),
        },
        Case {
            name: "a higher one in an answer that may be the earlier one",
            answers: &[(Some(3.5), 10, 0), (Some(20.0), 30, 5)],
            limit: Some(3.5),
        },
        Case {
            name: "a lower one in any answer",
            answers: &[(Some(3.5), 10, 0), (Some(0.4), 30, 5)],
            limit: Some(0.4),
        },
        Case {
            name: "an answer without it that may be the earlier one",
            answers: &[(Some(3.5), 2_000, 0), (None, 5_000, 1_500)],
            limit: Some(3.5),
        },
        Case {
            name: "one without it soon after",
            answers: &[(Some(3.5), 10, 0), (None, 900, 800)],
            limit: Some(3.5),
        },
        Case {
            name: "in every other answer",
            answers: &[
                (Some(3.5), 10, 0),
                (None, 900, 800),
                (Some(3.5), 1_500, 1_400),
                (None, 2_400, 2_300),
            ],
            limit: Some(3.5),
        },
        Case {
            name: "one without it a second later",
            answers: &[(Some(3.5), 10, 0), (None, 1_100, 1_010)],
            limit: None,
        },
        Case {
            name: "named again",
            answers: &[(Some(3.5), 10, 0), (None, 1_100, 1_010), (Some(3.5), 1_200, 1_110)],
            limit: Some(3.5),
        },
        Case {
            name: "raised beyond all that is sent",
            answers: &[(Some(3.5), 10, 0), (Some(1e9), 1_100, 1_010)],
            limit: None,
        },
    ];
    for case in cases {
        let mut limits = EndpointRateLimits::default();
        for (limit, came, sent) in case.answers {
            let heard =
                ObservedRateLimit { limit: limit.map(rate), request_sent_at: NOW + Millis(*sent) };
            limits.record_answer(&1, heard, NOW + Millis(*came));
        }
        assert_eq!(limits.limit(&1), case.limit.map(rate), "{}", case.name);
        assert_eq!(limits.limit(&2), None, "{}", case.name);
    }
}

/// A life that ended names nothing, and what is known of others by peers holds as if heard by this node.
#[test]
fn peers_tell_what_endpoints_name() {
    let (first, second) =
        (BoxId::new("i-1").with_incarnation(7), BoxId::new("i-1").with_incarnation(8));
    let mut limits = EndpointRateLimits::default();
    let told = |limit, age| RateLimitMessage::Heard(RateLimitReport { limit, age, cold: None });
    limits.handle_message(peer(1), &first, told(Some(rate(3.5)), Millis(100)), NOW);
    assert_eq!((limits.limit(&first), limits.limit(&second)), (Some(rate(3.5)), None));
    assert_eq!(limits.permit_wait(&second, NOW), None);
    assert!(limits.take_permit(&second, NOW) && !limits.take_permit(&first, NOW));
    // An older word that there is none ends nothing, a newer one does.
    limits.handle_message(peer(1), &first, told(None, Millis(5_000)), NOW + Millis(500));
    assert_eq!(limits.limit(&first), Some(rate(3.5)));
    limits.handle_message(peer(1), &first, told(None, Millis(0)), NOW + Millis(1_500));
    assert_eq!(limits.limit(&first), None);
    // Who has yet to hear it and asks is told.
    let word = RateLimitReport { limit: Some(rate(3.5)), age: Millis(3_000), cold: None };
    let ask = RateLimitMessage::Ask { word, number: 1, want: 1, lasts: Millis(10) };
    limits.handle_message(peer(2), &first, ask, NOW + Millis(2_000));
    let out = limits.step(NOW + Millis(2_000), |_| OWN).messages;
    let is_answer = |(to, _, news): &(RateLimitRecipient, BoxId, RateLimitMessage)| {
        *to == RateLimitRecipient::Node(peer(2))
            && matches!(news, RateLimitMessage::Heard(RateLimitReport { limit: None, .. }))
    };
    assert!(out.iter().any(is_answer), "{out:?}");
}

/// A word that a replica takes nothing cannot keep it out for good: it is asked now and then, and answers.
#[test]
fn an_endpoint_that_takes_nothing_is_asked_now_and_then() {
    let mut limits = EndpointRateLimits::default();
    limits.record_answer(
        &1,
        ObservedRateLimit { limit: Some(rate(0.0)), request_sent_at: NOW },
        NOW,
    );
    let mut sent = Vec::new();
    for step in 0..4_000 {
        let now = NOW + Millis(step * 10);
        limits.request_permit(&1, now);
        limits.step(now, |_| OWN);
        if limits.take_permit(&1, now) {
            sent.push(now);
        }
    }
    // One in four seconds, once a second of it is owed.
    assert!((9..=11).contains(&sent.len()), "{sent:?}");
    let close = sent.windows(2).filter(|pair| pair[1].since(pair[0]) < Millis(3_000));
    assert_eq!(close.count(), 0, "{sent:?}");
}

/// Rest, leaving and limits of one endpoint: the strictest holds.
#[test]
fn the_strictest_of_all_wishes_holds() {
    #[derive(Clone, Copy)]
    struct Case {
        name: &'static str,
        rests: bool,
        limited: bool,
        has_permit: bool,
        leaves: bool,
        state: BackpressureState,
    }
    let until = NOW + Millis(60_000);
    let case = Case {
        name: "none",
        rests: false,
        limited: false,
        has_permit: false,
        leaves: false,
        state: BackpressureState::Open,
    };
    let limited = Case { limited: true, ..case };
    let cases = [
        case,
        Case {
            name: "limited",
            state: BackpressureState::RateLimited(NOW + Millis(5_285)),
            ..limited
        },
        Case { name: "limited, with a permit", has_permit: true, ..limited },
        Case {
            name: "limited, rests",
            rests: true,
            state: BackpressureState::BackingOff(until),
            ..limited
        },
        Case {
            name: "limited, rests, with a permit",
            rests: true,
            has_permit: true,
            state: BackpressureState::BackingOff(until),
            ..limited
        },
        Case {
            name: "limited, leaves, with a permit",
            leaves: true,
            has_permit: true,
            state: BackpressureState::Draining,
            ..limited
        },
    ];
    let now = NOW + Millis(5_000);
    for case in cases {
        let mut wishes = EndpointBackpressure::default();
        if case.limited {
            wishes.limits.record_answer(
                &1,
                ObservedRateLimit { limit: Some(rate(3.5)), request_sent_at: NOW },
                NOW,
            );
        }
        if case.has_permit {
            wishes.limits.step(NOW, |_| OWN);
            wishes.limits.request_permit(&1, now);
            wishes.limits.step(now, |_| OWN);
        }
        if case.rests {
            wishes.record_backoff(&1, Millis(60_000), 1, NOW);
        }
        if case.leaves {
            wishes.record_draining(&1);
        }
        let state = wishes.state(&1, 0, now);
        assert_eq!(state, case.state, "{}", case.name);
        let is_given = wishes.acquire_permit(&1, 0, now).is_some();
        assert_eq!(is_given, case.state == BackpressureState::Open, "{}", case.name);
    }
}

fn member(name: &str, port: u16, serving: bool, standing: Liveness) -> (Heartbeat, Liveness) {
    let beat = Heartbeat {
        node: NodeId::new(name),
        incarnation: Incarnation(1),
        beat: 1,
        zone: ZoneId::new("z"),
        address: peer(port),
        link_mbps: 0,
        serving,
        decides: true,
        changes: None,
        config: 0,
    };
    (beat, standing)
}

#[test]
fn all_who_see_the_same_daemons_name_one_keeper() {
    use Liveness::{Alive, Dead, Suspect};
    let names = ["n1", "n2", "n3", "n4"];
    let id = BoxId::new("i-1").with_incarnation(7);
    let seen = |states: [(bool, Liveness); 4]| {
        let all = names.iter().zip(states).enumerate();
        all.map(|(port, (name, (serving, standing)))| member(name, port as u16, serving, standing))
            .collect::<Vec<_>>()
    };
    let all = seen([(true, Alive); 4]);
    let keepers: Vec<RateLimitOwner> =
        names.iter().map(|own| rate_limit_owner_of(&id, &NodeId::new(*own), &all)).collect();
    let own: Vec<usize> = (0..4).filter(|node| keepers[*node].address.is_none()).collect();
    assert_eq!(own.len(), 1, "one of them is it: {keepers:?}");
    let keeper = own[0];
    let at_it = |(node, kept): (usize, &RateLimitOwner)| {
        node == keeper || kept.address == Some(peer(keeper as u16))
    };
    assert!(keepers.iter().enumerate().all(at_it), "{keepers:?}");
    // One that is lost, or stops, is it no more; of a part that is out of sight the others leave its part.
    for (gone, share) in [((true, Dead), 0.75), ((true, Suspect), 0.75), ((false, Alive), 1.0)] {
        let mut states = [(true, Alive); 4];
        states[keeper] = gone;
        let other = NodeId::new(names[(keeper + 1) % 4]);
        let named = rate_limit_owner_of(&id, &other, &seen(states));
        assert_ne!(named.address, Some(peer(keeper as u16)), "{gone:?}");
        assert!((named.share - share).abs() < 1e-9, "{gone:?}: {named:?}");
    }
}

/// What reaches a keeper's account and an asker, in any order, late, doubled or never.
#[derive(Clone, Copy, Debug)]
enum Event {
    Want(usize),
    Take(usize),
    Step(usize),
    /// Has one of the messages on their way arrive; it stays there to come once more.
    Arrive(usize),
    Lose(usize),
    Pass(u64),
}

fn event() -> impl Strategy<Value = Event> {
    prop_oneof![
        (0..3_usize).prop_map(Event::Want),
        (0..3_usize).prop_map(Event::Take),
        (0..3_usize).prop_map(Event::Step),
        (0..3_usize).prop_map(Event::Step),
        (0..64_usize).prop_map(Event::Arrive),
        (0..64_usize).prop_map(Event::Arrive),
        (0..64_usize).prop_map(Event::Lose),
        (0..60_u64).prop_map(Event::Pass),
    ]
}

proptest! {
    /// Whatever becomes of the messages, no span sees more requests than the limit and what is at hand at once.
    #[test]
    fn no_order_of_messages_gives_more_than_the_limit(events in proptest::collection::vec(event(), 1..400)) {
        let mut nodes = [0, 1, 2].map(|_| EndpointRateLimits::default());
        for node in &mut nodes {
            node.record_answer(&1, ObservedRateLimit { limit: Some(rate(3.5)), request_sent_at: NOW }, NOW);
        }
        let keeper = |node: usize| RateLimitOwner { address: (node != 0).then(|| peer(0)), share: 1.0 };
        let (mut now, mut way, mut sent) = (NOW, Vec::new(), 0_u32);
        for event in events {
            match event {
                Event::Want(node) => nodes[node].request_permit(&1, now),
                Event::Take(node) => sent += u32::from(nodes[node].take_permit(&1, now)),
                Event::Step(node) => {
                    for (to, _, news) in nodes[node].step(now, |_| keeper(node)).messages {
                        if let RateLimitRecipient::Node(to) = to {
                            way.push((node, usize::from(to.port()), news));
                        }
                    }
                }
                Event::Arrive(place) if !way.is_empty() => {
                    let (from, to, news) = way[place % way.len()];
                    nodes[to].handle_message(peer(from as u16), &1, news, now);
                }
                Event::Lose(place) if !way.is_empty() => {
                    way.swap_remove(place % way.len());
                }
                Event::Arrive(_) | Event::Lose(_) => {}
                Event::Pass(span) => now = now + Millis(span),
            }
            // A second of it is owed.
            let allowed = 3.5 * now.since(NOW + Millis(1_000)).as_secs_f64() + 2.0;
            prop_assert!(f64::from(sent) <= allowed, "{sent} of {allowed}");
        }
    }
}
