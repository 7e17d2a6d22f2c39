//! Any interleaving of due, surplus and cut answers over kept connections.
#![allow(clippy::disallowed_methods, reason = "the machine of a test is not suspended")]

use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use cherrystand_platform::{AnswerNames, AnswerPool, CallIds, NoNames, RequestTries};
use cherrystand_site::Site;
use http_body_util::{BodyExt, Full};
use hyper::Request;
use proptest::prelude::*;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

/// The time for a surplus answer to arrive before what follows it.
const SURPLUS_LEAD: Duration = Duration::from_millis(3);

/// How many idle connections are kept.
const MAX_IDLE: usize = 4;

/// The header by which calls in the product's own interfaces are named.
const CALL_ID_NAME: &str = "cherrystand-call-id";

/// How many requests there are, the one without a name included.
const REQUESTS: u8 = 8;

/// What a server does with one request.
#[derive(Clone, Copy, Debug)]
enum Answer {
    Whole,
    /// It sends the head and a part of the body.
    Cut,
    /// It closes the connection.
    None,
}

#[derive(Clone, Copy, Debug)]
struct Step {
    /// The request; a later step with the same one is a further try, and 0 has no name.
    request: u8,
    answer: Answer,
    status: u16,
    /// The answer on the same connection that is sent once more before this one, counted from the last.
    surplus_before: Option<usize>,
    /// Whether this answer is sent once more at once.
    surplus_after: bool,
}

fn step() -> impl Strategy<Value = Step> {
    let answer =
        prop_oneof![6 => Just(Answer::Whole), 1 => Just(Answer::Cut), 1 => Just(Answer::None)];
    let status = prop::sample::select(vec![200, 202, 400, 409, 421, 429, 503]);
    let before = prop::option::weighted(0.4, 0_usize..3);
    let step = (0_u8..REQUESTS, answer, status, before, prop::bool::weighted(0.2));
    step.prop_map(|(request, answer, status, surplus_before, surplus_after)| Step {
        request,
        answer,
        status,
        surplus_before,
        surplus_after,
    })
}

/// A server that plays the steps in the order in which requests arrive, and so knows the truth: the
/// answer to try `n` is the one with the body `n`.
#[derive(Clone, Default)]
struct Server {
    /// The header that it carries back, if it carries one back.
    echoes: Option<&'static str>,
    steps: Rc<Vec<Step>>,
    next: Rc<RefCell<usize>>,
}

impl Server {
    /// Returns the header line that carries the name of a request back.
    fn name_in(&self, request: &str) -> String {
        let mut lines = request.lines();
        let prefix = self.echoes.map(|header| format!("{header}: "));
        let name = prefix.and_then(|prefix| lines.find(|line| line.starts_with(&prefix)));
        name.map_or(String::new(), |line| format!("{line}\r\n"))
    }

    async fn serve(self, mut stream: TcpStream) {
        let mut sent: Vec<String> = Vec::new();
        let mut buf = [0; 2_048];
        while let Some(count) = stream.read(&mut buf).await.ok().filter(|count| *count > 0) {
            let name = self.name_in(&String::from_utf8_lossy(&buf[..count]));
            let number = self.next.replace_with(|next| *next + 1);
            let step = self.steps[number];
            let surplus = step.surplus_before.and_then(|back| sent.iter().rev().nth(back));
            if let Some(surplus) = surplus {
                let _ = stream.write_all(surplus.as_bytes()).await;
                tokio::time::sleep(SURPLUS_LEAD).await;
            }
            let due = answer_text(step, &name, number);
            let bytes = match step.answer {
                Answer::Whole if step.surplus_after => due.repeat(2),
                Answer::Whole => due.clone(),
                Answer::Cut => due[..due.len() - 2].to_owned(),
                Answer::None => return,
            };
            let _ = stream.write_all(bytes.as_bytes()).await;
            if matches!(step.answer, Answer::Cut) {
                return;
            }
            sent.push(due);
        }
    }
}

fn answer_text(step: Step, name: &str, number: usize) -> String {
    format!("HTTP/1.1 {} x\r\n{name}content-length: 4\r\n\r\n{number:04}", step.status)
}

/// Sends one try and returns status and body if a whole answer was taken for its own.
async fn send<N: AnswerNames>(
    pool: &AnswerPool<N>,
    to: SocketAddr,
    step: Step,
    tries: &RequestTries,
) -> Option<(u16, Bytes)> {
    let mut req = Request::builder().uri("/").header("host", "x");
    if step.request > 0 {
        req = req.header("cherrystand-request-id", format!("r{}", step.request));
    }
    let mut req = req.body(Full::default()).expect("a request");
    N::name_call(req.headers_mut());
    let answer = pool.send(MAX_IDLE, to, req, Duration::from_secs(1), tries).await.ok()?;
    let status = answer.head.status().as_u16();
    Some((status, answer.body.collect().await.ok()?.to_bytes()))
}

async fn play<N: AnswerNames>(
    echoes: Option<&'static str>,
    steps: Vec<Step>,
) -> Result<(), TestCaseError> {
    let listener = TcpListener::bind(("127.0.0.1", 0)).await.expect("an address");
    let address = listener.local_addr().expect("an address");
    let server = Server { echoes, steps: Rc::new(steps.clone()), next: Rc::default() };
    let serving = server.clone();
    tokio::task::spawn_local(async move {
        while let Ok((stream, _)) = listener.accept().await {
            tokio::task::spawn_local(serving.clone().serve(stream));
        }
    });
    let pool = AnswerPool::<N>::default();
    let tries: Vec<RequestTries> = (0..REQUESTS).map(|_| RequestTries::default()).collect();
    for (number, step) in steps.into_iter().enumerate() {
        let taken = send(&pool, address, step, &tries[usize::from(step.request)]).await;
        if let Some((status, body)) = taken {
            prop_assert_eq!(body, format!("{number:04}"), "try {} of {}", number, step.request);
            prop_assert_eq!(status, step.status);
        }
        let at_server = *server.next.borrow();
        prop_assert_eq!(at_server, number + 1, "each try reaches the server once");
    }
    Ok(())
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 128, ..ProptestConfig::default() })]
    /// Guards against attempts that end by the answer to another request, or to another try.
    #[test]
    fn no_attempt_ends_by_the_answer_to_another(steps in prop::collection::vec(step(), 1..40)) {
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
        let runtime = runtime.expect("a runtime");
        let local = tokio::task::LocalSet::new();
        local.block_on(&runtime, play::<Site>(Some("cherrystand-request-id"), steps.clone()))?;
        local.block_on(&runtime, play::<CallIds>(Some(CALL_ID_NAME), steps.clone()))?;
        local.block_on(&runtime, play::<CallIds>(None, steps.clone()))?;
        local.block_on(&runtime, play::<NoNames>(None, steps))?;
    }
}
