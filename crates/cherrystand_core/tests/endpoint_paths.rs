//! Which way a daemon takes to endpoints that its own link doesn't reach.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

use cherrystand_core::{
    BoxId, CarrierFailure, CarrierRegions, EndpointPaths, Heartbeat, Incarnation, Millis, NodeId,
    PathSearch, ReachReport, RegionId, SearchResult, ZoneId,
};

/// How long a search waits before it asks the next peers.
const ROUND: Millis = Millis(20);

/// The time by which a search has to be over.
const SEARCH_LIMIT: Millis = Millis(300);

fn heartbeat(number: usize, zones: usize) -> Heartbeat {
    let address = SocketAddr::from(([10, 0, (number / 250) as u8, (number % 250) as u8], 7_000));
    Heartbeat {
        node: NodeId::new(format!("n{number}")),
        incarnation: Incarnation(1),
        beat: 1,
        zone: ZoneId::new(format!("z{}", number % zones)),
        address,
        link_mbps: 0,
        serving: true,
        decides: true,
        changes: Some(address),
        config: 0,
    }
}

fn fleet(size: usize, zones: usize) -> Vec<Heartbeat> {
    (0..size).map(|number| heartbeat(number, zones)).collect()
}

/// Plays a search of daemon 0, in which `reaches` tells which peers reach the endpoint, and cut ones
/// take all the time. Returns its result and how long it took.
fn search(
    paths: &mut EndpointPaths,
    fleet: &[Heartbeat],
    reaches: impl Fn(&Heartbeat) -> bool,
) -> (SearchResult, Millis) {
    let alive: Vec<&Heartbeat> = fleet.iter().collect();
    let (mut search, mut took) = (PathSearch::default(), Millis(0));
    while took < SEARCH_LIMIT {
        let asked = paths.next_round(&mut search, &fleet[0], &alive);
        for peer in &asked {
            if reaches(peer)
                && let Some(result) = search.record(ReachReport::Reached)
            {
                return (result, took);
            }
        }
        if asked.is_empty() {
            break;
        }
        took = took + ROUND;
    }
    (search.finish(), took)
}

#[test]
fn a_daemon_that_is_cut_off_finds_a_peer_that_is_not() {
    struct Case {
        daemons: usize,
        /// How many of ten daemons are cut off.
        cut_of_ten: usize,
        limit: Millis,
    }
    let case = |daemons, cut_of_ten, limit| Case { daemons, cut_of_ten, limit: Millis(limit) };
    let cases = [
        case(3, 3, 20),
        case(9, 3, 40),
        case(9, 8, 60),
        case(69, 5, 80),
        case(69, 9, 120),
        case(300, 9, 120),
        case(1_000, 5, 80),
        case(1_000, 9, 120),
    ];
    for case in cases {
        let fleet = fleet(case.daemons, 3);
        // The last daemon of each ten or less is never cut off, the first always is.
        let is_cut = |peer: &Heartbeat| {
            let number: usize = peer.node.as_str()[1..].parse().expect("a number");
            number == 0 || (number % 10 < case.cut_of_ten && number + 1 < case.daemons)
        };
        for seed in 0..200 {
            let mut paths = EndpointPaths::new(seed);
            let (result, took) = search(&mut paths, &fleet, |peer| !is_cut(peer));
            let name = format!("{} daemons, {} of ten cut, {seed}", case.daemons, case.cut_of_ten);
            assert_eq!(result, SearchResult::Reached, "{name}");
            assert!(took <= case.limit, "{name}: {took:?}");
        }
    }
}

#[test]
fn a_daemon_whose_zone_is_cut_off_finds_a_peer_elsewhere() {
    for size in [9, 69, 1_000] {
        let fleet = fleet(size, 3);
        for seed in 0..100 {
            let mut paths = EndpointPaths::new(seed);
            let zone = fleet[0].zone.clone();
            let (result, took) = search(&mut paths, &fleet, |peer| peer.zone != zone);
            assert_eq!((result, took), (SearchResult::Reached, Millis(0)), "{size}, {seed}");
        }
    }
}

#[test]
fn an_endpoint_counts_as_gone_only_if_peers_that_reach_others_miss_it() {
    struct Case {
        reports: &'static [ReachReport],
        expected: SearchResult,
    }
    use ReachReport::{Missed, Reached, Unknown};
    let cases = [
        Case { reports: &[], expected: SearchResult::Unknown },
        Case { reports: &[Unknown, Unknown, Unknown], expected: SearchResult::Unknown },
        Case { reports: &[Missed], expected: SearchResult::Missed },
        Case { reports: &[Missed, Reached], expected: SearchResult::Reached },
        Case { reports: &[Unknown, Missed, Missed], expected: SearchResult::Missed },
        Case { reports: &[Unknown, Reached], expected: SearchResult::Reached },
    ];
    for case in cases {
        let mut search = PathSearch::default();
        let result = case.reports.iter().find_map(|report| search.record(*report));
        let result = result.unwrap_or_else(|| search.finish());
        assert_eq!(result, case.expected, "{:?}", case.reports);
    }
}

#[test]
fn the_own_link_counts_as_cut_from_three_endpoints_until_one_is_reached() {
    let ids: Vec<BoxId> = (0..5).map(|number| BoxId::new(format!("i-{number}"))).collect();
    let mut paths = EndpointPaths::new(1);
    for id in &ids[..2] {
        assert!(paths.record_indirect(id, Millis(100)));
    }
    assert!(!paths.is_cut_off() && paths.is_direct(&ids[4]) && !paths.is_direct(&ids[0]));
    assert!(paths.record_indirect(&ids[2], Millis(110)));
    assert!(paths.is_cut_off() && !paths.is_direct(&ids[4]));
    assert!(paths.record_direct(&ids[0], Millis(5_000)));
    assert!(!paths.is_cut_off() && paths.is_direct(&ids[4]) && paths.is_direct(&ids[0]));
    assert!(!paths.is_direct(&ids[1]));
}

/// Returns when each endpoint is checked for the first time after `from`, in steps of 100 ms.
fn first_checks(paths: &mut EndpointPaths, from: Millis, until: Millis) -> Vec<Millis> {
    let (mut seen, mut times, mut now) = (BTreeSet::new(), Vec::new(), from);
    while now < until {
        for id in paths.due_checks(now) {
            if seen.insert(id) {
                times.push(now);
            }
        }
        now = now + Millis(100);
    }
    times
}

#[test]
fn the_checks_of_direct_paths_are_few_during_a_cut_and_soon_after_it() {
    let mut paths = EndpointPaths::new(3);
    let ids: Vec<BoxId> = (0..100).map(|number| BoxId::new(format!("i-{number}"))).collect();
    for id in &ids {
        paths.record_indirect(id, Millis(0));
    }
    let mut checks = 0;
    for step in 0..100 {
        checks += paths.due_checks(Millis(step * 100)).len();
    }
    assert!(checks <= 200, "{checks} in 10 s");
    paths.record_direct(&ids[0], Millis(10_000));
    let times = first_checks(&mut paths, Millis(10_000), Millis(12_000));
    assert_eq!(times.len(), 99);
    let most = times.iter().map(|at| times.iter().filter(|other| *other == at).count()).max();
    assert!(most <= Some(16), "{most:?} at once");
    assert!(times.last() <= Some(&Millis(11_500)), "{:?}", times.last());
}

/// A fleet in which all given daemons were found to reach endpoints.
fn reached(paths: &mut EndpointPaths, fleet: &[Heartbeat], good: &[usize]) {
    for number in good {
        paths.record_reached(&fleet[*number].node, &BoxId::new("i-0"), Millis(0));
    }
}

#[test]
fn carriers_are_near_first_and_share_the_load() {
    let fleet = fleet(12, 3);
    let alive: Vec<&Heartbeat> = fleet.iter().collect();
    let endpoint = BoxId::new("i-9");
    struct Case {
        name: &'static str,
        good: &'static [usize],
        tried: &'static [usize],
        expected: &'static [usize],
    }
    let cases = [
        Case { name: "own zone", good: &[1, 3, 6, 9], tried: &[], expected: &[3, 6, 9] },
        Case { name: "the endpoint's", good: &[1, 4, 2], tried: &[], expected: &[2] },
        Case { name: "any other", good: &[1, 4], tried: &[], expected: &[1, 4] },
        Case { name: "not one that was tried", good: &[3, 6], tried: &[3], expected: &[6] },
        Case { name: "none", good: &[], tried: &[], expected: &[] },
        Case { name: "never itself", good: &[0], tried: &[], expected: &[] },
    ];
    for case in cases {
        let mut paths = EndpointPaths::new(7);
        reached(&mut paths, &fleet, case.good);
        let tried: Vec<NodeId> = case.tried.iter().map(|it| fleet[*it].node.clone()).collect();
        let zone = ZoneId::new("z2");
        let mut counts = vec![0_usize; fleet.len()];
        for _ in 0..300 {
            let chosen =
                paths.choose_carrier(&fleet[0], &alive, &endpoint, Some(&zone), &tried, Millis(10));
            let Some(chosen) = chosen.map(|chosen| chosen.node.clone()) else { continue };
            let number = fleet.iter().position(|beat| beat.node == chosen).expect("a daemon");
            counts[number] += 1;
            paths.begin_carry(&chosen);
        }
        let used: Vec<usize> = (0..fleet.len()).filter(|number| counts[*number] > 0).collect();
        assert_eq!(used, case.expected, "{}", case.name);
        let used_counts = || case.expected.iter().map(|number| counts[*number]);
        if let (Some(least), Some(most)) = (used_counts().min(), used_counts().max()) {
            assert!(most - least <= 10, "{}: {counts:?}", case.name);
        }
    }
}

#[test]
fn a_carrier_that_fails_is_avoided_and_tried_again() {
    struct Case {
        name: &'static str,
        failure: CarrierFailure,
        /// Whether it still carries to another endpoint.
        carries_to_others: bool,
        until: Millis,
    }
    let cases = [
        Case {
            name: "full or gone",
            failure: CarrierFailure::Unavailable,
            carries_to_others: false,
            until: Millis(200),
        },
        Case {
            name: "misses the endpoint",
            failure: CarrierFailure::EndpointMissed,
            carries_to_others: true,
            until: Millis(1_000),
        },
    ];
    let fleet = fleet(3, 1);
    let alive: Vec<&Heartbeat> = fleet.iter().collect();
    for case in cases {
        let (one, other) = (BoxId::new("i-1"), BoxId::new("i-2"));
        let mut paths = EndpointPaths::new(1);
        reached(&mut paths, &fleet, &[1]);
        paths.record_carrier_failure(&fleet[1].node, &one, case.failure, Millis(0));
        let mut carries = |endpoint: &BoxId, now: Millis| {
            paths.choose_carrier(&fleet[0], &alive, endpoint, None, &[], now).is_some()
        };
        assert!(!carries(&one, Millis(10)), "{}", case.name);
        assert_eq!(carries(&other, Millis(10)), case.carries_to_others, "{}", case.name);
        assert!(!carries(&one, case.until - Millis(1)), "{}", case.name);
        assert!(carries(&one, case.until), "{}", case.name);
    }
}

#[test]
fn a_body_is_carried_only_in_the_own_region_and_the_endpoint_s() {
    struct Case {
        name: &'static str,
        own: &'static str,
        endpoint: Option<&'static str>,
        allowed: &'static [&'static str],
    }
    let cases = [
        Case { name: "one region", own: "a1", endpoint: Some("a2"), allowed: &["a1", "a2"] },
        Case { name: "two", own: "a1", endpoint: Some("b1"), allowed: &["a1", "a2", "b1"] },
        Case { name: "unknown endpoint", own: "b1", endpoint: None, allowed: &["b1"] },
        Case {
            name: "own without a region",
            own: "x1",
            endpoint: Some("c1"),
            allowed: &["x1", "c1"],
        },
        Case { name: "endpoint without one", own: "b1", endpoint: Some("x1"), allowed: &["b1"] },
    ];
    let zones = ["a1", "a2", "b1", "c1", "x1"].map(ZoneId::new);
    let regions: BTreeMap<ZoneId, RegionId> =
        zones[..4].iter().map(|zone| (zone.clone(), RegionId::new(&zone.as_str()[..1]))).collect();
    for case in cases {
        let (own_zone, endpoint_zone) = (ZoneId::new(case.own), case.endpoint.map(ZoneId::new));
        let endpoint_zone = endpoint_zone.as_ref();
        let limits = CarrierRegions { regions: &regions, own_zone: &own_zone, endpoint_zone };
        let allowed: Vec<&str> =
            zones.iter().filter(|zone| limits.allows(zone)).map(ZoneId::as_str).collect();
        let expected: Vec<&str> =
            zones.iter().map(ZoneId::as_str).filter(|zone| case.allowed.contains(zone)).collect();
        assert_eq!(allowed, expected, "{}", case.name);
        let none = BTreeMap::new();
        let limits = CarrierRegions { regions: &none, ..limits };
        assert!(zones.iter().all(|zone| limits.allows(zone)), "{}, no regions", case.name);
    }
}
