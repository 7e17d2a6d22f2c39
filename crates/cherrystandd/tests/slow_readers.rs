//! Callers that read slowly, or not at all.
#![allow(clippy::disallowed_methods, reason = "the machine of a test is not suspended")]

mod support;

use std::time::Duration;

use cherrystand_testkit::BoxWishes;
use futures_util::future::join_all;
use support::asking::{ask, ask_all, is_served, not_served};
use support::site::{CALL, Node, STREAM, Site};
use support::{call_at, until};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpSocket, TcpStream};

/// How much a slow caller's machine holds for it, in bytes.
const RECEIVE_BUFFER_BYTES: u32 = 4 << 10;

/// Sends a request for a stream over a connection of its own, of which nothing is read yet.
async fn send_without_reading(node: &Node, id: &str) -> TcpStream {
    let socket = TcpSocket::new_v4().expect("a socket");
    socket.set_recv_buffer_size(RECEIVE_BUFFER_BYTES).expect("a small window");
    let mut caller = socket.connect(node.callers).await.expect("a connection");
    let head = format!(
        "POST {STREAM} HTTP/1.1\r\nHost: site.example\r\nCherrystand-Request-Id: {id}\r\n\
         Cherrystand-Deadline-Ms: 5000\r\nCherrystand-Model: m\r\n\
         Cherrystand-Token-Usage: 100,80\r\nAuthorization: Bearer k1\r\n\
         Content-Length: 4\r\nConnection: close\r\n\r\nbody"
    );
    caller.write_all(head.as_bytes()).await.expect("written");
    caller
}

async fn metrics(node: &Node) -> String {
    call_at(node.operators, "GET", "/metrics", &[], "").await.text()
}

/// A replica that breaks off an answer which its caller left unread has done nothing wrong: it is blamed for nothing,
/// nobody else does the same work again, and others are served by it as before.
#[test]
fn an_answer_cut_because_of_a_slow_caller_is_no_failure_of_the_replica() {
    /// Streams of 32 MB, more than connections buffer.
    const EVENT_BYTES: usize = 800 << 10;
    const CALLERS: usize = 2;
    /// What connections buffer is made within a second or so, and nothing is read for long after that.
    const CUT_AFTER: Duration = Duration::from_millis(1_200);
    const PAUSE: Duration = Duration::from_millis(3_500);
    support::run(async {
        let site = Site::serving_with_starts(1).await;
        let node = &site.nodes[0];
        for leader in site.site.leaders().into_keys() {
            site.site.set_wishes(&leader, BoxWishes::large_events(EVENT_BYTES, Some(CUT_AFTER)));
        }
        let mut callers: Vec<TcpStream> = Vec::new();
        for number in 0..CALLERS {
            callers.push(send_without_reading(node, &format!("slow-{number}")).await);
        }
        // They read nothing for a while, then what there is.
        tokio::time::sleep(PAUSE).await;
        let read = join_all(callers.iter_mut().map(|caller| async {
            let (mut all, mut buf) = (0, vec![0; 64 << 10]);
            while let Ok(read @ 1..) = caller.read(&mut buf).await {
                all += read;
            }
            all
        }));
        let read = read.await;
        assert_eq!(site.site.cuts_unread().len(), CALLERS, "{read:?}");
        for number in 0..CALLERS {
            let runs = site.site.runs_of(&format!("slow-{number}"));
            assert_eq!(runs.len(), 1, "{runs:?}");
        }
        let told = metrics(node).await;
        for line in [
            "cherrystand_stream_ends_total{end=\"caller-slow\"} 2",
            "cherrystand_stream_ends_total{end=\"broken-off\"} 0",
            "cherrystand_answers_ended_with_box_total 0",
        ] {
            assert!(told.contains(line), "{line} is not in {told}");
        }
        // Both replicas are chosen as before.
        for leader in site.site.leaders().into_keys() {
            site.site.set_wishes(&leader, BoxWishes::default());
        }
        let asked = ask_all(&site.nodes, STREAM, Duration::from_millis(50), Duration::from_secs(1));
        let asked = asked.await;
        assert_eq!(not_served(&asked), None);
    });
}

/// Half of the callers read nothing for seconds, of streams far larger than what may be held for them: the daemon's
/// memory stays under that of the smallest machine, and the other half is served.
#[test]
fn callers_that_do_not_read_use_little_memory() {
    const SLOW_CALLERS: usize = 80;
    const EVENT_BYTES: usize = 64 << 10;
    /// The memory of the smallest machine, in KB.
    const MAX_MEMORY_KB: u64 = 112 << 10;
    support::run(async {
        let site = Site::serving(1).await;
        let node = &site.nodes[0];
        let leaders: Vec<String> = site.site.leaders().into_keys().collect();
        for leader in &leaders {
            site.site.set_wishes(leader, BoxWishes::large_events(EVENT_BYTES, None));
        }
        let slow = (0..SLOW_CALLERS).map(|number| async move {
            send_without_reading(node, &format!("slow-{number}")).await
        });
        let slow = join_all(slow).await;
        let begun = || {
            (0..SLOW_CALLERS)
                .filter(|number| !site.site.runs_of(&format!("slow-{number}")).is_empty())
        };
        until("all slow streams have begun", async || begun().count() == SLOW_CALLERS).await;
        for leader in &leaders {
            site.site.set_wishes(leader, BoxWishes::default());
        }
        let asked = ask_all(&site.nodes, STREAM, Duration::from_millis(40), Duration::from_secs(2));
        let asked = asked.await;
        assert_eq!(not_served(&asked), None);
        let peak = node.process.peak_kb();
        assert!(peak < MAX_MEMORY_KB, "{peak} KB");
        drop(slow);
        until("nothing is held any more", async || {
            metrics(node).await.contains("cherrystand_bytes_held 0")
        })
        .await;
    });
}

/// An endpoint that announces more than a daemon can hold, as one that garbles its heads does, costs its caller that
/// answer and nobody else anything: no memory is taken by its word.
#[test]
fn an_excessive_content_length_allocates_no_memory() {
    struct Case {
        name: &'static str,
        length: u64,
    }
    let cases = [
        Case { name: "a terabyte", length: 1 << 40 },
        Case { name: "all that there are numbers for", length: u64::MAX / 2 },
        Case { name: "more than the room for bodies", length: 1 << 30 },
    ];
    /// A refused answer is told of at once; an endpoint that still sends is waited for otherwise.
    const ANSWER_TIMEOUT: Duration = Duration::from_secs(1);
    support::run(async {
        let mut site = Site::serving(1).await;
        let listener = TcpListener::bind(("127.0.0.1", 0)).await.expect("an address");
        let address = listener.local_addr().expect("an address");
        site.site.unlist("a-2");
        site.site.set_address("a-1", address);
        for case in cases {
            let answering = answer_once(&listener, case.length);
            let asking = async {
                tokio::time::sleep(Duration::from_millis(300)).await;
                ask(&site.nodes[0], CALL, "r-1".to_owned()).await
            };
            let (asked, _held) = tokio::join!(asking, answering);
            assert_eq!(asked.answer.status, 502, "{}", case.name);
            assert!(asked.took < ANSWER_TIMEOUT, "{}: {:?}", case.name, asked.took);
            assert!(!site.nodes[0].process.has_ended(), "{}", case.name);
        }
        let asked = ask(&site.nodes[0], STREAM, "n0-1".to_owned()).await;
        assert!(is_served(&asked), "{}", asked.answer.status);
        assert!(metrics(&site.nodes[0]).await.contains("cherrystand_bytes_held 0"));
    });
}

/// Answers one request with the head of an answer of a length, of which a few bytes come; the connection stays open.
async fn answer_once(listener: &TcpListener, length: u64) -> TcpStream {
    let mut head = vec![0; 4 << 10];
    let mut stream = loop {
        let (mut stream, _) = listener.accept().await.expect("a connection");
        // Daemons also look whether it is there, and close at once.
        if stream.read(&mut head).await.is_ok_and(|read| read > 0) {
            break stream;
        }
    };
    let answer = format!(
        "HTTP/1.1 200 OK\r\nCherrystand-Request-Id: r-1\r\nCherrystand-Response-Seal: s\r\n\
         Content-Length: {length}\r\n\r\nabc"
    );
    stream.write_all(answer.as_bytes()).await.expect("written");
    stream
}
