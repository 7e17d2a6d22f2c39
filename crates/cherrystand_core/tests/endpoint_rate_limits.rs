//! Rate limits that endpoints name, as one node learns and applies them.

use std::net::{Ipv4Addr, SocketAddr};

use cherrystand_core::{
    BackpressureState, BoxId, EndpointBackpressure, EndpointRateLimits, Heartbeat, Incarnation,
    Liveness, Millis, NodeId, ObservedRateLimit, RateLimitMessage, RateLimitOwner,
    RateLimitRecipient, RateLimitReport, RequestRate, ZoneId, rate_limit_owner_of,
};
use proptest::prelude::*;

const NOW: Millis = Millis(50_000);

/// This node owns the rate limit.
const OWN: RateLimitOwner = RateLimitOwner { address: None, share: 1.0 };

fn rate(per_second: f64) -> RequestRate {
    RequestRate::per_second(per_second).expect("a rate")
}

fn peer(port: u16) -> SocketAddr {
    SocketAddr::from((Ipv4Addr::LOCALHOST, port))
}

#[test]
fn limit_follows_answers() {
    struct Case {
        name: &'static str,
        /// The limits named by answers, with the times in milliseconds at which the answers arrive
        /// and their requests were sent.
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
            let observed =
                ObservedRateLimit { limit: limit.map(rate), request_sent_at: NOW + Millis(*sent) };
            limits.record_answer(&1, observed, NOW + Millis(*came));
        }
        assert_eq!(limits.limit(&1), case.limit.map(rate), "{}", case.name);
        assert_eq!(limits.limit(&2), None, "{}", case.name);
    }
}

/// A new incarnation has no limit yet, and a limit reported by a peer applies as if this node had
/// received it.
#[test]
fn limits_are_learned_from_peers() {
    let (first, second) =
        (BoxId::new("i-1").with_incarnation(7), BoxId::new("i-1").with_incarnation(8));
    let mut limits = EndpointRateLimits::default();
    let report = |limit, age| RateLimitMessage::Report(RateLimitReport { limit, age, cold: None });
    limits.handle_message(peer(1), &first, report(Some(rate(3.5)), Millis(100)), NOW);
    assert_eq!((limits.limit(&first), limits.limit(&second)), (Some(rate(3.5)), None));
    assert_eq!(limits.permit_wait(&second, NOW), None);
    assert!(limits.take_permit(&second, NOW) && !limits.take_permit(&first, NOW));
    // An older report that there is no limit does not lift it, a newer one does.
    limits.handle_message(peer(1), &first, report(None, Millis(5_000)), NOW + Millis(500));
    assert_eq!(limits.limit(&first), Some(rate(3.5)));
    limits.handle_message(peer(1), &first, report(None, Millis(0)), NOW + Millis(1_500));
    assert_eq!(limits.limit(&first), None);
    // A node that asks for permits and does not know that the limit was lifted gets an answer that
    // says so.
    let report = RateLimitReport { limit: Some(rate(3.5)), age: Millis(3_000), cold: None };
    let ask = RateLimitMessage::Ask { report, number: 1, want: 1, lasts: Millis(10) };
    limits.handle_message(peer(2), &first, ask, NOW + Millis(2_000));
    let out = limits.step(NOW + Millis(2_000), |_| OWN).messages;
    let is_answer = |(to, _, message): &(RateLimitRecipient, BoxId, RateLimitMessage)| {
        *to == RateLimitRecipient::Node(peer(2))
            && matches!(message, RateLimitMessage::Report(RateLimitReport { limit: None, .. }))
    };
    assert!(out.iter().any(is_answer), "{out:?}");
}

/// A limit of zero must not keep a replica out for good: it is sent a request now and then, so that
/// it can name another limit.
#[test]
fn endpoint_with_zero_limit_is_still_probed() {
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
    // One in four seconds, after an initial debt of one second.
    assert!((9..=11).contains(&sent.len()), "{sent:?}");
    let close = sent.windows(2).filter(|pair| pair[1].since(pair[0]) < Millis(3_000));
    assert_eq!(close.count(), 0, "{sent:?}");
}

/// Backoff, leaving and rate limit of one endpoint: the strictest applies.
#[test]
fn strictest_backpressure_applies() {
    #[derive(Clone, Copy)]
    struct Case {
        name: &'static str,
        is_backing_off: bool,
        limited: bool,
        has_permit: bool,
        is_leaving: bool,
        state: BackpressureState,
    }
    let until = NOW + Millis(60_000);
    let case = Case {
        name: "none",
        is_backing_off: false,
        limited: false,
        has_permit: false,
        is_leaving: false,
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
            name: "limited, backing off",
            is_backing_off: true,
            state: BackpressureState::BackingOff(until),
            ..limited
        },
        Case {
            name: "limited, backing off, with a permit",
            is_backing_off: true,
            has_permit: true,
            state: BackpressureState::BackingOff(until),
            ..limited
        },
        Case {
            name: "limited, leaving, with a permit",
            is_leaving: true,
            has_permit: true,
            state: BackpressureState::Leaving,
            ..limited
        },
    ];
    let now = NOW + Millis(5_000);
    for case in cases {
        let mut backpressure = EndpointBackpressure::default();
        if case.limited {
            backpressure.limits.record_answer(
                &1,
                ObservedRateLimit { limit: Some(rate(3.5)), request_sent_at: NOW },
                NOW,
            );
        }
        if case.has_permit {
            backpressure.limits.step(NOW, |_| OWN);
            backpressure.limits.request_permit(&1, now);
            backpressure.limits.step(now, |_| OWN);
        }
        if case.is_backing_off {
            backpressure.record_backoff(&1, Millis(60_000), 1, NOW);
        }
        if case.is_leaving {
            backpressure.record_leaving(&1);
        }
        let state = backpressure.state(&1, 0, now);
        assert_eq!(state, case.state, "{}", case.name);
        let is_given = backpressure.acquire_permit(&1, 0, now).is_some();
        assert_eq!(is_given, case.state == BackpressureState::Open, "{}", case.name);
    }
}

fn member(name: &str, port: u16, serving: bool, liveness: Liveness) -> (Heartbeat, Liveness) {
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
    (beat, liveness)
}

#[test]
fn daemons_with_the_same_view_select_one_owner() {
    use Liveness::{Alive, Dead, Suspect};
    let names = ["n1", "n2", "n3", "n4"];
    let id = BoxId::new("i-1").with_incarnation(7);
    let seen = |states: [(bool, Liveness); 4]| {
        let all = names.iter().zip(states).enumerate();
        all.map(|(port, (name, (serving, liveness)))| member(name, port as u16, serving, liveness))
            .collect::<Vec<_>>()
    };
    let all = seen([(true, Alive); 4]);
    let owners: Vec<RateLimitOwner> =
        names.iter().map(|own| rate_limit_owner_of(&id, &NodeId::new(*own), &all)).collect();
    let own: Vec<usize> = (0..4).filter(|node| owners[*node].address.is_none()).collect();
    assert_eq!(own.len(), 1, "exactly one owner: {owners:?}");
    let owner = own[0];
    let agrees = |(node, named_owner): (usize, &RateLimitOwner)| {
        node == owner || named_owner.address == Some(peer(owner as u16))
    };
    assert!(owners.iter().enumerate().all(agrees), "{owners:?}");
    // A daemon that is dead, suspected or stopping is not the owner. Daemons that are out of sight
    // keep their share.
    for (gone, share) in [((true, Dead), 0.75), ((true, Suspect), 0.75), ((false, Alive), 1.0)] {
        let mut states = [(true, Alive); 4];
        states[owner] = gone;
        let other = NodeId::new(names[(owner + 1) % 4]);
        let selected = rate_limit_owner_of(&id, &other, &seen(states));
        assert_ne!(selected.address, Some(peer(owner as u16)), "{gone:?}");
        assert!((selected.share - share).abs() < 1e-9, "{gone:?}: {selected:?}");
    }
}

/// Messages that reach the owner and a requester in any order, delayed, duplicated or lost.
#[derive(Clone, Copy, Debug)]
enum Event {
    Want(usize),
    Take(usize),
    Step(usize),
    /// Delivers one of the messages in transit, which stays there and can be delivered again.
    Deliver(usize),
    Lose(usize),
    Pass(u64),
}

fn event() -> impl Strategy<Value = Event> {
    prop_oneof![
        (0..3_usize).prop_map(Event::Want),
        (0..3_usize).prop_map(Event::Take),
        (0..3_usize).prop_map(Event::Step),
        (0..3_usize).prop_map(Event::Step),
        (0..64_usize).prop_map(Event::Deliver),
        (0..64_usize).prop_map(Event::Deliver),
        (0..64_usize).prop_map(Event::Lose),
        (0..60_u64).prop_map(Event::Pass),
    ]
}

proptest! {
    /// Whatever happens to the messages, no period sees more requests than the limit and one burst
    /// allow.
    #[test]
    fn limit_holds_in_any_order_of_messages(events in proptest::collection::vec(event(), 1..400)) {
        let mut nodes = [0, 1, 2].map(|_| EndpointRateLimits::default());
        for node in &mut nodes {
            node.record_answer(&1, ObservedRateLimit { limit: Some(rate(3.5)), request_sent_at: NOW }, NOW);
        }
        let owner = |node: usize| RateLimitOwner { address: (node != 0).then(|| peer(0)), share: 1.0 };
        let (mut now, mut in_transit, mut sent) = (NOW, Vec::new(), 0_u32);
        for event in events {
            match event {
                Event::Want(node) => nodes[node].request_permit(&1, now),
                Event::Take(node) => sent += u32::from(nodes[node].take_permit(&1, now)),
                Event::Step(node) => {
                    for (to, _, message) in nodes[node].step(now, |_| owner(node)).messages {
                        if let RateLimitRecipient::Node(to) = to {
                            in_transit.push((node, usize::from(to.port()), message));
                        }
                    }
                }
                Event::Deliver(place) if !in_transit.is_empty() => {
                    let (from, to, message) = in_transit[place % in_transit.len()];
                    nodes[to].handle_message(peer(from as u16), &1, message, now);
                }
                Event::Lose(place) if !in_transit.is_empty() => {
                    in_transit.swap_remove(place % in_transit.len());
                }
                Event::Deliver(_) | Event::Lose(_) => {}
                Event::Pass(span) => now = now + Millis(span),
            }
            // The ledger starts with a debt of one second.
            let allowed = 3.5 * now.since(NOW + Millis(1_000)).as_secs_f64() + 2.0;
            prop_assert!(f64::from(sent) <= allowed, "{sent} of {allowed}");
        }
    }
}
