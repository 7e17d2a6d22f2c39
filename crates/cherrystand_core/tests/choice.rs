//! The choice of a replica by each rule of the policy.

mod support;

use std::collections::BTreeMap;

use cherrystand_core::{
    AllowedRegions, BoxId, ChoiceRule, EngineLoad, LatencyModel, LoadBalancer, Millis, Policy,
    RequestSpec, SeededRng, ServiceName, TargetSpec, engine_priority,
};
use support::site_engine;

const NOW: Millis = Millis(60_000);
const PROMPT: f64 = 700.0;

fn target(id: &str, near: bool) -> TargetSpec {
    TargetSpec {
        id: BoxId::new(id),
        service: ServiceName::new("models"),
        model: Some("large".to_owned()),
        near,
        slots: 26,
        region: None,
        evacuated_since: None,
        cold: None,
        is_silent: false,
    }
}

/// Chooses `count` times without recording the choices, like nodes that have the same information.
fn choose_many(
    balancer: &LoadBalancer,
    latency_goal: Millis,
    count: usize,
    now: Millis,
) -> BTreeMap<String, usize> {
    let service = ServiceName::new("models");
    let request = RequestSpec {
        service: &service,
        model: Some("large"),
        prompt_tokens: PROMPT,
        latency_goal,
        regions: AllowedRegions::default(),
    };
    let engine = site_engine();
    let mut rng = SeededRng::new(5);
    let mut chosen = BTreeMap::new();
    for _ in 0..count {
        let key = balancer.choose(request, Some(&engine), &[], now, &mut rng).expect("a replica");
        let id = balancer.box_id(key).expect("known").as_str().to_owned();
        *chosen.entry(id).or_default() += 1;
    }
    chosen
}

fn policy(choice: ChoiceRule) -> Policy {
    Policy { choice, ..Policy::default() }
}

#[test]
fn nodes_with_equal_information_herd_only_under_rules_that_take_the_overall_best() {
    struct Case {
        rule: ChoiceRule,
        /// The most of 400 choices that any of 20 replicas may get.
        max_choices: usize,
        /// The fewest that the most chosen replica gets.
        min_choices: usize,
    }
    let cases = [
        Case { rule: ChoiceRule::ExpectedCredit, max_choices: 100, min_choices: 20 },
        Case { rule: ChoiceRule::TwoAtRandom, max_choices: 100, min_choices: 20 },
        Case { rule: ChoiceRule::Earliest, max_choices: 400, min_choices: 400 },
        Case { rule: ChoiceRule::FewestInFlight, max_choices: 400, min_choices: 400 },
    ];
    for case in cases {
        let mut balancer = LoadBalancer::new(policy(case.rule));
        let id = |number: usize| format!("b{number:02}");
        balancer.set_targets((0..20).map(|number| target(&id(number), number % 3 == 0)).collect());
        // One replica was idle at the last report.
        let load = |number: usize| match number {
            7 => EngineLoad::default(),
            _ => EngineLoad { requests: 12.0, unread: 0.0 },
        };
        let loads = (0..20).map(|number| (BoxId::new(id(number)), load(number)));
        balancer.set_peer_loads(&loads.collect());
        let chosen = choose_many(&balancer, Millis(300), 400, NOW);
        let busiest = chosen.values().copied().max().unwrap_or_default();
        assert!(
            (case.min_choices..=case.max_choices).contains(&busiest),
            "{:?}: {chosen:?}",
            case.rule
        );
    }
}

#[test]
fn a_silent_replica_is_chosen_only_if_there_is_no_other() {
    for rule in [ChoiceRule::ExpectedCredit, ChoiceRule::TwoAtRandom, ChoiceRule::FewestInFlight] {
        let silent = TargetSpec { is_silent: true, ..target("silent", true) };
        let mut balancer = LoadBalancer::new(policy(rule));
        balancer.set_targets(vec![silent.clone(), target("far", false)]);
        let busy = EngineLoad { requests: 26.0, unread: 20_000.0 };
        balancer.set_peer_loads(&[(BoxId::new("far"), busy)].into());
        let chosen = choose_many(&balancer, Millis(300), 20, NOW);
        assert_eq!(chosen, [("far".to_owned(), 20)].into(), "{rule:?}");
        balancer.set_targets(vec![silent]);
        let chosen = choose_many(&balancer, Millis(300), 20, NOW);
        assert_eq!(chosen, [("silent".to_owned(), 20)].into(), "{rule:?}");
    }
}

#[test]
fn a_far_replica_is_chosen_only_if_the_near_one_would_lose_credit() {
    struct Case {
        name: &'static str,
        near: EngineLoad,
        far: EngineLoad,
        /// The percentage of choices that go to the far replica.
        far_percent: std::ops::RangeInclusive<usize>,
    }
    let load = |requests, unread| EngineLoad { requests, unread };
    let cases = [
        Case { name: "alike", near: load(5.0, 0.0), far: load(5.0, 0.0), far_percent: 0..=0 },
        Case {
            name: "the near one is a little busier and in time",
            near: load(12.0, 500.0),
            far: load(2.0, 0.0),
            far_percent: 0..=0,
        },
        Case {
            name: "the near one would be late",
            near: load(26.0, 20_000.0),
            far: load(2.0, 0.0),
            far_percent: 100..=100,
        },
    ];
    for case in cases {
        let mut balancer = LoadBalancer::default();
        balancer.set_targets(vec![target("near", true), target("far", false)]);
        balancer.set_peer_loads(&BTreeMap::from([
            (BoxId::new("near"), case.near),
            (BoxId::new("far"), case.far),
        ]));
        let chosen = choose_many(&balancer, Millis(300), 100, NOW);
        let far = chosen.get("far").copied().unwrap_or_default();
        assert!(case.far_percent.contains(&far), "{}: {far}", case.name);
    }
}

#[test]
fn the_latency_model_learns_the_error_of_the_published_figures() {
    let mut model = LatencyModel::default();
    assert!(model.probability_within(50.0, 160.0) > 0.9);
    for number in 0..400 {
        // 120 ms more than predicted, plus or minus 20; one in fifty is a stall.
        let error =
            if number % 50 == 0 { 4_000.0 } else { 120.0 + f64::from(number % 5 - 2) * 10.0 };
        model.update(50.0 + error, 50.0);
    }
    let expected = model.expected_ms(50.0);
    assert!((160.0..190.0).contains(&expected), "{expected}");
    assert!(model.probability_within(50.0, 160.0) < 0.5);
    assert!(model.probability_within(50.0, 300.0) > 0.95);
    assert!(model.probability_within(50.0, 300.0) > model.probability_within(90.0, 300.0));
}

#[test]
fn late_requests_are_queued_behind_those_that_can_be_in_time() {
    struct Case {
        name: &'static str,
        load: EngineLoad,
        latency_goal: Millis,
        defer_late: bool,
        deferred: bool,
    }
    let (idle, full) = (EngineLoad::default(), EngineLoad { requests: 26.0, unread: 30_000.0 });
    let (usual, none) = (Millis(300), Millis(0));
    let cases = [
        Case { name: "idle", load: idle, latency_goal: usual, defer_late: true, deferred: false },
        Case { name: "full", load: full, latency_goal: usual, defer_late: true, deferred: true },
        Case { name: "off", load: full, latency_goal: usual, defer_late: false, deferred: false },
        Case { name: "late", load: idle, latency_goal: none, defer_late: true, deferred: true },
    ];
    for case in cases {
        let mut balancer =
            LoadBalancer::new(Policy { defer_late: case.defer_late, ..Policy::default() });
        balancer.set_targets(vec![target("a", true)]);
        balancer.set_peer_loads(&BTreeMap::from([(BoxId::new("a"), case.load)]));
        let service = ServiceName::new("models");
        let (model, latency_goal) = (Some("large"), case.latency_goal);
        let request = RequestSpec {
            service: &service,
            model,
            prompt_tokens: PROMPT,
            latency_goal,
            regions: AllowedRegions::default(),
        };
        let engine = site_engine();
        let key =
            balancer.choose(request, Some(&engine), &[], NOW, &mut SeededRng::new(1)).expect("one");
        let expected = balancer.predict(key, request, &engine).expect("an engine");
        assert_eq!(expected.deferred, case.deferred, "{}", case.name);
        // A deferred request counts as load only once it runs.
        let before = balancer.load(key).requests;
        balancer.record_start(key, PROMPT, expected.deferred);
        let added = balancer.load(key).requests - before;
        assert_eq!(added, if case.deferred { 0.0 } else { 1.0 }, "{}", case.name);
        balancer.record_first_event(key, PROMPT, expected.deferred);
        assert_eq!(balancer.load(key).requests, before + 1.0, "{}", case.name);
        balancer.record_finish(key, 0.0, false);
        assert_eq!(balancer.load(key).requests, before, "{}", case.name);
    }
}

#[test]
fn deferred_requests_still_go_before_lower_ranks() {
    struct Case {
        first: (u8, bool),
        then: (u8, bool),
    }
    let cases = [
        Case { first: (0, false), then: (0, true) },
        Case { first: (0, true), then: (1, false) },
        Case { first: (1, true), then: (2, false) },
        Case { first: (2, false), then: (200, true) },
    ];
    for Case { first, then } in cases {
        let (first, then) = (engine_priority(first.0, first.1), engine_priority(then.0, then.1));
        assert!(first < then && then <= 9, "{first} {then}");
    }
}
