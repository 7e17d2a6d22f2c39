//! Tests of streamed bodies and of the memory budget of buffered bodies.

use bytes::Bytes;
use cherrystand_platform::{BufferBudget, CallerBody, CallerDisconnected, IncompleteAnswer};
use http_body_util::BodyExt;

/// Returns a budget of 100 bytes.
fn budget() -> BufferBudget {
    BufferBudget::new(100, Default::default())
}

/// Guards against truncated answers that look complete: tasks that streamed answers panicked, and
/// callers got 34 answers that were framed as complete and lacked their ends.
#[tokio::test(flavor = "current_thread")]
async fn an_answer_is_complete_only_after_its_sender_ends_it() {
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
        let (tx, body) = CallerBody::event_stream(budget());
        let sending = tokio::spawn(async move {
            tx.send(Bytes::from_static(b"id: 0\n\n")).await.expect("a caller");
            tx.send(Bytes::from_static(b"id: 1\n\n")).await.expect("a caller");
            if case.ends {
                tx.end().await.expect("a caller");
            }
        });
        let read = body.collect().await.map(|whole| whole.to_bytes());
        sending.await.expect("no panic");
        assert_eq!(
            read.as_deref(),
            case.read.map(str::as_bytes).as_ref().copied(),
            "{}",
            case.name
        );
    }
}

#[tokio::test(flavor = "current_thread")]
async fn a_sender_is_told_that_its_caller_disconnected() {
    let (tx, body) = CallerBody::event_stream(budget());
    drop(body);
    tx.closed().await;
    assert_eq!(tx.send(Bytes::from_static(b"id: 0\n\n")).await, Err(CallerDisconnected));
    assert_eq!(tx.end().await, Err(CallerDisconnected));
}

/// Only a few events are queued for a caller that does not read, however much the endpoint sends, and reading
/// from the endpoint pauses meanwhile.
#[tokio::test(flavor = "current_thread")]
async fn few_bytes_are_queued_for_a_caller_that_does_not_read() {
    struct Case {
        name: &'static str,
        event: usize,
        /// Maximum number of queued bytes.
        max_queued: usize,
    }
    let cases = [
        Case { name: "small events", event: 85, max_queued: 16 << 10 },
        Case { name: "large events", event: 5_000, max_queued: 16 << 10 },
        Case { name: "larger than the queue", event: 100_000, max_queued: 100_000 },
    ];
    for case in cases {
        let budget = budget();
        let (tx, body) = CallerBody::event_stream(budget.clone());
        let event = Bytes::from(vec![b'x'; case.event]);
        let sending = tokio::spawn(async move {
            for _ in 0..1_000 {
                tx.send(event.clone()).await.expect("a caller");
            }
            tx.end().await.expect("a caller");
        });
        for _ in 0..2_000 {
            tokio::task::yield_now().await;
        }
        let queued = budget.used();
        assert!(queued > 0 && queued <= case.max_queued, "{}: {queued}", case.name);
        // Backpressure must not drop events.
        let read = body.collect().await.expect("all of it").to_bytes();
        sending.await.expect("no panic");
        assert_eq!((read.len(), budget.used()), (1_000 * case.event, 0), "{}", case.name);
    }
}

#[tokio::test(flavor = "current_thread")]
async fn reservations_are_limited_and_released() {
    let budget = budget();
    let first = budget.try_reserve(60).expect("it fits");
    assert!(budget.try_reserve(60).is_none());
    let mut second = budget.try_reserve(40).expect("it fits");
    assert_eq!(budget.used(), 100);
    drop(first);
    second.merge(budget.try_reserve(10).expect("it fits"));
    drop(second);
    // A reservation larger than the capacity succeeds while nothing else is reserved.
    let large = budget.try_reserve(500).expect("it fits");
    assert!(budget.try_reserve(1).is_none());
    let waiting = tokio::spawn({
        let budget = budget.clone();
        async move { budget.reserve(50).await }
    });
    tokio::task::yield_now().await;
    drop(large);
    drop(waiting.await.expect("no panic"));
    assert_eq!(budget.used(), 0);
}

/// A complete answer keeps its reservation until its last frame is written.
#[tokio::test(flavor = "current_thread")]
async fn a_complete_answer_is_written_in_frames() {
    let budget = BufferBudget::new(1 << 20, Default::default());
    let bytes = Bytes::from(vec![b'x'; 40_000]);
    let reservation = budget.try_reserve(bytes.len()).expect("it fits");
    let mut body = CallerBody::reserved(bytes, reservation);
    let first = body.frame().await.expect("a frame").expect("no failure");
    assert!(first.data_ref().is_some_and(|data| data.len() <= 16 << 10));
    assert_eq!(budget.used(), 40_000);
    let rest = body.collect().await.expect("the rest").to_bytes();
    assert_eq!(first.data_ref().map_or(0, Bytes::len) + rest.len(), 40_000);
    assert_eq!(budget.used(), 0);
}
