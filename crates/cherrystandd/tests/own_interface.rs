//! Endpoints of the product's own interface that send an answer once more, late, where the answer to the
//! next request is due.
#![allow(clippy::disallowed_methods, reason = "the machine of a test is not suspended")]

mod support;

use std::cell::{Cell, RefCell};
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use hyper::{Method, StatusCode};
use support::flooding_endpoint::ConnectionEnd;
use support::raw_requests::serve_each;
use support::wire_answer::WholeAnswer;
use support::{Cluster, Setup};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

/// How long after the surplus answer the due one leaves.
const DUE_AFTER: Duration = Duration::from_millis(60);

/// The pause before a request is sent again that did not reach the endpoint.
const PAUSE: Duration = Duration::from_millis(20);

/// How many rounds of requests are sent.
const ROUNDS: usize = 2;

/// An endpoint of a service that sends its earlier answer before each answer on a connection but the first.
#[derive(Clone, Default)]
struct RepeatingService {
    /// Whether it carries the id of a call back.
    names_calls: bool,
    /// The requests that arrived.
    seen: Rc<RefCell<BTreeSet<String>>>,
    runs: Rc<RefCell<Vec<String>>>,
    surplus_sent: Rc<RefCell<usize>>,
}

impl RepeatingService {
    async fn start(&self) -> SocketAddr {
        let own = self.clone();
        serve_each(move |stream| own.clone().serve(stream)).await
    }

    async fn serve(self, mut stream: TcpStream) {
        let mut earlier: Option<String> = None;
        while let Some(head) = read_head(&mut stream).await {
            let id = header(&head, "x-request-id").unwrap_or_default();
            self.seen.borrow_mut().insert(id.clone());
            let is_refused = id.starts_with("refused");
            if !is_refused {
                self.runs.borrow_mut().push(id.clone());
            }
            let call = header(&head, "cherrystand-call-id").filter(|_| self.names_calls);
            let call = call.map_or(String::new(), |id| format!("cherrystand-call-id: {id}\r\n"));
            let due = match is_refused {
                true => format!(
                    "HTTP/1.1 503 Service Unavailable\r\n{call}cherrystand-not-run: 1\r\n\
                     content-length: 0\r\n\r\n"
                ),
                false => {
                    let length = id.len();
                    format!("HTTP/1.1 200 OK\r\n{call}content-length: {length}\r\n\r\n{id}")
                }
            };
            if let Some(surplus) = earlier.replace(due.clone()) {
                *self.surplus_sent.borrow_mut() += 1;
                let _ = stream.write_all(surplus.as_bytes()).await;
                tokio::time::sleep(DUE_AFTER).await;
            }
            if stream.write_all(due.as_bytes()).await.is_err() {
                return;
            }
        }
    }
}

/// Reads the head of a request that has no body.
async fn read_head(stream: &mut TcpStream) -> Option<String> {
    let mut read = Vec::new();
    while !read.ends_with(b"\r\n\r\n") {
        let mut buf = [0; 2_048];
        let count = stream.read(&mut buf).await.ok().filter(|count| *count > 0)?;
        read.extend_from_slice(&buf[..count]);
    }
    Some(String::from_utf8_lossy(&read).into_owned())
}

fn header(head: &str, name: &str) -> Option<String> {
    let mut fields = head.lines().filter_map(|line| line.split_once(": "));
    let found = fields.find(|(key, _)| key.eq_ignore_ascii_case(name));
    found.map(|(_, value)| value.to_owned())
}

/// Guards against requests that run twice, are refused although they run, or get another's answer.
#[test]
fn nothing_of_a_surplus_answer_of_the_own_interface_is_believed() {
    struct Case {
        name: &'static str,
        names_calls: bool,
    }
    let cases = [
        Case { name: "carries ids back", names_calls: true },
        Case { name: "an earlier version", names_calls: false },
    ];
    support::run(async {
        let cluster = Cluster::start(Setup { daemons: 1, boxes: 0, ..Setup::default() }).await;
        for Case { name, names_calls } in cases {
            let service = RepeatingService { names_calls, ..RepeatingService::default() };
            let config = format!(
                "workspace = \"w\"\n[[service]]\nname = \"s\"\npath_prefix = \"/consent\"\n\
                 class = \"consent\"\nendpoints = [{{ zone = \"a\", address = \"{}\" }}]\n",
                service.start().await
            );
            cluster.apply_config(&config).await;
            let to = cluster.daemons[0].callers;
            cluster
                .wait_until("the endpoint is routed to", async || {
                    let warm = [("x-request-id", "warm")];
                    let answer = cluster.send(to, Method::POST, "/consent", &warm, "").await;
                    answer.is_ok_and(|answer| answer.text() == "warm")
                })
                .await;
            let mut served = 0;
            for number in 0..ROUNDS {
                for kind in ["refused", "first", "second"] {
                    let id = format!("{kind}-{number}");
                    let headers = [("x-request-id", id.as_str())];
                    // The daemon leaves an endpoint alone for a while that failed.
                    let answer = loop {
                        let answer = cluster.send(to, Method::POST, "/consent", &headers, "").await;
                        if service.seen.borrow().contains(&id) {
                            break answer.expect("an answer");
                        }
                        tokio::time::sleep(PAUSE).await;
                    };
                    let runs = service.runs.borrow().iter().filter(|ran| **ran == id).count();
                    assert!(runs <= 1, "{name}: {id} ran {runs} times");
                    let (outcome, _) = answer.outcome_and_reason();
                    let told = format!("{name}: {id} ran {runs} times and got {}", answer.status);
                    assert!(runs == 0 || outcome != "not-run", "{told}, {outcome}");
                    if answer.status == StatusCode::OK {
                        assert_eq!(answer.text(), id, "{told}");
                        assert_eq!(answer.header("cherrystand-call-id"), "", "{told}");
                        served += 1;
                    }
                }
            }
            assert!(served > 0, "{name}: nothing was served");
            let surplus = *service.surplus_sent.borrow();
            assert_eq!(surplus > 0, names_calls, "{name}: {surplus} surplus answers were met");
        }
    });
}

/// How an endpoint of the own interface breaks an answer off.
struct BrokenOff {
    name: &'static str,
    /// The bytes that it sends before `fill`.
    start: String,
    /// How many bytes follow, more than are buffered or fewer.
    fill: usize,
    end: ConnectionEnd,
}

const MORE_THAN_BUFFERED: usize = 3 << 20;

fn broken_off() -> Vec<BrokenOff> {
    let mut cases = Vec::new();
    let mut add = |name, start: &str, fill, end| {
        cases.push(BrokenOff { name, start: start.to_owned(), fill, end });
    };
    for version in ["HTTP/1.1", "HTTP/1.0"] {
        let unframed = format!("{version} 200 OK\r\nserver: a\r\n\r\n");
        let framed = format!("{version} 200 OK\r\ncontent-length: 9000000\r\n\r\n");
        for fill in [10, MORE_THAN_BUFFERED] {
            add("no length, reset", &unframed, fill, ConnectionEnd::Reset);
            add("a length, reset", &framed, fill, ConnectionEnd::Reset);
            add("a length, closed", &framed, fill, ConnectionEnd::Close);
        }
        let zero = format!("{version} 000 Zero\r\ncontent-length: 10\r\n\r\n");
        add("status 000", &zero, 10, ConnectionEnd::Close);
        let head = format!("{version} 200 OK\r\ncontent-length: 10\r\n\r\n");
        for cut in [8, 12, 17, 28, head.len() - 2] {
            add("half a head", &head[..cut], 0, ConnectionEnd::Close);
        }
    }
    cases
}

impl BrokenOff {
    /// Opens an endpoint that answers every request so, and counts in `met` how many came.
    async fn open(&self, met: Rc<Cell<u32>>) -> SocketAddr {
        let (start, fill, end) = (self.start.clone(), self.fill, self.end);
        serve_each(move |mut stream| {
            let (start, met) = (start.clone(), met.clone());
            async move {
                let Some(_) = read_head(&mut stream).await else { return };
                met.set(met.get() + 1);
                // The daemon may close the connection before.
                let _ = stream.write_all(start.as_bytes()).await;
                let _ = stream.write_all(&vec![b'x'; fill]).await;
                end.end(stream).await;
            }
        })
        .await
    }
}

/// Sends a request and returns the answer, if nothing shows that it isn't whole.
async fn call_raw(to: SocketAddr, path: &str) -> Option<WholeAnswer> {
    let mut stream = TcpStream::connect(to).await.expect("a connection");
    let request = format!("POST {path} HTTP/1.1\r\nhost: test\r\nconnection: close\r\n\r\n");
    stream.write_all(request.as_bytes()).await.expect("a request");
    WholeAnswer::receive(&mut stream).await
}

/// Guards against a broken answer of an endpoint of the own interface that looks whole.
#[test]
fn an_answer_of_the_own_interface_that_breaks_off_looks_whole_to_no_caller() {
    support::run(async {
        let cluster = Cluster::start(Setup { daemons: 1, boxes: 0, ..Setup::default() }).await;
        let (cases, met) = (broken_off(), Rc::new(Cell::new(0)));
        let mut config = "workspace = \"w\"\n".to_owned();
        for (number, case) in cases.iter().enumerate() {
            config += &format!(
                "[[service]]\nname = \"s{number}\"\npath_prefix = \"/consent-{number}/\"\n\
                 class = \"consent\"\nendpoints = [{{ zone = \"a\", address = \"{}\" }}]\n",
                case.open(met.clone()).await
            );
        }
        cluster.apply_config(&config).await;
        let to = cluster.daemons[0].callers;
        let mut failures = Vec::new();
        for (number, BrokenOff { name, start, fill, .. }) in cases.iter().enumerate() {
            let (path, before) = (format!("/consent-{number}/1"), met.get());
            let answer = loop {
                let answer = call_raw(to, &path).await;
                if met.get() > before {
                    break answer;
                }
                // The daemon doesn't route to it yet.
                tokio::time::sleep(PAUSE).await;
            };
            if answer.as_ref().is_some_and(WholeAnswer::is_success) {
                failures.push(format!("{name}: {start:?} and {fill} bytes"));
            }
        }
        assert!(failures.is_empty(), "{}: {}", failures.len(), failures.join("\n"));
    });
}

/// Guards against an event stream that breaks off and is as long as its head tells.
#[test]
fn a_stream_of_events_that_breaks_off_tells_so_whatever_length_its_head_tells() {
    const EVENTS: &str = "data: one\n\ndata: tw";
    support::run(async {
        let cluster = Cluster::start(Setup { daemons: 1, boxes: 0, ..Setup::default() }).await;
        let listener = TcpListener::bind(("127.0.0.1", 0)).await.expect("an address");
        let config = format!(
            "workspace = \"w\"\n[[service]]\nname = \"s\"\npath_prefix = \"/consent\"\n\
             class = \"consent\"\nendpoints = [{{ zone = \"a\", address = \"{}\" }}]\n",
            listener.local_addr().expect("an address")
        );
        tokio::task::spawn_local(async move {
            while let Ok((mut stream, _)) = listener.accept().await {
                let _ = read_head(&mut stream).await;
                let length = EVENTS.len() + 20;
                let answer = format!(
                    "HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\n\
                     content-length: {length}\r\n\r\n{EVENTS}"
                );
                let _ = stream.write_all(answer.as_bytes()).await;
            }
        });
        cluster.apply_config(&config).await;
        let to = cluster.daemons[0].callers;
        cluster
            .wait_until("the stream tells that it broke off", async || {
                let answer = cluster.send(to, Method::POST, "/consent", &[], "").await;
                let text = answer.map(|answer| answer.text()).unwrap_or_default();
                let has_begun = text.starts_with(EVENTS);
                assert!(!has_begun || text.contains("answer-cut"), "{text}");
                text.contains("answer-cut")
            })
            .await;
    });
}
