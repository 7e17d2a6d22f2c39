//! Distribution of messages to all daemons.

use std::collections::BTreeMap;

use cherrystand_core::{SeededRng, fan_out};

/// Simulates the distribution of one message with `lost` percent of the messages lost. Returns the
/// most messages that one daemon sent, the number of messages, and the number of daemons reached.
fn simulate(others: usize, lost: usize, seed: u64) -> (usize, usize, usize) {
    let others: Vec<usize> = (0..others).collect();
    let mut rng = SeededRng::new(seed);
    let mut reached: BTreeMap<usize, usize> = BTreeMap::new();
    let first = fan_out(&others);
    let (mut most, mut sent) = (first.len(), first.len());
    for target in &first {
        if rng.below(100) < lost {
            continue;
        }
        *reached.entry(target.to).or_default() += 1;
        (most, sent) = (most.max(target.forward_to.len()), sent + target.forward_to.len());
        for other in &target.forward_to {
            if rng.below(100) >= lost {
                *reached.entry(*other).or_default() += 1;
            }
        }
    }
    (most, sent, reached.len())
}

/// Guards against a sender that is overloaded: a daemon with 0.12 of a core reported directly to
/// each of 984 others that a replica had left, for each event of hundreds.
#[test]
fn messages_per_daemon_grow_with_the_square_root_of_the_fleet() {
    for others in [0, 1, 8, 29, 64, 65, 99, 299, 984, 1_999] {
        let (most, sent, reached) = simulate(others, 0, 1);
        println!("{others} others: {most} from one, {sent} in all");
        let bound = if others <= 64 { others } else { (2.0 * (others as f64).sqrt()) as usize + 2 };
        assert!(most <= bound, "{others}: {most} from one");
        assert!(sent <= 2 * others + 2, "{others}: {sent} in all");
        assert_eq!(reached, others);
    }
}

#[test]
fn few_daemons_miss_a_message_under_loss() {
    for others in [99, 984] {
        let reached: usize = (0..200).map(|seed| simulate(others, 5, seed).2).sum();
        let share = reached as f64 / (200 * others) as f64;
        // Sent directly to each, it would reach 0.95 of them.
        assert!(share > 0.985, "{others}: {share}");
    }
}
