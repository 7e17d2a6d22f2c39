//! Eras of a store that is restored from backups, and the order of its revisions.

use cherrystand_core::{
    BoxId, Epoch, Era, EraTracker, MemberOrder, MemberTask, ReportedEra, Revision, Tombstones,
};

#[test]
fn answers_of_earlier_eras_are_rejected_and_counted() {
    struct Case {
        name: &'static str,
        reported: &'static [ReportedEra],
        last: Option<u64>,
        rejected: u64,
    }
    use ReportedEra::{Invalid, Known, Missing};
    let cases = [
        Case { name: "never reported", reported: &[Missing], last: Some(0), rejected: 0 },
        Case {
            name: "restored once",
            reported: &[Missing, Known(Era(1))],
            last: Some(1),
            rejected: 0,
        },
        Case {
            name: "restored twice",
            reported: &[Known(Era(1)), Known(Era(3))],
            last: Some(3),
            rejected: 0,
        },
        Case {
            name: "a late answer",
            reported: &[Known(Era(2)), Known(Era(1))],
            last: None,
            rejected: 1,
        },
        Case {
            name: "no longer reported",
            reported: &[Known(Era(2)), Missing],
            last: Some(2),
            rejected: 0,
        },
        Case {
            name: "not a number",
            reported: &[Known(Era(2)), Invalid],
            last: Some(2),
            rejected: 1,
        },
    ];
    for case in cases {
        let mut tracker = EraTracker::default();
        let all: Vec<Option<Era>> =
            case.reported.iter().map(|reported| tracker.observe(*reported)).collect();
        assert_eq!(all.last().copied().flatten(), case.last.map(Era), "{}", case.name);
        assert_eq!(tracker.take_rejected_count(), case.rejected, "{}", case.name);
    }
}

/// Guards against orders that are refused after a restore because their fences are lower than those
/// that the boxes have seen.
#[test]
fn revisions_and_fences_grow_with_the_era() {
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
fn deleted_keys_stay_deleted_in_a_backup_until_written_again() {
    let mut tombstones = Tombstones::default();
    tombstones.insert(&"a", Revision::new(50));
    tombstones.insert(&"b", Revision::new(50));
    let listed = Revision::in_era(Era(1), 40);
    tombstones.advance_to_era(listed, |key| *key == "b");
    assert!(tombstones.hides(&"a", Revision::in_era(Era(1), 39)), "the backup's entry");
    assert!(!tombstones.hides(&"a", Revision::in_era(Era(1), 41)), "written again");
    assert!(!tombstones.hides(&"b", Revision::in_era(Era(1), 39)), "it exists");
}
