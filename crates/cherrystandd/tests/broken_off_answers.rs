//! Endpoints whose answers break off, and whether callers can tell.
#![allow(clippy::disallowed_methods, reason = "the machine of a test is not suspended")]

mod support;

use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use cherrystand_testkit::LinkCut;
use proptest::prelude::*;
use proptest::strategy::ValueTree;
use proptest::test_runner::{Config, TestRunner};
use support::caller_requests::run_cases;
use support::flooding_endpoint::{ConnectionEnd, FLOODED, Flood, FloodingEndpoint};
use support::raw_caller::{REQUEST_BODY, request_head};
use support::raw_requests::read_request;
use support::site::{MODEL_PATH, Node, SERVICE_PATH, Site, call};
use support::wire_answer::WholeAnswer;
use support::{call_at, wait_until};
use tokio::io::AsyncWriteExt;
use tokio::net::{TcpListener, TcpStream};

/// The path of a request that may be repeated.
const REPEATABLE_PATH: &str = "/looks/1";

const DEADLINE_MS: u64 = 2_000;

/// How long after a request began to run a daemon is killed, so that what came is on its way.
const KILL_DELAY: Duration = Duration::from_millis(100);

/// How many answers are tried without `PROPTEST_CASES`.
const DEFAULT_CASES: u32 = 160;

/// The body of each answer: a stream of two events.
const EVENTS: &str = "id: 0\ndata: a\n\nid: 1\ndata: b\n\n";

/// The same in chunks that end inside of events.
const CHUNKS: &str = "8\r\nid: 0\nda\r\n16\r\nta: a\n\nid: 1\ndata: b\n\n\r\n0\r\n\r\n";

/// The daemon that reaches no endpoint itself, and one that reaches all.
const CUT_OFF: usize = 0;
const DIRECT: usize = 1;

/// How the end of an answer's body is told.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Framing {
    Length,
    Chunks,
    Connection,
}

/// An answer of an endpoint and how it breaks off, and the request that it comes to.
#[derive(Clone, Debug)]
struct Case {
    version: &'static str,
    status: &'static str,
    framing: Framing,
    /// A byte of the answer that is replaced.
    spoilt: Option<(prop::sample::Index, u8)>,
    /// How much of it is sent; all if `None`.
    cut: Option<prop::sample::Index>,
    end: ConnectionEnd,
    path: &'static str,
    daemon: usize,
    caller_version: &'static str,
}

impl Case {
    /// A whole answer to a request that is carried.
    const SOUND: Self = Self {
        version: "HTTP/1.1",
        status: "200 OK",
        framing: Framing::Length,
        spoilt: None,
        cut: None,
        end: ConnectionEnd::Close,
        path: SERVICE_PATH,
        daemon: CUT_OFF,
        caller_version: "HTTP/1.1",
    };

    fn any() -> impl Strategy<Value = Self> {
        let index = any::<prop::sample::Index>;
        (
            prop::sample::select(&["HTTP/1.1", "HTTP/1.0"][..]),
            prop::sample::select(&["200 OK", "200 OK", "200 OK", "000 Zero"][..]),
            prop::sample::select(&[Framing::Length, Framing::Chunks, Framing::Connection][..]),
            prop::option::weighted(0.3, (index(), 0..128_u8)),
            prop::option::weighted(0.8, index()),
            prop::sample::select(&[ConnectionEnd::Close, ConnectionEnd::Reset][..]),
            prop::sample::select(&[SERVICE_PATH, REPEATABLE_PATH, MODEL_PATH][..]),
            prop::sample::select(&[CUT_OFF, DIRECT][..]),
            prop::sample::select(&["HTTP/1.1", "HTTP/1.1", "HTTP/1.0"][..]),
        )
            .prop_map(|drawn| {
                let (version, status, framing, spoilt, cut, end, path, daemon, caller_version) =
                    drawn;
                Self { version, status, framing, spoilt, cut, end, path, daemon, caller_version }
            })
    }

    /// Returns the bytes that the endpoint sends to a request.
    fn answer(&self, id: &str) -> String {
        let (field, body) = match self.framing {
            Framing::Length => (format!("Content-Length: {}\r\n", EVENTS.len()), EVENTS),
            Framing::Chunks => ("Transfer-Encoding: chunked\r\n".to_owned(), CHUNKS),
            Framing::Connection => (String::new(), EVENTS),
        };
        let answer = format!(
            "{} {}\r\nCherrystand-Request-Id: {id}\r\nCherrystand-Response-Seal: s\r\n\
             Content-Type: text/event-stream\r\n{field}\r\n{body}",
            self.version, self.status
        );
        let mut answer = answer.into_bytes();
        if let Some((at, byte)) = &self.spoilt {
            let at = at.index(answer.len());
            answer[at] = *byte;
        }
        if let Some(cut) = &self.cut {
            answer.truncate(cut.index(answer.len()));
        }
        String::from_utf8(answer).expect("ASCII")
    }

    /// Sends the request and compares what its caller was shown with what the endpoint sent.
    async fn play(&self, site: &Site, endpoints: &[FloodingEndpoint], number: u32) -> Played {
        let id = format!("{FLOODED}{number}");
        let sent = self.answer(&id);
        let flood = Flood::once_until(sent.clone().leak(), self.end);
        endpoints.iter().for_each(|endpoint| endpoint.flood.set(flood));
        let begun = || endpoints.iter().map(|endpoint| endpoint.begun.get()).sum::<u32>();
        let before = begun();
        let got = call_as(self.caller_version, &site.nodes[self.daemon], self.path, &id).await;
        let own = WholeAnswer::read(sent.as_bytes(), self.end);
        // An event whose id is spoilt may follow none.
        let is_same = |got: &WholeAnswer, own: &WholeAnswer| {
            got.body == own.body || (self.path == MODEL_PATH && self.spoilt.is_some())
        };
        let success = got.filter(WholeAnswer::is_success);
        let is_wrong =
            success.as_ref().is_some_and(|got| !own.as_ref().is_some_and(|own| is_same(got, own)));
        Played { is_served: success.is_some(), has_run: begun() > before, is_wrong }
    }
}

/// What became of a case.
struct Played {
    is_served: bool,
    has_run: bool,
    /// Whether the caller took for whole what wasn't.
    is_wrong: bool,
}

/// Sends a request and returns the answer, if nothing shows that it isn't whole.
async fn call_as(version: &str, node: &Node, path: &str, id: &str) -> Option<WholeAnswer> {
    let mut stream = TcpStream::connect(node.callers).await.expect("a connection");
    let request = request_head(path, id, DEADLINE_MS).replace(" HTTP/1.1", &format!(" {version}"));
    stream.write_all((request + REQUEST_BODY).as_bytes()).await.expect("a request");
    WholeAnswer::receive(&mut stream).await
}

/// Starts a site with a daemon that has all its requests carried, and stands before all endpoints.
async fn site_with_one_cut_off(daemons: usize) -> (Site, Vec<FloodingEndpoint>) {
    let site = Site::serving_behind_links(daemons).await;
    let mut endpoints = Vec::new();
    let leaders = site.stand_in.leaders().into_keys();
    for id in ["a-1", "a-2"].map(str::to_owned).into_iter().chain(leaders) {
        let address = site.stand_in.address_of(&id).expect("an address");
        let endpoint = FloodingEndpoint::open(address, Flood::once("")).await;
        // The others reach it without a link, which would pass no reset on.
        site.endpoint_links[CUT_OFF].add(endpoint.address).await.expect("a link");
        site.stand_in.set_address(&id, endpoint.address);
        endpoints.push(endpoint);
    }
    tokio::time::sleep(Duration::from_millis(300)).await;
    site.endpoint_links[CUT_OFF].cut(LinkCut::RefuseNew).await.expect("a cut");
    wait_until("requests are carried", async || {
        let served = call(&site.nodes[CUT_OFF], "POST", REPEATABLE_PATH, "sound", "k1").await;
        served.status == 200 && carried_out(&site).await > 0
    })
    .await;
    (site, endpoints)
}

/// Returns how many requests of the daemon that is cut off were answered through others.
async fn carried_out(site: &Site) -> u64 {
    let metrics = call_at(site.nodes[CUT_OFF].operators, "GET", "/metrics", &[], "").await.text();
    let mut lines = metrics.lines();
    let line = lines.find(|line| {
        line.contains("carried_requests") && line.contains("\"out\"") && line.contains("answered")
    });
    line.and_then(|line| line.rsplit(' ').next()?.parse().ok()).unwrap_or(0)
}

/// Guards against an answer that breaks off and looks whole, on each way from an endpoint to a caller.
#[test]
fn an_answer_looks_whole_only_if_it_was_complete_by_its_own_framing() {
    support::run(async {
        let (site, endpoints) = site_with_one_cut_off(3).await;
        let mut runner = TestRunner::new(Config::default());
        let cases = std::env::var("PROPTEST_CASES").ok().and_then(|cases| cases.parse().ok());
        let (mut served, mut run, mut failures) = ([0; 2], [0; 2], Vec::new());
        let carried_before = carried_out(&site).await;
        for number in 0..cases.unwrap_or(DEFAULT_CASES) {
            let case = Case::any().new_tree(&mut runner).expect("a case").current();
            let played = case.play(&site, &endpoints, number).await;
            served[case.daemon] += u32::from(played.is_served);
            run[case.daemon] += u32::from(played.has_run);
            if played.is_wrong {
                failures.push(format!("{case:?}: {:?}", case.answer("")));
            }
        }
        assert!(failures.is_empty(), "{}: {}", failures.len(), failures.join("\n"));
        let carried = carried_out(&site).await - carried_before;
        let told = format!("served {served:?}, run {run:?}, carried {carried}");
        println!("{told}");
        assert!(served.iter().all(|served| *served > 0) && carried > 0, "{told}");
    });
}

/// Guards against the part of an answer that a daemon sent before it was killed, taken for the whole.
#[test]
fn an_answer_whose_daemon_is_killed_while_it_writes_looks_whole_to_no_caller() {
    /// A part of an answer that has arrived at a daemon as it is killed.
    #[derive(Clone, Copy)]
    struct Part {
        version: &'static str,
        framing: Framing,
        path: &'static str,
        body_bytes: usize,
        /// The carrier, or the daemon that has the request carried.
        killed: usize,
        caller_version: &'static str,
    }
    let part = |path, version, framing, body_bytes| {
        let (killed, caller_version) = (DIRECT, "HTTP/1.1");
        Part { version, framing, path, body_bytes, killed, caller_version }
    };
    let stream = part(MODEL_PATH, "HTTP/1.1", Framing::Chunks, 21);
    let parts = [
        part(SERVICE_PATH, "HTTP/1.1", Framing::Length, 16),
        part(SERVICE_PATH, "HTTP/1.1", Framing::Connection, 0),
        part(SERVICE_PATH, "HTTP/1.0", Framing::Connection, 0),
        part(SERVICE_PATH, "HTTP/1.0", Framing::Connection, 16),
        stream,
        part(MODEL_PATH, "HTTP/1.0", Framing::Connection, 15),
        Part { killed: CUT_OFF, ..stream },
        Part { killed: CUT_OFF, caller_version: "HTTP/1.0", ..stream },
    ];
    support::run(async {
        let played = parts.iter().map(|part| async {
            let Part { version, framing, path, body_bytes, killed, caller_version } = *part;
            let (site, endpoints) = site_with_one_cut_off(2).await;
            let case = Case { version, framing, path, ..Case::SOUND };
            let sent = case.answer(&format!("{FLOODED}0"));
            let head = sent.find("\r\n\r\n").expect("a head") + 4;
            let kept =
                Flood::once_until(sent[..head + body_bytes].to_owned().leak(), ConnectionEnd::Kept);
            endpoints.iter().for_each(|endpoint| endpoint.flood.set(kept));
            let id = format!("{FLOODED}0");
            let calling = call_as(caller_version, &site.nodes[CUT_OFF], path, &id);
            let killing = async {
                wait_until("the request runs", async || {
                    endpoints.iter().any(|endpoint| endpoint.begun.get() > 0)
                })
                .await;
                tokio::time::sleep(KILL_DELAY).await;
                site.nodes[killed].process.signal("KILL");
            };
            let (got, ()) = tokio::join!(calling, killing);
            let is_success = got.as_ref().is_some_and(WholeAnswer::is_success);
            is_success.then(|| {
                format!(
                    "{version} {framing:?} {path} {body_bytes} {killed} {caller_version}: {got:?}"
                )
            })
        });
        let wrong: Vec<String> = run_cases(played).await.into_iter().flatten().collect();
        assert!(wrong.is_empty(), "{wrong:#?}");
    });
}

/// Guards against a peer of an earlier version that passes on a broken answer with nothing that tells its
/// end.
#[test]
fn an_answer_that_ends_with_the_connection_of_its_carrier_is_no_success() {
    let cases = ["HTTP/1.1", "HTTP/1.0"].map(|version| Case {
        version,
        framing: Framing::Connection,
        ..Case::SOUND
    });
    support::run(async {
        let played = cases.iter().map(|case| async move {
            let (mut site, _endpoints) = site_with_one_cut_off(2).await;
            let peer = site.nodes[DIRECT].changes;
            site.nodes[DIRECT].process.signal("KILL");
            while !site.nodes[DIRECT].process.has_ended() {
                tokio::task::yield_now().await;
            }
            let answering = stand_in_for_peer(peer, Case::SOUND).await;
            let node = &site.nodes[CUT_OFF];
            // Connections to the daemon that has ended are found closed first.
            wait_until("answers of the peer are passed on", async || {
                let framed = call_as("HTTP/1.1", node, case.path, "framed").await;
                framed.as_ref().is_some_and(WholeAnswer::is_success)
            })
            .await;
            answering.replace(case.clone());
            let unframed = call_as("HTTP/1.1", node, case.path, "unframed").await;
            let is_success = unframed.as_ref().is_some_and(WholeAnswer::is_success);
            is_success.then(|| format!("{case:?}: {unframed:?}"))
        });
        let wrong: Vec<String> = run_cases(played).await.into_iter().flatten().collect();
        assert!(wrong.is_empty(), "{wrong:#?}");
    });
}

/// Takes the place of a daemon that has ended, and answers each request that it is to carry.
async fn stand_in_for_peer(address: SocketAddr, answer: Case) -> Rc<RefCell<Case>> {
    let listener = TcpListener::bind(address).await.expect("the address of the peer");
    let answer = Rc::new(RefCell::new(answer));
    let current = answer.clone();
    tokio::task::spawn_local(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            let answer = current.borrow().clone();
            tokio::task::spawn_local(async move {
                let Some(id) = read_request(&mut stream).await else { return };
                let carried = "\r\ncherrystand-carry-end: answered\r\nConnection: close\r\n";
                let answer = answer.answer(&id).replacen("\r\n", carried, 1);
                // The daemon may have closed the connection.
                let _ = stream.write_all(answer.as_bytes()).await;
            });
        }
    });
    answer
}
