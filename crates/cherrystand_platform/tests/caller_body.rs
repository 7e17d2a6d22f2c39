//! Bodies that are passed on event by event.

use bytes::Bytes;
use cherrystand_platform::{BrokeOff, CallerBody, CallerLeft};
use http_body_util::BodyExt;

/// Story: tasks that passed streams on panicked; callers got 34 answers that were framed as whole
/// and lacked their ends.
#[tokio::test(flavor = "current_thread")]
async fn an_answer_is_whole_only_if_its_sender_says_so() {
    struct Case {
        name: &'static str,
        ends: bool,
        read: Result<&'static str, BrokeOff>,
    }
    let cases = [
        Case { name: "ended", ends: true, read: Ok("id: 0\n\nid: 1\n\n") },
        Case { name: "dropped, as by a panic", ends: false, read: Err(BrokeOff) },
    ];
    for case in cases {
        let (tx, body) = CallerBody::events();
        let passing = tokio::spawn(async move {
            tx.pass(Bytes::from_static(b"id: 0\n\n")).await.expect("a caller");
            tx.pass(Bytes::from_static(b"id: 1\n\n")).await.expect("a caller");
            if case.ends {
                tx.end().await.expect("a caller");
            }
        });
        let read = body.collect().await.map(|whole| whole.to_bytes());
        passing.await.expect("no panic");
        assert_eq!(
            read.as_deref(),
            case.read.map(str::as_bytes).as_ref().copied(),
            "{}",
            case.name
        );
    }
}

#[tokio::test(flavor = "current_thread")]
async fn a_sender_learns_that_its_caller_has_left() {
    let (tx, body) = CallerBody::events();
    drop(body);
    tx.closed().await;
    assert_eq!(tx.pass(Bytes::from_static(b"id: 0\n\n")).await, Err(CallerLeft));
    assert_eq!(tx.end().await, Err(CallerLeft));
}
