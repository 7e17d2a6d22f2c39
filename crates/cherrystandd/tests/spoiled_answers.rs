//! Answers that lack the seal of their endpoint, or that end inside an event.
#![allow(clippy::disallowed_methods, reason = "the machine of a test is not suspended")]

mod support;

use cherrystand_testkit::{BoxWishes, EVENTS, whole_stream};
use support::caller_requests::{is_served, send_request};
use support::site::{MODEL_PATH, SERVICE_PATH, Site, call};

/// A success that its endpoint did not seal reaches no caller. An idempotent request is retried at
/// another endpoint; the caller of a non-idempotent one learns that it may have run.
#[test]
fn an_unsealed_success_is_not_forwarded() {
    support::run(async {
        let site = Site::serving(1).await;
        let node = &site.nodes[0];
        let leaders: Vec<String> = site.stand_in.leaders().into_keys().collect();
        let unsealed = BoxWishes { unsealed: true, ..BoxWishes::default() };
        for id in ["a-1", &leaders[0]] {
            site.stand_in.set_wishes(id, unsealed);
        }
        for number in 0..8 {
            let asked = send_request(node, MODEL_PATH, format!("n0-{number}")).await;
            assert!(is_served(&asked), "{}", asked.answer.status);
            let once = call(node, "POST", SERVICE_PATH, &format!("once-{number}"), "k1").await;
            let runs = site.stand_in.runs_of(&format!("once-{number}"));
            let is_sealed = runs.iter().all(|(id, _)| id == "a-2");
            assert_eq!(once.status, if is_sealed { 200 } else { 502 }, "{runs:?}");
            assert_eq!(runs.len(), 1, "{runs:?}");
        }
    });
}

/// The event inside which streams end.
const CUT_EVENT: u64 = 5;

#[test]
fn a_stream_that_ends_inside_an_event_is_resumed_elsewhere_and_never_passed_on_as_whole() {
    support::run(async {
        let site = Site::serving(1).await;
        let node = &site.nodes[0];
        let leaders: Vec<String> = site.stand_in.leaders().into_keys().collect();
        let cut = BoxWishes { ends_inside: Some(CUT_EVENT), ..BoxWishes::default() };
        site.stand_in.set_wishes(&leaders[0], cut);
        for number in 0..8 {
            let asked = send_request(node, MODEL_PATH, format!("n0-{number}")).await;
            assert!(is_served(&asked), "{}: {}", asked.id, asked.answer.status);
        }
        site.stand_in.set_wishes(&leaders[1], cut);
        let asked = send_request(node, MODEL_PATH, "n0-both".to_owned()).await;
        assert!(!is_served(&asked), "{}", asked.answer.text());
        assert_ne!(asked.answer.text(), whole_stream("n0-both"));
    });
}

/// Guards against streams that are taken for broken because the ids of their events rise by more than
/// one. Events that came before stay out when another replica resumes the stream.
#[test]
fn a_stream_whose_event_ids_rise_by_more_than_one_arrives_whole() {
    const GAP: u64 = 2;
    support::run(async {
        let site = Site::serving(1).await;
        let node = &site.nodes[0];
        let leaders: Vec<String> = site.stand_in.leaders().into_keys().collect();
        let wide = BoxWishes { id_gap: GAP, ..BoxWishes::default() };
        site.stand_in.set_wishes(&leaders[0], BoxWishes { ends_inside: Some(CUT_EVENT), ..wide });
        site.stand_in.set_wishes(&leaders[1], wide);
        for number in 0..8 {
            let id = format!("n0-{number}");
            let asked = send_request(node, MODEL_PATH, id.clone()).await;
            let events = (0..EVENTS)
                .map(|number| format!("id: {}\ndata: {id} {number}\n\n", number * (GAP + 1)));
            assert_eq!(asked.answer.text(), events.collect::<String>());
        }
    });
}
