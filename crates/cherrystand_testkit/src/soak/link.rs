//! A loopback TCP proxy that can delay, drop and break the traffic between two programs.

use std::cell::{Cell, RefCell};
use std::net::{IpAddr, SocketAddr};
use std::rc::Rc;
use std::time::Duration;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::task::JoinHandle;

use crate::soak::surplus_answers::SurplusAnswers;

/// How often a blocked connection checks whether it may forward bytes again.
const POLL_INTERVAL: Duration = Duration::from_millis(5);

/// Maximum number of bytes forwarded at a time.
const CHUNK_BYTES: usize = 16 << 10;

/// Length of the queue of connections that wait to be accepted after a cut.
const RESTORED_QUEUE: u32 = 128;

/// A connection on loopback that isn't open after this time hangs.
const FILL_TIMEOUT: Duration = Duration::from_millis(30);

/// How long requests take while answers are sent once more, so that many of these meet the next request.
const SURPLUS_REQUEST_TIME: Duration = Duration::from_millis(50);

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
    /// Delays what clients send a little, and sends one in this many whole answers once more, at once or later,
    /// but never inside another one.
    Surplus(usize),
}

/// How a link is cut.
///
/// Fault schedules print the variants by name.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LinkCut {
    /// Open connections forward nothing any more, and new ones hang.
    Silent,
    /// Open connections are reset, and new ones are refused.
    Reset,
    /// Open connections live on, and new ones are refused.
    RefuseNew,
    /// Open connections live on, and new ones are accepted and reset after this time, as by a server at its limit of
    /// connections.
    ResetNew(Duration),
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
    target: SocketAddr,
    state: Rc<LinkState>,
    conns: Rc<RefCell<Vec<JoinHandle<()>>>>,
    door: Rc<RefCell<Door>>,
}

/// What is bound to the address of a link.
#[derive(Debug, Default)]
enum Door {
    /// Nothing: new connections are refused.
    #[default]
    Closed,
    /// The task that accepts connections.
    Open(JoinHandle<()>),
    /// A listener whose queue is full, so that new connections hang, and the connections that fill it.
    Full { _listener: TcpListener, _queued: Vec<TcpStream> },
}

impl Link {
    /// Starts listening on a loopback address and forwards connections to `target`.
    ///
    /// # Errors
    ///
    /// Returns an error if no loopback address can be listened on.
    pub async fn open(target: SocketAddr) -> std::io::Result<Self> {
        let listener = TcpListener::bind(("127.0.0.1", 0)).await?;
        Self::start(listener, target)
    }

    fn start(listener: TcpListener, target: SocketAddr) -> std::io::Result<Self> {
        let link = Self {
            address: listener.local_addr()?,
            target,
            state: Rc::default(),
            conns: Rc::default(),
            door: Rc::default(),
        };
        link.open_door(listener);
        Ok(link)
    }

    /// Starts listening as [`Link::open`] does, on an address of its own, so that no other process takes its port while
    /// it is cut.
    ///
    /// # Errors
    ///
    /// Returns an error if the address cannot be listened on.
    pub async fn open_on(address: IpAddr, target: SocketAddr) -> std::io::Result<Self> {
        Self::start(TcpListener::bind((address, 0)).await?, target)
    }

    fn open_door(&self, listener: TcpListener) {
        let accepting = tokio::task::spawn_local(self.clone().accept(listener));
        self.door.replace(Door::Open(accepting));
    }

    /// Cuts it until [`Link::restore`] is called.
    ///
    /// # Errors
    ///
    /// Returns an error if its address cannot be bound again.
    pub async fn cut(&self, cut: LinkCut) -> std::io::Result<()> {
        self.close_door().await;
        match cut {
            LinkCut::Silent => {
                self.silence_open_connections();
                self.fill_queue().await?;
            }
            LinkCut::Reset => self.reset_connections(),
            LinkCut::RefuseNew => {}
            LinkCut::ResetNew(after) => {
                let listener = self.listen(RESTORED_QUEUE)?;
                let resetting = tokio::task::spawn_local(self.clone().reset_new(listener, after));
                self.door.replace(Door::Open(resetting));
            }
        }
        Ok(())
    }

    /// Accepts connections again after a cut. Connections that were silenced stay so.
    ///
    /// # Errors
    ///
    /// Returns an error if its address cannot be bound again.
    pub async fn restore(&self) -> std::io::Result<()> {
        self.close_door().await;
        self.open_door(self.listen(RESTORED_QUEUE)?);
        Ok(())
    }

    async fn close_door(&self) {
        let door = self.door.replace(Door::Closed);
        if let Door::Open(accepting) = door {
            accepting.abort();
            // The listener is closed once the aborted task has ended; its result is that it was aborted.
            let _ = accepting.await;
        }
    }

    fn listen(&self, queue: u32) -> std::io::Result<TcpListener> {
        let socket = TcpSocket::new_v4()?;
        socket.set_reuseaddr(true)?;
        socket.bind(self.address)?;
        socket.listen(queue)
    }

    /// Listens without accepting anything, and fills the queue of connections that wait for it.
    async fn fill_queue(&self) -> std::io::Result<()> {
        let listener = self.listen(0)?;
        let mut queued = Vec::new();
        while let Ok(conn) =
            tokio::time::timeout(FILL_TIMEOUT, TcpStream::connect(self.address)).await
        {
            queued.push(conn?);
        }
        self.door.replace(Door::Full { _listener: listener, _queued: queued });
        Ok(())
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

    /// Returns how many connections were opened to it so far.
    pub fn opened(&self) -> u64 {
        self.state.opened.get()
    }

    async fn reset_new(self, listener: TcpListener, after: Duration) {
        loop {
            let Ok((client, _)) = listener.accept().await else {
                tokio::time::sleep(POLL_INTERVAL).await;
                continue;
            };
            self.state.opened.set(self.state.opened.get() + 1);
            tokio::task::spawn_local(async move {
                tokio::time::sleep(after).await;
                // Without it the connection would be closed in an orderly way, which is as good here.
                let _ = client.set_zero_linger();
            });
        }
    }

    async fn accept(self, listener: TcpListener) {
        loop {
            let Ok((client, _)) = listener.accept().await else {
                // A client may have reset the connection before it was accepted.
                tokio::time::sleep(POLL_INTERVAL).await;
                continue;
            };
            let state = self.state.clone();
            state.opened.set(state.opened.get() + 1);
            let conn = tokio::task::spawn_local(proxy(client, self.target, state));
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
    let answers = forward_answers(server_read, client_write, &state, number);
    tokio::join!(requests, answers);
}

/// Forwards answers until either side closes, and sends some once more.
async fn forward_answers(
    mut from: OwnedReadHalf,
    mut to: OwnedWriteHalf,
    state: &LinkState,
    number: u64,
) {
    let (mut buf, mut surplus) = (vec![0; CHUNK_BYTES], SurplusAnswers::default());
    loop {
        let read = tokio::select! {
            read = from.read(&mut buf) => read.unwrap_or(0),
            copy = surplus.next_due() => {
                // A client that has closed the connection ends it below.
                let _ = to.write_all(&copy).await;
                continue;
            }
        };
        while state.is_silent(number, LinkMode::SilentBack) {
            tokio::time::sleep(POLL_INTERVAL).await;
        }
        let every = match state.mode.get() {
            LinkMode::Slow(delay) => {
                tokio::time::sleep(delay).await;
                0
            }
            LinkMode::Surplus(every) => every,
            _ => 0,
        };
        if read == 0 || to.write_all(&buf[..read]).await.is_err() {
            // Shutdown fails if the receiver is gone; the other direction sees that in its own read.
            let _ = to.shutdown().await;
            return;
        }
        surplus.record(&buf[..read], every);
    }
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
        match state.mode.get() {
            LinkMode::Slow(delay) => tokio::time::sleep(delay).await,
            LinkMode::Surplus(_) => tokio::time::sleep(SURPLUS_REQUEST_TIME).await,
            _ => {}
        }
        if read == 0 || to.write_all(&buf[..read]).await.is_err() {
            // Shutdown fails if the receiver is gone; the other direction sees that in its own read.
            let _ = to.shutdown().await;
            return;
        }
    }
}
