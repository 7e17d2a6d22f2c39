//! How a daemon divides its grace period when it shuts down, and what it takes meanwhile.

use cherrystand_core::{LateRequest, Millis, ServiceTimes, ShutdownPlan};

#[test]
fn requests_are_cut_off_only_in_the_last_sixth_of_the_grace_period() {
    struct Case {
        grace: u64,
        linger: u64,
        drain: u64,
        closing: u64,
    }
    let cases = [
        Case { grace: 8_000, linger: 2_500, drain: 5_150, closing: 175 },
        Case { grace: 30_000, linger: 2_500, drain: 27_150, closing: 175 },
        Case { grace: 3_000, linger: 2_500, drain: 150, closing: 175 },
        // If there is not enough time for both, it accepts requests to the end.
        Case { grace: 2_000, linger: 1_750, drain: 0, closing: 125 },
        Case { grace: 0, linger: 0, drain: 0, closing: 0 },
    ];
    for case in cases {
        let plan = ShutdownPlan::new(Millis(case.grace), Millis(2_500));
        let expected = ShutdownPlan {
            linger: Millis(case.linger),
            drain: Millis(case.drain),
            closing: Millis(case.closing),
        };
        assert_eq!(plan, expected, "{} ms", case.grace);
        let cut_at = plan.cut_after().0;
        assert!(cut_at * 6 >= case.grace * 5, "{} ms", case.grace);
        assert!(cut_at + plan.closing.0 <= case.grace, "{} ms", case.grace);
    }
}

/// Guards against requests that are sent on and then cut off, and against needless refusals.
#[test]
fn a_request_is_taken_while_a_daemon_shuts_down_only_if_it_can_finish() {
    struct Case {
        name: &'static str,
        until_cut: u64,
        until_deadline: u64,
        usual_time: Option<u64>,
        is_lingering: bool,
        can_finish: bool,
    }
    let case = |name, until_cut, until_deadline, usual_time, is_lingering, can_finish| Case {
        name,
        until_cut,
        until_deadline,
        usual_time,
        is_lingering,
        can_finish,
    };
    let cases = [
        case("its deadline comes first", 2_000, 2_000, Some(9_000), false, true),
        case("it takes less", 2_000, 9_000, Some(1_700), false, true),
        case("it takes nearly as long", 2_000, 9_000, Some(1_900), false, false),
        case("it takes longer, early", 7_000, 30_000, Some(20_000), true, false),
        case("nothing is known, early", 7_000, 9_000, None, true, true),
        case("nothing is known, late", 4_000, 9_000, None, false, false),
        case("it takes nothing", 60, 9_000, Some(0), false, true),
        case("nothing is left", 0, 9_000, Some(0), false, false),
    ];
    for case in cases {
        let late = LateRequest {
            until_cut: Millis(case.until_cut),
            until_deadline: Millis(case.until_deadline),
            usual_time: case.usual_time.map(Millis),
            is_lingering: case.is_lingering,
        };
        assert_eq!(late.can_finish(), case.can_finish, "{}", case.name);
    }
}

#[test]
fn the_usual_time_of_a_service_is_that_of_nearly_all_of_its_last_requests() {
    struct Case {
        name: &'static str,
        times: Vec<u64>,
        usual: Option<u64>,
    }
    let cases = [
        Case { name: "none", times: vec![], usual: None },
        Case { name: "one", times: vec![7], usual: Some(7) },
        Case { name: "few", times: vec![7, 900, 8], usual: Some(900) },
        Case {
            name: "an outlier of many",
            times: [vec![900], vec![7; 99]].concat(),
            usual: Some(7),
        },
        Case {
            name: "three of many",
            times: [vec![900; 3], vec![7; 99]].concat(),
            usual: Some(900),
        },
        Case {
            name: "an earlier time",
            times: [vec![900; 99], vec![7; 200]].concat(),
            usual: Some(7),
        },
    ];
    for Case { name, times, usual } in cases {
        let mut seen = ServiceTimes::default();
        times.into_iter().for_each(|took| seen.record(Millis(took)));
        assert_eq!(seen.usual(), usual.map(Millis), "{name}");
    }
}
