//! Replicas that name the rate at which they take requests from all daemons together.
#![allow(clippy::disallowed_methods, reason = "the machine of a test is not suspended")]

mod support;

use std::time::Duration;

use cherrystand_testkit::{BoxWishes, LimitBound, LimitIn, Sheds, exceeded_limits};
use futures_util::future::join_all;
use support::caller_requests::{
    CallerRequest, daemon_of, describe_first_failure, is_served, prefix_with_case, run_cases,
    send_to_all,
};
use support::site::{MODEL_PATH, SERVICE_PATH, Site};

/// How often each daemon gets a request.
const REQUEST_INTERVAL: Duration = Duration::from_millis(100);

/// For how long requests are sent: two of the periods over which arrivals are counted, plus the time
/// that daemons may take before.
const REQUEST_PERIOD: Duration = Duration::from_secs(10);

/// The time within which a request is refused if no endpoint may take it.
const REFUSAL_TIMEOUT: Duration = Duration::from_millis(300);

/// Lists the boxes that got more requests than they had named.
fn violations(site: &Site) -> Vec<String> {
    let (signals, arrivals) = (site.stand_in.signals(), site.stand_in.arrivals());
    let bounds = [LimitBound::Platform, LimitBound::Own];
    bounds
        .iter()
        .flat_map(|bound| exceeded_limits(&signals, &arrivals, *bound, daemon_of))
        .collect()
}

/// Returns the boxes that serve a path.
fn boxes_of(site: &Site, path: &str) -> Vec<String> {
    match path {
        SERVICE_PATH => ["a-1", "a-2"].map(str::to_owned).to_vec(),
        _ => site.stand_in.leaders().into_keys().collect(),
    }
}

/// Checks refusals: each must come at once and name a time to retry.
fn invalid_refusals(asked: &[CallerRequest]) -> Vec<String> {
    let refused = asked.iter().filter(|asked| !is_served(asked));
    let wrong = refused.filter(|asked| {
        let after: Option<f64> = asked.answer.header("retry-after").parse().ok();
        asked.answer.status != 503 || asked.elapsed > REFUSAL_TIMEOUT || after.is_none()
    });
    wrong
        .map(|asked| format!("{}: {} after {:?}", asked.id, asked.answer.status, asked.elapsed))
        .collect()
}

/// Overloaded replicas named in their answers how many requests a second they take from all daemons
/// together, 0.4 of what they got. Daemons that had forwarded such answers sent as many as before,
/// 33 to 41 in 4 s where 14 were named: nothing read the limit, and nothing bound all daemons
/// together.
///
/// Limits of 3.5, 0.4 and 0 made no difference to the arrivals, nor did it matter whether one
/// daemon has all the callers or each a third, so it isn't a limit that each daemon keeps by
/// itself. No request came twice.
#[test]
fn daemons_together_respect_the_rate_limit_of_a_replica() {
    struct Case {
        name: &'static str,
        path: &'static str,
        /// What the boxes of the service signal, in the order of their names.
        wishes: [BoxWishes; 2],
        /// How often each daemon gets a request; a daemon with `None` gets none.
        every: [Option<Duration>; 3],
        /// The minimum share of requests that is served.
        min_served: f64,
    }
    let (healthy, limit) = (BoxWishes::default(), BoxWishes::limit("3.5"));
    let case = Case {
        name: "one of two",
        path: MODEL_PATH,
        wishes: [limit, healthy],
        every: [Some(REQUEST_INTERVAL); 3],
        min_served: 1.0,
    };
    let cases = [
        Case { name: "one of two, a plain service", path: SERVICE_PATH, ..case },
        Case {
            name: "in every other answer",
            wishes: [BoxWishes { limit_in: LimitIn::EverySecond, ..limit }, healthy],
            ..case
        },
        // A refusal that doesn't name the limit doesn't end it.
        Case {
            name: "in good answers only",
            wishes: [
                BoxWishes { limit_in: LimitIn::Served, sheds: Sheds::EverySecond, ..limit },
                healthy,
            ],
            ..case
        },
        Case { name: "a low one", wishes: [BoxWishes::limit("0.4"), healthy], ..case },
        Case { name: "none at all", wishes: [BoxWishes::limit("0"), healthy], ..case },
        // Of 30 requests a second 7 are taken, plus those sent before the limits are known.
        Case { name: "both", wishes: [limit; 2], min_served: 0.15, ..case },
        Case {
            name: "both, a plain service",
            path: SERVICE_PATH,
            wishes: [limit; 2],
            min_served: 0.15,
            ..case
        },
        Case {
            name: "all requests come to one daemon",
            every: [Some(REQUEST_INTERVAL / 3), None, None],
            ..case
        },
        case,
    ];
    support::run(async {
        let all = cases.into_iter().map(|case| async move {
            let site = Site::serving_with_start_times(3).await;
            for (id, wishes) in boxes_of(&site, case.path).iter().zip(case.wishes) {
                site.stand_in.set_wishes(id, wishes);
            }
            let of = |number: usize| {
                let nodes = &site.nodes;
                async move {
                    let Some(every) = case.every[number] else { return Vec::new() };
                    send_to_all(&nodes[number..=number], case.path, every, REQUEST_PERIOD).await
                }
            };
            let asked = join_all([0, 1, 2].map(of)).await;
            let asked: Vec<CallerRequest> = asked.into_iter().flatten().collect();
            let mut wrong = violations(&site);
            let served = asked.iter().filter(|asked| is_served(asked)).count();
            if (served as f64) < asked.len() as f64 * case.min_served {
                let (all, failed) = (asked.len(), describe_first_failure(&asked));
                wrong.push(format!("{served} of {all} served; {failed}"));
            }
            wrong.extend(invalid_refusals(&asked));
            prefix_with_case(case.name, wrong)
        });
        let wrong = run_cases(all).await.concat();
        assert!(wrong.is_empty(), "{} wrong: {wrong:#?}", wrong.len());
    });
}

/// What happens to a limit while requests are sent: it is lowered, raised, no longer named, ends
/// with the incarnation that named it, or a daemon that may keep its ledger is killed.
#[test]
fn a_rate_limit_is_respected_when_it_changes_or_a_daemon_is_lost() {
    #[derive(Clone, Copy)]
    enum Change {
        Names(&'static str),
        NamesNoLimit,
        Restarts,
        DaemonKilled(usize),
    }
    struct Case {
        name: &'static str,
        first: &'static str,
        change: Change,
        /// How many requests reach the box in the last three seconds.
        final_count: std::ops::RangeInclusive<usize>,
    }
    /// When the change happens, and the period at the end over which arrivals are counted.
    const CHANGE_AFTER: Duration = Duration::from_secs(4);
    const COUNTED_PERIOD: Duration = Duration::from_secs(3);
    // Without a limit, half of 30 requests a second reach the box.
    let cases = [
        Case { name: "lowered", first: "8", change: Change::Names("1"), final_count: 1..=5 },
        Case { name: "raised", first: "1", change: Change::Names("8"), final_count: 12..=26 },
        Case {
            name: "no longer named",
            first: "1",
            change: Change::NamesNoLimit,
            final_count: 27..=90,
        },
        Case {
            name: "a new incarnation",
            first: "1",
            change: Change::Restarts,
            final_count: 27..=90,
        },
        Case {
            name: "the first daemon killed",
            first: "3.5",
            change: Change::DaemonKilled(0),
            final_count: 0..=13,
        },
        Case {
            name: "the second daemon killed",
            first: "3.5",
            change: Change::DaemonKilled(1),
            final_count: 0..=13,
        },
        Case {
            name: "the third daemon killed",
            first: "3.5",
            change: Change::DaemonKilled(2),
            final_count: 0..=13,
        },
    ];
    support::run(async {
        let all = cases.into_iter().map(|case| async move {
            let site = Site::serving_with_start_times(3).await;
            site.stand_in.set_wishes("a-1", BoxWishes::limit(case.first));
            let asking = send_to_all(&site.nodes, SERVICE_PATH, REQUEST_INTERVAL, REQUEST_PERIOD);
            let changing = async {
                tokio::time::sleep(CHANGE_AFTER).await;
                match case.change {
                    Change::Names(limit) => {
                        site.stand_in.set_wishes("a-1", BoxWishes::limit(limit))
                    }
                    Change::NamesNoLimit => site.stand_in.set_wishes("a-1", BoxWishes::default()),
                    Change::Restarts => site.stand_in.restart("a-1", false),
                    Change::DaemonKilled(number) => site.nodes[number].process.signal("KILL"),
                }
            };
            let (asked, ()) = tokio::join!(asking, changing);
            let arrivals = site.stand_in.arrivals();
            let ended = arrivals.iter().map(|arrival| arrival.at).max().expect("arrivals");
            let final_count = arrivals.iter().filter(|arrival| arrival.target == "a-1");
            let final_count =
                final_count.filter(|arrival| arrival.at + COUNTED_PERIOD >= ended).count();
            let (signals, mut wrong) = (site.stand_in.signals(), Vec::new());
            wrong.extend(exceeded_limits(&signals, &arrivals, LimitBound::Platform, daemon_of));
            if !case.final_count.contains(&final_count) {
                wrong.push(format!("{final_count} at the end, expected {:?}", case.final_count));
            }
            let killed = match case.change {
                Change::DaemonKilled(number) => Some(number),
                _ => None,
            };
            let killed = killed.map(|number| format!("n{number}-"));
            let counts = |asked: &&CallerRequest| {
                killed.as_ref().is_none_or(|own| !asked.id.starts_with(own))
            };
            let failed = asked.iter().filter(counts).filter(|asked| !is_served(asked)).count();
            if failed > 0 {
                wrong.push(format!("{failed} were not served; {}", describe_first_failure(&asked)));
            }
            prefix_with_case(case.name, wrong)
        });
        let wrong = run_cases(all).await.concat();
        assert!(wrong.is_empty(), "{} wrong: {wrong:#?}", wrong.len());
    });
}
