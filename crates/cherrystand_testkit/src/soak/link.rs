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
const LOOK_EVERY: Duration = Duration::from_millis(5);

/// How many bytes are passed on at a time.
const CHUNK: usize = 16 << 10;

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

/// A link: a listener, what is behind it, and the connections that it carries.
#[derive(Clone)]
pub struct Link {
    address: SocketAddr,
    mode: Rc<Cell<LinkMode>>,
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
            Self { address: listener.local_addr()?, mode: Rc::default(), conns: Rc::default() };
        tokio::task::spawn_local(link.clone().accept(listener, target));
        Ok(link)
    }

    /// Returns where callers reach it.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Says what it does from now on.
    pub fn set(&self, mode: LinkMode) {
        self.mode.set(mode);
    }

    /// Breaks all its connections.
    pub fn cut(&self) {
        self.conns.borrow_mut().drain(..).for_each(|conn| conn.abort());
    }

    async fn accept(self, listener: TcpListener, target: SocketAddr) {
        while let Ok((near, _)) = listener.accept().await {
            let mode = self.mode.clone();
            let conn = tokio::task::spawn_local(carry(near, target, mode));
            let mut conns = self.conns.borrow_mut();
            conns.retain(|conn| !conn.is_finished());
            conns.push(conn);
        }
    }
}

async fn carry(near: TcpStream, target: SocketAddr, mode: Rc<Cell<LinkMode>>) {
    let Ok(far) = TcpStream::connect(target).await else {
        return;
    };
    let (near_read, near_write) = near.into_split();
    let (far_read, far_write) = far.into_split();
    let there = pass(near_read, far_write, mode.clone(), LinkMode::SilentThere);
    let back = pass(far_read, near_write, mode, LinkMode::SilentBack);
    tokio::join!(there, back);
}

/// Passes bytes on one way until either side ends.
async fn pass(
    mut from: OwnedReadHalf,
    mut to: OwnedWriteHalf,
    mode: Rc<Cell<LinkMode>>,
    silent: LinkMode,
) {
    let mut buf = vec![0; CHUNK];
    loop {
        let read = from.read(&mut buf).await.unwrap_or(0);
        while mode.get() == silent {
            tokio::time::sleep(LOOK_EVERY).await;
        }
        if let LinkMode::Slow(by) = mode.get() {
            tokio::time::sleep(by).await;
        }
        if read == 0 || to.write_all(&buf[..read]).await.is_err() {
            // The other side learns of the end by its own read.
            let _ = to.shutdown().await;
            return;
        }
    }
}
