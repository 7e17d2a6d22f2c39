//! How old what daemons know may get, by the times along its way.

use cherrystand_core::{Millis, NewsBudget, NewsFault};

/// Story: endpoints got requests for 2.0 to 2.4 s after their word that they leave, where 2 s are allowed: a watch of
/// 1 s and a call of 1 s, then a pause, and what is passed on for 1.8 s and waited for 0.5 s, were each chosen alone.
#[test]
fn the_times_along_the_way_of_a_change_add_up_to_less_than_it_may_take() {
    for bound in [2_000, 3_000, 4_000, 5_000, 17_000].map(Millis) {
        let budget = NewsBudget::new(bound);
        for fault in NewsFault::ALL {
            for has_branches in [false, true] {
                let longest = budget.longest(fault, has_branches);
                println!("{bound:?} {fault:?}, branches {has_branches}: {longest:?}");
                assert!(longest < bound, "{bound:?} {fault:?} {has_branches}: {longest:?}");
            }
        }
    }
}

/// A store that is well, and quiet, neither makes its reader look old nor has its questions asked twice.
#[test]
fn a_quiet_store_is_asked_once_and_its_reader_is_fresh() {
    for bound in [2_000, 5_000, 17_000].map(Millis) {
        let budget = NewsBudget::new(bound);
        let quiet = budget.watch_for() + NewsBudget::ONE_WAY + NewsBudget::BETWEEN_WATCHES;
        assert!(quiet < budget.fresh_for(), "{bound:?}");
        assert!(budget.watch_for() + NewsBudget::ONE_WAY < budget.doubled_after(), "{bound:?}");
    }
}
