//! Whether an answer that broke off says something of its request.

use cherrystand_core::{BoxId, CutAnswers, CutStep, Fingerprint, Millis};

const ONE: Fingerprint = Fingerprint(1);
const TWO: Fingerprint = Fingerprint(2);

fn life() -> BoxId {
    BoxId::new("i-1").in_life(7)
}

#[test]
fn a_box_is_asked_once_and_what_it_cut_counts_only_if_it_ended() {
    struct Case {
        name: &'static str,
        /// What is found out of the box, and when.
        ends: Option<(bool, u64)>,
        /// When another answer of it breaks off.
        later: u64,
        expected: (Vec<Fingerprint>, CutStep),
    }
    let cases = [
        Case {
            name: "it ended; what breaks off later counts at once",
            ends: Some((false, 5)),
            later: 400,
            expected: (vec![ONE, TWO], CutStep::Ended),
        },
        Case {
            name: "it is there; the next one is found out anew",
            ends: Some((true, 5)),
            later: 400,
            expected: (vec![], CutStep::Ask),
        },
        Case { name: "not known yet", ends: None, later: 400, expected: (vec![], CutStep::Wait) },
        Case { name: "never known", ends: None, later: 6_100, expected: (vec![], CutStep::Ask) },
        Case {
            name: "it ended long ago",
            ends: Some((false, 5)),
            later: 31_000,
            expected: (vec![ONE, TWO], CutStep::Ask),
        },
    ];
    for case in cases {
        let mut cut = CutAnswers::default();
        assert_eq!(cut.cut(&life(), ONE, Millis(0)), CutStep::Ask, "{}", case.name);
        assert_eq!(cut.cut(&life(), TWO, Millis(1)), CutStep::Wait, "{}", case.name);
        assert_eq!(cut.undecided_of(ONE), 1, "{}", case.name);
        let counted = match case.ends {
            Some((true, _)) => {
                cut.lives(&life());
                Vec::new()
            }
            Some((false, at)) => cut.ended(&life(), Millis(at)),
            None => Vec::new(),
        };
        let later = cut.cut(&life(), ONE, Millis(case.later));
        assert_eq!((counted, later), case.expected, "{}", case.name);
    }
}
