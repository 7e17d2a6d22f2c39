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
use hyper_util::rt::{TokioIo, TokioTimer};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::task::JoinSet;

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
    B: Body<Data = Bytes> + 'static,
    B::Error: Into<Box<dyn Error + Send + Sync>>,
{
    let handle = Rc::new(handle);
    let mut stopping = stop.clone();
    let mut connections = JoinSet::new();
    loop {
        tokio::select! {
            accepted = listener.accept() => match accepted {
                Ok((stream, caller)) => {
                    let caller = CallerAddress(caller);
                    let connection = serve_connection(stream, caller, handle.clone(), stop.clone());
                    connections.spawn_local(connection);
                }
                Err(_) => tokio::time::sleep(ACCEPT_RETRY_DELAY).await,
            },
            _ = stopping.wait_for(|stop| *stop) => break,
            Some(_) = connections.join_next() => {}
        }
    }
    drop(listener);
    while connections.join_next().await.is_some() {}
}

async fn serve_connection<H, F, B>(
    stream: TcpStream,
    caller: CallerAddress,
    handle: Rc<H>,
    mut stop: watch::Receiver<bool>,
) where
    H: Fn(Request<Incoming>) -> F + 'static,
    F: Future<Output = Response<B>> + 'static,
    B: Body<Data = Bytes> + 'static,
    B::Error: Into<Box<dyn Error + Send + Sync>>,
{
    // Without Nagle's algorithm small answers are sent at once. A failure here only adds latency.
    let _ = stream.set_nodelay(true);
    let service = service_fn(move |mut req: Request<Incoming>| {
        req.extensions_mut().insert(caller);
        let answer = handle(req);
        async move { Ok::<_, Infallible>(answer.await) }
    });
    let conn = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(HEAD_READ_TIMEOUT)
        .max_buf_size(MAX_HEAD_BYTES)
        .serve_connection(TokioIo::new(stream), service);
    let mut conn = std::pin::pin!(conn);
    let stopped = tokio::select! {
        // A failed connection leaves no caller to report the error to.
        _ = conn.as_mut() => false,
        _ = stop.wait_for(|stop| *stop) => true,
    };
    if stopped {
        conn.as_mut().graceful_shutdown();
        let _ = conn.await;
    }
}
