//! Eras of a store that comes back from copies, and the order of what it tells.

use cherrystand_core::{
    BoxId, Epoch, Era, EraTracker, MemberOrder, MemberTask, ReportedEra, Revision, Tombstones,
};

#[test]
fn an_answer_of_an_earlier_era_is_dropped_and_an_odd_one_counted() {
    struct Case {
        name: &'static str,
        told: &'static [ReportedEra],
        last: Option<u64>,
        refused: u64,
    }
    use ReportedEra::{Invalid, Known, Missing};
    let cases = [
        Case { name: "none ever told", told: &[Missing], last: Some(0), refused: 0 },
        Case { name: "a drill", told: &[Missing, Known(Era(1))], last: Some(1), refused: 0 },
        Case {
            name: "two at once",
            told: &[Known(Era(1)), Known(Era(3))],
            last: Some(3),
            refused: 0,
        },
        Case {
            name: "a late answer",
            told: &[Known(Era(2)), Known(Era(1))],
            last: None,
            refused: 1,
        },
        Case { name: "told no more", told: &[Known(Era(2)), Missing], last: Some(2), refused: 0 },
        Case { name: "no number", told: &[Known(Era(2)), Invalid], last: Some(2), refused: 1 },
    ];
    for case in cases {
        let mut seen = EraTracker::default();
        let all: Vec<Option<Era>> = case.told.iter().map(|told| seen.observe(*told)).collect();
        assert_eq!(all.last().copied().flatten(), case.last.map(Era), "{}", case.name);
        assert_eq!(seen.take_rejected_count(), case.refused, "{}", case.name);
    }
}

/// Story: after a drill orders had smaller fences than boxes had seen, and were refused.
#[test]
fn revisions_and_fences_grow_with_the_era_whatever_their_numbers() {
    let order = |before| MemberOrder {
        target: BoxId::new("i-1"),
        address: "127.0.0.1:1".parse().expect("an address"),
        replica: "r".to_owned(),
        epoch: Epoch(1),
        task: MemberTask::Leave,
        sequence: before,
        record_epoch: Epoch(1),
    };
    let in_order = [(0, 7), (0, 1_000_000), (1, 3), (1, 4), (2, 0), (7, 9)];
    let revisions = in_order.map(|(era, number)| Revision::in_era(Era(era), number));
    for two in revisions.windows(2) {
        assert!(two[0] < two[1], "{two:?}");
        assert!(order(4_095).fence(two[0]) < order(0).fence(two[1]), "{two:?}");
    }
}

#[test]
fn what_is_gone_stays_gone_in_a_copy_until_it_is_written_again() {
    let mut absences = Tombstones::default();
    absences.insert(&"a", Revision::new(50));
    absences.insert(&"b", Revision::new(50));
    let listed = Revision::in_era(Era(1), 40);
    absences.advance_to_era(listed, |key| *key == "b");
    assert!(absences.hides(&"a", Revision::in_era(Era(1), 39)), "the copy's entry");
    assert!(!absences.hides(&"a", Revision::in_era(Era(1), 41)), "written again");
    assert!(!absences.hides(&"b", Revision::in_era(Era(1), 39)), "it is there");
}
