//! Boxes of the stand-in for a site that requests end.
#![allow(clippy::disallowed_methods, reason = "the machine of a test is not suspended")]

use std::net::SocketAddr;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use cherrystand_testkit::{CRASHES, SiteStandIn};
use tokio::net::TcpStream;

/// Until a box that was ended is back, and a while more.
const BACK_WITHIN: Duration = Duration::from_secs(2);

/// How many tasks panicked.
static PANICS: AtomicUsize = AtomicUsize::new(0);

/// Returns a request that ends the box that runs it, as it goes over the wire.
fn ends_the_box() -> Vec<u8> {
    let body = format!("{CRASHES}none");
    let head = "POST /calls/1 HTTP/1.1\r\nhost: a\r\ncherrystand-request-id: r1\r\n\
                cherrystand-expect-instance: a-1\r\ncontent-length: ";
    format!("{head}{}\r\n\r\n{body}", body.len()).into_bytes()
}

async fn connect(at: SocketAddr) -> TcpStream {
    TcpStream::connect(at).await.expect("a connection")
}

/// Story: two requests ended a box in one poll of the runtime; it came back for both, and the task of the second
/// ended with "Address already in use".
#[test]
fn a_box_that_two_requests_end_at_once_comes_back_once() {
    std::panic::set_hook(Box::new(|_| _ = PANICS.fetch_add(1, Ordering::Relaxed)));
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    let local = tokio::task::LocalSet::new();
    let (back, crashes) = local.block_on(&runtime.expect("a runtime"), async {
        let site = SiteStandIn::new();
        site.add_box("a-1", "app").await.expect("a box");
        let at = site.address_of("a-1").expect("an address");
        let callers = [connect(at).await, connect(at).await];
        // Both are accepted, and both requests are there as the box is polled next.
        tokio::time::sleep(Duration::from_millis(100)).await;
        for caller in &callers {
            assert!(caller.try_write(&ends_the_box()).is_ok());
        }
        tokio::time::sleep(BACK_WITHIN).await;
        (TcpStream::connect(at).await.is_ok(), site.crashes().len())
    });
    let panics = PANICS.load(Ordering::Relaxed);
    // The hook keeps the message of a failure to itself.
    let _ = std::panic::take_hook();
    assert_eq!((back, panics, crashes), (true, 0, 2));
}
