//! What the evidence beside its crashes makes of a suspect.

use std::net::SocketAddr;

use cherrystand_core::{
    BoxId, CrashSuspects, CrashTime, Fingerprint, Millis, ServiceName, SuspectRecord, TrialOwners,
    Verdict, confined_boxes,
};

const PART: Fingerprint = Fingerprint(1 << 127 | 7);
const UNIX: u64 = 1_790_000_000_000;

fn box_id(number: u64) -> BoxId {
    BoxId::new(format!("i-{number}"))
}

/// A part that was at three crashes, of which this daemon knows the times given.
fn suspected(times: &[u64], arrivals_with_it: usize) -> CrashSuspects {
    let mut suspects = CrashSuspects::default();
    let service = ServiceName::new("stories");
    for number in 0..100 {
        let features = if number < arrivals_with_it { &[PART][..] } else { &[] };
        suspects.record_arrival(&service, features, Millis(1));
    }
    for number in 0..3 {
        suspects.record_crash(&box_id(number), PART, Millis(1_000 * number));
        if let Some(ran) = times.get(number as usize) {
            let time = CrashTime { box_id: box_id(number), feature: PART, ran: Millis(*ran) };
            suspects.record_time(&time);
        }
    }
    suspects
}

#[test]
fn what_lives_on_elsewhere_is_confined_and_what_is_rare_is_refused() {
    struct Case {
        name: &'static str,
        times: &'static [u64],
        arrivals_with_it: usize,
        /// How long it has run at boxes that live, and at how many.
        running: u64,
        living: u64,
        crashes_where_confined: usize,
        verdict: Verdict,
    }
    let case = Case {
        name: "rare, and nothing else is known",
        times: &[],
        arrivals_with_it: 5,
        running: 0,
        living: 1,
        crashes_where_confined: 0,
        verdict: Verdict::Refused,
    };
    let confined = Verdict::Confined;
    let cases = [
        Case { name: "common", arrivals_with_it: 6, verdict: confined, ..case },
        Case {
            name: "common, none lives longer",
            times: &[50, 60, 40],
            arrivals_with_it: 6,
            running: 56,
            ..case
        },
        Case {
            name: "a box lives longer",
            times: &[50, 60, 40],
            running: 57,
            verdict: confined,
            ..case
        },
        // All began as their daemon did, so that one alone lives hardly longer than the dead.
        Case {
            name: "three boxes live longer than the quickest crash took",
            times: &[50, 60, 40],
            running: 46,
            living: 3,
            verdict: confined,
            ..case
        },
        Case {
            name: "two boxes live longer than the quickest crash took",
            times: &[50, 60, 40],
            running: 46,
            living: 2,
            ..case
        },
        Case {
            name: "common, and a box crashed to which it was confined",
            arrivals_with_it: 6,
            crashes_where_confined: 1,
            ..case
        },
        Case {
            name: "a box lives longer, and one crashed to which it was confined",
            times: &[50, 60, 40],
            running: 57,
            crashes_where_confined: 1,
            verdict: confined,
            ..case
        },
        Case {
            name: "a box lives longer, and two crashed to which it was confined",
            times: &[50, 60, 40],
            running: 57,
            crashes_where_confined: 2,
            ..case
        },
        case,
    ];
    for case in cases {
        let mut suspects = suspected(case.times, case.arrivals_with_it);
        for number in 0..case.living {
            suspects.record_running(PART, &box_id(9 + number), Millis(case.running));
        }
        (0..case.crashes_where_confined).for_each(|_| suspects.record_crash_where_confined(PART));
        assert_eq!(suspects.verdict(PART), case.verdict, "{}", case.name);
        suspects.record_served(PART, Millis(5_000));
        assert_eq!(suspects.verdict(PART), Verdict::Sent, "{}, served", case.name);
    }
}

/// A part stayed refused over restarts of all daemons, as the store's record told it to each of them.
#[test]
fn the_record_alone_confines_a_part_and_one_that_no_daemon_wrote_does_nothing() {
    let own = suspected(&[], 0).to_record(&SuspectRecord::default(), true, UNIX, Millis(3_000));
    let mut record = SuspectRecord::default().merged_with(&own, UNIX).expect("an entry");
    let mut started = CrashSuspects::default();
    started.merge_record(&record, UNIX, Millis(0));
    assert_eq!(started.verdict(PART), Verdict::Confined);
    let entry = record.requests[0].clone();
    record.requests = vec![entry; 1_000];
    let mut started = CrashSuspects::default();
    started.merge_record(&record, UNIX, Millis(0));
    assert!(started.is_empty());
}

/// The one daemon that tried refused requests had no callers.
#[test]
fn one_of_the_daemons_at_which_it_arrives_tries_a_refused_request() {
    let daemons: Vec<SocketAddr> =
        (1..=5).map(|port| SocketAddr::from(([127, 0, 0, 1], port))).collect();
    for refusing in 1..=5 {
        let owners = daemons[..refusing].iter().filter(|own| {
            let mut owners = TrialOwners::default();
            for other in daemons[..refusing].iter().filter(|other| other != own) {
                owners.record_refusing(&[PART], *other, Millis(1_000));
            }
            owners.may_try(PART, **own, Millis(3_000))
        });
        assert_eq!(owners.count(), 1, "{refusing} daemons");
    }
    let mut owners = TrialOwners::default();
    owners.record_trial(Millis(1_000));
    assert!(!owners.may_try(PART, daemons[0], Millis(3_000)));
    assert!(owners.may_try(PART, daemons[0], Millis(4_000)));
}

#[test]
fn daemons_confine_a_suspect_to_the_same_few_boxes() {
    let boxes: Vec<BoxId> = (0..13).map(box_id).collect();
    let confined = confined_boxes(PART, &boxes);
    assert_eq!(confined.len(), 2);
    assert_eq!(confined, confined_boxes(PART, boxes.iter().rev()));
    let rest = boxes.iter().filter(|id| !confined.contains(id));
    assert_eq!(confined_boxes(PART, rest.chain(&confined[..1]))[0], confined[0]);
}
