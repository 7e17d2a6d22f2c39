//! Requests that come late while a daemon is stopped by plan.
#![allow(clippy::disallowed_methods, reason = "the machine of a test is not suspended")]

mod support;

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use cherrystand_testkit::{EVENTS, site_config};
use futures_util::future::join_all;
use support::caller_requests::prefix_with_case;
use support::raw_caller::{REQUEST_BODY, RawAnswer, request_head};
use support::raw_requests::{read_request, serve_each};
use support::site::{MODEL_PATH, Node, SERVICE_PATH, Site};
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;

/// The timeout of requests, by their route and by their caller, in milliseconds.
const TIMEOUT_MS: u64 = 9_000;
/// The time between the last bytes of two requests.
const INTERVAL: Duration = Duration::from_millis(100);
/// How many requests become whole, one after the other, from the signal on.
const LATE_REQUESTS: u32 = 80;
/// How many requests are served before, for their times.
const EARLY_REQUESTS: u32 = 4;

/// An endpoint of a service that works on each request for a given time.
#[derive(Clone, Default)]
struct WorkingEndpoint {
    work: Rc<Cell<Duration>>,
    runs: Rc<RefCell<Vec<String>>>,
}

impl WorkingEndpoint {
    async fn start(&self) -> SocketAddr {
        let own = self.clone();
        serve_each(move |stream| own.clone().serve(stream)).await
    }

    async fn serve(self, mut stream: TcpStream) {
        while let Some(id) = read_request(&mut stream).await {
            self.runs.borrow_mut().push(id.clone());
            tokio::time::sleep(self.work.get()).await;
            let answer = format!(
                "HTTP/1.1 200 OK\r\ncherrystand-request-id: {id}\r\n\
                 cherrystand-response-seal: s\r\ncontent-length: 4\r\n\r\ndone"
            );
            if stream.write_all(answer.as_bytes()).await.is_err() {
                return;
            }
        }
    }
}

/// A request of which the daemon has the head.
struct BegunRequest {
    id: String,
    stream: TcpStream,
}

impl BegunRequest {
    async fn begin(node: &Node, path: &str, id: String) -> Self {
        let mut stream = TcpStream::connect(node.callers).await.expect("a connection");
        let head = request_head(path, &id, TIMEOUT_MS);
        stream.write_all(head.as_bytes()).await.expect("a connection that is read");
        Self { id, stream }
    }

    /// Sends the rest of it after some time, and reads its answer.
    async fn finish(mut self, after: Duration) -> (String, RawAnswer) {
        tokio::time::sleep(after).await;
        // The daemon may have ended.
        let _ = self.stream.write_all(REQUEST_BODY.as_bytes()).await;
        (self.id, RawAnswer::read(&mut self.stream).await)
    }
}

struct Case {
    name: &'static str,
    path: &'static str,
    /// How long each request to the service takes until the daemon is stopped.
    work: Duration,
    /// How long each takes from then on.
    late_work: Duration,
    /// What is whole by then has the time to be served.
    served_until: Duration,
}

/// Stops a daemon while requests become whole, and returns what was wrong.
async fn play(case: &Case) -> Vec<String> {
    let site = Site::serving(1).await;
    let node = &site.nodes[0];
    site.stand_in.configure(&site_config(2, "/calls/", &["k1"], TIMEOUT_MS));
    let endpoint = WorkingEndpoint::default();
    endpoint.work.set(case.work);
    for id in ["a-1", "a-2"] {
        site.stand_in.set_address(id, endpoint.start().await);
    }
    // The daemon learns the configuration and the addresses meanwhile.
    tokio::time::sleep(Duration::from_millis(500)).await;
    let early = join_all((0..EARLY_REQUESTS).map(|number| async move {
        let begun = BegunRequest::begin(node, case.path, format!("early-{number}")).await;
        begun.finish(Duration::ZERO).await
    }));
    early.await;
    let mut late = Vec::new();
    for number in 0..LATE_REQUESTS {
        late.push(BegunRequest::begin(node, case.path, format!("late-{number}")).await);
    }
    // The daemon reads the heads meanwhile.
    tokio::time::sleep(Duration::from_millis(200)).await;
    endpoint.work.set(case.late_work);
    node.process.signal("TERM");
    let began = Instant::now();
    let answers = join_all((0..).zip(late).map(|(number, begun)| begun.finish(INTERVAL * number)));
    let answers = answers.await;
    let is_slow = case.late_work > case.work;
    let mut failures = Vec::new();
    for (number, (id, answer)) in (0..).zip(&answers) {
        let ran = endpoint.runs.borrow().contains(id) || !site.stand_in.runs_of(id).is_empty();
        let is_served = answer.status == "200" && answer.looks_whole && is_whole(answer, case, id);
        let is_refused = answer.status == "503" && answer.has_field("retry-after: ");
        let is_told_to_leave = answer.has_field("connection: close");
        let is_due = match (ran, number * INTERVAL <= case.served_until) {
            // Nobody could know that it would take longer, and it may have run.
            (true, _) if is_slow => answer.status == "502" && answer.looks_whole,
            (true, _) | (false, true) => is_served,
            // The daemon has ended before the last ones are whole.
            (false, false) => is_refused && is_told_to_leave || answer.text.is_empty(),
        };
        if !is_due {
            failures.push(format!("{id}, ran: {ran}, got {:?}", answer.text));
        }
    }
    let served = answers.iter().filter(|(_, answer)| answer.status == "200").count();
    let refused = answers.iter().filter(|(_, answer)| answer.status == "503").count();
    if refused == 0 && !is_slow {
        failures.push(format!("{served} served, none refused, after {:?}", began.elapsed()));
    }
    prefix_with_case(case.name, failures)
}

fn is_whole(answer: &RawAnswer, case: &Case, id: &str) -> bool {
    match case.path {
        MODEL_PATH => answer.text.contains(&format!("data: {id} {}\n", EVENTS - 1)),
        _ => answer.text.ends_with("done"),
    }
}

/// Guards against requests that are sent on late in the grace period and cut off at its end.
#[test]
fn a_request_that_is_whole_late_in_a_planned_stop_is_served_or_refused_and_never_cut() {
    let case = |name, path, work_ms, served_until_ms| Case {
        name,
        path,
        work: Duration::from_millis(work_ms),
        late_work: Duration::from_millis(work_ms),
        served_until: Duration::from_millis(served_until_ms),
    };
    let cases = [
        case("short work", SERVICE_PATH, 600, 6_500),
        case("long work", SERVICE_PATH, 2_500, 4_400),
        case("longer work", SERVICE_PATH, 4_500, 2_200),
        case("streams", MODEL_PATH, 0, 6_000),
        Case {
            late_work: Duration::from_secs(20),
            ..case("work that becomes slow", SERVICE_PATH, 100, 0)
        },
    ];
    support::run(async move {
        let failures = join_all(cases.iter().map(play)).await.concat();
        assert!(failures.is_empty(), "{}", failures.join("\n"));
    });
}
