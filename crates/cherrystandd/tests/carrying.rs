//! What a daemon carries to endpoints for others, and what it refuses to.
#![allow(clippy::disallowed_methods, reason = "the machine of a test is not suspended")]

mod support;

use std::net::SocketAddr;
use std::time::Duration;

use cherrystand_testkit::BoxMode;
use support::flooding_endpoint::{FLOODED, Flood, FloodingEndpoint};
use support::raw_requests::read_request;
use support::site::{MODEL_PATH, SERVICE_PATH, Site, call};
use support::{call_at, wait_until};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpSocket};

/// An address of this machine that no daemon has.
const STRANGER: &str = "127.0.0.2:0";

/// The address that daemons have.
const PEER: &str = "127.0.0.1:0";

/// How many requests a daemon carries at once.
const MAX_CARRIED: usize = 512;

/// The time between two requests of a flood.
const FLOOD_INTERVAL: Duration = Duration::from_millis(2);

/// Sends bytes from an address and returns what comes back until the connection closes.
async fn send_raw(from: &str, to: SocketAddr, bytes: &[u8]) -> String {
    let socket = TcpSocket::new_v4().expect("a socket");
    socket.bind(from.parse().expect("an address")).expect("a bound socket");
    let mut stream = socket.connect(to).await.expect("a connection");
    stream.write_all(bytes).await.expect("a request");
    let mut answer = Vec::new();
    // A daemon may reset the connection after an answer to bytes that are no request.
    let _ = tokio::time::timeout(Duration::from_secs(3), stream.read_to_end(&mut answer)).await;
    String::from_utf8_lossy(&answer).into_owned()
}

fn carry_request(target: &str, body: &str) -> String {
    format!(
        "POST {SERVICE_PATH} HTTP/1.1\r\nhost: site.example\r\nconnection: close\r\n\
         cherrystand-request-id: carried\r\ncherrystand-deadline-ms: 3000\r\n\
         cherrystand-carry-to: {target}\r\ncherrystand-expect-instance: {target}\r\n\
         content-length: {}\r\n\r\n{body}",
        body.len()
    )
}

#[test]
fn only_daemons_have_requests_carried_and_only_to_listed_endpoints() {
    struct Case {
        name: &'static str,
        from: &'static str,
        request: Vec<u8>,
        status: &'static str,
        end: Option<&'static str>,
    }
    let carried = |target, body| carry_request(target, body).into_bytes();
    let query = |body: &[u8]| {
        let head = format!(
            "POST /reach HTTP/1.1\r\nhost: x\r\nconnection: close\r\ncontent-length: {}\r\n\r\n",
            body.len()
        );
        [head.as_bytes(), body].concat()
    };
    let case = |name, from, request, status, end| Case { name, from, request, status, end };
    let cases = [
        case("a listed endpoint", PEER, carried("a-1", "hello"), "200", Some("answered")),
        case("an unlisted endpoint", PEER, carried("a-9", "hello"), "502", Some("unlisted")),
        case("an address", PEER, carried("127.0.0.1:80", "hello"), "502", Some("unlisted")),
        case("a stranger", STRANGER, carried("a-1", "hello"), "502", Some("unlisted")),
        case("too large a body", PEER, carried("a-1", &"x".repeat(2_001)), "502", Some("full")),
        case("a stranger's query", STRANGER, query(b"\x03a-1"), "403", None),
        case("an empty query", PEER, query(b""), "400", None),
        case("half a query", PEER, query(b"\x30a-1"), "400", None),
        case("too long a query", PEER, query(&[b'x'; 2_000]), "400", None),
        case("no request", PEER, b"\xff\xfe\x00 nothing\r\n\r\n".to_vec(), "400", None),
    ];
    support::run(async {
        let site = Site::serving(2).await;
        let to = site.nodes[0].changes;
        for case in cases {
            let answer = send_raw(case.from, to, &case.request).await.to_lowercase();
            assert!(
                answer.starts_with(&format!("http/1.1 {}", case.status)),
                "{}: {answer}",
                case.name
            );
            let end = case.end.map(|end| format!("cherrystand-carry-end: {end}"));
            assert!(end.is_none_or(|end| answer.contains(&end)), "{}: {answer}", case.name);
        }
        let served = call(&site.nodes[0], "POST", SERVICE_PATH, "own", "k1").await;
        assert_eq!(served.status, 200, "the daemon still serves its own callers");
    });
}

#[test]
fn a_flood_of_carried_requests_is_refused_and_own_callers_are_served() {
    support::run(async {
        let site = Site::serving(2).await;
        for id in ["a-1", "a-2"] {
            site.stand_in.set_mode(id, BoxMode::Pauses);
        }
        let to = site.nodes[0].changes;
        let request = carry_request("a-1", "x");
        // All wait at the same time in the end; this test's thread accepts their connections as well.
        let flood = (0..MAX_CARRIED as u32 + 40).map(|number| {
            let request = request.as_bytes();
            async move {
                tokio::time::sleep(FLOOD_INTERVAL * number).await;
                send_raw(PEER, to, request).await
            }
        });
        let flood = futures_util::future::join_all(flood);
        let serving = async {
            tokio::time::sleep(Duration::from_millis(1_500)).await;
            call(&site.nodes[0], "POST", MODEL_PATH, "own", "k1").await.status
        };
        let (answers, status) = tokio::join!(flood, serving);
        let count = |part: &str| answers.iter().filter(|answer| answer.contains(part)).count();
        let waiting = answers.iter().filter(|answer| answer.is_empty()).count();
        let (full, missed) =
            (count("cherrystand-carry-end: full"), count("cherrystand-carry-end: missed"));
        assert!(waiting <= MAX_CARRIED && full > 0, "{waiting} wait, {full} refused");
        assert_eq!(waiting + full + missed, answers.len());
        assert_eq!(status, 200);
        wait_until("the places are free again", async || {
            let metrics = call_at(site.nodes[0].operators, "GET", "/metrics", &[], "").await.text();
            site.stand_in.set_mode("a-1", BoxMode::Well);
            let served = send_raw(PEER, to, request.as_bytes()).await;
            metrics.contains("end=\"full\"") && served.contains("cherrystand-carry-end: answered")
        })
        .await;
    });
}

/// Guards against a peer that passes on as an answer what its endpoint spoilt.
#[test]
fn a_malformed_answer_is_carried_to_no_peer_and_counts_as_lost() {
    let answer = "HTTP/1.1 200 OK\r\nCherrystand-Request-Id: {id}\r\nCherrystand-Response-Seal: s\r\n\
                  Transfer-Encoding: chunkee\r\n\r\n4\r\nbody\r\n0\r\n\r\n";
    support::run(async {
        let site = Site::serving(2).await;
        let address = site.stand_in.address_of("a-1").expect("an address");
        let flood = Flood::once(answer);
        let endpoint = FloodingEndpoint::open(address, flood).await;
        site.stand_in.set_address("a-1", endpoint.address);
        let spoilt = format!("cherrystand-request-id: {FLOODED}carried");
        let request = carry_request("a-1", "x").replace("cherrystand-request-id: carried", &spoilt);
        wait_until("the endpoint's new address is known", async || {
            let answer = send_raw(PEER, site.nodes[0].changes, request.as_bytes()).await;
            assert!(!answer.contains("\r\n4\r\nbody"), "{answer}");
            let is_met = endpoint.begun.get() > 0;
            assert!(!is_met || answer.contains("cherrystand-carry-end: lost"), "{answer}");
            is_met
        })
        .await;
    });
}

/// Guards against a planned stop that cuts off what a daemon carries for others.
#[test]
fn a_daemon_that_is_stopped_finishes_what_it_carries() {
    const WORK: Duration = Duration::from_secs(2);
    support::run(async {
        let mut site = Site::serving(2).await;
        let listener = TcpListener::bind(("127.0.0.1", 0)).await.expect("an address");
        site.stand_in.set_address("a-1", listener.local_addr().expect("an address"));
        // The daemon learns the address meanwhile.
        tokio::time::sleep(Duration::from_millis(300)).await;
        let working = async {
            let (mut stream, _) = listener.accept().await.expect("a connection");
            let id = read_request(&mut stream).await.expect("a request");
            site.nodes[0].process.signal("TERM");
            tokio::time::sleep(WORK).await;
            let answer = format!(
                "HTTP/1.1 200 OK\r\ncherrystand-request-id: {id}\r\n\
                 cherrystand-response-seal: s\r\ncontent-length: 4\r\n\r\ndone"
            );
            // The daemon may have ended.
            let _ = stream.write_all(answer.as_bytes()).await;
        };
        let request = carry_request("a-1", "work");
        let carried = send_raw(PEER, site.nodes[0].changes, request.as_bytes());
        let (answer, ()) = tokio::join!(carried, working);
        assert!(answer.ends_with("done"), "{answer:?}");
        // It waits for nothing else.
        tokio::time::sleep(Duration::from_secs(1)).await;
        assert!(site.nodes[0].process.has_ended());
    });
}
