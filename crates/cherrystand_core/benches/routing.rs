//! The time to choose an endpoint as endpoints grow, and the latencies under several strategies.
#![allow(clippy::disallowed_methods, reason = "the machine of a test is not suspended")]

use std::hint::black_box;
use std::time::Instant;

use cherrystand_core::{
    AllowedRegions, AttemptEnd, BoxId, ChoiceRule, EndpointKey, EndpointSpec, EngineSpec, GroupKey,
    LoadBalancer, Millis, ModelSpec, Policy, RequestSpec, Router, SeededRng, ServiceName,
    TargetSpec,
};

/// The number of choices that are timed.
const CHOICES: u32 = 200_000;

/// The number of endpoints in the comparison of strategies.
const SERVERS: usize = 50;

/// The number of requests in the comparison.
const REQUESTS: u64 = 60_000;

/// The age of load reports in the comparison, in milliseconds.
const REPORT_LAG: u64 = 2_000;

fn router(endpoints: usize) -> (Router, GroupKey, Vec<EndpointKey>) {
    let mut router = Router::default();
    let group = router.add_group();
    let spec = EndpointSpec { near: true, initial_limit: 256, max_limit: 256 };
    let keys = (0..endpoints).map(|_| router.add_endpoint(group, spec)).collect();
    (router, group, keys)
}

fn router_cost() {
    println!("routing: nanoseconds per choice, with its start and finish recorded");
    println!("{:>9} {:>9} {:>9}", "endpoints", "plain", "prefix");
    for endpoints in [10, 100, 1_000, 5_000] {
        let (mut router, group, _) = router(endpoints);
        let mut rng = SeededRng::new(1);
        let mut time = |prefixes: bool| {
            let began = Instant::now();
            for number in 0..u64::from(CHOICES) {
                let prefix = prefixes.then_some(number.wrapping_mul(0x9e37_79b9));
                let now = Millis(number);
                if let Ok(key) = router.choose(group, prefix, now, &mut rng) {
                    let _ = router.start(key, now);
                    router.finish(black_box(key), AttemptEnd::Answered, now, Some(Millis(5)));
                }
            }
            began.elapsed().as_nanos() / u128::from(CHOICES)
        };
        let (plain, prefix) = (time(false), time(true));
        println!("{endpoints:>9} {plain:>9} {prefix:>9}");
    }
}

fn engine() -> EngineSpec {
    let model = ModelSpec {
        name: "m".to_owned(),
        span: 8,
        time_factor: 1.0,
        work_share: 1.0,
        load_time: Millis(16_000),
        host_load_time: Millis(1_600),
    };
    EngineSpec {
        slots: 34,
        steps_per_pass: 5,
        step_ms: 6.0,
        per_request_ms: 0.24,
        context_ms_per_k: 0.005,
        prefill_chunk: 2_048,
        prefill_tokens_per_s: 46_000.0,
        attention_ms_per_m_pairs: 0.7,
        cross_domain_factor: 2.5,
        formation_time: Millis(300),
        loads_per_s: 4.0,
        loads_at_once: 6,
        typical_prompt_tokens: 1_000.0,
        typical_answer_tokens: 130.0,
        models: vec![model],
    }
}

fn balancer(rule: ChoiceRule, replicas: usize) -> LoadBalancer {
    let mut balancer = LoadBalancer::new(Policy { choice: rule, ..Policy::default() });
    let target = |number: usize| TargetSpec {
        id: BoxId::new(format!("box-{number}")),
        service: ServiceName::new("models"),
        model: Some("m".to_owned()),
        near: number.is_multiple_of(3),
        slots: 34,
        region: None,
        evacuated_since: None,
        cold: None,
        is_silent: false,
    };
    balancer.set_targets((0..replicas).map(target).collect());
    balancer
}

fn cost_by_rule() {
    println!("replicas by routes: nanoseconds per choice, with its start and finish recorded");
    let rules = [
        ("expected-credit", ChoiceRule::ExpectedCredit),
        ("two-at-random", ChoiceRule::TwoAtRandom),
        ("earliest", ChoiceRule::Earliest),
        ("fewest-in-flight", ChoiceRule::FewestInFlight),
    ];
    let (engine, service) = (engine(), ServiceName::new("models"));
    let objective = Millis(300);
    let ask = RequestSpec {
        service: &service,
        model: Some("m"),
        prompt_tokens: 700.0,
        latency_goal: objective,
        regions: AllowedRegions::default(),
    };
    for replicas in [10, 100, 1_000, 5_000] {
        for (name, rule) in rules {
            let mut balancer = balancer(rule, replicas);
            let mut rng = SeededRng::new(1);
            let choices = if rule == ChoiceRule::ExpectedCredit { CHOICES } else { CHOICES / 100 };
            let began = Instant::now();
            for number in 0..u64::from(choices) {
                let now = Millis(number);
                if let Some(key) = balancer.choose(ask, Some(&engine), &[], now, &mut rng) {
                    balancer.record_start(key, 700.0, false);
                    balancer.record_first_event(key, 700.0, false);
                    balancer.record_finish(black_box(key), 0.0, false);
                }
            }
            let took = began.elapsed().as_nanos() / u128::from(choices);
            println!("{replicas:>9} {name:<18} {took:>9}");
        }
    }
}

/// How endpoints are chosen.
#[derive(Clone, Copy, PartialEq)]
enum Strategy {
    Cherrystand,
    Random,
    RoundRobin,
    LeastReported,
}

/// A server that processes one request at a time.
#[derive(Clone, Copy, Default)]
struct Server {
    free_at: u64,
}

/// Sends requests to servers, one of which is slow, and returns the times until done in
/// milliseconds, sorted.
fn latencies(strategy: Strategy, load: f64, slow: u64) -> Vec<u64> {
    let (mut router, group, keys) = router(SERVERS);
    let mut servers = [Server::default(); SERVERS];
    let mut rng = SeededRng::new(11);
    let mut open: Vec<(u64, usize, u64)> = Vec::new();
    let mut reported = [0_u64; SERVERS];
    let (mut last_report, mut latencies) = (0, Vec::new());
    let service = 100_u64;
    for number in 0..REQUESTS {
        let now = (number as f64 * service as f64 / (SERVERS as f64 * load)) as u64;
        open.retain(|(end, server, took)| {
            let done = *end <= now;
            if done {
                let (at, took) = (Millis(*end), Some(Millis(*took)));
                router.finish(keys[*server], AttemptEnd::Answered, at, took);
            }
            !done
        });
        if now - last_report >= REPORT_LAG {
            last_report = now;
            for (server, count) in reported.iter_mut().enumerate() {
                *count = open.iter().filter(|(_, at, _)| *at == server).count() as u64;
            }
        }
        let server = match strategy {
            Strategy::Cherrystand => match router.choose(group, None, Millis(now), &mut rng) {
                Ok(key) => keys.iter().position(|other| *other == key).unwrap_or(0),
                Err(_) => continue,
            },
            Strategy::Random => rng.below(SERVERS),
            Strategy::RoundRobin => number as usize % SERVERS,
            Strategy::LeastReported => {
                let least = reported.iter().min().copied().unwrap_or(0);
                reported.iter().position(|count| *count == least).unwrap_or(0)
            }
        };
        let _ = router.start(keys[server], Millis(now));
        let jitter = service / 2 + rng.below(service as usize) as u64;
        let takes = if server == 0 { jitter * slow } else { jitter };
        let begin = servers[server].free_at.max(now);
        servers[server].free_at = begin + takes;
        open.push((begin + takes, server, begin + takes - now));
        latencies.push(begin + takes - now);
    }
    latencies.sort_unstable();
    latencies
}

fn compare_latencies() {
    println!("routing: ms until done, {SERVERS} servers of 100 ms, reports {REPORT_LAG} ms old");
    println!("{:<22} {:<14} {:>7} {:>7} {:>7}", "case", "strategy", "p50", "p95", "p99");
    let strategies = [
        ("cherrystand", Strategy::Cherrystand),
        ("random", Strategy::Random),
        ("round-robin", Strategy::RoundRobin),
        ("least-reported", Strategy::LeastReported),
    ];
    for (case, load, slow) in
        [("load 0.5", 0.5, 1), ("load 0.9", 0.9, 1), ("one 5x slow, 0.7", 0.7, 5)]
    {
        for (name, strategy) in strategies {
            let latencies = latencies(strategy, load, slow);
            let at = |percent: usize| latencies[(latencies.len() - 1) * percent / 100];
            println!("{case:<22} {name:<14} {:>7} {:>7} {:>7}", at(50), at(95), at(99));
        }
    }
}

fn main() {
    router_cost();
    cost_by_rule();
    compare_latencies();
}
