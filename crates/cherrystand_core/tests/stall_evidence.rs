//! Whether a silent replica counts as stalled.

use cherrystand_core::{Millis, PeerProgress, StallEvidence, StreamEnd};

#[test]
fn a_replica_is_stalled_only_if_peers_or_other_replicas_confirm_it() {
    struct Case {
        name: &'static str,
        peers: PeerProgress,
        others: Option<bool>,
        silence: u64,
        is_stalled: bool,
    }
    let short = 400;
    let long = 1_600;
    let cases = [
        Case {
            name: "a peer saw progress",
            peers: PeerProgress::Seen,
            others: Some(true),
            silence: long,
            is_stalled: false,
        },
        Case {
            name: "peers haven't answered yet",
            peers: PeerProgress::AskedJustNow,
            others: Some(true),
            silence: short,
            is_stalled: false,
        },
        Case {
            name: "peers saw no progress",
            peers: PeerProgress::NotSeen,
            others: Some(true),
            silence: short,
            is_stalled: true,
        },
        Case {
            name: "peers are not asked",
            peers: PeerProgress::NotAsked,
            others: Some(false),
            silence: short,
            is_stalled: true,
        },
        Case {
            name: "no peer answers, another replica makes progress",
            peers: PeerProgress::NoAnswer,
            others: Some(true),
            silence: short,
            is_stalled: true,
        },
        Case {
            name: "no peer answers, no other replica has a request",
            peers: PeerProgress::NoAnswer,
            others: None,
            silence: short,
            is_stalled: true,
        },
        Case {
            name: "nothing arrives at this node",
            peers: PeerProgress::NoAnswer,
            others: Some(false),
            silence: short,
            is_stalled: false,
        },
        Case {
            name: "nothing arrives at this node for long",
            peers: PeerProgress::NoAnswer,
            others: Some(false),
            silence: long,
            is_stalled: true,
        },
    ];
    for case in cases {
        let evidence = StallEvidence {
            silence: Millis(case.silence),
            longest_expected: Millis(250),
            peers: case.peers,
            peers_age: None,
            others_progressed: case.others,
        };
        assert_eq!(evidence.is_stalled(), case.is_stalled, "{}", case.name);
        let is_pause = case.others == Some(false) && case.silence == short;
        assert_eq!(evidence.is_node_wide_pause(), is_pause, "{}", case.name);
    }
}

/// Endpoints close an answer that stays unread for some seconds, which must not count as their
/// failure.
#[test]
fn an_interruption_is_attributed_to_a_caller_that_stalled_shortly_before() {
    struct Case {
        name: &'static str,
        /// How long the caller took to read what it was given, and when it had, in milliseconds.
        took: u64,
        at: u64,
        interrupted: u64,
        explained: bool,
    }
    let case = Case {
        name: "right after it resumed",
        took: 3_000,
        at: 10_000,
        interrupted: 10_000,
        explained: true,
    };
    let cases = [
        Case { name: "after data in transit", interrupted: 13_000, ..case },
        Case { name: "long after", interrupted: 15_000, explained: false, ..case },
        Case { name: "a caller that reads", took: 40, explained: false, ..case },
        case,
    ];
    for case in cases {
        let resumed_at = StreamEnd::is_caller_stall(Millis(case.took)).then_some(Millis(case.at));
        let explained = StreamEnd::is_caused_by_slow_caller(resumed_at, Millis(case.interrupted));
        assert_eq!(explained, case.explained, "{}", case.name);
    }
}
