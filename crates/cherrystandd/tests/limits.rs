//! Replicas that say how many requests they take from all daemons together.
#![allow(clippy::disallowed_methods, reason = "the machine of a test is not suspended")]

mod support;

use std::time::Duration;

use cherrystand_testkit::{BoxWishes, LimitBound, LimitIn, Sheds, broken_limits};
use futures_util::future::join_all;
use support::asking::{Asked, ask_all, daemon_of, first_failed, in_case, is_served, played};
use support::site::{CALL, STREAM, Site};

/// How often each daemon gets a request.
const REQUEST_INTERVAL: Duration = Duration::from_millis(100);

/// For how long requests come: two spans over which arrivals are counted, and what daemons may take before.
const REQUEST_PERIOD: Duration = Duration::from_secs(10);

/// Within this time a request is refused that no endpoint has room for.
const REFUSAL_TIMEOUT: Duration = Duration::from_millis(300);

/// Names the boxes that got more than they had said they take.
fn violations(site: &Site) -> Vec<String> {
    let (told, arrivals) = (site.site.told(), site.site.arrivals());
    let bounds = [LimitBound::Platform, LimitBound::Own];
    bounds.iter().flat_map(|bound| broken_limits(&told, &arrivals, *bound, daemon_of)).collect()
}

/// Returns the boxes that serve a path.
fn boxes_of(site: &Site, path: &str) -> Vec<String> {
    match path {
        CALL => ["a-1", "a-2"].map(str::to_owned).to_vec(),
        _ => site.site.leaders().into_keys().collect(),
    }
}

/// Says what is wrong with refusals: each comes at once and says when to come back.
fn invalid_refusals(asked: &[Asked]) -> Vec<String> {
    let refused = asked.iter().filter(|asked| !is_served(asked));
    let wrong = refused.filter(|asked| {
        let after: Option<f64> = asked.answer.header("retry-after").parse().ok();
        asked.answer.status != 503 || asked.took > REFUSAL_TIMEOUT || after.is_none()
    });
    wrong
        .map(|asked| format!("{}: {} after {:?}", asked.id, asked.answer.status, asked.took))
        .collect()
}

/// Story: replicas in need said in their answers how many requests a second they take from all daemons
/// together, 0.4 of what they got; daemons that had passed such answers on sent them as many as before, 33 to
/// 41 in 4 s where 14 were named. The word was read on no path, and nothing in the system bound all daemons
/// together.
///
/// Evidence: limits of 3.5, 0.4 and 0 made no difference to what arrived, and neither did it whether one daemon has
/// all the callers or each a third, so that it is not a limit which each keeps by itself; no request came twice.
#[test]
fn daemons_together_respect_the_rate_limit_of_a_replica() {
    struct Case {
        name: &'static str,
        path: &'static str,
        /// What the boxes of the service say, in the order of their names.
        wishes: [BoxWishes; 2],
        /// How often each daemon gets a request; one that gets none is not asked.
        every: [Option<Duration>; 3],
        /// The least share of requests that is served.
        min_served: f64,
    }
    let (healthy, limit) = (BoxWishes::default(), BoxWishes::limit("3.5"));
    let case = Case {
        name: "one of two",
        path: STREAM,
        wishes: [limit, healthy],
        every: [Some(REQUEST_INTERVAL); 3],
        min_served: 1.0,
    };
    let cases = [
        Case { name: "one of two, a plain service", path: CALL, ..case },
        Case {
            name: "in every other answer",
            wishes: [BoxWishes { limit_in: LimitIn::EverySecond, ..limit }, healthy],
            ..case
        },
        // A refusal that does not name it ends nothing.
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
        // Of 30 a second 7 are taken, but for the time in which that gets known.
        Case { name: "both", wishes: [limit; 2], min_served: 0.15, ..case },
        Case {
            name: "both, a plain service",
            path: CALL,
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
            let site = Site::serving_with_starts(3).await;
            for (id, wishes) in boxes_of(&site, case.path).iter().zip(case.wishes) {
                site.site.set_wishes(id, wishes);
            }
            let of = |number: usize| {
                let nodes = &site.nodes;
                async move {
                    let Some(every) = case.every[number] else { return Vec::new() };
                    ask_all(&nodes[number..=number], case.path, every, REQUEST_PERIOD).await
                }
            };
            let asked = join_all([0, 1, 2].map(of)).await;
            let asked: Vec<Asked> = asked.into_iter().flatten().collect();
            let mut wrong = violations(&site);
            let served = asked.iter().filter(|asked| is_served(asked)).count();
            if (served as f64) < asked.len() as f64 * case.min_served {
                let (all, failed) = (asked.len(), first_failed(&asked));
                wrong.push(format!("{served} of {all} served; {failed}"));
            }
            wrong.extend(invalid_refusals(&asked));
            in_case(case.name, wrong)
        });
        let wrong = played(all).await.concat();
        assert!(wrong.is_empty(), "{} wrong: {wrong:#?}", wrong.len());
    });
}

/// What becomes of a limit while requests come: it is lowered, raised, named no more, ends with the life that named it, or
/// a daemon that may keep its account is killed.
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
    /// When that happens, and the span at the end over which arrivals are counted.
    const CHANGE_AFTER: Duration = Duration::from_secs(4);
    const COUNTED_PERIOD: Duration = Duration::from_secs(3);
    // Half of 30 a second come to it where nothing holds them back.
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
            let site = Site::serving_with_starts(3).await;
            site.site.set_wishes("a-1", BoxWishes::limit(case.first));
            let asking = ask_all(&site.nodes, CALL, REQUEST_INTERVAL, REQUEST_PERIOD);
            let changing = async {
                tokio::time::sleep(CHANGE_AFTER).await;
                match case.change {
                    Change::Names(limit) => site.site.set_wishes("a-1", BoxWishes::limit(limit)),
                    Change::NamesNoLimit => site.site.set_wishes("a-1", BoxWishes::default()),
                    Change::Restarts => site.site.restart("a-1", false),
                    Change::DaemonKilled(number) => site.nodes[number].process.signal("KILL"),
                }
            };
            let (asked, ()) = tokio::join!(asking, changing);
            let arrivals = site.site.arrivals();
            let ended = arrivals.iter().map(|arrival| arrival.at).max().expect("arrivals");
            let final_count = arrivals.iter().filter(|arrival| arrival.target == "a-1");
            let final_count =
                final_count.filter(|arrival| arrival.at + COUNTED_PERIOD >= ended).count();
            let (told, mut wrong) = (site.site.told(), Vec::new());
            wrong.extend(broken_limits(&told, &arrivals, LimitBound::Platform, daemon_of));
            if !case.final_count.contains(&final_count) {
                wrong.push(format!("{final_count} at the end, expected {:?}", case.final_count));
            }
            let killed = match case.change {
                Change::DaemonKilled(number) => Some(number),
                _ => None,
            };
            let killed = killed.map(|number| format!("n{number}-"));
            let counts =
                |asked: &&Asked| killed.as_ref().is_none_or(|own| !asked.id.starts_with(own));
            let failed = asked.iter().filter(counts).filter(|asked| !is_served(asked)).count();
            if failed > 0 {
                wrong.push(format!("{failed} were not served; {}", first_failed(&asked)));
            }
            in_case(case.name, wrong)
        });
        let wrong = played(all).await.concat();
        assert!(wrong.is_empty(), "{} wrong: {wrong:#?}", wrong.len());
    });
}
