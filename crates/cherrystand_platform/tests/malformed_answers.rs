//! Servers whose answers don't tell where they end.
#![allow(clippy::disallowed_methods, reason = "the machine of a test is not suspended")]

use std::sync::LazyLock;
use std::time::Duration;

use bytes::Bytes;
use cherrystand_platform::HttpPool;
use http_body_util::{BodyExt, Full};
use hyper::{Request, StatusCode};
use proptest::prelude::*;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;

/// Long enough for an answer that is there.
const PATIENCE: Duration = Duration::from_millis(500);

/// What a server does after its answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Then {
    Close,
    StayOpen,
}

/// Opens an address for the servers of many exchanges.
fn listen() -> std::net::TcpListener {
    let listener = std::net::TcpListener::bind(("127.0.0.1", 0)).expect("an address");
    listener.set_nonblocking(true).expect("a listener");
    listener
}

/// Sends a request to a server that writes these bytes, and returns the whole answer, if there is one.
async fn exchange(
    listener: &std::net::TcpListener,
    answer: Vec<u8>,
    then: Then,
) -> Result<(StatusCode, Bytes), String> {
    let listener = TcpListener::from_std(listener.try_clone().expect("a listener"));
    let listener = listener.expect("a listener");
    let address = listener.local_addr().expect("an address");
    tokio::task::spawn(async move {
        let (mut caller, _) = listener.accept().await.expect("a connection");
        let _ = caller.read(&mut [0; 1_024]).await;
        let _ = caller.write_all(&answer).await;
        if then == Then::StayOpen {
            let _ = caller.read(&mut [0; 1]).await;
        }
    });
    let pool = HttpPool::default();
    let exchange = async {
        let req = Request::builder().header("host", "test").body(Full::new(Bytes::new()));
        let sent = pool.send(address, req.expect("a request"), PATIENCE).await;
        let answer = sent.map_err(|err| err.to_string())?;
        let status = answer.status();
        let body = answer.into_body().collect().await.map_err(|err| err.to_string())?;
        Ok((status, body.to_bytes()))
    };
    let answer = tokio::time::timeout(PATIENCE, exchange).await;
    answer.unwrap_or_else(|_| Err("no answer".to_owned()))
}

fn run<T>(test: impl Future<Output = T>) -> T {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    runtime.expect("a runtime").block_on(test)
}

/// An answer that is written, and what its reader may take it for.
struct Case {
    name: &'static str,
    answer: &'static str,
    /// The body, if the answer is sound.
    body: Option<&'static str>,
}

const fn sound(name: &'static str, answer: &'static str, body: &'static str) -> Case {
    Case { name, answer, body: Some(body) }
}

const fn spoilt(name: &'static str, answer: &'static str) -> Case {
    Case { name, answer, body: None }
}

/// Plays each case with a connection that closes and one that stays open.
fn check(cases: &[Case]) {
    run(async {
        let listener = listen();
        let mut failures = Vec::new();
        for Case { name, answer, body } in cases {
            for then in [Then::Close, Then::StayOpen] {
                let got = exchange(&listener, answer.as_bytes().to_vec(), then).await;
                let is_due = match (&got, body) {
                    (Ok((_, read)), Some(body)) => read == body,
                    (Err(_), None) => true,
                    // It ends where the connection does.
                    (Err(_), Some(_)) => then == Then::StayOpen && !answer.contains("ength"),
                    (Ok(_), None) => false,
                };
                if !is_due {
                    failures.push(format!("{name}, {then:?}: {got:?}"));
                }
            }
        }
        assert!(failures.is_empty(), "{}", failures.join("\n"));
    });
}

/// Guards against a body that is not the server's, as the head tells its end in an unknown way or in two.
#[test]
fn an_answer_whose_head_does_not_tell_its_end_is_none() {
    check(&[
        sound("a length", "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nbody", "body"),
        sound(
            "a length told twice",
            "HTTP/1.1 200 OK\r\nContent-Length: 4\r\nContent-Length: 4\r\n\r\nbody",
            "body",
        ),
        sound(
            "chunks of no length",
            "HTTP/1.1 200 OK\r\nTransfer-Encoding: Chunked\r\nX-Length: 1\r\n\r\n4\r\nbody\r\n0\r\n\r\n",
            "body",
        ),
        sound("neither", "HTTP/1.1 200 OK\r\nServer: a\r\n\r\nbody", "body"),
        sound("no content", "HTTP/1.1 204 No Content\r\nContent-Length: 0\r\n\r\n", ""),
        sound("not modified", "HTTP/1.1 304 Not Modified\r\nContent-Length: 9\r\n\r\n", ""),
        spoilt(
            "a coding that is none",
            "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunkee\r\n\r\n4\r\nbody\r\n0\r\n\r\n",
        ),
        spoilt(
            "an empty coding",
            "HTTP/1.1 200 OK\r\nTransfer-Encoding:\r\n\r\n4\r\nbody\r\n0\r\n\r\n",
        ),
        spoilt(
            "a coding that is not read",
            "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked, gzip\r\n\r\n4\r\nbody\r\n0\r\n\r\n",
        ),
        spoilt(
            "a coding below chunks",
            "HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip, chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n",
        ),
        spoilt(
            "chunks of chunks",
            "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n\r\n\
             4\r\nbody\r\n0\r\n\r\n",
        ),
        spoilt(
            "a coding that is none beside a length",
            "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunkee\r\nContent-Length: 4\r\n\r\nbody",
        ),
        spoilt(
            "chunks and a length",
            "HTTP/1.1 200 OK\r\nContent-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n\
             4\r\nbody\r\n0\r\n\r\n",
        ),
        spoilt(
            "chunks in HTTP/1.0",
            "HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n",
        ),
        spoilt(
            "no content of a length",
            "HTTP/1.1 204 No Content\r\nContent-Length: 4\r\n\r\nbody",
        ),
        spoilt(
            "no content in chunks",
            "HTTP/1.1 204 No Content\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n",
        ),
        spoilt(
            "lengths that differ",
            "HTTP/1.1 200 OK\r\nContent-Length: 4\r\nContent-Length: 3\r\n\r\nbody",
        ),
        spoilt("a list of lengths", "HTTP/1.1 200 OK\r\nContent-Length: 4, 3\r\n\r\nbody"),
        spoilt("a signed length", "HTTP/1.1 200 OK\r\nContent-Length: +4\r\n\r\nbody"),
        spoilt("a length of letters", "HTTP/1.1 200 OK\r\nContent-Length: four\r\n\r\nbody"),
        spoilt("an empty length", "HTTP/1.1 200 OK\r\nContent-Length:\r\n\r\nbody"),
        spoilt(
            "a length beyond 64 bits",
            "HTTP/1.1 200 OK\r\nContent-Length: 18446744073709551620\r\n\r\nbody",
        ),
        spoilt("a length beyond the body", "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nbody"),
        spoilt(
            "a chunk size that is none",
            "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4x\r\nbody\r\n0\r\n\r\n",
        ),
        spoilt(
            "a trailer that is no field",
            "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\nx y\r\n\r\n",
        ),
    ]);
}

/// Guards against statuses that no client can read, and against connections that change their protocol.
#[test]
fn an_answer_whose_status_is_none_is_no_answer() {
    check(&[
        spoilt("000", "HTTP/1.1 000 Zero\r\nContent-Length: 4\r\n\r\nbody"),
        spoilt("099", "HTTP/1.1 099 Low\r\nContent-Length: 4\r\n\r\nbody"),
        spoilt("600", "HTTP/1.1 600 High\r\nContent-Length: 4\r\n\r\nbody"),
        spoilt("999", "HTTP/1.1 999 High\r\nContent-Length: 4\r\n\r\nbody"),
        spoilt("20", "HTTP/1.1 20 Short\r\nContent-Length: 4\r\n\r\nbody"),
        spoilt("2000", "HTTP/1.1 2000 Long\r\nContent-Length: 4\r\n\r\nbody"),
        spoilt("2x0", "HTTP/1.1 2x0 OK\r\nContent-Length: 4\r\n\r\nbody"),
        spoilt(
            "an upgrade that nobody asked for",
            "HTTP/1.1 101 Switching Protocols\r\nConnection: upgrade\r\nUpgrade: other\r\n\r\nbody",
        ),
        spoilt("another version", "HTTP/2.0 200 OK\r\nContent-Length: 4\r\n\r\nbody"),
        sound("599", "HTTP/1.1 599 Last\r\nContent-Length: 4\r\n\r\nbody", "body"),
        sound(
            "a head of information before",
            "HTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nbody",
            "body",
        ),
    ]);
}

/// Guards against heads with a line that is no field.
#[test]
fn an_answer_with_a_line_that_is_no_field_is_none() {
    check(&[
        spoilt("no colon", "HTTP/1.1 200 OK\r\nnothing\r\nContent-Length: 4\r\n\r\nbody"),
        spoilt("no name", "HTTP/1.1 200 OK\r\n: a\r\nContent-Length: 4\r\n\r\nbody"),
        spoilt("a folded line", "HTTP/1.1 200 OK\r\nA: b\r\n c\r\nContent-Length: 4\r\n\r\nbody"),
        spoilt("a blank in a name", "HTTP/1.1 200 OK\r\nContent Length: 4\r\n\r\nbody"),
        spoilt("a blank before the colon", "HTTP/1.1 200 OK\r\nContent-Length : 4\r\n\r\nbody"),
        spoilt("a tab before the colon", "HTTP/1.1 200 OK\r\nContent-Length\t: 4\r\n\r\nbody"),
        spoilt("a control byte in a name", "HTTP/1.1 200 OK\r\nContent\x01Length: 4\r\n\r\nbody"),
        spoilt(
            "a control byte in a value",
            "HTTP/1.1 200 OK\r\nA: \x01\r\nContent-Length: 4\r\n\r\nbody",
        ),
        spoilt("a zero byte", "HTTP/1.1 200 OK\r\nA\0: b\r\nContent-Length: 4\r\n\r\nbody"),
        spoilt(
            "a carriage return alone",
            "HTTP/1.1 200 OK\r\nA: b\rc\r\nContent-Length: 4\r\n\r\nbody",
        ),
    ]);
}

/// Guards against a head that a line feed inside a value divides in two, so that its rest becomes the body.
#[test]
fn an_answer_whose_lines_end_without_a_carriage_return_is_none() {
    check(&[
        spoilt("in the status line", "HTTP/1.1 200 OK\nContent-Length: 4\r\n\r\nbody"),
        spoilt("in a value", "HTTP/1.1 200 OK\r\nA: b\nContent-Length: 4\r\n\r\nbody"),
        spoilt("of a length", "HTTP/1.1 200 OK\r\nContent-Length: 4\n\r\nbody"),
        spoilt("before a length", "HTTP/1.1 200 OK\r\nA: b\r\n\nContent-Length: 4\r\n\r\nbody"),
        spoilt("at the end", "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\nbody"),
        spoilt("before the head", "\nHTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nbody"),
        spoilt(
            "in a head of information",
            "HTTP/1.1 103 Early\r\nA: b\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nbody",
        ),
        spoilt(
            "behind a head of information",
            "HTTP/1.1 103 Early\r\n\r\nHTTP/1.1 200 OK\r\nA: b\nContent-Length: 4\r\n\r\nbody",
        ),
        sound(
            "empty lines before the head",
            "\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nbody",
            "body",
        ),
        sound("in a body", "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nb\n\ny", "b\n\ny"),
        sound("in a body that the connection ends", "HTTP/1.1 200 OK\r\n\r\n\nb\n", "\nb\n"),
        sound(
            "in chunks",
            "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\n\nb\n\n\r\n0\r\n\r\n",
            "\nb\n\n",
        ),
    ]);
}

/// Guards against a body that is cut where a spoilt length tells its end.
#[test]
fn an_answer_behind_whose_end_other_bytes_stand_is_none() {
    const CLOSING: &str = "HTTP/1.1 200 OK\r\nConnection: close\r\n";
    let closing = |rest: &str| -> &'static str { [CLOSING, rest].concat().leak() };
    check(&[
        spoilt("a length too short", "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nbody"),
        spoilt("a length of nothing", "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\nbody"),
        spoilt(
            "bytes behind chunks",
            "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\nmore",
        ),
        spoilt(
            "bytes behind no chunk",
            "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\nmore",
        ),
        spoilt("bytes behind no content", "HTTP/1.1 204 No Content\r\n\r\nbody"),
        spoilt("bytes behind nothing modified", "HTTP/1.1 304 Not Modified\r\n\r\nbody"),
        spoilt("a line behind the end", "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nbody\r\n"),
        spoilt("half a status line", "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nbodyHTTP/1.1"),
        spoilt("a length too short at the last answer", closing("Content-Length: 3\r\n\r\nbody")),
        spoilt("a length of nothing at the last answer", closing("Content-Length: 0\r\n\r\nbody")),
        spoilt(
            "bytes behind chunks at the last answer",
            closing("Transfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\nmore"),
        ),
        sound("the last answer", closing("Content-Length: 4\r\n\r\nbody"), "body"),
        sound(
            "another answer",
            "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nbodyHTTP/1.1 503 Full\r\n",
            "body",
        ),
        sound(
            "another answer behind the last",
            closing("Content-Length: 4\r\n\r\nbodyHTTP/1.0 200 OK\r\n"),
            "body",
        ),
        sound(
            "another answer behind chunks",
            "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\nHTTP/1.1 200 OK\r\n",
            "body",
        ),
    ]);
}

/// A sound answer, whose head is to be spoilt.
#[derive(Clone, Debug)]
struct Sound {
    head: &'static str,
    body: &'static str,
}

const SOUND: [Sound; 3] = [
    Sound {
        head: "HTTP/1.1 200 OK\r\nServer: a b\r\nContent-Length: 11\r\nX-Id: 1\r\n\r\n",
        body: "hello\r\nbody",
    },
    Sound {
        head: "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nX-Id: 1\r\n\r\n",
        body: "5\r\nhello\r\n6\r\n\r\nbody\r\n0\r\n\r\n",
    },
    Sound {
        head: "HTTP/1.1 200 OK\r\nX-Id: 1\r\nConnection: close\r\n\r\n",
        body: "hello\r\nbody",
    },
];

/// How one byte of a head is spoilt.
#[derive(Clone, Copy, Debug)]
enum Spoiling {
    Replaced(u8),
    Removed,
    Inserted(u8),
}

impl Spoiling {
    fn apply(self, head: &mut Vec<u8>, at: usize) {
        match self {
            Self::Replaced(byte) => head[at] = byte,
            Self::Removed => drop(head.remove(at)),
            Self::Inserted(byte) => head.insert(at, byte),
        }
    }
}

/// Returns the body of an answer whose head has no field that tells the body's end: all that stands
/// behind the head until the connection ends.
fn body_without_length(answer: &[u8]) -> Option<String> {
    let text = String::from_utf8_lossy(answer).into_owned();
    let (head, body) = text.split_once("\r\n\r\n")?;
    let head = head.to_lowercase();
    let lengths = ["\r\ncontent-length:", "\r\ntransfer-encoding:"];
    let tells_end = lengths.iter().any(|name| head.contains(name));
    (!tells_end).then(|| body.to_owned())
}

fn spoiling() -> impl Strategy<Value = Spoiling> {
    let byte = || prop_oneof![any::<u8>(), prop::sample::select(&b"\r\n \t:,;0123456789"[..])];
    prop_oneof![
        byte().prop_map(Spoiling::Replaced),
        Just(Spoiling::Removed),
        byte().prop_map(Spoiling::Inserted),
    ]
}

/// The address of all servers of the property.
static LISTENER: LazyLock<std::net::TcpListener> = LazyLock::new(listen);

proptest! {
    /// Guards against a success whose body is not the server's, whichever byte of its head is spoilt.
    #[test]
    fn an_answer_with_a_spoilt_byte_in_its_head_has_its_own_whole_body_or_is_no_success(
        sound in prop::sample::select(&SOUND[..]),
        at in any::<prop::sample::Index>(),
        spoiling in spoiling(),
    ) {
        let mut answer = sound.head.as_bytes().to_vec();
        spoiling.apply(&mut answer, at.index(sound.head.len()));
        answer.extend_from_slice(sound.body.as_bytes());
        let without_length = body_without_length(&answer);
        let got = run(exchange(&LISTENER, answer, Then::Close));
        if let Ok((status, body)) = got && status.is_success() {
            let is_own = body == "hello\r\nbody" || without_length.is_some_and(|own| body == own);
            prop_assert!(is_own, "{status} {body:?}");
        }
    }
}
