//! Zones that operators empty, boxes that are cold, and requests that are bound to regions, as the choice goes by
//! them.

mod support;

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use cherrystand_core::{
    AllowedRegions, BoxId, CallerLimits, ColdBoxes, ColdPeriod, ColdStart, Evacuations,
    LoadBalancer, Millis, RegionId, RequestRate, RequestSpec, Revision, RouteTable, SeededRng,
    Service, ServiceName, SiteBox, SiteConfig, SiteView, TargetSpec, ZoneId,
};
use proptest::prelude::*;

const NOW: Millis = Millis(50_000);

fn zones(names: &[&str]) -> BTreeSet<ZoneId> {
    names.iter().map(|name| ZoneId::new(*name)).collect()
}

/// News of zones comes by two ways that overtake each other; what counts is the store's order.
#[test]
fn the_latest_news_of_zones_counts_whichever_way_it_comes() {
    #[derive(Clone, Copy)]
    enum News {
        All(&'static [&'static str]),
        Emptied(&'static str),
        TakenBack(&'static str),
    }
    use News::{All, Emptied, TakenBack};
    struct Case {
        name: &'static str,
        news: &'static [(News, u64)],
        zones: &'static [&'static str],
    }
    let cases = [
        Case { name: "nothing", news: &[(All(&[]), 3)], zones: &[] },
        Case { name: "emptied", news: &[(All(&[]), 3), (Emptied("a"), 5)], zones: &["a"] },
        Case {
            name: "taken back",
            news: &[(All(&["a", "b"]), 3), (TakenBack("a"), 5)],
            zones: &["b"],
        },
        Case {
            name: "an old word that it is emptied",
            news: &[(All(&["a"]), 3), (TakenBack("a"), 5), (Emptied("a"), 4)],
            zones: &[],
        },
        Case {
            name: "an old list",
            news: &[(All(&[]), 3), (Emptied("a"), 5), (All(&[]), 4)],
            zones: &["a"],
        },
        Case {
            name: "the same twice",
            news: &[(Emptied("a"), 5), (Emptied("a"), 5)],
            zones: &["a"],
        },
        Case {
            name: "emptied again",
            news: &[(Emptied("a"), 5), (TakenBack("a"), 6), (Emptied("a"), 7)],
            zones: &["a"],
        },
        Case { name: "taken back, never heard of", news: &[(TakenBack("a"), 5)], zones: &[] },
    ];
    for case in cases {
        let mut held = Evacuations::default();
        for (news, revision) in case.news {
            let revision = Revision::new(*revision);
            match news {
                All(all) => _ = held.replace(zones(all), revision),
                Emptied(zone) => _ = held.apply_changes(zones(&[zone]), [], revision),
                TakenBack(zone) => _ = held.apply_changes([], zones(&[zone]), revision),
            }
        }
        assert_eq!(held.zones(), &zones(case.zones), "{}", case.name);
    }
}

proptest! {
    /// Whoever hears of the same changes, whole or one by one, with any of them late or twice, holds what the
    /// store has as of the latest.
    #[test]
    fn daemons_agree_on_emptied_zones(
        changes in prop::collection::vec((0usize..3, any::<bool>()), 1..20),
        heard in prop::collection::vec((0usize..20, any::<bool>()), 1..40),
    ) {
        let names = ["a", "b", "c"];
        let mut states = vec![BTreeSet::new()];
        for (zone, is_emptied) in &changes {
            let mut next = states[states.len() - 1].clone();
            match is_emptied {
                true => _ = next.insert(ZoneId::new(names[*zone])),
                false => _ = next.remove(&ZoneId::new(names[*zone])),
            }
            states.push(next);
        }
        let mut held = Evacuations::default();
        let mut latest = 0;
        held.replace(states[0].clone(), Revision::new(1));
        for (at, is_whole) in heard {
            let at = at.min(changes.len());
            let revision = Revision::new(at as u64 + 1);
            // A watch tells what follows the last answer, so that only the next change comes alone.
            if is_whole || at != latest + 1 {
                held.replace(states[at].clone(), revision);
            } else {
                let (zone, is_emptied) = changes[at - 1];
                let zone = [ZoneId::new(names[zone])];
                match is_emptied {
                    true => held.apply_changes(zone, [], revision),
                    false => held.apply_changes([], zone, revision),
                };
            }
            latest = latest.max(at);
            prop_assert_eq!(held.zones(), &states[latest]);
        }
    }
}

#[test]
fn a_box_is_cold_for_as_long_as_it_last_said() {
    struct Case {
        name: &'static str,
        /// What it says is left, and when, in milliseconds.
        told: &'static [(u64, u64)],
        /// Until when it is cold then, in milliseconds.
        until: Option<u64>,
        /// How many of these were news.
        news: usize,
    }
    let cases = [
        Case { name: "never", told: &[(0, 0), (0, 1_000)], until: None, news: 0 },
        Case { name: "once", told: &[(3_000, 0)], until: Some(3_000), news: 1 },
        Case {
            name: "less each time",
            told: &[(3_000, 0), (1_900, 1_200), (500, 2_400)],
            until: Some(3_000),
            news: 1,
        },
        Case { name: "warm in time", told: &[(3_000, 0), (0, 3_200)], until: None, news: 1 },
        Case {
            name: "longer than it said",
            told: &[(3_000, 0), (3_000, 500)],
            until: Some(3_500),
            news: 2,
        },
        Case { name: "warm early", told: &[(9_000, 0), (0, 3_000)], until: None, news: 2 },
        Case {
            name: "cold again",
            told: &[(3_000, 0), (3_000, 2_000)],
            until: Some(5_000),
            news: 2,
        },
        Case { name: "for ever", told: &[(u64::MAX, 0)], until: Some(600_000), news: 1 },
    ];
    let id = BoxId::new("i-1");
    for case in cases {
        let mut cold = ColdBoxes::default();
        let told = case.told.iter();
        let news = told.filter(|(left, at)| cold.record(&id, Millis(*left), NOW + Millis(*at)));
        assert_eq!(news.count(), case.news, "{}", case.name);
        let until = case.until.map(|until| NOW + Millis(until));
        assert_eq!(cold.until(&id), until, "{}", case.name);
        if let Some(until) = until {
            assert!(
                !cold.remove_expired(until - Millis(1)) && cold.remove_expired(until),
                "{}",
                case.name
            );
        }
    }
}

fn spec(number: usize, region: Option<&str>) -> TargetSpec {
    TargetSpec {
        id: BoxId::new(format!("a-{number}")),
        service: ServiceName::new("app"),
        model: None,
        near: number == 0,
        slots: 6,
        region: region.map(RegionId::new),
        evacuated: None,
        cold: None,
    }
}

fn ask<'a>(service: &'a ServiceName, homes: AllowedRegions<'a>) -> RequestSpec<'a> {
    RequestSpec { service, model: None, prompt: 0.0, latency_goal: Millis(100), regions: homes }
}

/// An emptied zone's endpoint is neither chosen nor given a permit, and is as it was once it is taken back.
#[test]
fn no_permit_is_given_for_an_emptied_zone() {
    let service = ServiceName::new("app");
    let ask = ask(&service, AllowedRegions::default());
    let mut balancer = LoadBalancer::default();
    let since = Some(NOW - Millis(4_000));
    let choose =
        |balancer: &LoadBalancer| balancer.choose(ask, None, &[], NOW, &mut SeededRng::new(3));
    balancer.set_targets(vec![spec(0, None), spec(1, None)]);
    let near = choose(&balancer).expect("an endpoint");
    balancer.set_targets(vec![TargetSpec { evacuated: since, ..spec(0, None) }, spec(1, None)]);
    let chosen = choose(&balancer).expect("an endpoint");
    assert_eq!(balancer.id(chosen), Some(&spec(1, None).id));
    assert!(balancer.permit(near, NOW).is_none() && balancer.permit(chosen, NOW).is_some());
    assert_eq!(balancer.unavailable_until(ask, None, NOW), None);
    let emptied = [0, 1].map(|number| TargetSpec { evacuated: since, ..spec(number, None) });
    balancer.set_targets(emptied.to_vec());
    assert_eq!(choose(&balancer), None);
    // They have been empty for 4 s, and nobody knows for how much longer.
    assert_eq!(balancer.unavailable_until(ask, None, NOW), Some(NOW + Millis(4_000)));
    balancer.set_targets(vec![spec(0, None), spec(1, None)]);
    assert_eq!(choose(&balancer), Some(near));
    assert!(balancer.permit(near, NOW).is_some());
}

/// A cold endpoint is limited as long as it is cold, by what it bears or what it names, whichever is less.
#[test]
fn a_cold_endpoint_needs_permits() {
    let rate = |per_second| RequestRate::per_second(per_second).expect("a rate");
    let cold = ColdPeriod { rate: rate(14.0), until: NOW + Millis(3_000) };
    let mut balancer = LoadBalancer::default();
    balancer.set_targets(vec![TargetSpec { cold: Some(cold), ..spec(0, None) }]);
    let id = spec(0, None).id;
    let limits = balancer.limits_mut();
    assert_eq!(limits.limit(&id), Some(rate(14.0)));
    assert!(limits.permit_wait(&id, NOW).is_some_and(|wait| wait.is_err()));
    assert!(!limits.take_permit(&id, NOW));
    let heard = |limit| cherrystand_core::ObservedRateLimit { limit, request_sent_at: NOW };
    limits.record_answer(&id, heard(Some(rate(3.5))), NOW);
    assert_eq!(limits.limit(&id), Some(rate(3.5)));
    let own = |_: &BoxId| cherrystand_core::RateLimitOwner { address: None, share: 1.0 };
    limits.step(NOW + Millis(3_000), own);
    assert_eq!(limits.limit(&id), Some(rate(3.5)));
    let late =
        cherrystand_core::ObservedRateLimit { limit: None, request_sent_at: NOW + Millis(2_000) };
    limits.record_answer(&id, late, NOW + Millis(3_000));
    assert_eq!(limits.limit(&id), None);
    assert!(limits.take_permit(&id, NOW + Millis(3_000)));
    // Warm sooner than it said.
    balancer.set_targets(vec![spec(0, None)]);
    balancer.set_targets(vec![TargetSpec { cold: Some(cold), ..spec(0, None) }]);
    assert_eq!(balancer.limits().limit(&id), Some(rate(14.0)));
    balancer.set_targets(vec![spec(0, None)]);
    assert_eq!(balancer.limits().limit(&id), None);
}

/// The view tells which endpoints lie in emptied zones, where, and which are cold by their service's word.
#[test]
fn the_view_names_what_is_emptied_and_what_is_cold() {
    let rate = RequestRate::per_second(14.0).expect("a rate");
    let cold = Some(ColdStart { duration: Millis(3_000), rate });
    let service = |name: &str, cold| Service {
        name: ServiceName::new(name),
        engine: None,
        connections: None,
        cold,
    };
    let config = SiteConfig {
        version: 1,
        routes: Vec::new(),
        services: vec![service("app", cold), service("other", None)],
        limits: CallerLimits { header_bytes: 8_192, body_bytes: 8_192 },
        tenants: None,
    };
    let known = |id: &str, service: &str, zone: &str| {
        let zone = ZoneId::new(zone);
        let known = SiteBox { zone, ..support::site_box(id, service) };
        (known.id.clone(), Arc::new(known))
    };
    let boxes = [known("a", "app", "z1"), known("b", "app", "z2"), known("c", "other", "z3")];
    let mut lives = ColdBoxes::default();
    for id in ["b", "c"] {
        lives.record(&BoxId::new(id), Millis(2_000), NOW);
    }
    let view = SiteView {
        table: Some(Arc::new(RouteTable::new(config))),
        boxes: Arc::new(boxes.into_iter().collect()),
        evacuated: Arc::new(BTreeMap::from([(ZoneId::new("z1"), NOW), (ZoneId::new("z9"), NOW)])),
        cold: Arc::new(lives),
        listed: true,
        nodes: 1,
        ..SiteView::default()
    };
    let regions = BTreeMap::from([(ZoneId::new("z2"), RegionId::new("r2"))]);
    let targets = view.targets(&ZoneId::new("z1"), &regions);
    let told: Vec<_> = targets
        .iter()
        .map(|(spec, _)| {
            let region = spec.region.as_ref().map(RegionId::as_str);
            (spec.id.as_str(), spec.evacuated, spec.cold.map(|cold| cold.until), region)
        })
        .collect();
    let until = Some(NOW + Millis(2_000));
    assert_eq!(
        told,
        [("a", Some(NOW), None, None), ("b", None, until, Some("r2")), ("c", None, None, None)]
    );
}

proptest! {
    /// A request that is bound to regions is sent to no other, whatever else holds of the endpoints there.
    #[test]
    fn no_request_is_sent_out_of_its_homes(
        route in prop::collection::vec(0usize..3, 0..3),
        tenant in prop::collection::vec(0usize..3, 0..3),
        endpoints in prop::collection::vec((prop::option::of(0usize..3), any::<bool>(), any::<bool>()), 1..8),
        seed in any::<u64>(),
    ) {
        let region = |number: &usize| RegionId::new(format!("r{number}"));
        let route: Vec<RegionId> = route.iter().map(region).collect();
        let tenant: Vec<RegionId> = tenant.iter().map(region).collect();
        let mut balancer = LoadBalancer::default();
        let specs: Vec<TargetSpec> = endpoints.iter().enumerate().map(|(number, (of, emptied, _))| {
            let of = of.map(|of| format!("r{of}"));
            TargetSpec { evacuated: emptied.then_some(NOW), ..spec(number, of.as_deref()) }
        }).collect();
        balancer.set_targets(specs.clone());
        for (spec, (_, _, leaves)) in specs.iter().zip(&endpoints) {
            if *leaves {
                balancer.record_draining(&spec.id);
            }
        }
        let service = ServiceName::new("app");
        let homes = AllowedRegions { route: &route, tenant: &tenant };
        let may_get = |spec: &TargetSpec| {
            let is_home = |homes: &[RegionId]| homes.is_empty() || spec.region.as_ref().is_some_and(|region| homes.contains(region));
            is_home(&route) && is_home(&tenant) && spec.evacuated.is_none()
        };
        let open = specs.iter().zip(&endpoints).any(|(spec, (_, _, leaves))| may_get(spec) && !leaves);
        let chosen = balancer.choose(ask(&service, homes), None, &[], NOW, &mut SeededRng::new(seed));
        let chosen = chosen.and_then(|key| balancer.id(key)).cloned();
        prop_assert_eq!(chosen.is_some(), open);
        if let Some(id) = chosen {
            let spec = specs.iter().find(|spec| spec.id == id);
            prop_assert!(spec.is_some_and(may_get));
        }
    }
}
