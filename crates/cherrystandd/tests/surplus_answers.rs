//! Endpoints that send an answer once more, late, where the answer to the next request is due.
#![allow(clippy::disallowed_methods, reason = "the machine of a test is not suspended")]

mod support;

use std::cell::RefCell;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use hyper::StatusCode;
use support::raw_requests::{read_request, serve_each};
use support::site::{SERVICE_PATH, Site, call};
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;

/// How long after the surplus answer the due one leaves.
const DUE_AFTER: Duration = Duration::from_millis(100);

/// How many requests are sent until two have met a surplus answer.
const MAX_REQUESTS: u32 = 400;

/// An endpoint that sends `surplus` before each answer on a connection but the first.
#[derive(Clone, Default)]
struct RepeatingEndpoint {
    surplus: Rc<RefCell<String>>,
    runs: Rc<RefCell<Vec<String>>>,
    /// Whether it refuses the first try of each request.
    refuses_first: bool,
    refused: Rc<RefCell<BTreeSet<String>>>,
}

impl RepeatingEndpoint {
    async fn start(&self) -> SocketAddr {
        let own = self.clone();
        serve_each(move |stream| own.clone().serve(stream)).await
    }

    async fn serve(self, mut stream: TcpStream) {
        let mut earlier: Option<String> = None;
        while let Some(id) = read_request(&mut stream).await {
            let is_refused = self.refuses_first && self.refused.borrow_mut().insert(id.clone());
            if !is_refused {
                self.runs.borrow_mut().push(id.clone());
            }
            if let Some(earlier) = earlier.replace(id.clone()) {
                let surplus = self.surplus.borrow().replace("EARLIER", &earlier);
                let _ = stream.write_all(surplus.as_bytes()).await;
                tokio::time::sleep(DUE_AFTER).await;
            }
            let due = match is_refused {
                true => format!("HTTP/1.1 {}", refusal_of(&id)),
                false => format!(
                    "HTTP/1.1 200 OK\r\ncherrystand-request-id: {id}\r\n\
                     cherrystand-response-seal: s\r\ncontent-length: 4\r\n\r\ndone"
                ),
            };
            if stream.write_all(due.as_bytes()).await.is_err() {
                return;
            }
        }
    }
}

/// Returns the refusal of a request, after the protocol's name.
fn refusal_of(id: &str) -> String {
    format!(
        "503 Service Unavailable\r\ncherrystand-request-id: {id}\r\n\
         cherrystand-not-executed: 1\r\ncontent-length: 0\r\n\r\n"
    )
}

/// Guards against requests that run twice, or are refused although they run, because a surplus answer
/// was taken for theirs.
#[test]
fn nothing_of_a_surplus_answer_is_believed() {
    struct Case {
        name: &'static str,
        surplus: String,
    }
    let named = "cherrystand-request-id: EARLIER\r\n";
    let refusal = "cherrystand-not-executed: 1\r\nretry-after: 600\r\nserver-leaving: 1\r\n";
    let empty = "content-length: 0\r\n";
    let texts = [
        (
            "success",
            format!(
                "200 OK\r\n{named}cherrystand-response-seal: s\r\nserver-leaving: 1\r\ncontent-length: 4\r\n\r\nelse"
            ),
        ),
        ("refusal", format!("503 Service Unavailable\r\n{named}{refusal}{empty}\r\n")),
        (
            "limited",
            format!("429 Too Many Requests\r\n{named}{refusal}server-limit: 0\r\n{empty}\r\n"),
        ),
        ("another box", format!("421 Misdirected Request\r\n{named}{empty}\r\n")),
        ("bad request", format!("400 Bad Request\r\n{refusal}{empty}\r\n")),
        ("refusal without a name", format!("503 Service Unavailable\r\n{refusal}{empty}\r\n")),
        (
            "head without body",
            format!("503 Service Unavailable\r\n{named}{refusal}content-length: 9\r\n\r\n"),
        ),
        (
            "two names",
            format!(
                "503 Service Unavailable\r\n{named}cherrystand-request-id: n\r\n{refusal}{empty}\r\n"
            ),
        ),
        ("an order's answer", format!("202 Accepted\r\n{empty}\r\n")),
        ("an order that does not fit", format!("409 Conflict\r\n{empty}\r\n")),
    ];
    let cases = texts.map(|(name, surplus)| Case { name, surplus });
    support::run(async {
        let site = Site::serving(1).await;
        let node = &site.nodes[0];
        let endpoint = RepeatingEndpoint::default();
        site.stand_in.set_address("a-1", endpoint.start().await);
        // It is chosen although it failed, as the only one.
        site.stand_in.unlist("a-2");
        for Case { name, surplus } in cases {
            *endpoint.surplus.borrow_mut() = format!("HTTP/1.1 {surplus}");
            let mut met = 0;
            let mut numbers = 0..MAX_REQUESTS;
            while met < 2 {
                let number = numbers.next();
                let number = number.unwrap_or_else(|| panic!("{name}: {met} met a surplus answer"));
                let id = format!("{}-{number}", name.replace(' ', "-"));
                let answer = call(node, "POST", SERVICE_PATH, &id, "k1").await;
                let runs = endpoint.runs.borrow().iter().filter(|ran| **ran == id).count();
                let status = answer.status;
                assert!(runs <= 1, "{name}: {id} ran {runs} times");
                assert!(
                    [StatusCode::OK, StatusCode::BAD_GATEWAY].contains(&status),
                    "{name}: {id} got {status} and ran {runs} times"
                );
                assert!(!answer.text().contains("else"), "{name}: {id} got another's answer");
                met += u32::from(status == StatusCode::BAD_GATEWAY);
            }
        }
    });
}

/// Guards against a request that runs twice because the surplus refusal of its first try, which has the
/// same id, was taken for the answer to its second.
#[test]
fn a_further_try_meets_no_surplus_answer_to_an_earlier_one() {
    support::run(async {
        let site = Site::serving(1).await;
        let node = &site.nodes[0];
        let endpoint = RepeatingEndpoint { refuses_first: true, ..RepeatingEndpoint::default() };
        *endpoint.surplus.borrow_mut() = format!("HTTP/1.1 {}", refusal_of("EARLIER"));
        site.stand_in.set_address("a-1", endpoint.start().await);
        site.stand_in.unlist("a-2");
        let mut served = 0;
        for number in 0..60 {
            let id = format!("twice-{number}");
            let answer = call(node, "POST", SERVICE_PATH, &id, "k1").await;
            let runs = endpoint.runs.borrow().iter().filter(|ran| **ran == id).count();
            assert!(runs <= 1, "{id} ran {runs} times");
            let told_not_run = answer.status == StatusCode::SERVICE_UNAVAILABLE;
            assert!(runs == 0 || !told_not_run, "{id} ran and got {}", answer.status);
            served += usize::from(runs == 1 && answer.status == StatusCode::OK);
        }
        assert!(served > 0, "no further try was made");
    });
}
