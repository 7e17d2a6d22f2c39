//! Endpoints that leave beside faults of the daemons that read the store.
#![allow(clippy::disallowed_methods, reason = "the machine of a test is not suspended")]

mod support;

use std::time::{Duration, Instant};

use cherrystand_testkit::{Door, LinkMode};
use support::asking::{ask_all, daemon_of, in_case, played};
use support::site::{CALL, Site};

/// How often each daemon gets a request.
const EVERY: Duration = Duration::from_millis(50);

/// Within this time of the store's word nothing is sent any more to an endpoint that leaves.
const LEFT_WITHIN: Duration = Duration::from_millis(2_000);

/// The endpoint that leaves; another one stays.
const LEAVES: &str = "a-1";
const STAYS: &str = "a-2";

/// How a plain endpoint leaves; it serves on.
#[derive(Clone, Copy, PartialEq)]
enum Way {
    /// Its entry says so.
    Says,
    /// Its entry goes.
    Unsaid,
}

/// What strikes the daemon that reads the store for the others.
#[derive(Clone, Copy, PartialEq)]
enum Strikes {
    /// Its connections to the store say nothing any more; new ones work.
    Hush,
    /// It is cut off from the store.
    Cut,
    /// The store turns it away.
    TurnAway,
    /// It stands still.
    Stop,
    /// It is killed.
    Kill,
}

impl Strikes {
    fn begin(self, site: &Site, reader: usize) {
        match self {
            Self::Hush => site.store_links[reader].hush(),
            Self::Cut => site.store_links[reader].set(LinkMode::SilentBack),
            Self::TurnAway => site.site.set_door(reader, Door::Busy),
            Self::Stop => site.nodes[reader].process.signal("STOP"),
            Self::Kill => site.nodes[reader].process.signal("KILL"),
        }
    }

    fn end(self, site: &Site, reader: usize) {
        match self {
            Self::Cut => site.store_links[reader].set(LinkMode::Open),
            Self::TurnAway => site.site.set_door(reader, Door::Open),
            Self::Stop => site.nodes[reader].process.signal("CONT"),
            Self::Hush | Self::Kill => {}
        }
    }

    /// Tells whether the daemon that is struck answers callers and hears of the store by some way.
    fn leaves_in_touch(self) -> bool {
        matches!(self, Self::Hush | Self::TurnAway)
    }
}

impl Way {
    fn leave(self, site: &Site) {
        match self {
            Self::Says => site.site.drain(LEAVES),
            Self::Unsaid => site.site.unlist(LEAVES),
        }
    }
}

/// Returns by which daemons requests were sent to the endpoint after a time, and when the last one was.
fn sent_after(site: &Site, from: Instant, is_counted: impl Fn(&str) -> bool) -> Vec<String> {
    let arrivals = site.site.arrivals().into_iter();
    let late = arrivals.filter(|arrival| arrival.target == LEAVES && arrival.at > from);
    let late = late.filter_map(|arrival| {
        let daemon = daemon_of(&arrival.request, arrival.at)?;
        is_counted(&daemon).then(|| format!("by {daemon}, {:?} late", arrival.at - from))
    });
    late.collect()
}

/// Story: requests reached endpoints up to 2.4 s after the store had taken their word that they leave, where 2 s are
/// allowed: the time-outs along the way from the store to a daemon add up to more.
#[test]
fn an_endpoint_that_leaves_gets_nothing_for_longer_than_allowed_whoever_reads_fails() {
    struct Case {
        name: &'static str,
        strikes: Strikes,
        way: Way,
    }
    let case = Case { name: "silent connections", strikes: Strikes::Hush, way: Way::Says };
    let cases = [
        Case { name: "silent connections, unsaid", way: Way::Unsaid, ..case },
        Case { name: "a cut from the store", strikes: Strikes::Cut, ..case },
        Case { name: "turned away", strikes: Strikes::TurnAway, ..case },
        Case { name: "stopped", strikes: Strikes::Stop, ..case },
        Case { name: "killed", strikes: Strikes::Kill, way: Way::Unsaid },
        case,
    ];
    support::run(async {
        let all = cases.into_iter().map(|case| async move {
            let site = Site::serving(3).await;
            let reader = site.reader().await;
            let asking = ask_all(&site.nodes, CALL, EVERY, Duration::from_millis(3_800));
            let leaving = async {
                tokio::time::sleep(Duration::from_millis(500)).await;
                // A question to the store begins right after a change, and has long to wait.
                site.site.list(STAYS);
                tokio::time::sleep(Duration::from_millis(110)).await;
                case.strikes.begin(&site, reader);
                tokio::time::sleep(Duration::from_millis(10)).await;
                case.way.leave(&site);
                let left = Instant::now();
                tokio::time::sleep(LEFT_WITHIN + Duration::from_secs(1)).await;
                case.strikes.end(&site, reader);
                left
            };
            let (_, left) = tokio::join!(asking, leaving);
            let struck = format!("n{reader}");
            let is_counted = |daemon: &str| daemon != struck || case.strikes.leaves_in_touch();
            let late = sent_after(&site, left + LEFT_WITHIN, is_counted);
            in_case(case.name, late)
        });
        let wrong = played(all).await.concat();
        assert!(wrong.is_empty(), "{} sent too late: {wrong:#?}", wrong.len());
    });
}

/// How long a daemon stands still: longer than any silence of a store that is there.
const STANDS_STILL: Duration = Duration::from_millis(3_400);

/// Once it goes on, it knows by this time what has left meanwhile.
const KNOWN_WITHIN: Duration = Duration::from_millis(800);

/// Story: a box's entry went while a daemon stood still; as that one went on it took its own silence for an outage of
/// the store, kept the box for 2.2 s, and others read from it that the box was ready.
#[test]
fn one_that_stood_still_does_not_keep_what_left_meanwhile() {
    support::run(async {
        let site = Site::serving(1).await;
        let asking = ask_all(&site.nodes, CALL, EVERY, STANDS_STILL + Duration::from_secs(3));
        let leaving = async {
            Strikes::Stop.begin(&site, 0);
            tokio::time::sleep(Duration::from_millis(300)).await;
            Way::Unsaid.leave(&site);
            tokio::time::sleep(STANDS_STILL).await;
            Strikes::Stop.end(&site, 0);
            Instant::now()
        };
        let (_, back) = tokio::join!(asking, leaving);
        let late = sent_after(&site, back + KNOWN_WITHIN, |_| true);
        assert!(late.is_empty(), "{} sent: {late:#?}", late.len());
    });
}
