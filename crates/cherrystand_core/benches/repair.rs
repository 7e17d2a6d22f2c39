//! Compares the priced repair rule with its two baselines on the failure scenarios.
//!
//! Time is virtual, so every run gives the same figures.

use cherrystand_core::RepairRule;
use cherrystand_testkit::{LossWeights, Losses, RepairScenario, USER_WEIGHTS};

/// The number of runs of each scenario, with different seeds.
const RUNS: u64 = 6;

fn mean(scenario: RepairScenario, rule: RepairRule, weights: LossWeights) -> Losses {
    let all: Vec<Losses> = std::thread::scope(|scope| {
        let run = |seed| scope.spawn(move || scenario.run(rule, weights, seed));
        let threads: Vec<_> = (0..RUNS).map(run).collect();
        threads.into_iter().filter_map(|thread| thread.join().ok()).collect()
    });
    let sum = |part: fn(&Losses) -> f64| all.iter().map(part).sum::<f64>() / all.len() as f64;
    Losses {
        down_secs: sum(|losses| losses.down_secs),
        stranded_secs: sum(|losses| losses.stranded_secs),
    }
}

fn main() {
    println!("repair: mean of {RUNS} runs of 1 h; 8 replicas of 8 boxes; price = weighted sum");
    println!(
        "{:<15} {:<8} {:<9} {:>10} {:>14} {:>10} {:>7}",
        "script", "weights", "rule", "down s", "stranded s", "price", "ratio"
    );
    for weights in USER_WEIGHTS {
        let mut totals = [0.0; 3];
        for scenario in RepairScenario::ALL {
            let rules = [RepairRule::Priced, RepairRule::ReformAtOnce, RepairRule::WaitForBox];
            let lost = rules.map(|rule| mean(scenario, rule, weights));
            let prices = lost.map(|losses| weights.price(&losses));
            let better = prices[1].min(prices[2]);
            for (number, rule) in ["priced", "reform", "wait"].into_iter().enumerate() {
                totals[number] += prices[number];
                println!(
                    "{:<15} {:<8} {:<9} {:>10.0} {:>14.0} {:>10.0} {:>7.2}",
                    scenario.as_str(),
                    weights.name,
                    rule,
                    lost[number].down_secs,
                    lost[number].stranded_secs,
                    prices[number],
                    prices[number] / better
                );
            }
        }
        println!(
            "sum for {}: priced {:.0}, reform {:.0}, wait {:.0}; priced / better = {:.2}",
            weights.name,
            totals[0],
            totals[1],
            totals[2],
            totals[0] / totals[1].min(totals[2])
        );
    }
}
