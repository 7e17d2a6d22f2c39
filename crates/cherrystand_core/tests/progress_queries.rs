//! What the answers of peers show of endpoints that they were asked about.

use cherrystand_core::{
    BoxId, EndpointLoad, Millis, NEVER_SEEN_MS, PeerLoads, PeerProgress, ProgressQueries,
    answer_progress_query,
};

fn load(id: &str, silent_ms: u32) -> EndpointLoad {
    EndpointLoad { id: BoxId::new(id), requests: 1, unread: 0, silent_ms }
}

/// Guards against a replica that counts as stalled by the late answer to a question about another.
#[test]
fn only_an_answer_that_names_an_endpoint_is_an_answer_about_it() {
    struct Case {
        name: &'static str,
        /// The endpoints that the answer names.
        named: &'static [&'static str],
        state: PeerProgress,
    }
    let cases = [
        Case { name: "about it", named: &["b"], state: PeerProgress::NotSeen },
        Case { name: "about both", named: &["a", "b"], state: PeerProgress::NotSeen },
        Case { name: "about another", named: &["a"], state: PeerProgress::NoAnswer },
        Case { name: "about none", named: &[], state: PeerProgress::NoAnswer },
    ];
    for case in cases {
        let mut queries = ProgressQueries::default();
        assert_eq!(queries.state(&BoxId::new("b"), Millis(1_040)), None, "{}", case.name);
        queries.record_asked(&BoxId::new("a"), Millis(1_000));
        queries.record_asked(&BoxId::new("b"), Millis(1_040));
        let named: Vec<_> = case.named.iter().map(|id| load(id, NEVER_SEEN_MS)).collect();
        queries.record_answer(&named, Millis(1_050));
        let early = queries.state(&BoxId::new("b"), Millis(1_060));
        assert_eq!(early, Some(PeerProgress::AskedJustNow), "{}", case.name);
        let state = queries.state(&BoxId::new("b"), Millis(1_070));
        assert_eq!(state, Some(case.state), "{}", case.name);
        assert_eq!(queries.last_answer_age(Millis(1_070)), Some(Millis(20)), "{}", case.name);
        let later = queries.state(&BoxId::new("b"), Millis(1_440));
        assert_eq!(later, None, "{}: asked again", case.name);
    }
}

#[test]
fn an_answer_names_each_endpoint_that_was_asked_about() {
    let asked = [BoxId::new("a"), BoxId::new("b")];
    let answer = answer_progress_query(&asked, vec![load("b", 30), load("c", 10)]);
    let silent: Vec<(&str, u32)> =
        answer.iter().map(|load| (load.id.name(), load.silent_ms)).collect();
    assert_eq!(silent, [("a", NEVER_SEEN_MS), ("b", 30)]);
    let mut loads = PeerLoads::default();
    loads.record_progress(&answer, Millis(5_000));
    assert_eq!(loads.last_progress(&asked[1]), Some(Millis(4_970)));
    assert!(loads.last_progress(&asked[0]).is_none_or(|seen| seen == Millis(0)), "never seen");
}
