//! When a domain is given to another model.

use std::collections::BTreeMap;

use cherrystand_core::{
    DemandTracker, DomainId, Millis, ModelLoad, ModelUse, Shift, swing_domains,
};
use proptest::prelude::*;

const STEP: Millis = Millis(250);

/// Returns the use of a model whose domains have some slots in service each.
fn used(in_flight: f64, domains: usize, slots_per_domain: f64) -> ModelUse {
    ModelUse { load: ModelLoad { in_flight, slots: slots_per_domain * domains as f64 }, domains }
}

fn uses(large: ModelUse, small: ModelUse) -> BTreeMap<String, ModelUse> {
    BTreeMap::from([("large".to_owned(), large), ("small".to_owned(), small)])
}

/// Observes the same for some time and returns the first shift.
fn first_shift(all: &BTreeMap<String, ModelUse>, steps: usize) -> Option<Shift> {
    let mut tracker = DemandTracker::default();
    (0..steps).find_map(|step| tracker.observe(all, Millis(STEP.0 * step as u64)))
}

#[test]
fn a_domain_shifts_only_where_that_lowers_the_highest_use_by_much_and_for_long() {
    struct Case {
        name: &'static str,
        large: ModelUse,
        small: ModelUse,
        steps: usize,
        to: Option<&'static str>,
    }
    let cases = [
        Case {
            name: "the small model has most of the work",
            large: used(100.0, 5, 68.0),
            small: used(300.0, 4, 136.0),
            steps: 20,
            to: Some("small"),
        },
        Case {
            name: "not for long",
            large: used(100.0, 5, 68.0),
            small: used(300.0, 4, 136.0),
            steps: 4,
            to: None,
        },
        Case {
            name: "as it was given",
            large: used(150.0, 5, 68.0),
            small: used(250.0, 4, 136.0),
            steps: 20,
            to: None,
        },
        Case {
            name: "most replicas of the large model are broken",
            large: used(100.0, 5, 30.0),
            small: used(300.0, 4, 136.0),
            steps: 20,
            to: None,
        },
        Case {
            name: "all have enough",
            large: used(10.0, 5, 68.0),
            small: used(100.0, 4, 136.0),
            steps: 20,
            to: None,
        },
        Case {
            name: "the last domain of a model stays",
            large: used(1.0, 1, 68.0),
            small: used(500.0, 4, 136.0),
            steps: 20,
            to: None,
        },
        Case {
            name: "the other would have too little",
            large: used(100.0, 2, 68.0),
            small: used(300.0, 2, 136.0),
            steps: 20,
            to: None,
        },
    ];
    for case in cases {
        let shift = first_shift(&uses(case.large, case.small), case.steps);
        assert_eq!(shift.as_ref().map(|shift| shift.to.as_str()), case.to, "{}", case.name);
    }
}

proptest! {
    #[test]
    fn domains_do_not_flap_whatever_demand_does(
        demand in prop::collection::vec((0.0_f64..400.0, 0.0_f64..600.0, 1_usize..20), 1..20),
    ) {
        let (mut large, mut small) = (5, 4);
        let mut tracker = DemandTracker::default();
        let mut now = Millis(0);
        let mut shifts: Vec<Millis> = Vec::new();
        for (to_large, to_small, steps) in demand {
            for _ in 0..steps {
                let all = uses(used(to_large, large, 68.0), used(to_small, small, 136.0));
                if let Some(shift) = tracker.observe(&all, now) {
                    let to_small = shift.to == "small";
                    (large, small) =
                        if to_small { (large - 1, small + 1) } else { (large + 1, small - 1) };
                    shifts.push(now);
                }
                now = now + STEP;
            }
        }
        prop_assert!(large >= 1 && small >= 1);
        // One that was made shows first.
        prop_assert!(shifts.windows(2).all(|two| two[1] - two[0] >= Millis(10_000)), "{shifts:?}");
    }

    #[test]
    fn steady_demand_is_followed_to_an_end(
        to_large in 0.0_f64..400.0,
        to_small in 0.0_f64..600.0,
    ) {
        let (mut large, mut small) = (5_usize, 4_usize);
        let mut tracker = DemandTracker::default();
        let mut last = None;
        for step in 0..2_000 {
            let all = uses(used(to_large, large, 68.0), used(to_small, small, 136.0));
            if let Some(shift) = tracker.observe(&all, Millis(STEP.0 * step)) {
                prop_assert!(last.is_none_or(|to| to == shift.to), "it went back");
                let gives = shift.to == "small";
                (large, small) =
                    if gives { (large - 1, small + 1) } else { (large + 1, small - 1) };
                last = Some(shift.to);
            }
        }
    }
}

#[test]
fn the_last_domain_of_each_model_that_has_several_swings() {
    let home = |domain: &str, model: &str| (DomainId::new(domain), model.to_owned());
    let homes = BTreeMap::from([home("a", "large"), home("b", "small"), home("c", "large")]);
    let swings = swing_domains(&homes);
    assert_eq!(swings, BTreeMap::from([("large".to_owned(), DomainId::new("c"))]));
}
