//! A loopback TCP proxy that can delay, drop and break the traffic between two programs.

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::JoinHandle;

/// How often a blocked connection checks whether it may forward bytes again.
const POLL_INTERVAL: Duration = Duration::from_millis(5);

/// Maximum number of bytes forwarded at a time.
const CHUNK_BYTES: usize = 16 << 10;

/// How a link treats traffic.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum LinkMode {
    /// Forwards it.
    #[default]
    Open,
    /// Delays each chunk by this much.
    Slow(Duration),
    /// Withholds what clients send; connections stay open.
    SilentThere,
    /// Withholds what the server answers; connections stay open.
    SilentBack,
}

/// State that all connections of a link share.
#[derive(Debug, Default)]
struct LinkState {
    mode: Cell<LinkMode>,
    /// Number of connections accepted so far; each is numbered from one.
    opened: Cell<u64>,
    /// Connections with a number up to this one forward nothing any more.
    silenced: Cell<u64>,
}

impl LinkState {
    /// Tells whether a connection currently forwards nothing in a direction.
    fn is_silent(&self, number: u64, direction: LinkMode) -> bool {
        number <= self.silenced.get() || self.mode.get() == direction
    }
}

/// A proxy: a listener, and the connections that it forwards to a target address.
#[derive(Clone)]
pub struct Link {
    address: SocketAddr,
    state: Rc<LinkState>,
    conns: Rc<RefCell<Vec<JoinHandle<()>>>>,
}

impl Link {
    /// Starts listening on a loopback address and forwards connections to `target`.
    ///
    /// # Errors
    ///
    /// Returns an error if no loopback address can be listened on.
    pub async fn open(target: SocketAddr) -> std::io::Result<Self> {
        let listener = TcpListener::bind(("127.0.0.1", 0)).await?;
        let link =
            Self { address: listener.local_addr()?, state: Rc::default(), conns: Rc::default() };
        tokio::task::spawn_local(link.clone().accept(listener, target));
        Ok(link)
    }

    /// Returns the address that it listens on.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Sets how it treats traffic of all connections from now on.
    pub fn set(&self, mode: LinkMode) {
        self.state.mode.set(mode);
    }

    /// Stops forwarding on all connections accepted so far without closing them; later ones work.
    pub fn silence_open_connections(&self) {
        self.state.silenced.set(self.state.opened.get());
    }

    /// Closes all open connections abruptly.
    pub fn reset_connections(&self) {
        self.conns.borrow_mut().drain(..).for_each(|conn| conn.abort());
    }

    async fn accept(self, listener: TcpListener, target: SocketAddr) {
        loop {
            let Ok((client, _)) = listener.accept().await else {
                // A client may have reset the connection before it was accepted.
                tokio::time::sleep(POLL_INTERVAL).await;
                continue;
            };
            let state = self.state.clone();
            state.opened.set(state.opened.get() + 1);
            let conn = tokio::task::spawn_local(proxy(client, target, state));
            let mut conns = self.conns.borrow_mut();
            conns.retain(|conn| !conn.is_finished());
            conns.push(conn);
        }
    }
}

async fn proxy(client: TcpStream, target: SocketAddr, state: Rc<LinkState>) {
    let number = state.opened.get();
    let Ok(server) = TcpStream::connect(target).await else {
        return;
    };
    let (client_read, client_write) = client.into_split();
    let (server_read, server_write) = server.into_split();
    let requests = forward(client_read, server_write, &state, number, LinkMode::SilentThere);
    let answers = forward(server_read, client_write, &state, number, LinkMode::SilentBack);
    tokio::join!(requests, answers);
}

/// Forwards bytes in one direction until either side closes.
async fn forward(
    mut from: OwnedReadHalf,
    mut to: OwnedWriteHalf,
    state: &LinkState,
    number: u64,
    direction: LinkMode,
) {
    let mut buf = vec![0; CHUNK_BYTES];
    loop {
        let read = from.read(&mut buf).await.unwrap_or(0);
        while state.is_silent(number, direction) {
            tokio::time::sleep(POLL_INTERVAL).await;
        }
        if let LinkMode::Slow(delay) = state.mode.get() {
            tokio::time::sleep(delay).await;
        }
        if read == 0 || to.write_all(&buf[..read]).await.is_err() {
            // Shutdown fails if the receiver is gone; the other direction sees that in its own read.
            let _ = to.shutdown().await;
            return;
        }
    }
}
