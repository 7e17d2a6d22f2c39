//! Which requests are refused after boxes ended with them.

use std::collections::BTreeSet;

use cherrystand_core::{
    BoxId, CrashSuspects, Fingerprint, MAX_CRASHES, Millis, SUSPECT_TTL, Seed, SuspectRecord,
};
use proptest::prelude::*;

const REQUEST: Fingerprint = Fingerprint(7);
const UNIX: u64 = 1_790_000_000_000;

fn life(number: u64) -> BoxId {
    BoxId::new(format!("i-{number}"))
}

#[derive(Clone, Copy)]
enum Event {
    Ends(u64, u64),
    Served(u64),
}

use Event::{Ends, Served};

#[test]
fn a_request_is_refused_after_three_ends_of_boxes_and_not_by_chance() {
    struct Case {
        name: &'static str,
        events: &'static [Event],
        /// When it comes, and whether it is refused.
        comes: u64,
        refused: bool,
    }
    let cases = [
        Case { name: "it never ended one", events: &[], comes: 0, refused: false },
        Case {
            name: "three ends",
            events: &[Ends(1, 0), Ends(2, 500), Ends(3, 1_000)],
            comes: 1_001,
            refused: true,
        },
        Case { name: "two ends", events: &[Ends(1, 0), Ends(2, 500)], comes: 501, refused: false },
        Case {
            name: "one end, told three times",
            events: &[Ends(1, 0), Ends(1, 500), Ends(1, 1_000)],
            comes: 1_001,
            refused: false,
        },
        Case {
            name: "two at once, by copies of it, and a third",
            events: &[Ends(1, 0), Ends(2, 40), Ends(3, 200)],
            comes: 201,
            refused: true,
        },
        Case {
            name: "all boxes of a rack at once, with requests that are alike",
            events: &[Ends(1, 0), Ends(2, 20), Ends(3, 90)],
            comes: 91,
            refused: false,
        },
        Case {
            name: "served between",
            events: &[Ends(1, 0), Ends(2, 500), Served(700), Ends(3, 1_000)],
            comes: 1_001,
            refused: false,
        },
        Case {
            name: "served, and told late of what ended before",
            events: &[
                Ends(1, 0),
                Ends(2, 500),
                Served(700),
                Ends(1, 800),
                Ends(2, 950),
                Ends(3, 1_100),
            ],
            comes: 1_101,
            refused: false,
        },
        Case {
            name: "alike ones are served all the time",
            events: &[Served(0), Ends(1, 1_000), Ends(2, 1_200), Ends(3, 1_400), Ends(4, 1_600)],
            comes: 1_601,
            refused: false,
        },
        Case {
            name: "served a minute ago, and ends boxes since",
            events: &[Served(0), Ends(2, 60_000), Ends(3, 60_200), Ends(4, 60_400)],
            comes: 60_401,
            refused: true,
        },
        Case {
            name: "long ago",
            events: &[Ends(1, 0), Ends(2, 500), Ends(3, 1_000)],
            comes: 1_001 + SUSPECT_TTL.0,
            refused: false,
        },
    ];
    for case in cases {
        let mut suspects = CrashSuspects::default();
        for event in case.events {
            match *event {
                Ends(number, at) => _ = suspects.record_crash(&life(number), REQUEST, Millis(at)),
                Served(at) => _ = suspects.record_served(REQUEST, Millis(at)),
            }
        }
        suspects.remove_expired(Millis(case.comes));
        assert_eq!(
            suspects.check_refused(REQUEST, Millis(case.comes)),
            case.refused,
            "{}",
            case.name
        );
    }
}

/// Three daemons that saw one end each, and whose news do not reach each other, agree by the record.
#[test]
fn what_daemons_know_adds_up_in_the_record() {
    let mut daemons: Vec<CrashSuspects> = (0..3).map(|_| CrashSuspects::default()).collect();
    for (number, daemon) in daemons.iter_mut().enumerate() {
        daemon.record_crash(&life(number as u64), REQUEST, Millis(1_000 * number as u64));
    }
    let mut record = SuspectRecord::default();
    for daemon in &daemons {
        let own = daemon.to_record(&record, true, UNIX, Millis(3_000));
        record = record.merged_with(&own, UNIX).expect("it says more");
    }
    let text = serde_json::to_string(&record).expect("text");
    assert_eq!(record, serde_json::from_str(&text).expect("a record"));
    let mut later = CrashSuspects::default();
    for daemon in daemons.iter_mut().chain([&mut later]) {
        daemon.merge_record(&record, UNIX, Millis(3_000));
        assert!(daemon.check_refused(REQUEST, Millis(3_000)));
        // Nothing is left to write.
        let own = daemon.to_record(&record, true, UNIX, Millis(3_001));
        assert_eq!(record.merged_with(&own, UNIX), None);
    }
    let mut long_after = CrashSuspects::default();
    long_after.merge_record(&record, UNIX + SUSPECT_TTL.0, Millis(0));
    assert!(!long_after.check_refused(REQUEST, Millis(0)));
}

/// A request that many callers send alike is freed everywhere once one daemon served it.
#[test]
fn a_request_that_was_served_is_freed_by_the_record() {
    let (mut one, mut other) = (CrashSuspects::default(), CrashSuspects::default());
    for number in 0..3 {
        other.record_crash(&life(number), REQUEST, Millis(1_000 * number));
    }
    let own = other.to_record(&SuspectRecord::default(), false, UNIX, Millis(3_000));
    let record = SuspectRecord::default().merged_with(&own, UNIX).expect("it is refused");
    // The other one met two of the ends, and served it before it read the record.
    one.record_crash(&life(0), REQUEST, Millis(0));
    one.record_crash(&life(1), REQUEST, Millis(1_000));
    assert!(one.record_served(REQUEST, Millis(1_500)));
    one.merge_record(&record, UNIX, Millis(3_000));
    assert!(!one.check_refused(REQUEST, Millis(3_000)));
    let own = one.to_record(&record, false, UNIX, Millis(3_000));
    let record = record.merged_with(&own, UNIX).expect("two ends count no more");
    other.merge_record(&record, UNIX, Millis(3_100));
    assert!(!other.check_refused(REQUEST, Millis(3_100)));
}

/// Story of the load: boxes end by themselves, and requests that are cut go to another box. Each has
/// up to four boxes; one is refused by chance if three of these end under it.
#[test]
fn innocent_requests_are_hardly_ever_refused_while_boxes_end_by_themselves() {
    /// A request runs 0.5 s; of 13 replicas one ends each 3 s: 13 in 1,000 of the boxes that it is at
    /// end under it.
    const ENDS_UNDER_IT: usize = 13;
    const REQUESTS: u128 = 200_000;
    let mut seed = Seed::new(1);
    let mut suspects = CrashSuspects::default();
    let mut refused = 0;
    for number in 0..REQUESTS {
        let request = Fingerprint(number);
        let at = Millis(number as u64 * 5);
        let mut sent = 0;
        while sent < 4 {
            if suspects.check_refused(request, at) {
                refused += 1;
                break;
            }
            sent += 1;
            if seed.below(1_000) >= ENDS_UNDER_IT {
                suspects.record_served(request, at);
                break;
            }
            let ended = life((number * 4 + sent) as u64);
            suspects.record_crash(&ended, request, at + Millis(500 * sent as u64));
        }
    }
    // Three ends by chance are 2.2 in a million.
    assert!(refused <= 3, "{refused} of {REQUESTS}");
}

proptest! {
    /// Whoever tells of which end, in whatever order and however often: all daemons that know all of them
    /// agree, and nothing is refused for fewer than three.
    #[test]
    fn daemons_agree_whatever_the_order(
        told in prop::collection::vec((0_u64..5, 0_usize..3), 0..40),
    ) {
        let mut daemons: Vec<CrashSuspects> = (0..3).map(|_| CrashSuspects::default()).collect();
        let mut at = 0;
        for (number, to) in &told {
            at += 150;
            daemons[*to].record_crash(&life(*number), REQUEST, Millis(at));
        }
        let mut record = SuspectRecord::default();
        for daemon in &daemons {
            let own = daemon.to_record(&record, true, UNIX, Millis(at));
            record = record.merged_with(&own, UNIX).unwrap_or(record);
        }
        let ends: BTreeSet<u64> = told.iter().map(|(number, _)| *number).collect();
        for daemon in &mut daemons {
            daemon.merge_record(&record, UNIX, Millis(at));
            prop_assert_eq!(daemon.check_refused(REQUEST, Millis(at)), ends.len() >= MAX_CRASHES);
        }
    }
}

/// A refused request is tried once after 6 s, then after a minute more, and is freed where it is served.
#[test]
fn a_refused_request_is_tried_seldom() {
    let mut suspects = CrashSuspects::default();
    for number in 0..3 {
        suspects.record_crash(&life(number), REQUEST, Millis(1_000 * number));
    }
    let trials: Vec<u64> = (2_000..140_000)
        .step_by(500)
        .filter(|at| {
            // It is tried as it comes and is refused.
            assert!(suspects.check_refused(REQUEST, Millis(*at)));
            let tried = suspects.try_start_trial(REQUEST, false, Millis(*at));
            if tried {
                suspects.record_crash(&life(*at), REQUEST, Millis(at + 100));
            }
            tried
        })
        .collect();
    assert_eq!(trials, [8_000, 68_500]);
    assert!(suspects.check_refused(REQUEST, Millis(140_000)));
    suspects.record_served(REQUEST, Millis(140_000));
    assert!(!suspects.check_refused(REQUEST, Millis(140_001)));
}

/// What a peer served counts for a minute and is not told on.
#[test]
fn what_a_peer_served_ends_no_box_for_a_minute() {
    let mut suspects = CrashSuspects::default();
    suspects.record_crash(&life(1), REQUEST, Millis(0));
    suspects.record_served_by_peer(REQUEST, Millis(100));
    assert_eq!(suspects.record_crash(&life(2), REQUEST, Millis(200)), 0);
    assert!(!suspects.was_served_here_recently(REQUEST, Millis(200)));
    suspects.record_served_by_peer(REQUEST, Millis(50_000));
    assert_eq!(suspects.record_crash(&life(2), REQUEST, Millis(60_200)), 1);
    suspects.record_served(REQUEST, Millis(70_000));
    assert!(suspects.was_served_here_recently(REQUEST, Millis(70_001)));
}

/// Requests that are served are remembered up to a bound.
#[test]
fn any_number_of_served_requests_is_borne() {
    let mut suspects = CrashSuspects::default();
    for number in 0..10_000_u128 {
        suspects.record_served(Fingerprint(number), Millis(1));
    }
    assert!(suspects.is_empty());
    assert!(!suspects.was_served_recently(Fingerprint(0), Millis(1)));
    assert!(suspects.was_served_recently(Fingerprint(9_999), Millis(1)));
}

/// Memory stays bounded whatever peers tell.
#[test]
fn any_number_of_requests_is_borne() {
    let mut suspects = CrashSuspects::default();
    for number in 0..6_000_u128 {
        suspects.record_crash(&life((number % 97) as u64), Fingerprint(number), Millis(1));
    }
    let own = suspects.to_record(&SuspectRecord::default(), true, UNIX, Millis(2));
    assert!(own.requests.len() <= 4_096);
    let record = SuspectRecord::default().merged_with(&own, UNIX).expect("some");
    assert!(record.requests.len() <= 128);
    assert_eq!(record.merged_with(&own, UNIX), None);
}

/// Copies under way are called off only of what nothing else can have caused: an innocent request that is always where
/// the guilty one is would lose its answers.
#[test]
fn a_request_is_the_sole_cause_where_no_other_was_at_each_of_its_ends() {
    const OTHER: Fingerprint = Fingerprint(8);
    struct Case {
        name: &'static str,
        /// The boxes at whose ends both were, one a second.
        ends: &'static [u64],
        others_ends: &'static [u64],
        other_served: bool,
        sole: bool,
    }
    let case =
        Case { name: "alone", ends: &[1, 2, 3], others_ends: &[], other_served: false, sole: true };
    let cases = [
        Case { name: "two ends", ends: &[1, 2], sole: false, ..case },
        Case { name: "another at two of three", others_ends: &[1, 3], ..case },
        Case { name: "another at all", others_ends: &[1, 2, 3], sole: false, ..case },
        Case { name: "another at all and more", others_ends: &[1, 2, 3, 4], sole: false, ..case },
        Case {
            name: "another at all, served since",
            others_ends: &[1, 2, 3],
            other_served: true,
            ..case
        },
        case,
    ];
    for case in cases {
        let mut suspects = CrashSuspects::default();
        for second in 1..=4 {
            let now = Millis::from_secs(second);
            for (request, ends) in [(REQUEST, case.ends), (OTHER, case.others_ends)] {
                if ends.contains(&second) {
                    suspects.record_crash(&life(second), request, now);
                }
            }
        }
        if case.other_served {
            suspects.record_served(OTHER, Millis::from_secs(5));
        }
        assert_eq!(suspects.is_sole_cause(REQUEST), case.sole, "{}", case.name);
    }
}
