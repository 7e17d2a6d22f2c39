//! Requests that are restricted to regions.
#![allow(clippy::disallowed_methods, reason = "the machine of a test is not suspended")]

mod support;

use std::collections::BTreeSet;
use std::time::Duration;

use serde_json::{Value, json};
use support::caller_requests::{
    CallerRequest, describe_first_failure, is_served, prefix_with_case, run_cases, send_to_all,
};
use support::site::{MODEL_PATH, SERVICE_PATH, Site, config};

/// How often each daemon gets a request, and for how long requests are sent.
const REQUEST_INTERVAL: Duration = Duration::from_millis(50);
const REQUEST_PERIOD: Duration = Duration::from_secs(1);

/// The time within which a request is refused if no endpoint may serve it.
const REFUSAL_TIMEOUT: Duration = Duration::from_millis(300);

/// A request of a route or tenant with allowed regions reaches replicas in these regions only; if
/// both name regions, both apply.
#[test]
fn requests_reach_replicas_in_allowed_regions_only() {
    struct Case {
        name: &'static str,
        route: Option<&'static [&'static str]>,
        tenant: Option<&'static [&'static str]>,
        /// The zones whose endpoints get requests: z1 is in r1, z2 in r2.
        zones: &'static [&'static str],
    }
    let cases = [
        Case { name: "no homes", route: None, tenant: None, zones: &["z1", "z2"] },
        Case { name: "empty lists", route: Some(&[]), tenant: Some(&[]), zones: &["z1", "z2"] },
        Case { name: "of the route", route: Some(&["r2"]), tenant: None, zones: &["z2"] },
        Case { name: "of the tenant", route: None, tenant: Some(&["r2"]), zones: &["z2"] },
        Case {
            name: "both, one in common",
            route: Some(&["r1", "r2"]),
            tenant: Some(&["r1"]),
            zones: &["z1"],
        },
        Case {
            name: "both, none in common",
            route: Some(&["r1"]),
            tenant: Some(&["r2"]),
            zones: &[],
        },
        Case { name: "an unknown region", route: Some(&["r9"]), tenant: None, zones: &[] },
        Case {
            name: "an unknown region beside",
            route: Some(&["r9", "r1"]),
            tenant: None,
            zones: &["z1"],
        },
    ];
    support::run(async {
        let all = cases.into_iter().map(|case| async move {
            let mut config = config(1, "/calls/", &["k1"]);
            let set_regions = |row: &mut Value, regions: Option<&[&str]>| {
                if let Some(regions) = regions {
                    row["allowed_regions"] = json!(regions);
                }
            };
            for route in 0..3 {
                set_regions(&mut config["routes"][route], case.route);
            }
            set_regions(&mut config["tenants"][0], case.tenant);
            let site = Site::in_two_zones(2, &config).await;
            let mut wrong = Vec::new();
            for path in [MODEL_PATH, SERVICE_PATH] {
                let before = site.stand_in.arrivals().len();
                let asked = send_to_all(&site.nodes, path, REQUEST_INTERVAL, REQUEST_PERIOD).await;
                let arrivals = site.stand_in.arrivals().split_off(before);
                let reached = ["z1", "z2"].into_iter().filter(|zone| {
                    let boxes = site.stand_in.boxes_in(zone);
                    arrivals.iter().any(|arrival| boxes.contains(&arrival.target))
                });
                let reached: BTreeSet<&str> = reached.collect();
                // Endpoints of a plain service in the daemons' own zone come first.
                let allowed: BTreeSet<&str> = case.zones.iter().copied().collect();
                let is_right = match path {
                    SERVICE_PATH => {
                        reached.is_subset(&allowed) && reached.is_empty() == allowed.is_empty()
                    }
                    _ => reached == allowed,
                };
                if !is_right {
                    wrong.push(format!("{path} reached {reached:?}"));
                }
                let is_right = |asked: &&CallerRequest| match case.zones.is_empty() {
                    true => asked.answer.status == 503 && asked.elapsed < REFUSAL_TIMEOUT,
                    false => is_served(asked),
                };
                let right = asked.iter().filter(is_right).count();
                if right < asked.len() {
                    wrong.push(format!(
                        "{right} of {}; {}",
                        asked.len(),
                        describe_first_failure(&asked)
                    ));
                }
            }
            prefix_with_case(case.name, wrong)
        });
        let wrong = run_cases(all).await.concat();
        assert!(wrong.is_empty(), "{} wrong: {wrong:#?}", wrong.len());
    });
}
