//! The incarnation of a box by its store entry.

mod support;

use cherrystand_core::{BoxId, BoxIncarnations, BoxStart, SiteBox};
use proptest::prelude::*;
use support::site_box;

const REPORTED: BoxStart = BoxStart::At(17);

fn entry(name: &str, service: &str, start: BoxStart) -> SiteBox {
    SiteBox { start, ..site_box(name, service) }
}

#[test]
fn the_majority_of_a_service_decides_whether_its_boxes_have_incarnations() {
    struct Case {
        name: &'static str,
        others: &'static [BoxStart],
        examined: BoxStart,
        incarnation: Option<&'static str>,
    }
    const UNREPORTED: BoxStart = BoxStart::Unreported;
    const MALFORMED: BoxStart = BoxStart::Malformed;
    let cases = [
        Case {
            name: "alone, reported",
            others: &[],
            examined: REPORTED,
            incarnation: Some("a@17"),
        },
        Case {
            name: "alone, unreported",
            others: &[],
            examined: UNREPORTED,
            incarnation: Some("a"),
        },
        Case { name: "alone, malformed", others: &[], examined: MALFORMED, incarnation: Some("a") },
        Case {
            name: "all reported",
            others: &[REPORTED, REPORTED],
            examined: REPORTED,
            incarnation: Some("a@17"),
        },
        Case {
            name: "the others reported",
            others: &[REPORTED, REPORTED],
            examined: UNREPORTED,
            incarnation: None,
        },
        Case {
            name: "the others reported, malformed",
            others: &[REPORTED, REPORTED],
            examined: MALFORMED,
            incarnation: None,
        },
        Case {
            name: "the others unreported",
            others: &[UNREPORTED, UNREPORTED],
            examined: REPORTED,
            incarnation: Some("a"),
        },
        Case {
            name: "as many reported as unreported",
            others: &[UNREPORTED],
            examined: REPORTED,
            incarnation: Some("a"),
        },
        Case {
            name: "one faulty writer among those that report",
            others: &[REPORTED, REPORTED, UNREPORTED],
            examined: REPORTED,
            incarnation: Some("a@17"),
        },
        Case {
            name: "malformed starts decide nothing",
            others: &[MALFORMED, MALFORMED],
            examined: REPORTED,
            incarnation: Some("a@17"),
        },
    ];
    for case in cases {
        let mut incarnations = BoxIncarnations::default();
        for (number, start) in case.others.iter().enumerate() {
            incarnations.update(&entry(&format!("o{number}"), "models", *start));
        }
        // The entries of other services don't matter.
        incarnations.update(&entry("p1", "app", UNREPORTED));
        let examined = entry("a", "models", case.examined);
        incarnations.update(&examined);
        assert_eq!(
            incarnations.incarnation_of(&examined),
            case.incarnation.map(BoxId::new),
            "{}",
            case.name
        );
    }
}

#[test]
fn an_incarnation_names_its_box() {
    let (first, second) =
        (BoxId::new("i-1").with_incarnation(5), BoxId::new("i-1").with_incarnation(6));
    assert_eq!((first.name(), first.start()), ("i-1", Some(5)));
    assert_eq!(first.with_incarnation(6), second);
    assert!(first.is_other_incarnation_of(&second) && first.is_same_box(&second));
    let plain = BoxId::new("i-1");
    assert_eq!((plain.name(), plain.start()), ("i-1", None));
    assert!(plain.is_same_box(&first) && !plain.is_other_incarnation_of(&first));
    assert!(!BoxId::new("i-2").with_incarnation(5).is_other_incarnation_of(&second));
    // A name that contains the separator without a number after it stays a plain name.
    assert_eq!(BoxId::new("i@x").name(), "i@x");
}

proptest! {
    /// Two daemons that hold the same entries decide alike, whatever entries each saw before.
    #[test]
    fn only_the_current_entries_decide(
        before in prop::collection::vec((0_u8..8, 0_u8..3), 0..40),
        now in prop::collection::vec(0_u8..3, 8),
    ) {
        let start = |kind| match kind {
            0 => BoxStart::Unreported,
            1 => REPORTED,
            _ => BoxStart::Malformed,
        };
        let (mut long_running, mut fresh) = (BoxIncarnations::default(), BoxIncarnations::default());
        for (number, kind) in before {
            long_running.update(&entry(&format!("b{number}"), "models", start(kind)));
        }
        let all: Vec<SiteBox> = now.iter().enumerate()
            .map(|(number, kind)| entry(&format!("b{number}"), "models", start(*kind)))
            .collect();
        for known in &all {
            long_running.update(known);
        }
        for known in all.iter().rev() {
            fresh.update(known);
        }
        for known in &all {
            prop_assert_eq!(long_running.incarnation_of(known), fresh.incarnation_of(known));
        }
    }
}
