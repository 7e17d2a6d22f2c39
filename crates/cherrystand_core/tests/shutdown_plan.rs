//! How a daemon divides its grace period when it shuts down.

use cherrystand_core::{Millis, ShutdownPlan};

#[test]
fn requests_are_cut_off_only_in_the_last_sixth_of_the_grace_period() {
    struct Case {
        grace: u64,
        linger: u64,
        drain: u64,
    }
    let cases = [
        Case { grace: 8_000, linger: 2_500, drain: 4_800 },
        Case { grace: 30_000, linger: 2_500, drain: 26_800 },
        Case { grace: 3_000, linger: 2_500, drain: 125 },
        // If there is not enough time for both, it accepts requests to the end.
        Case { grace: 2_000, linger: 1_750, drain: 0 },
        Case { grace: 0, linger: 0, drain: 0 },
    ];
    for case in cases {
        let plan = ShutdownPlan::new(Millis(case.grace), Millis(2_500));
        let expected = ShutdownPlan { linger: Millis(case.linger), drain: Millis(case.drain) };
        assert_eq!(plan, expected, "{} ms", case.grace);
        let cut_at = (plan.linger + plan.drain).0;
        assert!(cut_at * 6 >= case.grace * 5 && cut_at <= case.grace, "{} ms", case.grace);
    }
}
