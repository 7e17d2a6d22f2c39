//! The transport between daemons, over `nng`.

use std::collections::HashMap;
use std::collections::hash_map::Entry;
use std::net::SocketAddr;
use std::time::Duration;

use nng::options::{Options, RecvMaxSize, RecvTimeout, SendTimeout};
use nng::{Protocol, Socket};

use crate::{CodecError, Question, Reply, decode, encode};

/// The largest message, in bytes: a full batch of records.
pub const MAX_MESSAGE_BYTES: usize = 4 << 20;

/// How long a daemon waits for a peer's answer.
pub const ANSWER_TIMEOUT: Duration = Duration::from_millis(400);

/// How often a listener looks up from waiting.
const LISTEN_TIMEOUT: Duration = Duration::from_millis(200);

/// Tells why an exchange with a peer failed.
#[derive(Debug, thiserror::Error)]
pub enum PeerError {
    /// The transport failed or the peer did not answer in time.
    #[error("the peer did not answer")]
    Transport(#[source] nng::Error),
    /// The peer's message cannot be read.
    #[error(transparent)]
    Codec(#[from] CodecError),
}

impl From<nng::Error> for PeerError {
    fn from(err: nng::Error) -> Self {
        Self::Transport(err)
    }
}

/// Answers the questions of peers.
pub struct PeerListener {
    socket: Socket,
}

impl PeerListener {
    /// Listens at an address.
    ///
    /// # Errors
    ///
    /// Returns a [`PeerError`] where the address cannot be listened at.
    pub fn bind(address: SocketAddr) -> Result<Self, PeerError> {
        let socket = Socket::new(Protocol::Rep0)?;
        socket.set_opt::<RecvTimeout>(Some(LISTEN_TIMEOUT))?;
        socket.set_opt::<SendTimeout>(Some(LISTEN_TIMEOUT))?;
        socket.set_opt::<RecvMaxSize>(MAX_MESSAGE_BYTES)?;
        socket.listen(&format!("tcp://{address}"))?;
        Ok(Self { socket })
    }

    /// Waits a moment for a question and answers it with what `answer` returns.
    ///
    /// Returns the bytes received and sent, or nothing if no question came.
    ///
    /// # Errors
    ///
    /// Returns a [`PeerError`] where the question cannot be read or the answer not be sent; the
    /// listener stays usable.
    pub fn serve_one(
        &self,
        answer: impl FnOnce(Question) -> Reply,
    ) -> Result<Option<(usize, usize)>, PeerError> {
        let received = match self.socket.recv() {
            Ok(received) => received,
            Err(nng::Error::TimedOut) => return Ok(None),
            Err(err) => return Err(err.into()),
        };
        let question = decode(&received)?;
        let reply = encode(&answer(question))?;
        let sizes = (received.len(), reply.len());
        self.socket.send(reply.as_slice()).map_err(|(_, err)| err)?;
        Ok(Some(sizes))
    }
}

/// Asks peers, keeping a connection to each.
#[derive(Default)]
pub struct PeerDialer {
    sockets: HashMap<SocketAddr, Socket>,
}

impl PeerDialer {
    /// Asks the peer at an address and waits for its answer.
    ///
    /// Returns the answer and the bytes sent and received.
    ///
    /// # Errors
    ///
    /// Returns a [`PeerError`] where no readable answer comes within [`ANSWER_TIMEOUT`].
    pub fn ask(
        &mut self,
        address: SocketAddr,
        question: &Question,
    ) -> Result<(Reply, usize, usize), PeerError> {
        let bytes = encode(question)?;
        let outcome = self.exchange(address, &bytes);
        if outcome.is_err() {
            // The answer may still come; a fresh socket cannot take it for another one's.
            self.sockets.remove(&address);
        }
        let received = outcome?;
        Ok((decode(&received)?, bytes.len(), received.len()))
    }

    /// Closes the connections to all but the peers given.
    pub fn retain(&mut self, peers: &[SocketAddr]) {
        self.sockets.retain(|address, _| peers.contains(address));
    }

    fn exchange(&mut self, address: SocketAddr, bytes: &[u8]) -> Result<nng::Message, PeerError> {
        let socket = self.socket(address)?;
        socket.send(bytes).map_err(|(_, err)| err)?;
        Ok(socket.recv()?)
    }

    fn socket(&mut self, address: SocketAddr) -> Result<&Socket, PeerError> {
        match self.sockets.entry(address) {
            Entry::Occupied(entry) => Ok(entry.into_mut()),
            Entry::Vacant(entry) => Ok(entry.insert(dial(address)?)),
        }
    }
}

fn dial(address: SocketAddr) -> Result<Socket, PeerError> {
    let socket = Socket::new(Protocol::Req0)?;
    socket.set_opt::<SendTimeout>(Some(ANSWER_TIMEOUT))?;
    socket.set_opt::<RecvTimeout>(Some(ANSWER_TIMEOUT))?;
    socket.set_opt::<RecvMaxSize>(MAX_MESSAGE_BYTES)?;
    socket.dial_async(&format!("tcp://{address}"))?;
    Ok(socket)
}
