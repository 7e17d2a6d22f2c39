//! Goodput of models and latency of consent checks when the models are overloaded, and with frozen
//! endpoints. All processes run on one machine, so only the ratios count.
#![allow(clippy::disallowed_methods, reason = "the machine of a test is not suspended")]

#[path = "../tests/support/mod.rs"]
mod support;

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use cherrystand_platform::{HttpPool, call};
use hyper::{Method, StatusCode};
use serde_json::json;
use support::{Cluster, Setup, model_body, run};

/// For how long each load is offered.
const LOAD_DURATION: Duration = Duration::from_secs(8);

/// How long a caller waits for a model's answer.
const DEADLINE_MS: &str = "1000";

/// How many tokens an answer has.
const TOKENS: u64 = 16;

/// How many concurrent callers measure the peak.
const PEAK_CALLERS: usize = 32;

/// How many consent checks are sent per second during every load.
const CHECKS_PER_SECOND: u32 = 100;

/// The counts and latencies measured under one load.
#[derive(Default)]
struct LoadResult {
    sent: Cell<u32>,
    good: Cell<u32>,
    refused: Cell<u32>,
    latencies: RefCell<Vec<Duration>>,
    checks: RefCell<Vec<Duration>>,
    direct: RefCell<Vec<Duration>>,
}

fn increment(count: &Cell<u32>) {
    count.set(count.get() + 1);
}

fn percentile(samples: &mut [Duration], percent: usize) -> Duration {
    samples.sort_unstable();
    samples.get(samples.len().saturating_sub(1) * percent / 100).copied().unwrap_or_default()
}

async fn send_request(cluster: &Cluster, result: &LoadResult, number: u32) {
    let body = model_body(&format!("picture {number}"), TOKENS, false);
    let headers = [("cherrystand-deadline-ms", DEADLINE_MS)];
    let to = cluster.daemons[0].callers;
    let started = Instant::now();
    increment(&result.sent);
    let path = "/v1/chat/completions";
    let answer = cluster.send(to, Method::POST, path, &headers, &body).await;
    match answer.map(|answer| answer.status) {
        Ok(StatusCode::OK) => {
            increment(&result.good);
            result.latencies.borrow_mut().push(started.elapsed());
        }
        _ => increment(&result.refused),
    }
}

/// Sends consent checks at a steady rate and returns how long each took.
async fn run_checks(to: SocketAddr) -> Vec<Duration> {
    let pool = HttpPool::default();
    let interval = Duration::from_secs_f64(1.0 / f64::from(CHECKS_PER_SECOND));
    let mut ticks = tokio::time::interval(interval);
    let until = Instant::now() + LOAD_DURATION;
    let mut samples = Vec::new();
    while Instant::now() < until {
        ticks.tick().await;
        let started = Instant::now();
        let timeout = Duration::from_secs(5);
        let answer = call(&pool, to, Method::GET, "/consent/1", Bytes::new(), timeout).await;
        assert!(answer.is_ok_and(|answer| answer.status == StatusCode::OK), "a check failed");
        samples.push(started.elapsed());
    }
    samples
}

/// Starts work at a steady rate for `LOAD_DURATION`, then waits until all of it is done.
async fn offer<F, W>(per_second: f64, work: F)
where
    F: Fn(u32) -> W,
    W: Future<Output = ()> + 'static,
{
    if per_second < 0.1 {
        return tokio::time::sleep(LOAD_DURATION).await;
    }
    let mut tasks = tokio::task::JoinSet::new();
    let mut ticks = tokio::time::interval(Duration::from_secs_f64(1.0 / per_second));
    let until = Instant::now() + LOAD_DURATION;
    for number in 0.. {
        ticks.tick().await;
        if Instant::now() >= until {
            break;
        }
        tasks.spawn_local(work(number));
    }
    tasks.join_all().await;
}

async fn load(cluster: &Rc<Cluster>, per_second: f64) -> Rc<LoadResult> {
    let result = Rc::new(LoadResult::default());
    let to = cluster.daemons[0].callers;
    // The checks run on their own thread, so that the other callers don't affect their latency.
    let checks = std::thread::spawn(move || run(run_checks(to)));
    // The same checks without the daemon show the latency that the loaded machine itself adds.
    let service = cluster.services[1].address;
    let direct = std::thread::spawn(move || run(run_checks(service)));
    offer(per_second, |number| {
        let (cluster, result) = (cluster.clone(), result.clone());
        async move { send_request(&cluster, &result, number).await }
    })
    .await;
    *result.checks.borrow_mut() = checks.join().expect("checks");
    *result.direct.borrow_mut() = direct.join().expect("checks");
    result
}

/// Measures how many answers per second the models give when they always have more requests.
async fn peak(cluster: &Rc<Cluster>) -> f64 {
    let result = LoadResult::default();
    let until = Instant::now() + LOAD_DURATION;
    let caller = |number: usize| {
        let (cluster, result) = (cluster.clone(), &result);
        async move {
            while Instant::now() < until {
                send_request(&cluster, result, number as u32).await;
            }
        }
    };
    futures_util::future::join_all((0..PEAK_CALLERS).map(caller)).await;
    f64::from(result.good.get()) / LOAD_DURATION.as_secs_f64()
}

fn main() {
    run(async {
        let setup = Setup { daemons: 1, ..Setup::default() };
        let cluster = Rc::new(Cluster::serving(setup).await);
        for stand_in in &cluster.boxes {
            let settings = json!({"token_us": 8_000, "batch": 8, "queue": 8});
            cluster.set(stand_in.address, settings).await;
        }
        let peak = peak(&cluster).await;
        println!("overload: peak {peak:.0} answers/s with {PEAK_CALLERS} callers at once");
        println!(
            "{:>5} {:>7} {:>9} {:>9} {:>8} {:>8} {:>8} {:>10} {:>10} {:>10}",
            "load",
            "sent/s",
            "goodput",
            "of peak",
            "refused",
            "p50 ms",
            "p99 ms",
            "check p50",
            "check p99",
            "direct p99"
        );
        let mut idle = Duration::ZERO;
        for factor in [0.0, 0.5, 0.9, 1.2, 2.0] {
            let result = load(&cluster, peak * factor).await;
            let goodput = f64::from(result.good.get()) / LOAD_DURATION.as_secs_f64();
            let (mut latencies, mut checks) = (result.latencies.take(), result.checks.take());
            let mut direct = result.direct.take();
            let check_p99 = percentile(&mut checks, 99);
            if factor == 0.0 {
                idle = check_p99;
            }
            println!(
                "{factor:>5.1} {:>7.0} {goodput:>9.0} {:>9.2} {:>8} {:>8} {:>8} {:>10?} {:>10?} {:>10?} ({:.2} of idle)",
                f64::from(result.sent.get()) / LOAD_DURATION.as_secs_f64(),
                goodput / peak,
                result.refused.get(),
                percentile(&mut latencies, 50).as_millis(),
                percentile(&mut latencies, 99).as_millis(),
                percentile(&mut checks, 50),
                check_p99,
                percentile(&mut direct, 99),
                check_p99.as_secs_f64() / idle.as_secs_f64(),
            );
        }
        cluster.set(cluster.services[0].address, json!({"freeze_ms": 9_000})).await;
        let result = load(&cluster, 0.0).await;
        let mut checks = result.checks.take();
        println!(
            "one of two consent endpoints frozen: check p50 {:?}, p99 {:?}, worst {:?}",
            percentile(&mut checks, 50),
            percentile(&mut checks, 99),
            percentile(&mut checks, 100),
        );
    });
}
