//! Whether an interrupted answer counts against its request.

mod support;

use std::collections::BTreeMap;
use std::sync::Arc;

use cherrystand_core::{BoxId, CrashCheck, Fingerprint, InterruptedAnswers, Millis, SiteView};

const ONE: Fingerprint = Fingerprint(1);
const TWO: Fingerprint = Fingerprint(2);

fn box_id() -> BoxId {
    BoxId::new("i-1").with_incarnation(7)
}

#[test]
fn a_box_is_checked_once_and_blames_its_requests_only_if_it_crashed() {
    struct Case {
        name: &'static str,
        /// Whether the box is found to accept connections, and when; `None` if nothing is found
        /// out.
        check: Option<(bool, u64)>,
        /// When another answer of the box is interrupted.
        later: u64,
        expected: (Vec<Fingerprint>, CrashCheck),
    }
    let cases = [
        Case {
            name: "it crashed; later interruptions count at once",
            check: Some((false, 5)),
            later: 400,
            expected: (vec![ONE, TWO], CrashCheck::Crashed),
        },
        Case {
            name: "it is running; the next interruption is checked again",
            check: Some((true, 5)),
            later: 400,
            expected: (vec![], CrashCheck::Start),
        },
        Case {
            name: "not known yet",
            check: None,
            later: 400,
            expected: (vec![], CrashCheck::Pending),
        },
        Case {
            name: "never found out",
            check: None,
            later: 6_100,
            expected: (vec![], CrashCheck::Start),
        },
        Case {
            name: "it crashed long ago",
            check: Some((false, 5)),
            later: 31_000,
            expected: (vec![ONE, TWO], CrashCheck::Start),
        },
    ];
    for case in cases {
        let mut answers = InterruptedAnswers::default();
        assert_eq!(
            answers.record(&box_id(), &[ONE], Millis(0)),
            CrashCheck::Start,
            "{}",
            case.name
        );
        assert_eq!(
            answers.record(&box_id(), &[TWO], Millis(1)),
            CrashCheck::Pending,
            "{}",
            case.name
        );
        assert_eq!(answers.pending_checks(ONE), 1, "{}", case.name);
        let counted = match case.check {
            Some((true, _)) => {
                answers.record_accepting(&box_id());
                assert_eq!(answers.pending_checks(ONE), 0, "{}", case.name);
                Vec::new()
            }
            Some((false, at)) => answers.record_crash(&box_id(), Millis(at)),
            None => Vec::new(),
        };
        let later = answers.record(&box_id(), &[ONE], Millis(case.later));
        assert_eq!((counted, later), case.expected, "{}", case.name);
    }
}

#[test]
fn a_box_has_crashed_by_its_entry() {
    struct Case {
        name: &'static str,
        /// The listed incarnation.
        listed: Option<u64>,
        silent: bool,
        dead: bool,
        is_accepting: bool,
        has_crashed: bool,
    }
    let there = Case {
        name: "it is running",
        listed: Some(7),
        silent: false,
        dead: false,
        is_accepting: true,
        has_crashed: false,
    };
    let cases = [
        Case { name: "not checked yet", is_accepting: false, ..there },
        Case {
            name: "its entry is gone",
            listed: None,
            is_accepting: false,
            has_crashed: true,
            ..there
        },
        Case { name: "it is dead", dead: true, is_accepting: false, has_crashed: true, ..there },
        Case { name: "it is silent", silent: true, is_accepting: false, ..there },
        Case { name: "disconnected from the store", listed: None, ..there },
        Case {
            name: "it restarted; a proxy in front of it accepted a connection",
            listed: Some(9),
            has_crashed: true,
            ..there
        },
        there,
    ];
    for case in cases {
        let mut answers = InterruptedAnswers::default();
        answers.record(&box_id(), &[ONE], Millis(0));
        if case.is_accepting {
            answers.record_accepting(&box_id());
        }
        let mut boxes = BTreeMap::new();
        if let Some(start) = case.listed {
            let known = support::site_box(box_id().with_incarnation(start).as_str(), "models");
            boxes.insert(known.id.clone(), Arc::new(known));
        }
        let among = |is_among: bool| is_among.then(box_id).into_iter().collect();
        let (silent, dead) = (among(case.silent || case.dead), among(case.dead));
        let view = SiteView { boxes: Arc::new(boxes), silent, dead, ..SiteView::default() };
        let expected = if case.has_crashed { vec![box_id()] } else { Vec::new() };
        assert_eq!(answers.crashed_boxes(&view), expected, "{}", case.name);
    }
}
