//! The latency that a daemon adds between a caller and an endpoint, and how many requests per
//! second it relays on its single relay thread. All processes run on one machine, so only the
//! ratios count.
#![allow(clippy::disallowed_methods, reason = "the machine of a test is not suspended")]

#[path = "../tests/support/mod.rs"]
mod support;

use std::time::{Duration, Instant};

use hyper::{Method, StatusCode};
use support::{Cluster, Setup, run};

/// How many requests each latency is taken from.
const SAMPLES: usize = 4_000;

/// How many callers send concurrently to measure the rate.
const CALLERS: usize = 64;

/// For how long the rate is measured.
const RATE_DURATION: Duration = Duration::from_secs(4);

async fn latencies(cluster: &Cluster, to: std::net::SocketAddr) -> Vec<Duration> {
    let mut samples = Vec::with_capacity(SAMPLES);
    for _ in 0..SAMPLES {
        let started = Instant::now();
        let answer = cluster.send(to, Method::GET, "/consent/1", &[], "").await;
        assert_eq!(answer.expect("an answer").status, StatusCode::OK);
        samples.push(started.elapsed());
    }
    samples.sort_unstable();
    samples
}

async fn rate(cluster: &Cluster, to: std::net::SocketAddr) -> f64 {
    let until = Instant::now() + RATE_DURATION;
    let caller = |_| async move {
        let mut done = 0_u32;
        while Instant::now() < until {
            let answer = cluster.send(to, Method::GET, "/consent/1", &[], "").await;
            done += u32::from(answer.is_ok_and(|answer| answer.status == StatusCode::OK));
        }
        done
    };
    let done = futures_util::future::join_all((0..CALLERS).map(caller)).await;
    f64::from(done.iter().sum::<u32>()) / RATE_DURATION.as_secs_f64()
}

fn main() {
    run(async {
        let cluster = Cluster::serving(Setup { daemons: 1, ..Setup::default() }).await;
        let (daemon, service) = (cluster.daemons[0].callers, cluster.services[0].address);
        latencies(&cluster, daemon).await;
        let (direct, through) =
            (latencies(&cluster, service).await, latencies(&cluster, daemon).await);
        for percent in [50, 99] {
            let percentile = |samples: &[Duration]| samples[(SAMPLES - 1) * percent / 100];
            let (direct, through) = (percentile(&direct), percentile(&through));
            let ratio = through.as_secs_f64() / direct.as_secs_f64();
            println!(
                "latency p{percent}: direct {direct:?}, through the daemon {through:?}, ratio {ratio:.2}"
            );
        }
        let (direct, through) = (rate(&cluster, service).await, rate(&cluster, daemon).await);
        println!(
            "rate with {CALLERS} callers in one process: direct {direct:.0}/s, through the daemon \
             {through:.0}/s, ratio {:.2}",
            through / direct
        );
    });
}
