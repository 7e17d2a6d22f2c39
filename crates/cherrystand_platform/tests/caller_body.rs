//! Bodies that are passed on event by event.

use bytes::Bytes;
use cherrystand_platform::{BufferBudget, CallerBody, CallerDisconnected, IncompleteAnswer};
use http_body_util::BodyExt;

/// Room for 100 bytes.
fn held() -> BufferBudget {
    BufferBudget::new(100, Default::default())
}

/// Story: tasks that passed streams on panicked; callers got 34 answers that were framed as whole
/// and lacked their ends.
#[tokio::test(flavor = "current_thread")]
async fn an_answer_is_whole_only_if_its_sender_says_so() {
    struct Case {
        name: &'static str,
        ends: bool,
        read: Result<&'static str, IncompleteAnswer>,
    }
    let cases = [
        Case { name: "ended", ends: true, read: Ok("id: 0\n\nid: 1\n\n") },
        Case { name: "dropped, as by a panic", ends: false, read: Err(IncompleteAnswer) },
    ];
    for case in cases {
        let (tx, body) = CallerBody::event_stream(held());
        let passing = tokio::spawn(async move {
            tx.send(Bytes::from_static(b"id: 0\n\n")).await.expect("a caller");
            tx.send(Bytes::from_static(b"id: 1\n\n")).await.expect("a caller");
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
    let (tx, body) = CallerBody::event_stream(held());
    drop(body);
    tx.closed().await;
    assert_eq!(tx.send(Bytes::from_static(b"id: 0\n\n")).await, Err(CallerDisconnected));
    assert_eq!(tx.end().await, Err(CallerDisconnected));
}

/// However much an endpoint sends, no more waits for a caller that does not read than a few events, and the
/// endpoint is read no further.
#[tokio::test(flavor = "current_thread")]
async fn little_waits_for_a_caller_that_does_not_read() {
    struct Case {
        name: &'static str,
        event: usize,
        /// How many bytes wait at the most.
        most: usize,
    }
    let cases = [
        Case { name: "small events", event: 85, most: 16 << 10 },
        Case { name: "large events", event: 5_000, most: 16 << 10 },
        Case { name: "one larger than all that may wait", event: 100_000, most: 100_000 },
    ];
    for case in cases {
        let held = held();
        let (tx, body) = CallerBody::event_stream(held.clone());
        let event = Bytes::from(vec![b'x'; case.event]);
        let passing = tokio::spawn(async move {
            for _ in 0..1_000 {
                tx.send(event.clone()).await.expect("a caller");
            }
            tx.end().await.expect("a caller");
        });
        for _ in 0..2_000 {
            tokio::task::yield_now().await;
        }
        let waits = held.used();
        assert!(waits > 0 && waits <= case.most, "{}: {waits}", case.name);
        // Backpressure drops nothing.
        let read = body.collect().await.expect("all of it").to_bytes();
        passing.await.expect("no panic");
        assert_eq!((read.len(), held.used()), (1_000 * case.event, 0), "{}", case.name);
    }
}

#[tokio::test(flavor = "current_thread")]
async fn room_is_bounded_and_free_again() {
    let held = held();
    let first = held.try_reserve(60).expect("room");
    assert!(held.try_reserve(60).is_none());
    let mut second = held.try_reserve(40).expect("room");
    assert_eq!(held.used(), 100);
    drop(first);
    second.merge(held.try_reserve(10).expect("room"));
    drop(second);
    // What is larger than all of it gets it alone.
    let large = held.try_reserve(500).expect("room");
    assert!(held.try_reserve(1).is_none());
    let waiting = tokio::spawn({
        let held = held.clone();
        async move { held.reserve(50).await }
    });
    tokio::task::yield_now().await;
    drop(large);
    drop(waiting.await.expect("no panic"));
    assert_eq!(held.used(), 0);
}

/// An answer that is held whole takes its room until its last piece is written.
#[tokio::test(flavor = "current_thread")]
async fn an_answer_held_whole_goes_out_in_pieces() {
    let held = BufferBudget::new(1 << 20, Default::default());
    let bytes = Bytes::from(vec![b'x'; 40_000]);
    let share = held.try_reserve(bytes.len()).expect("room");
    let mut body = CallerBody::reserved(bytes, share);
    let first = body.frame().await.expect("a piece").expect("no failure");
    assert!(first.data_ref().is_some_and(|data| data.len() <= 16 << 10));
    assert_eq!(held.used(), 40_000);
    let rest = body.collect().await.expect("the rest").to_bytes();
    assert_eq!(first.data_ref().map_or(0, Bytes::len) + rest.len(), 40_000);
    assert_eq!(held.used(), 0);
}
