//! Endpoints whose answers have no end.
#![allow(clippy::disallowed_methods, reason = "the machine of a test is not suspended")]

mod support;

use std::time::{Duration, Instant};

use futures_util::future::join_all;
use support::caller_requests::{
    describe_failures, prefix_with_case, run_cases, send_request, send_to_all,
};
use support::flooding_endpoint::{FLOODED, Flood, FloodingEndpoint, WRITE_BYTES};
use support::site::{MODEL_PATH, SERVICE_PATH, Site};

/// How many flooded requests are open at the same time.
const FLOODED_REQUESTS: u32 = 6;
/// Far less than their deadline.
const MAX_FLOODED_TIME: Duration = Duration::from_millis(2_500);
/// A whole stream takes 0.8 s.
const MAX_OTHER_TIME: Duration = Duration::from_millis(2_000);
const OTHERS_INTERVAL: Duration = Duration::from_millis(100);
const OTHERS_TIME: Duration = Duration::from_millis(2_000);
/// The memory of the smallest machine.
const MAX_MEMORY_KB: u64 = 112 << 10;

struct Case {
    name: &'static str,
    path: &'static str,
    flood: Flood,
    /// What the caller of a flooded request gets; an answer that is cut counts as 502.
    status: u16,
}

/// The head of an answer without its last line.
macro_rules! head {
    ($more:literal) => {
        concat!(
            "HTTP/1.1 200 OK\r\nCherrystand-Request-Id: {id}\r\nCherrystand-Response-Seal: s\r\n",
            $more,
            "\r\n"
        )
    };
}

const fn case(name: &'static str, start: &'static str, repeated: &'static str) -> Case {
    Case { name, path: SERVICE_PATH, flood: Flood::endless(start, repeated), status: 502 }
}

const fn stream(name: &'static str, start: &'static str, repeated: &'static str) -> Case {
    Case { name, path: MODEL_PATH, flood: Flood::endless(start, repeated), status: 502 }
}

const HEADS: [Case; 9] = [
    case("no HTTP", "", "garbage "),
    case("blank lines", "", "\r\n"),
    case("a status line", "HTTP/1.1 200 ", "OK"),
    case("a header line", "HTTP/1.1 200 OK\r\nx: ", "aaaaaaaa"),
    case("header lines", "HTTP/1.1 200 OK\r\n", "x-a: b\r\n"),
    case("informational heads", "", "HTTP/1.1 103 Early Hints\r\n\r\n"),
    stream("a stream's header line", "HTTP/1.1 200 OK\r\nx: ", "aaaaaaaa"),
    stream("a stream's header lines", "HTTP/1.1 200 OK\r\n", "x-a: b\r\n"),
    stream("a stream's informational heads", "", "HTTP/1.1 103 Early Hints\r\n\r\n"),
];

const BODIES: [Case; 9] = [
    case("digits of a chunk size", head!("Transfer-Encoding: chunked\r\n"), "0000"),
    case("blanks after a chunk size", concat!(head!("Transfer-Encoding: chunked\r\n"), "5"), "  "),
    case("a chunk extension", concat!(head!("Transfer-Encoding: chunked\r\n"), "5;"), "aa"),
    case("trailers", concat!(head!("Transfer-Encoding: chunked\r\n"), "0\r\n"), "x-a: b\r\n"),
    case("a body without a length", head!(""), "abcdefgh"),
    case("a chunked body", head!("Transfer-Encoding: chunked\r\n"), "8\r\nabcdefgh\r\n"),
    case("a length beyond memory", head!("Content-Length: 1000000000000\r\n"), "abcdefgh"),
    case("surplus after an answer", concat!(head!("Content-Length: 2\r\n"), "okmore"), "abcdefgh"),
    Case {
        status: 200,
        ..case(
            "surplus answers after an answer",
            concat!(head!("Content-Length: 2\r\n"), "okHTTP/1.1 200 OK\r\n"),
            "abcdefgh",
        )
    },
];

const STREAMS: [Case; 9] = [
    stream("digits of a stream's chunk size", head!("Transfer-Encoding: chunked\r\n"), "0000"),
    stream("a first event", head!(""), "data: abc "),
    stream("comments", head!(""), ": abc\n\n"),
    stream("blank lines for events", head!(""), "\n"),
    stream("unknown fields", head!(""), "abc: def\n\n"),
    stream("a second event", concat!(head!(""), "id: 1\ndata: a\n\n"), "data: abc "),
    stream("comments after an event", concat!(head!(""), "id: 1\ndata: a\n\n"), ": abc\n\n"),
    stream("the same event again", head!(""), "id: 1\ndata: a\n\n"),
    stream(
        "digits of a later chunk size",
        concat!(head!("Transfer-Encoding: chunked\r\n"), "f\r\nid: 1\ndata: a\n\n\r\n"),
        "0000",
    ),
];

#[test]
fn bytes_without_end_in_a_head_or_a_body_end_the_attempt_at_once() {
    check(HEADS.iter().chain(&BODIES));
}

#[test]
fn bytes_that_never_bring_an_event_end_the_attempt_at_once() {
    check(STREAMS.iter());
}

fn check(cases: impl Iterator<Item = &'static Case>) {
    support::run(async {
        let failures = run_cases(cases.map(play)).await.concat();
        assert!(failures.is_empty(), "{}", failures.join("\n"));
    });
}

/// Has all endpoints flood requests from now on.
async fn flood_all(site: &Site, flood: Flood) -> Vec<FloodingEndpoint> {
    let mut floods = Vec::new();
    let leaders = site.stand_in.leaders().into_keys();
    for id in ["a-1", "a-2"].map(str::to_owned).into_iter().chain(leaders) {
        let address = site.stand_in.address_of(&id).expect("an address");
        let flooding = FloodingEndpoint::open(address, flood).await;
        site.stand_in.set_address(&id, flooding.address);
        floods.push(flooding);
    }
    // The daemon learns the addresses meanwhile.
    tokio::time::sleep(Duration::from_millis(300)).await;
    floods
}

#[test]
fn a_sound_answer_that_takes_most_of_the_memory_for_bodies_is_passed_on() {
    /// Of 32 MB.
    const WRITES: u32 = 400;
    support::run(async {
        let site = Site::serving(1).await;
        let flood = Flood { writes: Some(WRITES), ..Flood::endless(head!(""), "abcdefgh") };
        flood_all(&site, flood).await;
        let asked = send_request(&site.nodes[0], SERVICE_PATH, format!("{FLOODED}1")).await;
        assert_eq!(asked.answer.status, 200, "after {:?}", asked.elapsed);
        assert_eq!(asked.answer.body.len(), WRITES as usize * WRITE_BYTES);
    });
}

/// Floods some requests while others are served, and returns what was wrong.
async fn play(case: &Case) -> Vec<String> {
    let mut site = Site::serving(1).await;
    let floods = flood_all(&site, case.flood).await;
    let node = &site.nodes[0];
    let began = Instant::now();
    let flooded = join_all((0..FLOODED_REQUESTS).map(|number| async move {
        send_request(node, case.path, format!("{FLOODED}{number}")).await
    }));
    let others = send_to_all(&site.nodes, case.path, OTHERS_INTERVAL, OTHERS_TIME);
    let (flooded, others) = tokio::join!(flooded, others);
    let mut failures = Vec::new();
    let slowest = flooded.iter().map(|asked| asked.elapsed).max().unwrap_or_default();
    if slowest > MAX_FLOODED_TIME {
        failures.push(format!("a flooded request took {slowest:?}"));
    }
    let wrong = flooded.iter().find(|asked| asked.answer.status != case.status);
    failures.extend(wrong.map(|asked| format!("{} got {}", asked.id, asked.answer.status)));
    failures.extend(describe_failures(&others).map(|failure| format!("others: {failure}")));
    let slowest = others.iter().map(|asked| asked.elapsed).max().unwrap_or_default();
    if slowest > MAX_OTHER_TIME {
        failures.push(format!("another request took {slowest:?}"));
    }
    let sum = |count: fn(&FloodingEndpoint) -> u32| floods.iter().map(count).sum::<u32>();
    let (begun, closed) = (sum(|flood| flood.begun.get()), sum(|flood| flood.closed.get()));
    if begun < FLOODED_REQUESTS || closed < begun {
        failures.push(format!("{closed} of {begun} floods are closed after {:?}", began.elapsed()));
    }
    let peak = node.process.peak_memory_kb();
    if peak > MAX_MEMORY_KB {
        failures.push(format!("{peak} KB of memory"));
    }
    if site.nodes[0].process.has_ended() {
        failures.push("the daemon ended".to_owned());
    }
    prefix_with_case(case.name, failures)
}
