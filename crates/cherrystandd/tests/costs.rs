//! Bounds on the platform calls and the peer traffic of an idle system and of a change.
#![allow(clippy::disallowed_methods, reason = "the machine of a test is not suspended")]

mod support;

use std::time::{Duration, Instant};

use cherrystand_testkit::CallCounts;
use hyper::Method;
use support::{Cluster, Setup, run};

/// The time over which an idle system is measured.
const MEASURED_TIME: Duration = Duration::from_secs(6);

/// The limit on reads per second of three idle daemons in two zones. Each daemon watches the records
/// and reads the box list, with one call in two seconds for each.
const READS_PER_SECOND: f64 = 5.0;

/// The limit on writes per second of the same daemons, which renew one lease on one domain.
const WRITES_PER_SECOND: f64 = 1.0;

/// The limit on bytes per second that one idle daemon sends to and receives from peers.
///
/// Source: the target's control budget, docs/CAPACITY.md.
const PEER_BYTES_PER_SECOND: f64 = 11_000.0;

/// The number of writes of a planned and confirmed change to a service, without lease renewals.
const WRITES_PER_CHANGE: u64 = 2;

async fn counts(cluster: &Cluster) -> CallCounts {
    let at = cluster.platform.address;
    let answer = cluster.send(at, Method::GET, "/control/counts", &[], "").await.expect("counts");
    serde_json::from_slice(&answer.body).expect("counts")
}

async fn peer_bytes(cluster: &Cluster, daemon: usize) -> f64 {
    let at = cluster.daemons[daemon].callers;
    let text = cluster.send(at, Method::GET, "/metrics", &[], "").await.expect("metrics").text();
    support::peer_bytes(&text, "")
}

#[test]
fn a_system_at_rest_stays_within_its_budget() {
    run(async {
        let cluster = Cluster::serving(Setup::default()).await;
        tokio::time::sleep(Duration::from_secs(2)).await;
        let (before, started) = (counts(&cluster).await, Instant::now());
        let mut bytes_before = Vec::new();
        for daemon in 0..3 {
            bytes_before.push(peer_bytes(&cluster, daemon).await);
        }
        tokio::time::sleep(MEASURED_TIME).await;
        let (after, secs) = (counts(&cluster).await, started.elapsed().as_secs_f64());
        let reads = (after.reads - before.reads) as f64 / secs;
        let writes = (after.writes - before.writes) as f64 / secs;
        assert!(reads <= READS_PER_SECOND, "{reads} reads per second");
        assert!(writes <= WRITES_PER_SECOND, "{writes} writes per second");
        assert_eq!(after.refused, 0, "the platform rejected calls for their rate");
        for (daemon, before) in bytes_before.iter().enumerate() {
            let bytes = (peer_bytes(&cluster, daemon).await - before) / secs;
            println!("daemon {daemon}: {bytes:.0} bytes/s to and from peers");
            assert!(bytes <= PEER_BYTES_PER_SECOND, "daemon {daemon}: {bytes} bytes per second");
        }
        println!("{reads:.2} reads/s, {writes:.2} writes/s of 3 daemons");
    });
}

#[test]
fn a_change_costs_two_writes() {
    run(async {
        let cluster = Cluster::serving(Setup::default()).await;
        let before = counts(&cluster).await;
        cluster.apply_config(&cluster.default_config(2, "1", "/moved")).await;
        let after = counts(&cluster).await;
        let leases = after.leases - before.leases;
        assert_eq!(after.writes - before.writes - leases, WRITES_PER_CHANGE);
    });
}
