//! Which requests are refused after boxes crashed while running them.

use std::collections::BTreeSet;

use cherrystand_core::{
    BoxId, CrashSuspects, Fingerprint, MAX_CRASHES, Millis, SUSPECT_TTL, SeededRng, SuspectRecord,
};
use proptest::prelude::*;

const REQUEST: Fingerprint = Fingerprint(7);
const UNIX: u64 = 1_790_000_000_000;

fn box_id(number: u64) -> BoxId {
    BoxId::new(format!("i-{number}"))
}

#[derive(Clone, Copy)]
enum Event {
    Crash(u64, u64),
    Served(u64),
}

use Event::{Crash, Served};

#[test]
fn requests_are_refused_after_three_crashes_and_not_by_coincidence() {
    struct Case {
        name: &'static str,
        events: &'static [Event],
        /// When the request arrives again, and whether it is refused.
        arrives: u64,
        refused: bool,
    }
    let cases = [
        Case { name: "no crash", events: &[], arrives: 0, refused: false },
        Case {
            name: "three crashes",
            events: &[Crash(1, 0), Crash(2, 500), Crash(3, 1_000)],
            arrives: 1_001,
            refused: true,
        },
        Case {
            name: "two crashes",
            events: &[Crash(1, 0), Crash(2, 500)],
            arrives: 501,
            refused: false,
        },
        Case {
            name: "one crash, reported three times",
            events: &[Crash(1, 0), Crash(1, 500), Crash(1, 1_000)],
            arrives: 1_001,
            refused: false,
        },
        Case {
            name: "two at once, by copies of the request, and a third",
            events: &[Crash(1, 0), Crash(2, 40), Crash(3, 200)],
            arrives: 201,
            refused: true,
        },
        Case {
            name: "all boxes of a rack at once, with identical requests",
            events: &[Crash(1, 0), Crash(2, 20), Crash(3, 90)],
            arrives: 91,
            refused: false,
        },
        Case {
            name: "served in between",
            events: &[Crash(1, 0), Crash(2, 500), Served(700), Crash(3, 1_000)],
            arrives: 1_001,
            refused: false,
        },
        Case {
            name: "served, and earlier crashes reported late",
            events: &[
                Crash(1, 0),
                Crash(2, 500),
                Served(700),
                Crash(1, 800),
                Crash(2, 950),
                Crash(3, 1_100),
            ],
            arrives: 1_101,
            refused: false,
        },
        Case {
            name: "identical requests are served all the time",
            events: &[
                Served(0),
                Crash(1, 1_000),
                Crash(2, 1_200),
                Crash(3, 1_400),
                Crash(4, 1_600),
            ],
            arrives: 1_601,
            refused: false,
        },
        Case {
            name: "served a minute ago, and three crashes since",
            events: &[Served(0), Crash(2, 60_000), Crash(3, 60_200), Crash(4, 60_400)],
            arrives: 60_401,
            refused: true,
        },
        Case {
            name: "crashes too long ago",
            events: &[Crash(1, 0), Crash(2, 500), Crash(3, 1_000)],
            arrives: 1_001 + SUSPECT_TTL.0,
            refused: false,
        },
    ];
    for case in cases {
        let mut suspects = CrashSuspects::default();
        for event in case.events {
            match *event {
                Crash(number, at) => {
                    _ = suspects.record_crash(&box_id(number), REQUEST, Millis(at))
                }
                Served(at) => _ = suspects.record_served(REQUEST, Millis(at)),
            }
        }
        suspects.remove_expired(Millis(case.arrives));
        assert_eq!(
            suspects.check_refused(REQUEST, Millis(case.arrives)),
            case.refused,
            "{}",
            case.name
        );
    }
}

/// Three daemons that saw one crash each, and don't receive each other's messages, agree through
/// the record.
#[test]
fn daemons_merge_their_crashes_through_the_record() {
    let mut daemons: Vec<CrashSuspects> = (0..3).map(|_| CrashSuspects::default()).collect();
    for (number, daemon) in daemons.iter_mut().enumerate() {
        daemon.record_crash(&box_id(number as u64), REQUEST, Millis(1_000 * number as u64));
    }
    let mut record = SuspectRecord::default();
    for daemon in &daemons {
        let own = daemon.to_record(&record, true, UNIX, Millis(3_000));
        record = record.merged_with(&own, UNIX).expect("a merged record");
    }
    let text = serde_json::to_string(&record).expect("text");
    assert_eq!(record, serde_json::from_str(&text).expect("a record"));
    let mut later = CrashSuspects::default();
    for daemon in daemons.iter_mut().chain([&mut later]) {
        daemon.merge_record(&record, UNIX, Millis(3_000));
        assert!(daemon.check_refused(REQUEST, Millis(3_000)));
        // The record has everything.
        let own = daemon.to_record(&record, true, UNIX, Millis(3_001));
        assert_eq!(record.merged_with(&own, UNIX), None);
    }
    let mut expired = CrashSuspects::default();
    expired.merge_record(&record, UNIX + SUSPECT_TTL.0, Millis(0));
    assert!(!expired.check_refused(REQUEST, Millis(0)));
}

/// A request that many callers send identically is cleared everywhere once one daemon has served
/// it.
#[test]
fn a_served_request_is_cleared_through_the_record() {
    let (mut one, mut other) = (CrashSuspects::default(), CrashSuspects::default());
    for number in 0..3 {
        other.record_crash(&box_id(number), REQUEST, Millis(1_000 * number));
    }
    let own = other.to_record(&SuspectRecord::default(), false, UNIX, Millis(3_000));
    let record = SuspectRecord::default().merged_with(&own, UNIX).expect("it is refused");
    // The first daemon saw two of the crashes and served the request before it read the record.
    one.record_crash(&box_id(0), REQUEST, Millis(0));
    one.record_crash(&box_id(1), REQUEST, Millis(1_000));
    assert!(one.record_served(REQUEST, Millis(1_500)));
    one.merge_record(&record, UNIX, Millis(3_000));
    assert!(!one.check_refused(REQUEST, Millis(3_000)));
    let own = one.to_record(&record, false, UNIX, Millis(3_000));
    let record = record.merged_with(&own, UNIX).expect("the crashes are unrelated now");
    other.merge_record(&record, UNIX, Millis(3_100));
    assert!(!other.check_refused(REQUEST, Millis(3_100)));
}

/// Boxes crash at random, and interrupted requests are retried on up to four boxes. A request is
/// refused by coincidence if three of these crash while running it.
#[test]
fn harmless_requests_are_rarely_refused_while_boxes_crash_at_random() {
    /// A request runs for 0.5 s, and one of 13 replicas crashes every 3 s, so 13 in 1,000 attempts
    /// meet a crash.
    const CRASHES_PER_MILLE: usize = 13;
    const REQUESTS: u128 = 200_000;
    let mut rng = SeededRng::new(1);
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
            if rng.below(1_000) >= CRASHES_PER_MILLE {
                suspects.record_served(request, at);
                break;
            }
            let crashed = box_id((number * 4 + sent) as u64);
            suspects.record_crash(&crashed, request, at + Millis(500 * sent as u64));
        }
    }
    // Three crashes by coincidence have a probability of 2.2 in a million.
    assert!(refused <= 3, "{refused} of {REQUESTS}");
}

proptest! {
    /// Whoever reports which crash, in any order and any number of times: daemons that know all
    /// crashes agree, and nothing is refused for fewer than three.
    #[test]
    fn daemons_agree_whatever_the_order(
        reports in prop::collection::vec((0_u64..5, 0_usize..3), 0..40),
    ) {
        let mut daemons: Vec<CrashSuspects> = (0..3).map(|_| CrashSuspects::default()).collect();
        let mut at = 0;
        for (number, to) in &reports {
            at += 150;
            daemons[*to].record_crash(&box_id(*number), REQUEST, Millis(at));
        }
        let mut record = SuspectRecord::default();
        for daemon in &daemons {
            let own = daemon.to_record(&record, true, UNIX, Millis(at));
            record = record.merged_with(&own, UNIX).unwrap_or(record);
        }
        let crashes: BTreeSet<u64> = reports.iter().map(|(number, _)| *number).collect();
        for daemon in &mut daemons {
            daemon.merge_record(&record, UNIX, Millis(at));
            prop_assert_eq!(daemon.check_refused(REQUEST, Millis(at)), crashes.len() >= MAX_CRASHES);
        }
    }
}

/// A refused request is tried after 6 s and again a minute later, and is cleared once it is served.
#[test]
fn a_refused_request_is_tried_with_backoff() {
    let mut suspects = CrashSuspects::default();
    for number in 0..3 {
        suspects.record_crash(&box_id(number), REQUEST, Millis(1_000 * number));
    }
    let trials: Vec<u64> = (2_000..140_000)
        .step_by(500)
        .filter(|at| {
            // Arrives, and is tried if a trial is due.
            assert!(suspects.check_refused(REQUEST, Millis(*at)));
            let tried = suspects.try_start_trial(REQUEST, false, Millis(*at));
            if tried {
                suspects.record_crash(&box_id(*at), REQUEST, Millis(at + 100));
            }
            tried
        })
        .collect();
    assert_eq!(trials, [8_000, 68_500]);
    assert!(suspects.check_refused(REQUEST, Millis(140_000)));
    suspects.record_served(REQUEST, Millis(140_000));
    assert!(!suspects.check_refused(REQUEST, Millis(140_001)));
}

/// A request served by a peer is not blamed for a minute, and isn't reported as served by this
/// daemon.
#[test]
fn a_request_served_by_a_peer_is_not_blamed_for_a_minute() {
    let mut suspects = CrashSuspects::default();
    suspects.record_crash(&box_id(1), REQUEST, Millis(0));
    suspects.record_served_by_peer(REQUEST, Millis(100));
    assert_eq!(suspects.record_crash(&box_id(2), REQUEST, Millis(200)), 0);
    assert!(!suspects.was_served_here_recently(REQUEST, Millis(200)));
    suspects.record_served_by_peer(REQUEST, Millis(50_000));
    assert_eq!(suspects.record_crash(&box_id(2), REQUEST, Millis(60_200)), 1);
    suspects.record_served(REQUEST, Millis(70_000));
    assert!(suspects.was_served_here_recently(REQUEST, Millis(70_001)));
}

/// The number of served requests remembered is bounded.
#[test]
fn memory_of_served_requests_is_bounded() {
    let mut suspects = CrashSuspects::default();
    for number in 0..10_000_u128 {
        suspects.record_served(Fingerprint(number), Millis(1));
    }
    assert!(suspects.is_empty());
    assert!(!suspects.was_served_recently(Fingerprint(0), Millis(1)));
    assert!(suspects.was_served_recently(Fingerprint(9_999), Millis(1)));
}

/// Memory stays bounded, whatever peers report.
#[test]
fn memory_of_suspects_is_bounded() {
    let mut suspects = CrashSuspects::default();
    for number in 0..6_000_u128 {
        suspects.record_crash(&box_id((number % 97) as u64), Fingerprint(number), Millis(1));
    }
    let own = suspects.to_record(&SuspectRecord::default(), true, UNIX, Millis(2));
    assert!(own.requests.len() <= 4_096);
    let record = SuspectRecord::default().merged_with(&own, UNIX).expect("some");
    assert!(record.requests.len() <= 128);
    assert_eq!(record.merged_with(&own, UNIX), None);
}

/// Attempts in flight are cancelled only for a request that nothing else explains. A harmless
/// request that is always in flight alongside one that crashes boxes would otherwise lose its
/// answers.
#[test]
fn a_request_is_the_sole_cause_if_no_other_shares_all_its_crashes() {
    const OTHER: Fingerprint = Fingerprint(8);
    struct Case {
        name: &'static str,
        /// The boxes that crashed while running each of the two, one a second.
        crashes: &'static [u64],
        others_crashes: &'static [u64],
        other_served: bool,
        sole: bool,
    }
    let case = Case {
        name: "alone",
        crashes: &[1, 2, 3],
        others_crashes: &[],
        other_served: false,
        sole: true,
    };
    let cases = [
        Case { name: "two crashes", crashes: &[1, 2], sole: false, ..case },
        Case { name: "another at two of three", others_crashes: &[1, 3], ..case },
        Case { name: "another at all", others_crashes: &[1, 2, 3], sole: false, ..case },
        Case {
            name: "another at all and more",
            others_crashes: &[1, 2, 3, 4],
            sole: false,
            ..case
        },
        Case {
            name: "another at all, served since",
            others_crashes: &[1, 2, 3],
            other_served: true,
            ..case
        },
        case,
    ];
    for case in cases {
        let mut suspects = CrashSuspects::default();
        for second in 1..=4 {
            let now = Millis::from_secs(second);
            for (request, crashes) in [(REQUEST, case.crashes), (OTHER, case.others_crashes)] {
                if crashes.contains(&second) {
                    suspects.record_crash(&box_id(second), request, now);
                }
            }
        }
        if case.other_served {
            suspects.record_served(OTHER, Millis::from_secs(5));
        }
        assert_eq!(suspects.is_sole_cause(REQUEST), case.sole, "{}", case.name);
    }
}
