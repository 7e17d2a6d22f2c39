//! Engines that send the answer to an earlier call once more, where that to the next one is due.

use std::net::SocketAddr;
use std::time::Duration;

use cherrystand_core::{BoxId, Epoch, Order, Task};
use cherrystand_platform::{EngineClient, EngineError};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

/// How long after the surplus answer the due one leaves.
const DUE_AFTER: Duration = Duration::from_millis(40);

const REPORT: &str = r#"{"epoch":3,"state":"idle","loaded":null,"in_flight":0,"waiting":0}"#;

/// Starts an engine that answers each report, and refuses each order as one of an earlier epoch.
async fn start_engine() -> SocketAddr {
    let listener = TcpListener::bind(("127.0.0.1", 0)).await.expect("an address");
    let address = listener.local_addr().expect("an address");
    tokio::task::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            tokio::task::spawn(serve(stream));
        }
    });
    address
}

async fn serve(mut stream: TcpStream) {
    let (mut buf, mut earlier) = ([0; 4_096], None);
    while let Some(count) = stream.read(&mut buf).await.ok().filter(|count| *count > 0) {
        let call = String::from_utf8_lossy(&buf[..count]).into_owned();
        let id = call.lines().find(|line| line.starts_with("cherrystand-call-id: "));
        let (status, body) = match call.starts_with("GET") {
            true => ("200 OK", REPORT),
            false => ("409 Conflict", ""),
        };
        let id = id.map_or(String::new(), |id| format!("{id}\r\n"));
        let length = body.len();
        let due = format!("HTTP/1.1 {status}\r\n{id}content-length: {length}\r\n\r\n{body}");
        if let Some(surplus) = earlier.replace(due.clone()) {
            let _ = stream.write_all(String::as_bytes(&surplus)).await;
            tokio::time::sleep(DUE_AFTER).await;
        }
        let _ = stream.write_all(due.as_bytes()).await;
    }
}

/// Guards against an order that counts as carried out because the report before it was answered twice.
#[tokio::test(flavor = "current_thread")]
async fn an_order_does_not_end_by_the_answer_to_a_report() {
    let engine = start_engine().await;
    let client = EngineClient::default();
    let order = Order { target: BoxId::new("b"), epoch: Epoch(2), task: Task::Release };
    let mut refused = 0;
    for round in 0..4 {
        let _ = client.report(engine).await;
        let end = client.order(engine, &order).await;
        assert!(end.is_err(), "round {round}: an order that the engine refused counts as taken");
        let again = client.order(engine, &order).await;
        refused += u32::from(matches!(again, Err(EngineError::Fenced(_))));
    }
    assert!(refused > 0, "no answer to an order was read");
}
