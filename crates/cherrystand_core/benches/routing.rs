//! What one choice of an endpoint costs as endpoints grow, and how choices spread the load.

use std::hint::black_box;
use std::time::Instant;

use cherrystand_core::{AttemptEnd, EndpointKey, EndpointSpec, GroupKey, Millis, Router, Seed};

/// How many choices are timed.
const CHOICES: u32 = 200_000;

/// How many endpoints serve in the comparison of ways to choose.
const SERVERS: usize = 50;

/// How many requests the comparison sends.
const REQUESTS: u64 = 60_000;

/// How old load reports are in the comparison, in milliseconds.
const REPORT_LAG: u64 = 2_000;

fn router(endpoints: usize) -> (Router, GroupKey, Vec<EndpointKey>) {
    let mut router = Router::default();
    let group = router.add_group();
    let spec = EndpointSpec { near: true, start_limit: 256, most: 256 };
    let keys = (0..endpoints).map(|_| router.add_endpoint(group, spec)).collect();
    (router, group, keys)
}

fn cost() {
    println!("routing: nanoseconds a choice, counted in and out again");
    println!("{:>9} {:>9} {:>9}", "endpoints", "plain", "prefix");
    for endpoints in [10, 100, 1_000, 5_000] {
        let (mut router, group, _) = router(endpoints);
        let mut seed = Seed::new(1);
        let mut time = |prefixes: bool| {
            let began = Instant::now();
            for number in 0..u64::from(CHOICES) {
                let prefix = prefixes.then_some(number.wrapping_mul(0x9e37_79b9));
                let now = Millis(number);
                if let Ok(key) = router.choose(group, prefix, now, &mut seed) {
                    router.start(key);
                    router.finish(black_box(key), AttemptEnd::Answered, now, Some(Millis(5)));
                }
            }
            began.elapsed().as_nanos() / u128::from(CHOICES)
        };
        let (plain, prefix) = (time(false), time(true));
        println!("{endpoints:>9} {plain:>9} {prefix:>9}");
    }
}

/// Names a way to choose.
#[derive(Clone, Copy, PartialEq)]
enum Way {
    Cherrystand,
    Random,
    RoundRobin,
    LeastReported,
}

/// One server that answers its requests one after the other.
#[derive(Clone, Copy, Default)]
struct Server {
    free_at: u64,
}

/// Sends requests at a load to servers, one of which is slow, and returns the waits in
/// milliseconds, sorted.
fn waits(way: Way, load: f64, slow: u64) -> Vec<u64> {
    let (mut router, group, keys) = router(SERVERS);
    let mut servers = [Server::default(); SERVERS];
    let mut seed = Seed::new(11);
    let mut open: Vec<(u64, usize, u64)> = Vec::new();
    let mut reported = [0_u64; SERVERS];
    let (mut last_report, mut waits) = (0, Vec::new());
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
        let server = match way {
            Way::Cherrystand => match router.choose(group, None, Millis(now), &mut seed) {
                Ok(key) => keys.iter().position(|other| *other == key).unwrap_or(0),
                Err(_) => continue,
            },
            Way::Random => seed.below(SERVERS),
            Way::RoundRobin => number as usize % SERVERS,
            Way::LeastReported => {
                let least = reported.iter().min().copied().unwrap_or(0);
                reported.iter().position(|count| *count == least).unwrap_or(0)
            }
        };
        router.start(keys[server]);
        let jitter = service / 2 + seed.below(service as usize) as u64;
        let takes = if server == 0 { jitter * slow } else { jitter };
        let begin = servers[server].free_at.max(now);
        servers[server].free_at = begin + takes;
        open.push((begin + takes, server, begin + takes - now));
        waits.push(begin + takes - now);
    }
    waits.sort_unstable();
    waits
}

fn spread() {
    println!("routing: ms until done, {SERVERS} servers of 100 ms, reports {REPORT_LAG} ms old");
    println!("{:<22} {:<14} {:>7} {:>7} {:>7}", "case", "way", "p50", "p95", "p99");
    let ways = [
        ("cherrystand", Way::Cherrystand),
        ("random", Way::Random),
        ("round-robin", Way::RoundRobin),
        ("least-reported", Way::LeastReported),
    ];
    for (case, load, slow) in
        [("load 0.5", 0.5, 1), ("load 0.9", 0.9, 1), ("one 5x slow, 0.7", 0.7, 5)]
    {
        for (name, way) in ways {
            let waits = waits(way, load, slow);
            let at = |percent: usize| waits[(waits.len() - 1) * percent / 100];
            println!("{case:<22} {name:<14} {:>7} {:>7} {:>7}", at(50), at(95), at(99));
        }
    }
}

fn main() {
    cost();
    spread();
}
