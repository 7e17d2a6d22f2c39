//! How old what daemons know may get, by the times along its way.

use cherrystand_core::{Millis, PropagationBudget, PropagationFault};

/// Story: endpoints got requests for 2.0 to 2.4 s after their word that they leave, where 2 s are allowed: a watch of
/// 1 s and a call of 1 s, then a pause, and what is passed on for 1.8 s and waited for 0.5 s, were each chosen alone.
#[test]
fn worst_case_delays_stay_within_the_bound() {
    for bound in [2_000, 3_000, 4_000, 5_000, 17_000].map(Millis) {
        let budget = PropagationBudget::new(bound);
        for fault in PropagationFault::ALL {
            for has_branches in [false, true] {
                let longest = budget.worst_case_delay(fault, has_branches);
                println!("{bound:?} {fault:?}, branches {has_branches}: {longest:?}");
                assert!(longest < bound, "{bound:?} {fault:?} {has_branches}: {longest:?}");
            }
        }
    }
}

/// A store that is well, and quiet, neither makes its reader look old nor has its questions asked twice.
#[test]
fn quiet_store_is_watched_once_and_its_reader_stays_fresh() {
    for bound in [2_000, 5_000, 17_000].map(Millis) {
        let budget = PropagationBudget::new(bound);
        let quiet = budget.watch_timeout()
            + PropagationBudget::HOP_LATENCY
            + PropagationBudget::MIN_WATCH_INTERVAL;
        assert!(quiet < budget.max_source_age(), "{bound:?}");
        assert!(
            budget.watch_timeout() + PropagationBudget::HOP_LATENCY < budget.watch_hedge_delay(),
            "{bound:?}"
        );
    }
}
