//! Which connections are kept where answers have no name.

use std::time::Duration;

use bytes::Bytes;
use cherrystand_platform::HttpPool;
use http_body_util::{BodyExt, Full};
use hyper::Request;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;

/// How late a late answer is.
const LATE: Duration = Duration::from_millis(60);

/// After which time a call is given up.
const PATIENCE: Duration = Duration::from_millis(30);

/// What a server does with the first request of its first connection.
#[derive(Clone, Copy, Debug)]
enum First {
    Answer,
    AnswerTwiceAtOnce,
    AnswerTwiceLate,
    AnswerLate,
    AnswerHalf,
}

/// Sends two requests, and returns the number of the connection that answered the second.
async fn connection_of_second(first: First) -> Bytes {
    let listener = TcpListener::bind(("127.0.0.1", 0)).await.expect("an address");
    let address = listener.local_addr().expect("an address");
    tokio::task::spawn(async move {
        for connection in 1.. {
            let (mut stream, _) = listener.accept().await.expect("a connection");
            tokio::task::spawn(async move {
                let mut buf = [0; 1_024];
                let answer = format!("HTTP/1.1 200 OK\r\ncontent-length: 1\r\n\r\n{connection}");
                let mut is_first = connection == 1;
                while stream.read(&mut buf).await.is_ok_and(|count| count > 0) {
                    let how = if is_first { first } else { First::Answer };
                    is_first = false;
                    if matches!(how, First::AnswerLate) {
                        tokio::time::sleep(LATE).await;
                    }
                    let sent = match how {
                        First::AnswerTwiceAtOnce => answer.repeat(2),
                        First::AnswerHalf => answer[..answer.len() - 1].to_owned(),
                        _ => answer.clone(),
                    };
                    let _ = stream.write_all(sent.as_bytes()).await;
                    if matches!(how, First::AnswerTwiceLate) {
                        tokio::time::sleep(LATE).await;
                        let _ = stream.write_all(answer.as_bytes()).await;
                    }
                }
            });
        }
    });
    let pool = HttpPool::default();
    let exchange = || async {
        let req = Request::new(Full::new(Bytes::new()));
        let answer = pool.send(address, req, Duration::from_secs(1)).await.expect("an answer");
        answer.into_body().collect().await.expect("a body").to_bytes()
    };
    let _ = tokio::time::timeout(PATIENCE, exchange()).await;
    tokio::time::sleep(LATE * 2).await;
    exchange().await
}

/// Guards against the store's answer to an earlier call being taken for that to a later one.
#[tokio::test(flavor = "current_thread")]
async fn a_connection_is_not_kept_if_something_may_still_come_on_it() {
    struct Case {
        first: First,
        is_kept: bool,
    }
    let case = |first, is_kept| Case { first, is_kept };
    let cases = [
        case(First::Answer, true),
        case(First::AnswerTwiceAtOnce, false),
        case(First::AnswerTwiceLate, false),
        case(First::AnswerLate, false),
        case(First::AnswerHalf, false),
    ];
    for case in cases {
        let second = connection_of_second(case.first).await;
        assert_eq!(second, if case.is_kept { "1" } else { "2" }, "{:?}", case.first);
    }
}
