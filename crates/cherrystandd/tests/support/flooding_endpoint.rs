//! Endpoints that answer some requests with bytes that a test chooses, also without end.

use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

use super::raw_requests::serve_each;

/// Requests whose id begins like this are answered with bytes without end.
pub(crate) const FLOODED: &str = "flooded-";

/// The size of one write.
pub(crate) const WRITE_BYTES: usize = 64 << 10;

/// How an endpoint ends a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ConnectionEnd {
    /// In the ordinary way.
    Close,
    Reset,
    /// It stays open until the caller closes it.
    Kept,
}

/// How long an endpoint waits before it resets a connection, so that what it wrote arrives.
const RESET_DELAY: Duration = Duration::from_millis(5);

impl ConnectionEnd {
    /// Ends a connection.
    pub(crate) async fn end(self, mut stream: TcpStream) {
        match self {
            Self::Close => {}
            Self::Reset => {
                tokio::time::sleep(RESET_DELAY).await;
                stream.set_zero_linger().expect("a reset");
            }
            // Nothing more is sent on it, so this ends with the connection.
            Self::Kept => drop(stream.read(&mut [0]).await),
        }
    }
}

/// What a flooded request is answered with.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Flood {
    /// The first bytes, in which `{id}` stands for the id of the request.
    pub(crate) start: &'static str,
    /// What follows again and again until the caller closes.
    pub(crate) repeated: &'static str,
    /// After how many writes it ends, if it does.
    pub(crate) writes: Option<u32>,
    /// How its connection ends then.
    pub(crate) end: ConnectionEnd,
}

impl Flood {
    /// Writes these bytes, and others again and again until the caller closes.
    pub(crate) const fn endless(start: &'static str, repeated: &'static str) -> Self {
        Self { start, repeated, writes: None, end: ConnectionEnd::Close }
    }

    /// Writes these bytes and closes.
    pub(crate) const fn once(start: &'static str) -> Self {
        Self::once_until(start, ConnectionEnd::Close)
    }

    /// Writes these bytes and ends the connection.
    pub(crate) const fn once_until(start: &'static str, end: ConnectionEnd) -> Self {
        Self { start, repeated: " ", writes: Some(0), end }
    }
}

/// Stands before an endpoint: it floods the requests with ids that ask for it and forwards all others.
#[derive(Clone)]
pub(crate) struct FloodingEndpoint {
    pub(crate) address: SocketAddr,
    /// What the requests that ask for it are answered with from now on.
    pub(crate) flood: Rc<Cell<Flood>>,
    /// How many floods have begun.
    pub(crate) begun: Rc<Cell<u32>>,
    /// How many of them their callers have closed.
    pub(crate) closed: Rc<Cell<u32>>,
}

impl FloodingEndpoint {
    pub(crate) async fn open(endpoint: SocketAddr, flood: Flood) -> Self {
        let flood = Rc::new(Cell::new(flood));
        let (begun, closed) = (Rc::default(), Rc::default());
        let counts = Self { address: endpoint, flood, begun, closed };
        let passing = counts.clone();
        let address = serve_each(move |caller| passing.clone().pass(caller, endpoint)).await;
        Self { address, ..counts }
    }

    /// Forwards one connection until a request on it is to be flooded.
    async fn pass(self, mut caller: TcpStream, endpoint: SocketAddr) {
        let Ok(mut server) = TcpStream::connect(endpoint).await else { return };
        let (mut asked, mut answered) = (vec![0; WRITE_BYTES], vec![0; WRITE_BYTES]);
        loop {
            tokio::select! {
                read = caller.read(&mut asked) => {
                    let read = read.unwrap_or(0);
                    if let Some(id) = flooded_id(&asked[..read]) {
                        return self.flood(caller, &id).await;
                    }
                    if read == 0 || server.write_all(&asked[..read]).await.is_err() {
                        return;
                    }
                }
                read = server.read(&mut answered) => {
                    let read = read.unwrap_or(0);
                    if read == 0 || caller.write_all(&answered[..read]).await.is_err() {
                        return;
                    }
                }
            }
        }
    }

    async fn flood(self, mut caller: TcpStream, id: &str) {
        let flood = self.flood.get();
        self.begun.set(self.begun.get() + 1);
        let start = flood.start.replace("{id}", id);
        let repeated = flood.repeated.repeat(WRITE_BYTES / flood.repeated.len());
        let mut written = caller.write_all(start.as_bytes()).await;
        let mut writes = 0;
        while written.is_ok() && flood.writes.is_none_or(|all| writes < all) {
            writes += 1;
            written = caller.write_all(repeated.as_bytes()).await;
            tokio::task::yield_now().await;
        }
        flood.end.end(caller).await;
        self.closed.set(self.closed.get() + 1);
    }
}

/// Returns the id of a request that is to be flooded.
fn flooded_id(head: &[u8]) -> Option<String> {
    let head = String::from_utf8_lossy(head);
    let at = head.find(FLOODED)?;
    head[at..].split(['\r', '\n']).next().map(str::to_owned)
}
