//! Whether a replica that brings nothing stands still.

use cherrystand_core::{Millis, PeerProgress, StallEvidence, StreamEnd};

#[test]
fn a_replica_stands_still_only_if_others_bear_it_out() {
    struct Case {
        name: &'static str,
        peers: PeerProgress,
        others: Option<bool>,
        silence: u64,
        stands_still: bool,
    }
    let short = 400;
    let long = 1_600;
    let cases = [
        Case {
            name: "a peer saw progress",
            peers: PeerProgress::Seen,
            others: Some(true),
            silence: long,
            stands_still: false,
        },
        Case {
            name: "peers have yet to answer",
            peers: PeerProgress::AskedJustNow,
            others: Some(true),
            silence: short,
            stands_still: false,
        },
        Case {
            name: "peers saw none",
            peers: PeerProgress::NotSeen,
            others: Some(true),
            silence: short,
            stands_still: true,
        },
        Case {
            name: "peers are not asked",
            peers: PeerProgress::NotAsked,
            others: Some(false),
            silence: short,
            stands_still: true,
        },
        Case {
            name: "no peer is heard, another replica goes on",
            peers: PeerProgress::NoAnswer,
            others: Some(true),
            silence: short,
            stands_still: true,
        },
        Case {
            name: "no peer is heard, no other replica has a request",
            peers: PeerProgress::NoAnswer,
            others: None,
            silence: short,
            stands_still: true,
        },
        Case {
            name: "nothing at all is heard here",
            peers: PeerProgress::NoAnswer,
            others: Some(false),
            silence: short,
            stands_still: false,
        },
        Case {
            name: "nothing at all is heard here for long",
            peers: PeerProgress::NoAnswer,
            others: Some(false),
            silence: long,
            stands_still: true,
        },
    ];
    for case in cases {
        let still = StallEvidence {
            silence: Millis(case.silence),
            longest_expected: Millis(250),
            peers: case.peers,
            peers_age: None,
            others_progressed: case.others,
        };
        assert_eq!(still.is_stalled(), case.stands_still, "{}", case.name);
        let common = case.others == Some(false) && case.silence == short;
        assert_eq!(still.is_node_wide_pause(), common, "{}", case.name);
    }
}

/// Story: none of users; by the pages an endpoint breaks off an answer that stays unread for some seconds, which is no failure of
/// its own.
#[test]
fn a_cut_is_explained_by_a_caller_that_held_it_up_shortly_before() {
    struct Case {
        name: &'static str,
        /// How long the caller took for what it was given, and when it had it, in milliseconds.
        took: u64,
        at: u64,
        cut: u64,
        explained: bool,
    }
    let case = Case { name: "at once", took: 3_000, at: 10_000, cut: 10_000, explained: true };
    let cases = [
        Case { name: "after what was on its way", cut: 13_000, ..case },
        Case { name: "long after", cut: 15_000, explained: false, ..case },
        Case { name: "a caller that reads", took: 40, explained: false, ..case },
        case,
    ];
    for case in cases {
        let held_up = StreamEnd::is_caller_stall(Millis(case.took)).then_some(Millis(case.at));
        let explained = StreamEnd::is_caused_by_slow_caller(held_up, Millis(case.cut));
        assert_eq!(explained, case.explained, "{}", case.name);
    }
}
