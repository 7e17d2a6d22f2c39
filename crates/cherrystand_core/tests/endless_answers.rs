//! How many bytes of a server may bring nothing.

use bytes::Bytes;
use cherrystand_core::{
    EventProgress, EventSplitter, MAX_EVENT_BYTES, MAX_FRUITLESS_BYTES, MAX_SMALL_PARTS,
    WaitingAnswers, are_too_many_fruitless_bytes, are_too_many_small_parts,
};

#[test]
fn fruitless_bytes_have_a_limit() {
    assert!(!are_too_many_fruitless_bytes(MAX_FRUITLESS_BYTES));
    assert!(are_too_many_fruitless_bytes(MAX_FRUITLESS_BYTES + 1));
}

#[test]
fn an_answer_has_a_limit_of_small_parts_and_none_of_others() {
    struct Case {
        parts: usize,
        part_bytes: usize,
        are_too_many: bool,
    }
    let cases = [
        Case { parts: 0, part_bytes: 0, are_too_many: false },
        Case { parts: MAX_SMALL_PARTS, part_bytes: 1, are_too_many: false },
        Case { parts: MAX_SMALL_PARTS + 1, part_bytes: 1, are_too_many: true },
        Case { parts: MAX_SMALL_PARTS + 1, part_bytes: 63, are_too_many: true },
        Case { parts: MAX_SMALL_PARTS * 100, part_bytes: 64, are_too_many: false },
    ];
    for Case { parts, part_bytes, are_too_many } in cases {
        let decided = are_too_many_small_parts(parts, parts * part_bytes);
        assert_eq!(decided, are_too_many, "{parts} of {part_bytes}");
    }
}

#[test]
fn a_stream_is_cut_for_what_brings_no_event_and_never_for_its_length() {
    struct Case {
        name: &'static str,
        part: fn(usize) -> String,
        is_fruitless: bool,
    }
    let cases = [
        Case { name: "events", part: |at| format!("id: {at}\ndata: a\n\n"), is_fruitless: false },
        Case { name: "events without an id", part: |_| "data: a\n\n".into(), is_fruitless: false },
        Case {
            name: "events between comments",
            part: |at| format!(": abc\n\nid: {at}\ndata: a\r\n\r\n"),
            is_fruitless: false,
        },
        Case { name: "comments", part: |_| ": data: a\n\n".into(), is_fruitless: true },
        Case { name: "blank lines", part: |_| "\n\n".into(), is_fruitless: true },
        Case { name: "unknown fields", part: |_| "database: a\n\n".into(), is_fruitless: true },
        Case { name: "one event", part: |_| "id: 7\ndata: a\n\n".into(), is_fruitless: true },
    ];
    for case in cases {
        let (mut splitter, mut progress) = (EventSplitter::default(), EventProgress::default());
        for at in 0..=MAX_EVENT_BYTES {
            splitter.push((case.part)(at).as_bytes());
            while let Some(event) = splitter.next_event() {
                progress.record(&event);
            }
        }
        assert_eq!(progress.is_fruitless(), case.is_fruitless, "{}", case.name);
        splitter.push(&Bytes::from_static(b"id: 9999999\ndata: a\n\n"));
        let event = splitter.next_event().expect("an event");
        progress.record(&event);
        assert!(!progress.is_fruitless(), "{}: a new event", case.name);
    }
}

#[test]
fn the_largest_of_several_answers_that_wait_for_memory_ends() {
    struct Case {
        name: &'static str,
        held: &'static [usize],
        ends: Option<usize>,
    }
    let cases = [
        Case { name: "one alone", held: &[99], ends: None },
        Case { name: "one and others that hold nothing", held: &[99, 0, 0], ends: None },
        Case { name: "two small ones", held: &[12, 13], ends: None },
        Case { name: "two large ones", held: &[50, 40], ends: Some(0) },
        Case { name: "two as large", held: &[30, 30], ends: Some(1) },
        Case { name: "a large one and small ones", held: &[1, 70, 2], ends: Some(1) },
        Case { name: "many small ones", held: &[4; 24], ends: Some(23) },
    ];
    for case in cases {
        let mut waiting = WaitingAnswers::default();
        let answers: Vec<_> = case.held.iter().map(|bytes| waiting.begin(*bytes)).collect();
        let ends = |waiting: &WaitingAnswers| {
            answers.iter().position(|answer| waiting.must_end(*answer, 100))
        };
        assert_eq!(ends(&waiting), case.ends, "{}", case.name);
        answers.iter().for_each(|answer| waiting.end(*answer));
        assert_eq!(ends(&waiting), None, "{}: nobody waits", case.name);
    }
}
