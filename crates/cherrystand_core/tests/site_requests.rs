//! Routes, retries, streams and the choice of endpoints for a site with a single configuration.

mod support;

use std::collections::BTreeMap;

use bytes::Bytes;
use cherrystand_core::{
    AllowedRegions, BoxId, BoxStart, CallerLimits, DomainId, EngineLoad, EventSplitter,
    LoadBalancer, LogLimiter, Millis, RequestSpec, RetryBounds, RetryShare, Route, RouteError,
    RouteKind, RouteTable, SeededRng, ServiceName, SiteBox, SiteConfig, StreamEvent, TargetSpec,
    Tenant, ZoneId, home_models,
};
use proptest::prelude::*;
use support::{site_engine, site_model};

const NOW: Millis = Millis(60_000);
const LATENCY_GOAL: Millis = Millis(300);

fn route(host: &str, prefix: &str, service: &str) -> Route {
    Route {
        name: format!("{host}{prefix}"),
        host: host.to_owned(),
        prefix: prefix.to_owned(),
        split: vec![(ServiceName::new(service), 1)],
        kind: RouteKind::Idempotent,
        timeout: Millis(1_000),
        latency_goal: Millis(100),
        gap_target: None,
        attempts: 2,
        priority: 1,
        public: false,
        resumable: false,
        allowed_regions: Vec::new(),
    }
}

fn table(tenants: Option<Vec<Tenant>>) -> RouteTable {
    let mut open = route("albums.example", "/open/", "app");
    open.public = true;
    let routes = vec![
        route("albums.example", "/", "app"),
        route("albums.example", "/stories/", "models"),
        route("albums.example", "/stories/old/", "archive"),
        open,
    ];
    let limits = CallerLimits { header_bytes: 1_000, body_bytes: 1_000 };
    RouteTable::new(SiteConfig { version: 1, routes, services: Vec::new(), limits, tenants })
}

fn tenant() -> Vec<Tenant> {
    vec![Tenant {
        name: "families".to_owned(),
        keys: vec!["k1".to_owned(), "k2".to_owned()],
        allowed_regions: Vec::new(),
    }]
}

#[test]
fn a_request_takes_the_route_with_the_longest_prefix_if_its_key_is_valid() {
    struct Case {
        host: &'static str,
        path: &'static str,
        key: Option<&'static str>,
        found: Result<(&'static str, Option<&'static str>), RouteError>,
    }
    let families = Some("families");
    let cases = [
        Case { host: "albums.example", path: "/a", key: Some("k1"), found: Ok(("app", families)) },
        Case {
            host: "Albums.Example:80",
            path: "/a",
            key: Some("k2"),
            found: Ok(("app", families)),
        },
        Case {
            host: "albums.example",
            path: "/stories/1",
            key: Some("k1"),
            found: Ok(("models", families)),
        },
        Case {
            host: "albums.example",
            path: "/stories/old/1",
            key: Some("k1"),
            found: Ok(("archive", families)),
        },
        Case {
            host: "albums.example",
            path: "/stories",
            key: Some("k1"),
            found: Ok(("app", families)),
        },
        Case { host: "albums.example", path: "/open/1", key: None, found: Ok(("app", None)) },
        Case { host: "albums.example", path: "/a", key: None, found: Err(RouteError::UnknownKey) },
        Case {
            host: "albums.example",
            path: "/a",
            key: Some("k3"),
            found: Err(RouteError::UnknownKey),
        },
        Case {
            host: "other.example",
            path: "/a",
            key: Some("k1"),
            found: Err(RouteError::NoRoute),
        },
    ];
    let table = table(Some(tenant()));
    for case in cases {
        let found = table.find(case.host, case.path, case.key);
        let found = found.map(|allowed| {
            (allowed.route.split[0].0.as_str(), allowed.tenant.map(|tenant| tenant.name.as_str()))
        });
        assert_eq!(found, case.found, "{} {} {:?}", case.host, case.path, case.key);
    }
}

#[test]
fn without_tenants_no_request_needs_a_key() {
    let table = table(None);
    let found = table.find("albums.example", "/a", None).expect("allowed");
    assert_eq!(found.tenant, None);
}

#[test]
fn a_split_sends_requests_by_weight_and_each_request_to_one_service() {
    let mut route = route("albums.example", "/", "a");
    route.split = vec![(ServiceName::new("a"), 90), (ServiceName::new("b"), 10)];
    let to_b = (0..10_000).filter(|id| route.service_of(*id).expect("one").as_str() == "b").count();
    assert!((800..1_200).contains(&to_b), "{to_b}");
    assert!((0..100).all(|id| route.service_of(id) == route.service_of(id)));
    route.split = Vec::new();
    assert_eq!(route.service_of(1), None);
}

proptest! {
    #[test]
    fn the_retries_of_all_nodes_stay_within_the_common_budget(
        nodes in 1_usize..30,
        steps in prop::collection::vec((0_usize..30, 0_u64..400, any::<bool>(), any::<bool>()), 1..600),
    ) {
        let bounds = RetryBounds { ratio: 0.2, slack: 136.0, window: Millis(10_000) };
        let mut shares: Vec<RetryShare> = (0..nodes).map(|_| RetryShare::new(bounds)).collect();
        let (mut now, mut requests, mut retries) = (NOW, Vec::new(), Vec::new());
        for (node, gap, takes_request, restarts) in steps {
            now = now + Millis(gap / 10);
            let share = &mut shares[node % nodes];
            if restarts && gap > 395 {
                // A node that restarts loses its count.
                *share = RetryShare::new(bounds);
            }
            if takes_request {
                share.record_request(now);
                requests.push(now);
            }
            if share.try_spend(now, nodes) {
                retries.push(now);
            }
            let within = |list: &[Millis]| {
                list.iter().filter(|at| now.since(**at) <= bounds.window).count() as f64
            };
            let allowed = bounds.ratio * within(&requests) + bounds.slack;
            prop_assert!(within(&retries) <= allowed, "{} retries", within(&retries));
        }
    }

    #[test]
    fn events_are_complete_however_the_bytes_are_split(
        events in prop::collection::vec("[a-z]{0,12}", 1..12),
        uses_crlf in prop::bool::ANY,
        cuts in prop::collection::vec(1_usize..9, 1..80),
    ) {
        let end = if uses_crlf { "\r\n" } else { "\n" };
        let whole = |(number, text): (usize, &String)| {
            format!("id: {number}{end}data: {text}{end}{end}").into_bytes()
        };
        let events: Vec<Vec<u8>> = events.iter().enumerate().map(whole).collect();
        let bytes = events.concat();
        let mut splitter = EventSplitter::default();
        let (mut from, mut out) = (0, Vec::new());
        for cut in cuts.iter().cycle() {
            let to = (from + cut).min(bytes.len());
            splitter.push(&bytes[from..to]);
            while let Some(event) = splitter.next_event() {
                out.push(event);
            }
            from = to;
            if from == bytes.len() {
                break;
            }
        }
        let ids: Vec<_> = out.iter().map(|event| event.id).collect();
        prop_assert_eq!(ids, (0..events.len() as u64).map(Some).collect::<Vec<_>>());
        let out: Vec<Vec<u8>> = out.into_iter().map(|event| event.bytes.to_vec()).collect();
        prop_assert_eq!(out, events);
        prop_assert_eq!(splitter.buffered_bytes(), 0);
    }
}

#[test]
fn an_incomplete_event_is_held_back() {
    let mut splitter = EventSplitter::default();
    splitter.push(b"id: 1\ndata: a\n\nid: 2\ndata: b\n");
    assert_eq!(splitter.next_event().and_then(|event| event.id), Some(1));
    assert_eq!(splitter.next_event(), None);
    assert!(splitter.buffered_bytes() > 0);
    splitter.clear();
    assert_eq!(splitter.buffered_bytes(), 0);
}

fn target(id: &str, model: Option<&str>) -> TargetSpec {
    TargetSpec {
        id: BoxId::new(id),
        service: ServiceName::new("models"),
        model: model.map(str::to_owned),
        near: true,
        slots: 26,
        region: None,
        evacuated_since: None,
        cold: None,
        is_silent: false,
    }
}

fn request_spec<'a>(
    service: &'a ServiceName,
    model: Option<&'a str>,
    prompt: f64,
) -> RequestSpec<'a> {
    RequestSpec {
        service,
        model,
        prompt_tokens: prompt,
        latency_goal: LATENCY_GOAL,
        regions: AllowedRegions::default(),
    }
}

fn chosen(balancer: &LoadBalancer, model: &str, excluded: &[BoxId], now: Millis) -> Option<String> {
    let service = ServiceName::new("models");
    let request_spec = request_spec(&service, Some(model), 1_000.0);
    let engine = site_engine();
    let key =
        balancer.choose(request_spec, Some(&engine), excluded, now, &mut SeededRng::new(1))?;
    balancer.box_id(key).map(|id| id.as_str().to_owned())
}

#[test]
fn the_replica_predicted_to_answer_first_is_chosen_whichever_node_loads_it() {
    let mut balancer = LoadBalancer::default();
    balancer.set_targets(vec![
        target("a", Some("large")),
        target("b", Some("large")),
        target("c", Some("small")),
    ]);
    let busy = EngineLoad { requests: 20.0, unread: 9_000.0 };
    balancer.set_peer_loads(&BTreeMap::from([(BoxId::new("a"), busy)]));
    assert_eq!(chosen(&balancer, "large", &[], NOW).as_deref(), Some("b"));
    assert_eq!(chosen(&balancer, "small", &[], NOW).as_deref(), Some("c"));
    assert_eq!(chosen(&balancer, "other", &[], NOW), None);
    assert_eq!(chosen(&balancer, "large", &[BoxId::new("b")], NOW).as_deref(), Some("a"));
    balancer.eject_box(&BoxId::new("b"), NOW);
    assert_eq!(chosen(&balancer, "large", &[], NOW).as_deref(), Some("a"));
    assert_eq!(chosen(&balancer, "large", &[], NOW + Millis(400)).as_deref(), Some("b"));
}

#[test]
fn requests_in_flight_count_until_they_end_even_if_the_endpoints_change() {
    let mut balancer = LoadBalancer::default();
    balancer.set_targets(vec![target("a", Some("large")), target("b", Some("large"))]);
    let service = ServiceName::new("models");
    let request_spec = request_spec(&service, Some("large"), 500.0);
    let key = balancer
        .choose(request_spec, Some(&site_engine()), &[], NOW, &mut SeededRng::new(1))
        .expect("one");
    balancer.record_start(key, 500.0, false);
    assert_eq!(balancer.load(key), EngineLoad { requests: 1.0, unread: 500.0 });
    balancer.record_first_event(key, 500.0, false);
    assert_eq!(balancer.load(key), EngineLoad { requests: 1.0, unread: 0.0 });
    balancer.set_targets(vec![target("a", Some("large")), target("b", Some("large"))]);
    assert_eq!(balancer.load(key).requests, 1.0);
    balancer.record_finish(key, 0.0, false);
    assert_eq!(balancer.load(key), EngineLoad::default());
    balancer.set_targets(Vec::new());
    // The end of a request whose endpoint was removed has no effect.
    balancer.record_finish(key, 0.0, false);
    assert_eq!(chosen(&balancer, "large", &[], NOW), None);
}

/// Guards against starts of requests hiding a stall. A replica whose member had died took requests
/// for 3.7 s: each daemon had few requests there, and whenever one started at a daemon that had
/// none, it counted as progress. The daemons reported it to each other as evidence that it was
/// alive.
#[test]
fn the_start_of_a_request_is_no_progress_of_its_replica() {
    let mut balancer = LoadBalancer::default();
    balancer.set_targets(vec![target("a", Some("large"))]);
    let service = ServiceName::new("models");
    let request_spec = request_spec(&service, Some("large"), 500.0);
    let key = balancer
        .choose(request_spec, Some(&site_engine()), &[], NOW, &mut SeededRng::new(1))
        .expect("one");
    balancer.record_start(key, 500.0, false);
    balancer.record_progress(key, NOW);
    balancer.record_finish(key, 0.0, false);
    balancer.record_start(key, 500.0, false);
    assert_eq!(balancer.last_progress(key), Some(NOW));
    let reported: Vec<Millis> = balancer.own_loads().map(|(_, _, progress)| progress).collect();
    assert_eq!(reported, [NOW]);
}

#[test]
fn a_plain_endpoint_that_fails_requests_is_chosen_less() {
    let mut balancer = LoadBalancer::default();
    balancer.set_targets(vec![target("a", None), target("b", None)]);
    let service = ServiceName::new("models");
    let request_spec = request_spec(&service, None, 0.0);
    let mut rng = SeededRng::new(3);
    let mut to_a = 0;
    for _ in 0..200 {
        let key = balancer.choose(request_spec, None, &[], NOW, &mut rng).expect("one");
        if balancer.box_id(key).expect("known").as_str() == "a" {
            to_a += 1;
            balancer.record_failure(key, NOW);
        } else {
            balancer.record_success(key, NOW);
        }
    }
    assert!(to_a < 10, "{to_a}");
    // After some time the endpoint is tried again.
    let later = NOW + Millis(60_000);
    let choose =
        |rng: &mut SeededRng| balancer.choose(request_spec, None, &[], later, rng).expect("one");
    let keys: Vec<_> = (0..50).map(|_| choose(&mut rng)).collect();
    assert!(keys.iter().any(|key| balancer.box_id(*key).expect("known").as_str() == "a"));
}

#[test]
fn the_longest_expected_silence_grows_with_the_load() {
    let engine = site_engine();
    let (large, mut fast) = (site_model("large", 4, 0.5), site_model("large", 4, 0.5));
    fast.time_factor = 0.5;
    let idle = engine.max_silence(&large, EngineLoad::default());
    let reading = EngineLoad { requests: 9.0, unread: 10_000.0 };
    let flooded = EngineLoad { requests: 9.0, unread: 1_000_000.0 };
    assert!((80.0..150.0).contains(&idle), "{idle}");
    assert!(engine.max_silence(&large, reading) > idle + 150.0);
    assert!(engine.max_silence(&large, flooded) < 600.0);
    assert!(engine.max_silence(&fast, EngineLoad::default()) < idle);
}

#[test]
fn the_first_token_is_predicted_later_the_more_requests_wait() {
    let engine = site_engine();
    let large = site_model("large", 4, 0.5);
    let load = |requests, unread| EngineLoad { requests, unread };
    let times = [load(0.0, 0.0), load(10.0, 0.0), load(10.0, 5_000.0), load(30.0, 5_000.0)]
        .map(|load| engine.first_token_time(&large, load, 1_000.0));
    assert!(times.windows(2).all(|pair| pair[0] < pair[1]), "{times:?}");
}

/// Guards against an uneven split. When the owners of domains decided one after the other and
/// learned of each other's records meanwhile, nine domains were split six to three; 6,825 of 10,786
/// requests of the other model were late.
#[test]
fn home_models_do_not_depend_on_which_domains_were_decided_before() {
    let engine = site_engine();
    let boxes: Vec<(DomainId, Vec<SiteBox>)> = (0..9)
        .map(|domain| {
            let name = format!("d{domain}");
            let boxes = (0..9).map(|number| domain_box(&name, number, &[])).collect();
            (DomainId::new(name), boxes)
        })
        .collect();
    let domains: BTreeMap<DomainId, Vec<&SiteBox>> =
        boxes.iter().map(|(id, boxes)| (id.clone(), boxes.iter().collect())).collect();
    let all = home_models(&engine, &domains, &BTreeMap::new());
    // Any subset of the domains may have been decided already.
    for decided in 0_u32..1 << domains.len() {
        let known = all.iter().enumerate().filter(|(number, _)| decided >> number & 1 == 1);
        let known = known.map(|(_, (id, home))| (id.clone(), home.clone())).collect();
        assert_eq!(home_models(&engine, &domains, &known), all, "{decided:b}");
    }
    let other = BTreeMap::from([(DomainId::new("d0"), engine.models[1].name.clone())]);
    let changed = home_models(&engine, &domains, &other);
    assert_eq!(changed[&DomainId::new("d0")], engine.models[1].name, "an earlier decision is kept");
    let unknown = BTreeMap::from([(DomainId::new("d0"), "nobody's".to_owned())]);
    assert_eq!(home_models(&engine, &domains, &unknown), all, "a model that is not configured");
}

#[test]
fn the_loaded_models_of_a_box_are_kept_until_it_restarts() {
    struct Case {
        name: &'static str,
        earlier: &'static str,
        reported: &'static [&'static str],
        known: &'static [&'static str],
    }
    let cases = [
        Case { name: "it left its replica", earlier: "d-1", reported: &[], known: &["large"] },
        Case { name: "it joined another", earlier: "d-1", reported: &["small"], known: &["small"] },
        Case { name: "another box", earlier: "d-2", reported: &[], known: &[] },
    ];
    for case in cases {
        let mut earlier = domain_box("d", 1, &["small"]);
        earlier.id = BoxId::new(case.earlier);
        earlier.loaded = vec!["large".to_owned()];
        let mut now = domain_box("d", 1, &["small"]);
        now.loaded = case.reported.iter().map(|name| (*name).to_owned()).collect();
        now.carry_over_loaded_models(&earlier);
        assert_eq!(now.loaded, case.known, "{}", case.name);
    }
}

fn domain_box(domain: &str, number: usize, staged: &[&str]) -> SiteBox {
    SiteBox {
        id: BoxId::new(format!("{domain}-{number}")),
        start: BoxStart::Unreported,
        orders_taken: 0,
        service: ServiceName::new("models"),
        address: "127.0.0.1:1".parse().expect("an address"),
        zone: ZoneId::new("hall"),
        slots: 26,
        leaving: false,
        cold_remaining: None,
        domain: Some(DomainId::new(domain)),
        staged: staged.iter().map(|name| (*name).to_owned()).collect(),
        loaded: Vec::new(),
        member: None,
    }
}

#[test]
fn a_model_gets_domains_by_its_work_share_whatever_its_replicas_span() {
    let mut engine = site_engine();
    let figures = [(16, 0.5), (4, 0.5)];
    for (model, (span, share)) in engine.models.iter_mut().zip(figures) {
        (model.span, model.work_share) = (span, share);
    }
    let boxes: Vec<(DomainId, Vec<SiteBox>)> = (0..6)
        .map(|domain| {
            let name = format!("d{domain}");
            let boxes = (0..37).map(|number| domain_box(&name, number, &[])).collect();
            (DomainId::new(name), boxes)
        })
        .collect();
    let domains = boxes.iter().map(|(id, boxes)| (id.clone(), boxes.iter().collect())).collect();
    let homes = home_models(&engine, &domains, &BTreeMap::new());
    let of_first = homes.values().filter(|home| **home == engine.models[0].name).count();
    assert_eq!(of_first, 3, "half of the work, half of the domains, whatever a replica spans");
}

#[test]
fn nodes_that_just_started_do_not_spend_the_slack_of_the_others() {
    let bounds = RetryBounds { ratio: 0.2, slack: 250.0, window: Millis(10_000) };
    let mut shares = vec![RetryShare::new(bounds); 60];
    // Each node knows only itself, as after all nodes were lost.
    let spent: usize = shares.iter_mut().map(|share| spend_all(share, Millis(500), 1)).sum();
    assert_eq!(spent, 0);
    let spent: usize = shares.iter_mut().map(|share| spend_all(share, Millis(1_500), 60)).sum();
    assert!(spent > 60, "{spent} of the slack once the others are known");
    // Nodes that are cut off still count the others.
    let spent: usize = shares.iter_mut().map(|share| spend_all(share, Millis(2_000), 1)).sum();
    assert_eq!(spent, 0);
}

fn spend_all(share: &mut RetryShare, now: Millis, nodes: usize) -> usize {
    std::iter::repeat_with(|| share.try_spend(now, nodes)).take_while(|spent| *spent).count()
}

#[test]
fn each_domain_gets_a_home_model_by_the_work_shares() {
    struct Case {
        name: &'static str,
        /// The boxes of each domain and the models that they hold.
        domains: &'static [(usize, &'static [&'static str])],
        homes: &'static [&'static str],
    }
    let cases = [
        Case {
            name: "nothing staged",
            domains: &[(9, &[]), (9, &[]), (9, &[]), (9, &[]), (9, &[]), (9, &[])],
            homes: &["large", "small", "large", "small", "large", "large"],
        },
        Case {
            name: "what boxes hold decides",
            domains: &[(9, &["small"]), (9, &[])],
            homes: &["small", "large"],
        },
        Case {
            name: "a model that only some domains can hold",
            domains: &[(3, &[]), (3, &[]), (4, &[])],
            homes: &["small", "small", "large"],
        },
        Case { name: "fewer domains than models", domains: &[(9, &[])], homes: &[] },
    ];
    for case in cases {
        let boxes: Vec<(DomainId, Vec<SiteBox>)> = case
            .domains
            .iter()
            .enumerate()
            .map(|(number, (count, staged))| {
                let name = format!("d{number}");
                let boxes = (0..*count).map(|number| domain_box(&name, number, staged)).collect();
                (DomainId::new(name), boxes)
            })
            .collect();
        let domains =
            boxes.iter().map(|(id, boxes)| (id.clone(), boxes.iter().collect())).collect();
        let homes = home_models(&site_engine(), &domains, &BTreeMap::new());
        let homes: Vec<&str> = homes.values().map(String::as_str).collect();
        assert_eq!(homes, case.homes, "{}", case.name);
    }
}

#[test]
fn a_log_gets_a_limited_number_of_lines_per_second_and_the_count_of_omitted_ones() {
    let mut limiter = LogLimiter::new(2);
    let at = |ms| NOW + Millis(ms);
    let admitted = [0, 1, 2, 3, 1_100, 1_101, 1_102].map(|ms| limiter.admit(at(ms)));
    assert_eq!(admitted, [Some(0), Some(0), None, None, Some(2), Some(0), None]);
}

#[test]
fn ids_of_events_only_rise_by_any_step() {
    struct Case {
        id: Option<u64>,
        last: Option<u64>,
        follows: bool,
    }
    let cases = [
        Case { id: Some(4), last: Some(3), follows: true },
        Case { id: Some(9), last: Some(3), follows: true },
        Case { id: Some(3), last: Some(3), follows: false },
        Case { id: Some(1), last: Some(3), follows: false },
        Case { id: Some(7), last: None, follows: true },
        Case { id: None, last: Some(3), follows: true },
    ];
    for case in cases {
        let event = StreamEvent { bytes: Bytes::new(), id: case.id };
        assert_eq!(event.follows(case.last), case.follows, "{:?} after {:?}", case.id, case.last);
    }
}
