//! Connections that are kept, and for how long.

use std::sync::{Mutex, PoisonError};
use std::time::Duration;

use bytes::Bytes;
use cherrystand_platform::{HttpPool, advance_clock};
use http_body_util::{BodyExt, Full};
use hyper::Request;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;

/// The clock that is moved on is that of the process.
static CLOCK: Mutex<()> = Mutex::new(());

/// Sends requests on one pool, each after a suspension, to a server whose answers hold a line of head, and returns
/// by which connection each was answered, the first one being 1.
fn answered_by(line: &str, suspended: &[Duration]) -> Vec<Bytes> {
    let _alone = CLOCK.lock().unwrap_or_else(PoisonError::into_inner);
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    runtime.expect("a runtime").block_on(async {
        let listener = TcpListener::bind(("127.0.0.1", 0)).await.expect("an address");
        let address = listener.local_addr().expect("an address");
        let answers = async {
            let mut connections = 0;
            loop {
                let (mut stream, _) = listener.accept().await.expect("a connection");
                connections += 1;
                let head =
                    format!("HTTP/1.1 200 OK\r\n{line}content-length: 1\r\n\r\n{connections}");
                tokio::task::spawn(async move {
                    let mut buf = [0; 1_024];
                    while stream.read(&mut buf).await.is_ok_and(|read| read > 0) {
                        let _ = stream.write_all(head.as_bytes()).await;
                    }
                });
            }
        };
        let pool = HttpPool::default();
        let asked = async {
            let mut told = Vec::new();
            for suspended in suspended {
                advance_clock(*suspended);
                let req = Request::new(Full::new(Bytes::new()));
                let answer = pool.send(address, req, Duration::from_secs(1)).await;
                let body = answer.expect("an answer").into_body().collect().await;
                told.push(body.expect("a body").to_bytes());
            }
            told
        };
        tokio::select! {
            told = asked => told,
            () = answers => unreachable!("it accepts for ever"),
        }
    })
}

/// Story: a connection that rested while the machine was suspended is closed at the other end by then, and
/// a request that is sent on it may have run, for all that is known.
#[test]
fn a_connection_that_rested_through_a_suspension_is_not_used_again() {
    let told = answered_by("", &[Duration::ZERO, Duration::ZERO, Duration::from_secs(5)]);
    assert_eq!(told, ["1", "1", "2"]);
}

/// Story: an endpoint says in its answers for how long it keeps a connection that rests; requests that were sent on
/// one that it was about to close may have run, for all that is known, and callers got 502 for what may run once.
#[test]
fn a_connection_rests_no_longer_than_the_other_end_says() {
    struct Case {
        name: &'static str,
        line: &'static str,
        rested: Duration,
        /// Whether the connection is used again.
        again: bool,
    }
    let (short, long) = (Duration::from_millis(1_200), Duration::from_millis(3_500));
    let cases = [
        Case { name: "says nothing", line: "", rested: long, again: true },
        Case { name: "one second", line: "keep-alive: timeout=1\r\n", rested: short, again: false },
        Case {
            name: "two, with a margin",
            line: "keep-alive: timeout=2\r\n",
            rested: short,
            again: true,
        },
        Case {
            name: "two, over",
            line: "Keep-Alive: max=9, timeout=2\r\n",
            rested: long,
            again: false,
        },
        Case { name: "five", line: "keep-alive: timeout=5\r\n", rested: long, again: true },
        Case {
            name: "none at all",
            line: "keep-alive: timeout=0\r\n",
            rested: Duration::ZERO,
            again: false,
        },
        Case { name: "no number", line: "keep-alive: timeout=soon\r\n", rested: long, again: true },
        Case { name: "no time", line: "keep-alive: max=3\r\n", rested: long, again: true },
    ];
    for case in cases {
        let told = answered_by(case.line, &[Duration::ZERO, case.rested]);
        let second = if case.again { "1" } else { "2" };
        assert_eq!(told, ["1", second], "{}", case.name);
    }
}
