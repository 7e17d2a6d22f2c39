//! Which life of a box an entry tells of.

mod support;

use cherrystand_core::{BoxId, BoxIncarnations, BoxStart, SiteBox};
use proptest::prelude::*;
use support::site_box;

const TOLD: BoxStart = BoxStart::At(17);

fn entry(name: &str, service: &str, start: BoxStart) -> SiteBox {
    SiteBox { start, ..site_box(name, service) }
}

#[test]
fn whether_boxes_have_lives_goes_by_what_most_of_their_service_tell() {
    struct Case {
        name: &'static str,
        others: &'static [BoxStart],
        asked: BoxStart,
        life: Option<&'static str>,
    }
    const UNTOLD: BoxStart = BoxStart::Unreported;
    const MALFORMED: BoxStart = BoxStart::Malformed;
    let cases = [
        Case { name: "alone, tells", others: &[], asked: TOLD, life: Some("a@17") },
        Case { name: "alone, does not", others: &[], asked: UNTOLD, life: Some("a") },
        Case { name: "alone, tells nonsense", others: &[], asked: MALFORMED, life: Some("a") },
        Case { name: "all tell", others: &[TOLD, TOLD], asked: TOLD, life: Some("a@17") },
        Case { name: "the others tell", others: &[TOLD, TOLD], asked: UNTOLD, life: None },
        Case {
            name: "the others tell, nonsense",
            others: &[TOLD, TOLD],
            asked: MALFORMED,
            life: None,
        },
        Case { name: "the others do not", others: &[UNTOLD, UNTOLD], asked: TOLD, life: Some("a") },
        Case { name: "as many tell as do not", others: &[UNTOLD], asked: TOLD, life: Some("a") },
        Case {
            name: "one odd writer among those that tell",
            others: &[TOLD, TOLD, UNTOLD],
            asked: TOLD,
            life: Some("a@17"),
        },
        Case {
            name: "nonsense decides nothing",
            others: &[MALFORMED, MALFORMED],
            asked: TOLD,
            life: Some("a@17"),
        },
    ];
    for case in cases {
        let mut lives = BoxIncarnations::default();
        for (number, start) in case.others.iter().enumerate() {
            lives.update(&entry(&format!("o{number}"), "models", *start));
        }
        // What another service tells is of no matter.
        lives.update(&entry("p1", "app", UNTOLD));
        let asked = entry("a", "models", case.asked);
        lives.update(&asked);
        assert_eq!(lives.incarnation_of(&asked), case.life.map(BoxId::new), "{}", case.name);
    }
}

#[test]
fn a_life_names_its_box() {
    let (first, second) =
        (BoxId::new("i-1").with_incarnation(5), BoxId::new("i-1").with_incarnation(6));
    assert_eq!((first.name(), first.start()), ("i-1", Some(5)));
    assert_eq!(first.with_incarnation(6), second);
    assert!(first.is_other_incarnation_of(&second) && first.is_same_box(&second));
    let plain = BoxId::new("i-1");
    assert_eq!((plain.name(), plain.start()), ("i-1", None));
    assert!(plain.is_same_box(&first) && !plain.is_other_incarnation_of(&first));
    assert!(!BoxId::new("i-2").with_incarnation(5).is_other_incarnation_of(&second));
    // A name with the mark and no number after it stays a name.
    assert_eq!(BoxId::new("i@x").name(), "i@x");
}

proptest! {
    /// Two daemons that hold the same entries decide alike, whatever each saw before.
    #[test]
    fn the_entries_alone_decide(
        before in prop::collection::vec((0_u8..8, 0_u8..3), 0..40),
        now in prop::collection::vec(0_u8..3, 8),
    ) {
        let start = |kind| match kind {
            0 => BoxStart::Unreported,
            1 => TOLD,
            _ => BoxStart::Malformed,
        };
        let (mut long, mut fresh) = (BoxIncarnations::default(), BoxIncarnations::default());
        for (number, kind) in before {
            long.update(&entry(&format!("b{number}"), "models", start(kind)));
        }
        let all: Vec<SiteBox> = now.iter().enumerate()
            .map(|(number, kind)| entry(&format!("b{number}"), "models", start(*kind)))
            .collect();
        for known in &all {
            long.update(known);
        }
        for known in all.iter().rev() {
            fresh.update(known);
        }
        for known in &all {
            prop_assert_eq!(long.incarnation_of(known), fresh.incarnation_of(known));
        }
    }
}
