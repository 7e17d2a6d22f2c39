//! Boxes of the stand-in for a site that requests crash.
#![allow(clippy::disallowed_methods, reason = "the machine of a test is not suspended")]

use std::net::SocketAddr;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use cherrystand_testkit::{CRASHES, SiteStandIn};
use tokio::net::TcpStream;

/// Time within which a crashed box has restarted, with a margin.
const RESTART_TIMEOUT: Duration = Duration::from_secs(2);

/// Number of tasks that panicked.
static PANICS: AtomicUsize = AtomicUsize::new(0);

/// Returns the bytes of a request that crashes the box that runs it.
fn crashing_request() -> Vec<u8> {
    let body = format!("{CRASHES}none");
    let head = "POST /calls/1 HTTP/1.1\r\nhost: a\r\ncherrystand-request-id: r1\r\n\
                cherrystand-expect-instance: a-1\r\ncontent-length: ";
    format!("{head}{}\r\n\r\n{body}", body.len()).into_bytes()
}

async fn connect(address: SocketAddr) -> TcpStream {
    TcpStream::connect(address).await.expect("a connection")
}

/// Guards against a box that restarts twice: two requests crashed it in one poll of the runtime, each restarted it, and
/// the second task panicked with "Address already in use".
#[test]
fn a_box_that_two_requests_crash_at_once_restarts_once() {
    std::panic::set_hook(Box::new(|_| _ = PANICS.fetch_add(1, Ordering::Relaxed)));
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    let local = tokio::task::LocalSet::new();
    let (is_back, crashes) = local.block_on(&runtime.expect("a runtime"), async {
        let site = SiteStandIn::new();
        site.add_box("a-1", "app").await.expect("a box");
        let at = site.address_of("a-1").expect("an address");
        let callers = [connect(at).await, connect(at).await];
        // Both connections are accepted, so that the box reads both requests when it is polled next.
        tokio::time::sleep(Duration::from_millis(100)).await;
        for caller in &callers {
            assert!(caller.try_write(&crashing_request()).is_ok());
        }
        tokio::time::sleep(RESTART_TIMEOUT).await;
        (TcpStream::connect(at).await.is_ok(), site.crashes().len())
    });
    let panics = PANICS.load(Ordering::Relaxed);
    // The hook above would swallow the message of a failed assertion.
    let _ = std::panic::take_hook();
    assert_eq!((is_back, panics, crashes), (true, 0, 2));
}
