//! A loopback proxy between two programs, whose link can be harmed.

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::JoinHandle;

/// How often bytes that are held up look whether they may go on.
const POLL_INTERVAL: Duration = Duration::from_millis(5);

/// How many bytes are passed on at a time.
const CHUNK_BYTES: usize = 16 << 10;

/// What a link does with bytes.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum LinkMode {
    /// It passes them on.
    #[default]
    Open,
    /// It passes each chunk on this much later.
    Slow(Duration),
    /// What callers send does not arrive.
    SilentThere,
    /// What is answered does not arrive.
    SilentBack,
}

/// What holds for all connections of a link.
#[derive(Debug, Default)]
struct LinkState {
    mode: Cell<LinkMode>,
    /// How many connections there have been.
    opened: Cell<u64>,
    /// The first connections, up to this one, carry nothing any more.
    silenced: Cell<u64>,
}

impl LinkState {
    /// Tells whether a connection carries nothing one way for now.
    fn is_silent(&self, number: u64, direction: LinkMode) -> bool {
        number <= self.silenced.get() || self.mode.get() == direction
    }
}

/// A link: a listener, what is behind it, and the connections that it carries.
#[derive(Clone)]
pub struct Link {
    address: SocketAddr,
    state: Rc<LinkState>,
    conns: Rc<RefCell<Vec<JoinHandle<()>>>>,
}

impl Link {
    /// Opens a link to an address.
    ///
    /// # Errors
    ///
    /// Returns an error where no address can be listened at.
    pub async fn open(target: SocketAddr) -> std::io::Result<Self> {
        let listener = TcpListener::bind(("127.0.0.1", 0)).await?;
        let link =
            Self { address: listener.local_addr()?, state: Rc::default(), conns: Rc::default() };
        tokio::task::spawn_local(link.clone().accept(listener, target));
        Ok(link)
    }

    /// Returns where callers reach it.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Says what it does from now on.
    pub fn set(&self, mode: LinkMode) {
        self.state.mode.set(mode);
    }

    /// Has all connections that it carries now say nothing for good, without an end; new ones work.
    pub fn silence_open_connections(&self) {
        self.state.silenced.set(self.state.opened.get());
    }

    /// Breaks all its connections.
    pub fn reset_connections(&self) {
        self.conns.borrow_mut().drain(..).for_each(|conn| conn.abort());
    }

    async fn accept(self, listener: TcpListener, target: SocketAddr) {
        while let Ok((client, _)) = listener.accept().await {
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

/// Passes bytes on one way until either side ends.
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
            // The other side learns of the end by its own read.
            let _ = to.shutdown().await;
            return;
        }
    }
}
