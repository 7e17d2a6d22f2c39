//! Whether an answer that broke off says something of its request.

mod support;

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use cherrystand_core::{BoxId, CrashCheck, Fingerprint, InterruptedAnswers, Millis, SiteView};

const ONE: Fingerprint = Fingerprint(1);
const TWO: Fingerprint = Fingerprint(2);

fn life() -> BoxId {
    BoxId::new("i-1").with_incarnation(7)
}

#[test]
fn a_box_is_asked_once_and_what_it_cut_counts_only_if_it_ended() {
    struct Case {
        name: &'static str,
        /// What is found out of the box, and when.
        ends: Option<(bool, u64)>,
        /// When another answer of it breaks off.
        later: u64,
        expected: (Vec<Fingerprint>, CrashCheck),
    }
    let cases = [
        Case {
            name: "it ended; what breaks off later counts at once",
            ends: Some((false, 5)),
            later: 400,
            expected: (vec![ONE, TWO], CrashCheck::Crashed),
        },
        Case {
            name: "it is there; the next one is found out anew",
            ends: Some((true, 5)),
            later: 400,
            expected: (vec![], CrashCheck::Start),
        },
        Case {
            name: "not known yet",
            ends: None,
            later: 400,
            expected: (vec![], CrashCheck::Pending),
        },
        Case {
            name: "never known",
            ends: None,
            later: 6_100,
            expected: (vec![], CrashCheck::Start),
        },
        Case {
            name: "it ended long ago",
            ends: Some((false, 5)),
            later: 31_000,
            expected: (vec![ONE, TWO], CrashCheck::Start),
        },
    ];
    for case in cases {
        let mut cut = InterruptedAnswers::default();
        assert_eq!(cut.record(&life(), ONE, Millis(0)), CrashCheck::Start, "{}", case.name);
        assert_eq!(cut.record(&life(), TWO, Millis(1)), CrashCheck::Pending, "{}", case.name);
        assert_eq!(cut.pending_checks(ONE), 1, "{}", case.name);
        let counted = match case.ends {
            Some((true, _)) => {
                cut.record_accepting(&life());
                assert_eq!(cut.pending_checks(ONE), 0, "{}", case.name);
                Vec::new()
            }
            Some((false, at)) => cut.record_crash(&life(), Millis(at)),
            None => Vec::new(),
        };
        let later = cut.record(&life(), ONE, Millis(case.later));
        assert_eq!((counted, later), case.expected, "{}", case.name);
    }
}

#[test]
fn what_is_known_of_a_box_tells_that_it_ended() {
    struct Case {
        name: &'static str,
        /// The life that is listed.
        listed: Option<u64>,
        silent: bool,
        accepts: bool,
        ended: bool,
    }
    let there =
        Case { name: "it is there", listed: Some(7), silent: false, accepts: true, ended: false };
    let cases = [
        Case { name: "not asked yet", accepts: false, ..there },
        Case { name: "its entry is gone", listed: None, accepts: false, ended: true, ..there },
        Case { name: "it is silent", silent: true, accepts: false, ended: true, ..there },
        Case { name: "cut off from the store", listed: None, ..there },
        Case {
            name: "it started again; what stands before it accepted a connection",
            listed: Some(9),
            ended: true,
            ..there
        },
        there,
    ];
    for case in cases {
        let mut cut = InterruptedAnswers::default();
        cut.record(&life(), ONE, Millis(0));
        if case.accepts {
            cut.record_accepting(&life());
        }
        let mut boxes = BTreeMap::new();
        if let Some(start) = case.listed {
            let known = support::site_box(life().with_incarnation(start).as_str(), "models");
            boxes.insert(known.id.clone(), Arc::new(known));
        }
        let silent = if case.silent { BTreeSet::from([life()]) } else { BTreeSet::new() };
        let view = SiteView { boxes: Arc::new(boxes), silent, ..SiteView::default() };
        let expected = if case.ended { vec![life()] } else { Vec::new() };
        assert_eq!(cut.crashed_boxes(&view), expected, "{}", case.name);
    }
}
