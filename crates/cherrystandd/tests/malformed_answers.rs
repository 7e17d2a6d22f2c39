//! Endpoints whose answers are no answers, or don't tell where they end.
#![allow(clippy::disallowed_methods, reason = "the machine of a test is not suspended")]

mod support;

use std::time::Duration;

use futures_util::future::join_all;
use support::caller_requests::{describe_failures, is_served, send_request};
use support::flooding_endpoint::{FLOODED, Flood, FloodingEndpoint};
use support::raw_caller::call_raw;
use support::site::{MODEL_PATH, SERVICE_PATH, Site};
use support::wait_until;

/// The path of a request that may be repeated.
const REPEATABLE_PATH: &str = "/looks/1";

/// The whole body that endpoints mean to send: one event of a stream.
const BODY: &str = "id: 0\ndata: a\n\n";

const CHUNKED_BODY: &str = "f\r\nid: 0\ndata: a\n\n\r\n0\r\n\r\n";

/// The fields that stand in each head, before, between and behind which the spoilt ones stand.
const FIELDS: [&str; 2] = ["Cherrystand-Request-Id: {id}\r\n", "Cherrystand-Response-Seal: s\r\n"];

/// An answer that is spoilt.
struct Form {
    name: &'static str,
    status: &'static str,
    /// The lines that spoil it.
    lines: &'static str,
    body: &'static str,
}

const fn form(name: &'static str, lines: &'static str, body: &'static str) -> Form {
    Form { name, status: "200 OK", lines, body }
}

const fn status(name: &'static str, status: &'static str) -> Form {
    Form { name, status, lines: "Content-Length: 15\r\n", body: BODY }
}

impl Form {
    /// Returns the bytes of the answer with the spoilt lines behind so many fields.
    fn answer(&self, position: usize) -> Flood {
        let mut fields = FIELDS.to_vec();
        fields.insert(position, self.lines);
        let answer = format!("HTTP/1.1 {}\r\n{}\r\n{}", self.status, fields.concat(), self.body);
        Flood::once(answer.leak())
    }
}

/// Stands before each endpoint and leader of a site.
async fn stand_before_all(site: &Site, flood: Flood) -> Vec<FloodingEndpoint> {
    let mut endpoints = Vec::new();
    let leaders = site.stand_in.leaders().into_keys();
    for id in ["a-1", "a-2"].map(str::to_owned).into_iter().chain(leaders) {
        endpoints.push(stand_before(site, &id, flood).await);
    }
    // The daemon learns the addresses meanwhile.
    tokio::time::sleep(Duration::from_millis(300)).await;
    endpoints
}

async fn stand_before(site: &Site, id: &str, flood: Flood) -> FloodingEndpoint {
    let address = site.stand_in.address_of(id).expect("an address");
    let endpoint = FloodingEndpoint::open(address, flood).await;
    site.stand_in.set_address(id, endpoint.address);
    endpoint
}

/// Has all endpoints answer in each form on each kind of route, and checks that no caller takes what
/// comes for a success and that sound requests are served meanwhile.
fn check<const COUNT: usize>(forms: [Form; COUNT]) {
    support::run(async move {
        let mut site = Site::serving(1).await;
        let endpoints = stand_before_all(&site, forms[0].answer(0)).await;
        let mut failures = Vec::new();
        let mut number = 0;
        for form in &forms {
            for position in 0..=FIELDS.len() {
                endpoints.iter().for_each(|endpoint| endpoint.flood.set(form.answer(position)));
                for path in [SERVICE_PATH, REPEATABLE_PATH, MODEL_PATH] {
                    number += 1;
                    let begun = || endpoints.iter().map(|endpoint| endpoint.begun.get()).sum();
                    let before: u32 = begun();
                    let id = format!("{FLOODED}{number}");
                    let spoilt = call_raw(&site.nodes[0], path, &id).await;
                    let runs = begun() - before;
                    let name = format!("{} behind {position} on {path}", form.name);
                    if spoilt.status == "200" && spoilt.looks_whole {
                        failures.push(format!("{name}: {:?}", spoilt.text));
                    }
                    if path == SERVICE_PATH && (spoilt.status != "502" || runs != 1) {
                        failures.push(format!("{name}: {runs} runs, {:?}", spoilt.text));
                    }
                }
                let sound =
                    send_request(&site.nodes[0], REPEATABLE_PATH, format!("sound-{number}"));
                let sound = sound.await;
                if !is_served(&sound) {
                    failures.push(format!("{}: then {}", form.name, sound.answer.status));
                }
            }
        }
        assert!(failures.is_empty(), "{}", failures.join("\n"));
        assert!(!site.nodes[0].process.has_ended());
    });
}

/// Guards against the success of an answer with a body that is not the endpoint's.
#[test]
fn an_answer_whose_head_does_not_tell_its_end_is_no_success() {
    check([
        form("a coding that is none", "Transfer-Encoding: chunkee\r\n", CHUNKED_BODY),
        form("an empty coding", "Transfer-Encoding:\r\n", CHUNKED_BODY),
        form("a coding that is not read", "Transfer-Encoding: chunked, gzip\r\n", CHUNKED_BODY),
        form(
            "a coding that is none beside a length",
            "Transfer-Encoding: chunkee\r\nContent-Length: 15\r\n",
            BODY,
        ),
        form(
            "chunks and a length",
            "Transfer-Encoding: chunked\r\nContent-Length: 3\r\n",
            CHUNKED_BODY,
        ),
        form("two lengths", "Content-Length: 15\r\nContent-Length: 3\r\n", BODY),
        form("a length too short", "Content-Length: 3\r\n", BODY),
        form("a length of nothing", "Content-Length: 0\r\n", BODY),
        form(
            "a length too short at the last answer",
            "Content-Length: 3\r\nConnection: close\r\n",
            BODY,
        ),
        form(
            "bytes behind chunks",
            "Transfer-Encoding: chunked\r\n",
            concat!("f\r\nid: 0\ndata: a\n\n\r\n0\r\n\r\n", "more"),
        ),
        form("a length beyond the body", "Content-Length: 16\r\n", BODY),
    ]);
}

/// Guards against statuses and lines that callers can't read.
#[test]
fn an_answer_that_is_none_in_the_protocol_is_not_passed_on() {
    check([
        status("status 000", "000 Zero"),
        status("status 600", "600 High"),
        status("status 999", "999 High"),
        status("an upgrade", "101 Switching Protocols"),
        form("a line without a colon", "nothing\r\nContent-Length: 15\r\n", BODY),
        form("a blank in a name", "A b: c\r\nContent-Length: 15\r\n", BODY),
        form("a line feed alone in a value", "A: b\nc: d\r\nContent-Length: 15\r\n", BODY),
        form("a line feed alone behind a line", "A: b\r\n\nContent-Length: 3\r\n", BODY),
        form("a control byte in a name", "A\x01b: c\r\nContent-Length: 15\r\n", BODY),
    ]);
}

/// Guards against a success without the seal or the id, as a field that names those of the connection is
/// spoilt.
#[test]
fn an_answer_whose_connection_takes_its_seal_or_its_id_is_no_success() {
    check([
        form("the seal", "Connection: Cherrystand-Response-Seal\r\nContent-Length: 15\r\n", BODY),
        form("the id", "Connection: close, Cherrystand-Request-Id\r\nContent-Length: 15\r\n", BODY),
    ]);
}

/// Guards against traffic that stays at an endpoint whose answers can't be used, or never comes back.
#[test]
fn an_endpoint_whose_answers_are_malformed_loses_its_traffic_until_they_are_sound() {
    const ROUNDS: usize = 20;
    /// How many requests of each kind are sent at the same time, so that both endpoints are wanted.
    const AT_ONCE: usize = 4;
    support::run(async {
        let site = Site::serving(1).await;
        let node = &site.nodes[0];
        let spoilt = form("", "Transfer-Encoding: chunkee\r\n", CHUNKED_BODY).answer(0);
        let endpoint = stand_before(&site, "a-1", spoilt).await;
        tokio::time::sleep(Duration::from_millis(300)).await;
        let send_some = async |path, name: String| {
            let some = (0..AT_ONCE)
                .map(|number| send_request(node, path, format!("{FLOODED}{name}-{number}")));
            join_all(some).await
        };
        let mut failed = 0;
        for round in 0..ROUNDS {
            let (once, repeated) = tokio::join!(
                send_some(SERVICE_PATH, format!("once-{round}")),
                send_some(REPEATABLE_PATH, format!("repeated-{round}")),
            );
            assert_eq!(describe_failures(&repeated), None);
            failed += once.iter().filter(|request| !is_served(request)).count();
        }
        // Without a reason against it, half of them meet it.
        let most = ROUNDS * AT_ONCE / 10;
        assert!(failed <= most, "{failed} of {} failed", ROUNDS * AT_ONCE);
        let met = endpoint.begun.get() as usize;
        assert!(met <= 2 * most, "{met} of {} met it", 2 * ROUNDS * AT_ONCE);
        let sound = form("", "Transfer-Encoding: chunked\r\n", "4\r\nback\r\n0\r\n\r\n").answer(0);
        endpoint.flood.set(sound);
        wait_until("the endpoint is used again", async || {
            let answers = send_some(SERVICE_PATH, "back".to_owned()).await;
            answers.iter().any(|request| request.answer.text() == "back")
        })
        .await;
    });
}
