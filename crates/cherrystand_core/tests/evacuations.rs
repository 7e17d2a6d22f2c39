//! Evacuated zones, cold boxes and regional restrictions in the choice of endpoints.

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

/// Updates of evacuated zones arrive on two paths that overtake each other; the order of the store
/// decides.
#[test]
fn the_latest_update_of_evacuated_zones_wins_in_any_order() {
    #[derive(Clone, Copy)]
    enum Update {
        All(&'static [&'static str]),
        Evacuated(&'static str),
        Reopened(&'static str),
    }
    use Update::{All, Evacuated, Reopened};
    struct Case {
        name: &'static str,
        updates: &'static [(Update, u64)],
        zones: &'static [&'static str],
    }
    let cases = [
        Case { name: "nothing", updates: &[(All(&[]), 3)], zones: &[] },
        Case { name: "evacuated", updates: &[(All(&[]), 3), (Evacuated("a"), 5)], zones: &["a"] },
        Case {
            name: "reopened",
            updates: &[(All(&["a", "b"]), 3), (Reopened("a"), 5)],
            zones: &["b"],
        },
        Case {
            name: "an outdated evacuation",
            updates: &[(All(&["a"]), 3), (Reopened("a"), 5), (Evacuated("a"), 4)],
            zones: &[],
        },
        Case {
            name: "an outdated list",
            updates: &[(All(&[]), 3), (Evacuated("a"), 5), (All(&[]), 4)],
            zones: &["a"],
        },
        Case {
            name: "the same twice",
            updates: &[(Evacuated("a"), 5), (Evacuated("a"), 5)],
            zones: &["a"],
        },
        Case {
            name: "evacuated again",
            updates: &[(Evacuated("a"), 5), (Reopened("a"), 6), (Evacuated("a"), 7)],
            zones: &["a"],
        },
        Case { name: "reopened, never known", updates: &[(Reopened("a"), 5)], zones: &[] },
    ];
    for case in cases {
        let mut evacuations = Evacuations::default();
        for (update, revision) in case.updates {
            let revision = Revision::new(*revision);
            match update {
                All(all) => _ = evacuations.replace(zones(all), revision),
                Evacuated(zone) => _ = evacuations.apply_changes(zones(&[zone]), [], revision),
                Reopened(zone) => _ = evacuations.apply_changes([], zones(&[zone]), revision),
            }
        }
        assert_eq!(evacuations.zones(), &zones(case.zones), "{}", case.name);
    }
}

proptest! {
    /// Daemons that get the same changes, as whole sets or one by one, late or twice, hold the set
    /// of the latest stored revision.
    #[test]
    fn daemons_agree_on_evacuated_zones(
        changes in prop::collection::vec((0usize..3, any::<bool>()), 1..20),
        observed in prop::collection::vec((0usize..20, any::<bool>()), 1..40),
    ) {
        let names = ["a", "b", "c"];
        let mut states = vec![BTreeSet::new()];
        for (zone, is_evacuated) in &changes {
            let mut next = states[states.len() - 1].clone();
            match is_evacuated {
                true => _ = next.insert(ZoneId::new(names[*zone])),
                false => _ = next.remove(&ZoneId::new(names[*zone])),
            }
            states.push(next);
        }
        let mut evacuations = Evacuations::default();
        let mut latest = 0;
        evacuations.replace(states[0].clone(), Revision::new(1));
        for (at, is_whole) in observed {
            let at = at.min(changes.len());
            let revision = Revision::new(at as u64 + 1);
            // A watch continues after the last answer, so that only the next change comes by
            // itself.
            if is_whole || at != latest + 1 {
                evacuations.replace(states[at].clone(), revision);
            } else {
                let (zone, is_evacuated) = changes[at - 1];
                let zone = [ZoneId::new(names[zone])];
                match is_evacuated {
                    true => evacuations.apply_changes(zone, [], revision),
                    false => evacuations.apply_changes([], zone, revision),
                };
            }
            latest = latest.max(at);
            prop_assert_eq!(evacuations.zones(), &states[latest]);
        }
    }
}

#[test]
fn a_box_is_cold_until_the_time_it_last_reported() {
    struct Case {
        name: &'static str,
        /// The remaining time that it reports, and when, in milliseconds.
        reports: &'static [(u64, u64)],
        /// Until when it is cold afterwards, in milliseconds.
        until: Option<u64>,
        /// How many of the reports changed anything.
        updates: usize,
    }
    let cases = [
        Case { name: "never", reports: &[(0, 0), (0, 1_000)], until: None, updates: 0 },
        Case { name: "once", reports: &[(3_000, 0)], until: Some(3_000), updates: 1 },
        Case {
            name: "less each time",
            reports: &[(3_000, 0), (1_900, 1_200), (500, 2_400)],
            until: Some(3_000),
            updates: 1,
        },
        Case { name: "warm in time", reports: &[(3_000, 0), (0, 3_200)], until: None, updates: 1 },
        Case {
            name: "longer than reported",
            reports: &[(3_000, 0), (3_000, 500)],
            until: Some(3_500),
            updates: 2,
        },
        Case { name: "warm early", reports: &[(9_000, 0), (0, 3_000)], until: None, updates: 2 },
        Case {
            name: "cold again",
            reports: &[(3_000, 0), (3_000, 2_000)],
            until: Some(5_000),
            updates: 2,
        },
        Case { name: "forever", reports: &[(u64::MAX, 0)], until: Some(600_000), updates: 1 },
    ];
    let id = BoxId::new("i-1");
    for case in cases {
        let mut cold = ColdBoxes::default();
        let reports = case.reports.iter();
        let updates =
            reports.filter(|(left, at)| cold.record(&id, Millis(*left), NOW + Millis(*at)));
        assert_eq!(updates.count(), case.updates, "{}", case.name);
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
        evacuated_since: None,
        cold: None,
        is_silent: false,
    }
}

fn request<'a>(service: &'a ServiceName, regions: AllowedRegions<'a>) -> RequestSpec<'a> {
    RequestSpec { service, model: None, prompt_tokens: 0.0, latency_goal: Millis(100), regions }
}

/// An endpoint in an evacuated zone is neither chosen nor given a permit, and is restored when the
/// zone is reopened.
#[test]
fn no_permit_is_given_for_an_evacuated_zone() {
    let service = ServiceName::new("app");
    let request = request(&service, AllowedRegions::default());
    let mut balancer = LoadBalancer::default();
    let since = Some(NOW - Millis(4_000));
    let choose =
        |balancer: &LoadBalancer| balancer.choose(request, None, &[], NOW, &mut SeededRng::new(3));
    balancer.set_targets(vec![spec(0, None), spec(1, None)]);
    let near = choose(&balancer).expect("an endpoint");
    balancer
        .set_targets(vec![TargetSpec { evacuated_since: since, ..spec(0, None) }, spec(1, None)]);
    let chosen = choose(&balancer).expect("an endpoint");
    assert_eq!(balancer.box_id(chosen), Some(&spec(1, None).id));
    assert!(
        balancer.acquire_permit(near, NOW).is_none()
            && balancer.acquire_permit(chosen, NOW).is_some()
    );
    assert_eq!(balancer.unavailable_until(request, None, NOW), None);
    let evacuated =
        [0, 1].map(|number| TargetSpec { evacuated_since: since, ..spec(number, None) });
    balancer.set_targets(evacuated.to_vec());
    assert_eq!(choose(&balancer), None);
    // The zones were evacuated 4 s ago, and it is unknown for how much longer.
    assert_eq!(balancer.unavailable_until(request, None, NOW), Some(NOW + Millis(4_000)));
    balancer.set_targets(vec![spec(0, None), spec(1, None)]);
    assert_eq!(choose(&balancer), Some(near));
    assert!(balancer.acquire_permit(near, NOW).is_some());
}

/// A cold endpoint is limited while it is cold, by its cold rate or the limit it names, whichever
/// is lower.
#[test]
fn a_cold_endpoint_needs_permits() {
    let rate = |per_second| RequestRate::per_second(per_second).expect("a rate");
    let cold = ColdPeriod { rate: rate(14.0), until: NOW + Millis(3_000) };
    let mut balancer = LoadBalancer::default();
    balancer.set_targets(vec![TargetSpec { cold: Some(cold), ..spec(0, None) }]);
    let id = spec(0, None).id;
    let limits = balancer.rate_limits_mut();
    assert_eq!(limits.limit(&id), Some(rate(14.0)));
    assert!(limits.permit_wait(&id, NOW).is_some_and(|wait| wait.is_err()));
    assert!(!limits.take_permit(&id, NOW));
    let observed = |limit| cherrystand_core::ObservedRateLimit { limit, request_sent_at: NOW };
    limits.record_answer(&id, observed(Some(rate(3.5))), NOW);
    assert_eq!(limits.limit(&id), Some(rate(3.5)));
    let own = |_: &BoxId| cherrystand_core::RateLimitOwner { address: None, share: 1.0 };
    limits.step(NOW + Millis(3_000), own);
    assert_eq!(limits.limit(&id), Some(rate(3.5)));
    let late =
        cherrystand_core::ObservedRateLimit { limit: None, request_sent_at: NOW + Millis(2_000) };
    limits.record_answer(&id, late, NOW + Millis(3_000));
    assert_eq!(limits.limit(&id), None);
    assert!(limits.take_permit(&id, NOW + Millis(3_000)));
    // It is warm earlier than it reported.
    balancer.set_targets(vec![spec(0, None)]);
    balancer.set_targets(vec![TargetSpec { cold: Some(cold), ..spec(0, None) }]);
    assert_eq!(balancer.rate_limits().limit(&id), Some(rate(14.0)));
    balancer.set_targets(vec![spec(0, None)]);
    assert_eq!(balancer.rate_limits().limit(&id), None);
}

/// The view marks the endpoints in evacuated zones, and those that are cold if their service limits
/// cold endpoints.
#[test]
fn the_view_lists_evacuated_and_cold_endpoints() {
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
    let mut cold_boxes = ColdBoxes::default();
    for id in ["b", "c"] {
        cold_boxes.record(&BoxId::new(id), Millis(2_000), NOW);
    }
    let view = SiteView {
        routes: Some(Arc::new(RouteTable::new(config))),
        boxes: Arc::new(boxes.into_iter().collect()),
        evacuated: Arc::new(BTreeMap::from([(ZoneId::new("z1"), NOW), (ZoneId::new("z9"), NOW)])),
        cold: Arc::new(cold_boxes),
        boxes_listed: true,
        live_nodes: 1,
        ..SiteView::default()
    };
    let regions = BTreeMap::from([(ZoneId::new("z2"), RegionId::new("r2"))]);
    let targets = view.targets(&ZoneId::new("z1"), &regions);
    let listed: Vec<_> = targets
        .iter()
        .map(|(spec, _)| {
            let region = spec.region.as_ref().map(RegionId::as_str);
            (spec.id.as_str(), spec.evacuated_since, spec.cold.map(|cold| cold.until), region)
        })
        .collect();
    let until = Some(NOW + Millis(2_000));
    assert_eq!(
        listed,
        [("a", Some(NOW), None, None), ("b", None, until, Some("r2")), ("c", None, None, None)]
    );
}

proptest! {
    /// A request that is restricted to regions is sent to no other, whatever the state of the
    /// endpoints there.
    #[test]
    fn no_request_leaves_its_allowed_regions(
        route in prop::collection::vec(0usize..3, 0..3),
        tenant in prop::collection::vec(0usize..3, 0..3),
        endpoints in prop::collection::vec((prop::option::of(0usize..3), any::<bool>(), any::<bool>()), 1..8),
        seed in any::<u64>(),
    ) {
        let region = |number: &usize| RegionId::new(format!("r{number}"));
        let route: Vec<RegionId> = route.iter().map(region).collect();
        let tenant: Vec<RegionId> = tenant.iter().map(region).collect();
        let mut balancer = LoadBalancer::default();
        let specs: Vec<TargetSpec> = endpoints.iter().enumerate().map(|(number, (of, evacuated, _))| {
            let of = of.map(|of| format!("r{of}"));
            TargetSpec { evacuated_since: evacuated.then_some(NOW), ..spec(number, of.as_deref()) }
        }).collect();
        balancer.set_targets(specs.clone());
        for (spec, (_, _, leaves)) in specs.iter().zip(&endpoints) {
            if *leaves {
                balancer.record_leaving(&spec.id);
            }
        }
        let service = ServiceName::new("app");
        let regions = AllowedRegions { route: &route, tenant: &tenant };
        let may_get = |spec: &TargetSpec| {
            let is_allowed = |regions: &[RegionId]| regions.is_empty() || spec.region.as_ref().is_some_and(|region| regions.contains(region));
            is_allowed(&route) && is_allowed(&tenant) && spec.evacuated_since.is_none()
        };
        let open = specs.iter().zip(&endpoints).any(|(spec, (_, _, leaves))| may_get(spec) && !leaves);
        let chosen = balancer.choose(request(&service, regions), None, &[], NOW, &mut SeededRng::new(seed));
        let chosen = chosen.and_then(|key| balancer.box_id(key)).cloned();
        prop_assert_eq!(chosen.is_some(), open);
        if let Some(id) = chosen {
            let spec = specs.iter().find(|spec| spec.id == id);
            prop_assert!(spec.is_some_and(may_get));
        }
    }
}
