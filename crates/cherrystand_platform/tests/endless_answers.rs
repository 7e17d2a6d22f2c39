//! Short calls to servers whose answers have no end.
#![allow(clippy::disallowed_methods, reason = "the machine of a test is not suspended")]

use std::time::{Duration, Instant};

use bytes::Bytes;
use cherrystand_platform::{HttpPool, call_box};
use hyper::Method;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;

const CALL_TIMEOUT: Duration = Duration::from_secs(5);
/// What connections buffer comes on top of what is read.
const MAX_SENT_BYTES: usize = 12 << 20;

/// Calls a server that sends a start and then something again and again, and returns how many bytes it
/// got rid of, and how long the call took.
async fn call_flooding(start: &'static str, repeated: &'static str) -> (usize, Duration) {
    let listener = TcpListener::bind(("127.0.0.1", 0)).await.expect("an address");
    let address = listener.local_addr().expect("an address");
    let server = tokio::task::spawn(async move {
        let (mut caller, _) = listener.accept().await.expect("a connection");
        let _ = caller.read(&mut [0; 1_024]).await;
        let repeated = repeated.repeat(1_000);
        let mut sent = start.len();
        let _ = caller.write_all(start.as_bytes()).await;
        while caller.write_all(repeated.as_bytes()).await.is_ok() {
            sent += repeated.len();
        }
        sent
    });
    let (pool, began) = (HttpPool::default(), Instant::now());
    let answer = call_box(&pool, address, Method::GET, "/", Bytes::new(), CALL_TIMEOUT).await;
    let took = began.elapsed();
    assert!(answer.is_err(), "{answer:?}");
    (server.await.expect("the server's connection is closed"), took)
}

#[test]
fn a_short_call_ends_at_once_when_its_answer_has_no_end() {
    struct Case {
        name: &'static str,
        start: &'static str,
        repeated: &'static str,
    }
    const CHUNKED: &str = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
    let cases = [
        Case { name: "no HTTP", start: "", repeated: "garbage " },
        Case { name: "a header line", start: "HTTP/1.1 200 OK\r\na: ", repeated: "bbbb" },
        Case { name: "informational heads", start: "", repeated: "HTTP/1.1 100 Continue\r\n\r\n" },
        Case { name: "digits of a chunk size", start: CHUNKED, repeated: "0000" },
        Case { name: "a chunked body", start: CHUNKED, repeated: "4\r\n[[[[\r\n" },
        Case { name: "a body", start: "HTTP/1.1 200 OK\r\n\r\n", repeated: "[[[[" },
    ];
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    runtime.expect("a runtime").block_on(async {
        let mut failures = Vec::new();
        for case in cases {
            let (sent, took) = call_flooding(case.start, case.repeated).await;
            if sent > MAX_SENT_BYTES || took > CALL_TIMEOUT / 2 {
                failures.push(format!("{}: {sent} bytes, {took:?}", case.name));
            }
        }
        assert!(failures.is_empty(), "{}", failures.join("\n"));
    });
}
