//! How long a daemon waits for the store, by how long it took to answer before.

use cherrystand_core::{Millis, PropagationBudget, StoreAnswerTime, WatchTime};

/// What a call came to.
#[derive(Clone, Copy)]
enum End {
    Answered(u64),
    /// A watch without changes took this time.
    Unchanged(u64),
    /// A watch with changes did.
    Changed(u64),
    GivenUp,
}
use End::{Answered, Changed, GivenUp, Unchanged};

/// How long a watch waits for a change.
const WAIT: Millis = Millis(500);

impl End {
    fn record(self, answer_time: &mut StoreAnswerTime) {
        let watch = |took| WatchTime { took: Millis(took), wait: WAIT };
        match self {
            Answered(took) => answer_time.record_answer(Millis(took)),
            Unchanged(took) => answer_time.record_watch(watch(took), false),
            Changed(took) => answer_time.record_watch(watch(took), true),
            GivenUp => answer_time.record_given_up(),
        }
    }
}

struct Case {
    name: &'static str,
    ends: &'static [End],
    usual: u64,
    patience: u64,
    timeout: u64,
    hedge_delay: u64,
}

#[test]
fn waits_follow_from_the_answers_of_late() {
    let case = |name, ends, [usual, patience, timeout, hedge_delay]: [u64; 4]| Case {
        name,
        ends,
        usual,
        patience,
        timeout,
        hedge_delay,
    };
    let cases = [
        case("no call yet", &[], [0, 1_000, 1_000, 200]),
        case("a quick store", &[Answered(4), Answered(5), Answered(4)], [4, 1_000, 1_000, 200]),
        case(
            "one late answer is a stalled connection or a pause",
            &[Answered(4), Answered(9_000)],
            [4, 1_000, 1_000, 200],
        ),
        case(
            "two late ones are a slow store",
            &[Answered(2_800), Answered(2_900)],
            [2_800, 11_200, 11_200, 3_500],
        ),
        case(
            "a store that is quick again",
            &[Answered(2_800), Answered(2_900), Answered(4)],
            [4, 1_000, 1_000, 200],
        ),
        case(
            "a call that was given up doubles the wait",
            &[Answered(4), GivenUp],
            [0, 1_000, 2_000, 200],
        ),
        case("many calls that were given up in an outage", &[GivenUp; 40], [0, 1_000, 4_000, 200]),
        case(
            "an answer ends the doubling",
            &[GivenUp, GivenUp, Answered(4)],
            [0, 1_000, 1_000, 200],
        ),
    ];
    for case in cases {
        let mut answer_time = StoreAnswerTime::default();
        for end in case.ends {
            end.record(&mut answer_time);
        }
        let waits = [
            answer_time.usual(),
            answer_time.patience(),
            answer_time.timeout(),
            answer_time.hedge_delay(),
        ];
        assert_eq!(
            waits,
            [case.usual, case.patience, case.timeout, case.hedge_delay].map(Millis),
            "{}",
            case.name
        );
    }
}

/// An answer arrives within the timeout, and before it counts as late, at any answer time that stays
/// as it is.
#[test]
fn a_store_of_any_answer_time_is_not_given_up_once_it_is_known() {
    for answer_time in [4, 200, 1_500, 2_800, 4_000, 6_000].map(Millis) {
        let mut seen = StoreAnswerTime::default();
        (0..2).for_each(|_| seen.record_answer(answer_time));
        assert!(
            seen.timeout() > answer_time && seen.hedge_delay() > answer_time,
            "{answer_time:?}"
        );
        let budget = PropagationBudget::new(Millis(2_000)).with_answer_time(seen.usual());
        // A read that began just before a change is followed by another one.
        let oldest = answer_time + budget.watch_timeout() + answer_time;
        assert!(oldest <= budget.max_source_age(), "{answer_time:?}");
    }
}

/// A change at the start of a watch's wait made a store at 1.5 s count as one at 1 s, whose answers were
/// late and whose readers were no sources.
#[test]
fn a_change_during_a_watch_does_not_make_the_store_look_quicker() {
    struct Watches {
        name: &'static str,
        ends: &'static [End],
        usual: u64,
    }
    let watches = |name, ends, usual| Watches { name, ends, usual };
    let cases = [
        watches("unchanged", &[Unchanged(2_000), Unchanged(2_001)], 1_500),
        watches(
            "a change at once",
            &[Unchanged(2_008), Unchanged(2_001), Changed(1_501), Changed(1_502)],
            1_501,
        ),
        watches(
            "a change in the end",
            &[Unchanged(2_000), Unchanged(2_000), Changed(1_990)],
            1_500,
        ),
        watches("heard with a change, then exactly", &[Changed(1_520), Answered(1_511)], 1_511),
        watches(
            "heard with a change, then exactly but a bit later",
            &[Changed(1_501), Answered(1_503)],
            1_501,
        ),
        watches("only changes", &[Changed(1_501), Changed(1_800)], 1_300),
        watches("a quick store", &[Unchanged(504), Unchanged(504), Changed(300)], 4),
        watches(
            "a quick store, one late change",
            &[Unchanged(504), Answered(4), Changed(9_000)],
            4,
        ),
        watches("quick again", &[Answered(1_500), Answered(1_500), Changed(10)], 10),
        watches("nothing heard that is new", &[Answered(4), Answered(9_000), Changed(300)], 4),
    ];
    for case in cases {
        let mut seen = StoreAnswerTime::default();
        case.ends.iter().for_each(|end| end.record(&mut seen));
        assert_eq!(seen.usual(), Millis(case.usual), "{}", case.name);
    }
}
