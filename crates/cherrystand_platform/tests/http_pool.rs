//! Connections that are kept, and for how long.

use std::time::Duration;

use bytes::Bytes;
use cherrystand_platform::{HttpPool, jump_ahead};
use http_body_util::{BodyExt, Full};
use hyper::Request;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;

/// Story: a connection that rested while the machine was suspended is closed at the other end by then, and
/// a request that is sent on it may have run, for all that is known.
#[test]
fn a_connection_that_rested_through_a_suspension_is_not_used_again() {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    runtime.expect("a runtime").block_on(async {
        let listener = TcpListener::bind(("127.0.0.1", 0)).await.expect("an address");
        let address = listener.local_addr().expect("an address");
        let answers = async {
            let mut connections = 0;
            loop {
                let (mut stream, _) = listener.accept().await.expect("a connection");
                connections += 1;
                let head = format!("HTTP/1.1 200 OK\r\ncontent-length: 1\r\n\r\n{connections}");
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
            for suspended in [Duration::ZERO, Duration::ZERO, Duration::from_secs(5)] {
                jump_ahead(suspended);
                let req = Request::new(Full::new(Bytes::new()));
                let answer = pool.send(address, req, Duration::from_secs(1)).await;
                let body = answer.expect("an answer").into_body().collect().await;
                told.push(body.expect("a body").to_bytes());
            }
            told
        };
        let told = tokio::select! {
            told = asked => told,
            () = answers => unreachable!("it accepts for ever"),
        };
        assert_eq!(told, ["1", "1", "2"]);
    });
}
