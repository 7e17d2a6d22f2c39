//! Goodput of models and latency of consent checks as more is asked than the models can do, and
//! with frozen endpoints. Real processes on one machine; read the ratios.
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
const OFFER_FOR: Duration = Duration::from_secs(8);

/// How long a caller waits for a model's answer.
const DEADLINE_MS: &str = "1000";

/// How many tokens an answer has.
const TOKENS: u64 = 16;

/// How many callers find out the peak.
const PEAK_CALLERS: usize = 32;

/// Consent checks a second, beside everything.
const CHECKS_PER_SECOND: u32 = 100;

/// What one load came to.
#[derive(Default)]
struct Offered {
    sent: Cell<u32>,
    good: Cell<u32>,
    refused: Cell<u32>,
    firsts: RefCell<Vec<Duration>>,
    checks: RefCell<Vec<Duration>>,
    direct: RefCell<Vec<Duration>>,
}

fn add_one(count: &Cell<u32>) {
    count.set(count.get() + 1);
}

fn at(taken: &mut [Duration], percent: usize) -> Duration {
    taken.sort_unstable();
    taken.get(taken.len().saturating_sub(1) * percent / 100).copied().unwrap_or_default()
}

async fn ask(cluster: &Cluster, offered: &Offered, number: u32) {
    let body = model_body(&format!("picture {number}"), TOKENS, false);
    let headers = [("cherrystand-deadline-ms", DEADLINE_MS)];
    let to = cluster.daemons[0].callers;
    let began = Instant::now();
    add_one(&offered.sent);
    let path = "/v1/chat/completions";
    let answer = cluster.send(to, Method::POST, path, &headers, &body).await;
    match answer.map(|answer| answer.status) {
        Ok(StatusCode::OK) => {
            add_one(&offered.good);
            offered.firsts.borrow_mut().push(began.elapsed());
        }
        _ => add_one(&offered.refused),
    }
}

/// Checks consent at a steady rate and returns how long each check took.
async fn check_steadily(to: SocketAddr) -> Vec<Duration> {
    let pool = HttpPool::default();
    let between = Duration::from_secs_f64(1.0 / f64::from(CHECKS_PER_SECOND));
    let mut pace = tokio::time::interval(between);
    let until = Instant::now() + OFFER_FOR;
    let mut taken = Vec::new();
    while Instant::now() < until {
        pace.tick().await;
        let began = Instant::now();
        let within = Duration::from_secs(5);
        let answer = call(&pool, to, Method::GET, "/consent/1", Bytes::new(), within).await;
        assert!(answer.is_ok_and(|answer| answer.status == StatusCode::OK), "a check failed");
        taken.push(began.elapsed());
    }
    taken
}

/// Does something at a rate until time is up, and waits for what was begun.
async fn offer<F, W>(per_second: f64, work: F)
where
    F: Fn(u32) -> W,
    W: Future<Output = ()> + 'static,
{
    if per_second < 0.1 {
        return tokio::time::sleep(OFFER_FOR).await;
    }
    let mut begun = tokio::task::JoinSet::new();
    let mut pace = tokio::time::interval(Duration::from_secs_f64(1.0 / per_second));
    let until = Instant::now() + OFFER_FOR;
    for number in 0.. {
        pace.tick().await;
        if Instant::now() >= until {
            break;
        }
        begun.spawn_local(work(number));
    }
    begun.join_all().await;
}

async fn load(cluster: &Rc<Cluster>, per_second: f64) -> Rc<Offered> {
    let offered = Rc::new(Offered::default());
    let to = cluster.daemons[0].callers;
    // On a thread of its own, so that what is measured is the daemon and not the other callers.
    let checks = std::thread::spawn(move || run(check_steadily(to)));
    // The same past the daemon, which tells what the machine itself adds under the load.
    let service = cluster.services[1].address;
    let direct = std::thread::spawn(move || run(check_steadily(service)));
    offer(per_second, |number| {
        let (cluster, offered) = (cluster.clone(), offered.clone());
        async move { ask(&cluster, &offered, number).await }
    })
    .await;
    *offered.checks.borrow_mut() = checks.join().expect("checks");
    *offered.direct.borrow_mut() = direct.join().expect("checks");
    offered
}

/// Finds out how many answers a second the models can give when always asked for more.
async fn peak(cluster: &Rc<Cluster>) -> f64 {
    let offered = Offered::default();
    let until = Instant::now() + OFFER_FOR;
    let caller = |number: usize| {
        let (cluster, offered) = (cluster.clone(), &offered);
        async move {
            while Instant::now() < until {
                ask(&cluster, offered, number as u32).await;
            }
        }
    };
    futures_util::future::join_all((0..PEAK_CALLERS).map(caller)).await;
    f64::from(offered.good.get()) / OFFER_FOR.as_secs_f64()
}

fn main() {
    run(async {
        let setup = Setup { daemons: 1, ..Setup::default() };
        let cluster = Rc::new(Cluster::serving(setup).await);
        for stand_in in &cluster.boxes {
            let knobs = json!({"token_us": 8_000, "batch": 8, "queue": 8});
            cluster.set(stand_in.address, knobs).await;
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
            let offered = load(&cluster, peak * factor).await;
            let goodput = f64::from(offered.good.get()) / OFFER_FOR.as_secs_f64();
            let (mut firsts, mut checks) = (offered.firsts.take(), offered.checks.take());
            let mut direct = offered.direct.take();
            let check_p99 = at(&mut checks, 99);
            if factor == 0.0 {
                idle = check_p99;
            }
            println!(
                "{factor:>5.1} {:>7.0} {goodput:>9.0} {:>9.2} {:>8} {:>8} {:>8} {:>10?} {:>10?} {:>10?} ({:.2} of idle)",
                f64::from(offered.sent.get()) / OFFER_FOR.as_secs_f64(),
                goodput / peak,
                offered.refused.get(),
                at(&mut firsts, 50).as_millis(),
                at(&mut firsts, 99).as_millis(),
                at(&mut checks, 50),
                check_p99,
                at(&mut direct, 99),
                check_p99.as_secs_f64() / idle.as_secs_f64(),
            );
        }
        cluster.set(cluster.services[0].address, json!({"freeze_ms": 9_000})).await;
        let offered = load(&cluster, 0.0).await;
        let mut checks = offered.checks.take();
        println!(
            "one of two consent endpoints frozen: check p50 {:?}, p99 {:?}, worst {:?}",
            at(&mut checks, 50),
            at(&mut checks, 99),
            at(&mut checks, 100),
        );
    });
}
