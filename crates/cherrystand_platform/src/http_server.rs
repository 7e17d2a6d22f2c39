//! An HTTP server that runs on one thread.

use std::convert::Infallible;
use std::error::Error;
use std::future::Future;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use hyper::body::{Body, Incoming};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response};
use hyper_util::rt::TokioTimer;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::task::JoinSet;

use crate::connection_intake::TakeAll;
use crate::kept_connection::{AnswerProgress, KeptConnection};
use crate::reopening_listener::ReopeningListener;
use crate::{ConnectionIntake, NotTaken, TakenConnection};

/// Timeout for receiving the head of a request, including the idle time between two requests.
///
/// It has to exceed the idle timeout of load balancers, which otherwise send requests on connections
/// that have just been closed.
const HEAD_READ_TIMEOUT: Duration = Duration::from_secs(75);

/// Maximum size of the head of a request or an answer, in bytes, and of the read buffer of a connection. A request
/// with a larger head is answered with status 431.
pub const MAX_HEAD_BYTES: usize = 64 << 10;

/// Delay before accepting again after an error such as running out of file descriptors.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);

/// How long a connection may take until its first request counts as not coming soon. Callers that wait
/// for an answer send at once.
const FIRST_REQUEST_TIMEOUT: Duration = Duration::from_secs(1);

/// The address of the caller of a request, found among the request's extensions.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CallerAddress(pub SocketAddr);

/// Serves connections until `stop` becomes true, then finishes the requests in flight.
///
/// Must run inside a [`tokio::task::LocalSet`].
pub async fn serve_http<H, F, B>(listener: TcpListener, handle: H, stop: watch::Receiver<bool>)
where
    H: Fn(Request<Incoming>) -> F + 'static,
    F: Future<Output = Response<B>> + 'static,
    B: Body<Data = Bytes> + Unpin + 'static,
    B::Error: Into<Box<dyn Error + Send + Sync>>,
{
    serve_through(listener, Rc::new(TakeAll), handle, stop).await;
}

/// Does the same as [`serve_http`] with an intake that decides which connections are taken.
pub async fn serve_through<I, H, F, B>(
    listener: TcpListener,
    intake: Rc<I>,
    handle: H,
    stop: watch::Receiver<bool>,
) where
    I: ConnectionIntake,
    H: Fn(Request<Incoming>) -> F + 'static,
    F: Future<Output = Response<B>> + 'static,
    B: Body<Data = Bytes> + Unpin + 'static,
    B::Error: Into<Box<dyn Error + Send + Sync>>,
{
    let handle = Rc::new(handle);
    let mut listener = ReopeningListener::new(listener);
    let mut stopping = stop.clone();
    let mut connections = JoinSet::new();
    loop {
        tokio::select! {
            accepted = listener.accept() => match accepted {
                Ok((stream, caller)) => match intake.take() {
                    Ok(taken) => {
                        let (caller, stopped) = (CallerAddress(caller), stop.clone());
                        let conn = serve_connection(stream, caller, taken, handle.clone(), stopped);
                        connections.spawn_local(conn);
                    }
                    Err(NotTaken { closed_for }) => {
                        drop(stream);
                        if let Some(time) = closed_for {
                            listener.close_for(time);
                        }
                    }
                },
                Err(err) => {
                    intake.listener_failed(&err);
                    tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
                }
            },
            _ = stopping.wait_for(|stop| *stop) => break,
            Some(_) = connections.join_next() => {}
        }
    }
    drop(listener);
    while connections.join_next().await.is_some() {}
}

async fn serve_connection<C, H, F, B>(
    stream: TcpStream,
    caller: CallerAddress,
    taken: C,
    handle: Rc<H>,
    mut stop: watch::Receiver<bool>,
) where
    C: TakenConnection,
    H: Fn(Request<Incoming>) -> F + 'static,
    F: Future<Output = Response<B>> + 'static,
    B: Body<Data = Bytes> + Unpin + 'static,
    B::Error: Into<Box<dyn Error + Send + Sync>>,
{
    // Without Nagle's algorithm small answers are sent at once. A failure here only adds latency.
    let _ = stream.set_nodelay(true);
    let (taken, progress) = (Rc::new(taken), AnswerProgress::default());
    let stream = KeptConnection::new(stream, taken.clone(), progress.clone());
    let service = service_fn(|mut req: Request<Incoming>| {
        req.extensions_mut().insert(caller);
        taken.first_request_read();
        progress.begin();
        let (version, progress) = (req.version(), progress.clone());
        let answer = handle(req);
        async move {
            let answer = answer.await;
            progress.begin_answer(version, &answer);
            Ok::<_, Infallible>(answer.map(|body| progress.track(body)))
        }
    });
    let conn = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(HEAD_READ_TIMEOUT)
        .max_buf_size(MAX_HEAD_BYTES)
        .serve_connection(stream, service);
    let mut conn = std::pin::pin!(conn);
    let overdue = async {
        tokio::time::sleep(FIRST_REQUEST_TIMEOUT).await;
        taken.first_request_read();
        std::future::pending::<Infallible>().await
    };
    let ended = tokio::select! {
        ended = conn.as_mut() => Some(ended),
        _ = stop.wait_for(|stop| *stop) => None,
        never = overdue => match never {},
    };
    let ended = match ended {
        Some(ended) => ended,
        None => {
            conn.as_mut().graceful_shutdown();
            conn.await
        }
    };
    taken.ended(progress.end(), ended.err().as_ref());
}
