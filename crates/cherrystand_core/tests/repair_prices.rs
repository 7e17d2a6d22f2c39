//! Bounds on the price of repairs relative to the two baselines, in virtual time.

use cherrystand_core::{Repair, RepairCase, RepairRule, ReturnModel, choose_repair};
use cherrystand_testkit::{RepairScenario, USER_WEIGHTS};

/// The highest price of a scenario, relative to the better baseline.
const MAX_SCENARIO_RATIO: f64 = 1.02;

/// The highest price of all scenarios together, relative to the better baseline.
const MAX_TOTAL_RATIO: f64 = 0.85;

/// The number of runs of each scenario; `make bench` compares more.
const RUNS: u64 = 2;

#[test]
fn priced_repairs_cost_no_more_than_the_better_baseline() {
    for weights in USER_WEIGHTS {
        let mut sums = [0.0; 3];
        for scenario in RepairScenario::ALL {
            let rules = [RepairRule::Priced, RepairRule::ReformAtOnce, RepairRule::WaitForBox];
            let prices = std::thread::scope(|scope| {
                let run = |rule| {
                    scope.spawn(move || -> f64 {
                        (0..RUNS)
                            .map(|seed| weights.price(&scenario.run(rule, weights, seed)))
                            .sum()
                    })
                };
                rules.map(run).map(|thread| thread.join().expect("a price"))
            });
            let better = prices[1].min(prices[2]);
            let name = scenario.as_str();
            assert!(
                prices[0] <= better * MAX_SCENARIO_RATIO,
                "{name} for {}: {prices:?}",
                weights.name
            );
            (0..3).for_each(|rule| sums[rule] += prices[rule]);
        }
        let better = sums[1].min(sums[2]);
        assert!(sums[0] <= better * MAX_TOTAL_RATIO, "{}: {sums:?}", weights.name);
    }
}

#[test]
fn the_repair_with_the_lowest_price_is_chosen() {
    let base = RepairCase {
        span: 8,
        missing: 1,
        missing_secs: 3.0,
        free: 8,
        queue_secs: 0.0,
        load_secs: 60.0,
        loads_at_once: 8,
        rejoin_secs: 5.0,
        downtime_weight: 8.0,
        stranded_weight: 1.0,
    };
    struct Case {
        name: &'static str,
        case: RepairCase,
        expected: Repair,
    }
    let cases = [
        Case { name: "a spare is available", case: base, expected: Repair::Swap },
        Case {
            name: "no spare is available",
            case: RepairCase { free: 0, ..base },
            expected: Repair::Wait,
        },
        Case {
            name: "the weight store is busy for long and the box has just failed",
            case: RepairCase { queue_secs: 600.0, ..base },
            expected: Repair::Swap,
        },
        Case {
            name: "loading takes far longer than a restart, and the spare loads as the box would",
            case: RepairCase { load_secs: 600.0, ..base },
            expected: Repair::Swap,
        },
        Case {
            name: "more boxes are missing than spares are available",
            case: RepairCase { missing: 4, free: 3, ..base },
            expected: Repair::Wait,
        },
    ];
    for case in cases {
        let (chosen, prices) = choose_repair(&case.case, &ReturnModel::default());
        assert_eq!(chosen, case.expected, "{}: {prices:?}", case.name);
    }
}

#[test]
fn the_restart_probability_falls_with_the_time_a_box_is_missing() {
    let model = ReturnModel::default();
    let ages = [0.0, 30.0, 120.0, 300.0, 1_000.0];
    let probabilities: Vec<f64> = ages.iter().map(|age| model.restart_probability(*age)).collect();
    assert!(probabilities.windows(2).all(|pair| pair[1] < pair[0]), "{probabilities:?}");
    assert!(probabilities[0] > 0.95 && probabilities[4] < 0.01, "{probabilities:?}");
}
