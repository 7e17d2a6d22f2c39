//! Connections and requests that a listener doesn't take.

use std::cell::{Cell, RefCell};
use std::io::{self, ErrorKind};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use cherrystand_platform::{
    ConnectionEnd, ConnectionIntake, NotTaken, TakenConnection, serve_through,
};
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::{Request, Response, StatusCode};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::task::LocalSet;

const REQUEST: &[u8] = b"GET / HTTP/1.1\r\nhost: a\r\n\r\n";

/// Long enough for the listener to have done what it does.
const SETTLED: Duration = Duration::from_millis(50);

/// For how long the listener is closed.
const CLOSED: Duration = Duration::from_millis(300);

/// The size of an answer that doesn't fit into the buffers of a connection whose caller doesn't read.
const LARGE_ANSWER: usize = 16 << 20;

/// What the intake takes, and how many requests were read.
#[derive(Default)]
struct Door {
    answer: Cell<&'static [u8]>,
    takes_connections: Cell<bool>,
    takes_requests: Cell<bool>,
    closed_for: Cell<Option<Duration>>,
    read: Cell<u32>,
    ends: RefCell<Vec<ConnectionEnd>>,
}

struct Taken(Rc<Door>);

impl TakenConnection for Taken {
    fn first_request_read(&self) {}

    fn takes_next_request(&self) -> bool {
        self.0.takes_requests.get()
    }

    fn ended(&self, end: ConnectionEnd, _: Option<&hyper::Error>) {
        self.0.ends.borrow_mut().push(end);
    }
}

impl ConnectionIntake for Door {
    type Connection = Taken;

    fn take(self: &Rc<Self>) -> Result<Taken, NotTaken> {
        match self.takes_connections.get() {
            true => Ok(Taken(self.clone())),
            false => Err(NotTaken { closed_for: self.closed_for.get() }),
        }
    }

    fn listener_failed(&self, err: &io::Error) {
        panic!("{err}");
    }
}

/// Serves on a free port while a test runs.
async fn with_door<T: Future<Output = ()>>(test: impl FnOnce(Rc<Door>, SocketAddr) -> T) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a listener");
    let address = listener.local_addr().expect("an address");
    let door = Rc::new(Door::default());
    door.takes_connections.set(true);
    door.takes_requests.set(true);
    door.answer.set(b"ok");
    let (_stop, stopped) = watch::channel(false);
    let reading = door.clone();
    let handle = move |req: Request<Incoming>| {
        reading.read.set(reading.read.get() + 1);
        let answer = Full::new(Bytes::from_static(reading.answer.get()));
        async move {
            let body = req.into_body().collect().await;
            let status = body.map_or(StatusCode::BAD_REQUEST, |_| StatusCode::OK);
            Response::builder().status(status).body(answer).expect("an answer")
        }
    };
    let serving = serve_through(listener, door.clone(), handle, stopped);
    LocalSet::new()
        .run_until(async {
            tokio::select! {
                () = serving => unreachable!("it goes on"),
                () = test(door, address) => {}
            }
        })
        .await;
}

/// Sends one request and returns whether it was answered.
async fn is_answered(stream: &mut TcpStream) -> bool {
    let mut buf = [0; 1_024];
    let sent = stream.write_all(REQUEST).await;
    let read = stream.read(&mut buf).await;
    sent.is_ok() && read.is_ok_and(|length| length > 0)
}

#[tokio::test(flavor = "current_thread")]
async fn a_connection_that_is_not_taken_is_closed_unread() {
    with_door(|door, address| async move {
        door.takes_connections.set(false);
        let mut stream = TcpStream::connect(address).await.expect("a connection");
        assert!(!is_answered(&mut stream).await);
        door.takes_connections.set(true);
        let mut stream = TcpStream::connect(address).await.expect("a connection");
        assert!(is_answered(&mut stream).await);
        assert_eq!(door.read.get(), 1);
    })
    .await;
}

#[tokio::test(flavor = "current_thread")]
async fn a_request_on_a_kept_connection_that_is_not_taken_is_not_read() {
    with_door(|door, address| async move {
        let mut stream = TcpStream::connect(address).await.expect("a connection");
        assert!(is_answered(&mut stream).await);
        assert!(is_answered(&mut stream).await);
        door.takes_requests.set(false);
        tokio::time::sleep(SETTLED).await;
        assert!(!is_answered(&mut stream).await);
        assert_eq!(door.read.get(), 2);
        assert_eq!(*door.ends.borrow(), [ConnectionEnd::NotTaken]);
    })
    .await;
}

#[tokio::test(flavor = "current_thread")]
async fn a_closed_listener_refuses_connections_and_opens_again() {
    with_door(|door, address| async move {
        let mut kept = TcpStream::connect(address).await.expect("a connection");
        assert!(is_answered(&mut kept).await);
        door.takes_connections.set(false);
        door.closed_for.set(Some(CLOSED));
        let mut stream = TcpStream::connect(address).await.expect("a connection");
        assert!(!is_answered(&mut stream).await);
        let refused = TcpStream::connect(address).await.map(drop);
        assert_eq!(refused.map_err(|err| err.kind()), Err(ErrorKind::ConnectionRefused));
        assert!(is_answered(&mut kept).await);
        door.takes_connections.set(true);
        tokio::time::sleep(CLOSED + SETTLED).await;
        let mut stream = TcpStream::connect(address).await.expect("a connection");
        assert!(is_answered(&mut stream).await);
    })
    .await;
}

#[tokio::test(flavor = "current_thread")]
async fn an_answer_is_delivered_whole_although_the_next_request_is_not_taken() {
    with_door(|door, address| async move {
        door.answer.set(Box::leak(vec![b'x'; LARGE_ANSWER].into_boxed_slice()));
        let mut stream = TcpStream::connect(address).await.expect("a connection");
        stream.write_all(REQUEST).await.expect("a request");
        tokio::time::sleep(SETTLED).await;
        door.takes_requests.set(false);
        stream.write_all(REQUEST).await.expect("a second request");
        tokio::time::sleep(SETTLED).await;
        let mut answer = vec![0; LARGE_ANSWER];
        stream.read_exact(&mut answer).await.expect("a whole answer");
    })
    .await;
}

#[tokio::test(flavor = "current_thread")]
async fn a_request_whose_head_came_with_the_one_before_is_taken_whole() {
    with_door(|door, address| async move {
        let mut stream = TcpStream::connect(address).await.expect("a connection");
        let head = b"POST / HTTP/1.1\r\nhost: a\r\ncontent-length: 4\r\n\r\n";
        stream.write_all(&[REQUEST, head].concat()).await.expect("a request and a head");
        tokio::time::sleep(SETTLED).await;
        door.takes_requests.set(false);
        stream.write_all(b"body").await.expect("a body");
        tokio::time::sleep(SETTLED).await;
        let mut answers = vec![0; 4_096];
        let read = stream.read(&mut answers).await.expect("two answers");
        let answers = String::from_utf8_lossy(&answers[..read]).into_owned();
        assert_eq!(answers.matches("HTTP/1.1 200 OK").count(), 2, "{answers}");
    })
    .await;
}

#[tokio::test(flavor = "current_thread")]
async fn how_a_connection_ended_is_recorded() {
    struct Case {
        name: &'static str,
        sent: &'static [u8],
        large: bool,
        end: ConnectionEnd,
    }
    let cases = [
        Case {
            name: "nothing was sent",
            sent: b"",
            large: false,
            end: ConnectionEnd::BetweenRequests,
        },
        Case {
            name: "half a head",
            sent: b"GET / HT",
            large: false,
            end: ConnectionEnd::BetweenRequests,
        },
        Case {
            name: "an answered request",
            sent: REQUEST,
            large: false,
            end: ConnectionEnd::BetweenRequests,
        },
        Case {
            name: "an answer not read",
            large: true,
            sent: REQUEST,
            end: ConnectionEnd::Unanswered,
        },
    ];
    for case in cases {
        with_door(|door, address| async move {
            if case.large {
                door.answer.set(Box::leak(vec![b'x'; LARGE_ANSWER].into_boxed_slice()));
            }
            let mut stream = TcpStream::connect(address).await.expect("a connection");
            stream.write_all(case.sent).await.expect("a connection");
            tokio::time::sleep(SETTLED).await;
            drop(stream);
            tokio::time::sleep(SETTLED).await;
            assert_eq!(*door.ends.borrow(), [case.end], "{}", case.name);
        })
        .await;
    }
}
