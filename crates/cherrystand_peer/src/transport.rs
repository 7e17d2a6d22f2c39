//! The transport between daemons, over `nng`.

use std::collections::HashMap;
use std::collections::hash_map::Entry;
use std::net::SocketAddr;
use std::time::Duration;

use nng::options::{Options, RecvMaxSize, RecvTimeout, SendTimeout};
use nng::{Protocol, Socket};

use crate::{CodecError, Question, Reply, decode, encode};

/// Maximum size of a message, in bytes: a full batch of records.
pub const MAX_MESSAGE_BYTES: usize = 4 << 20;

/// Timeout of a question to a peer.
pub const ANSWER_TIMEOUT: Duration = Duration::from_millis(400);

/// How long a listener waits for a question before it returns to its caller.
const LISTEN_TIMEOUT: Duration = Duration::from_millis(200);

/// The reason why an exchange with a peer failed.
#[derive(Debug, thiserror::Error)]
pub enum PeerError {
    /// The transport failed or the peer did not answer in time.
    #[error("the peer did not answer")]
    Transport(#[source] nng::Error),
    /// The peer's message cannot be decoded.
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
    /// Returns a [`PeerError`] if the socket cannot listen at the address.
    pub fn bind(address: SocketAddr) -> Result<Self, PeerError> {
        let socket = Socket::new(Protocol::Rep0)?;
        socket.set_opt::<RecvTimeout>(Some(LISTEN_TIMEOUT))?;
        socket.set_opt::<SendTimeout>(Some(LISTEN_TIMEOUT))?;
        socket.set_opt::<RecvMaxSize>(MAX_MESSAGE_BYTES)?;
        socket.listen(&format!("tcp://{address}"))?;
        Ok(Self { socket })
    }

    /// Waits for a question up to a timeout, and answers it with the result of `answer`.
    ///
    /// Returns the number of bytes received and sent, or nothing if no question arrived.
    ///
    /// # Errors
    ///
    /// Returns a [`PeerError`] if the question cannot be decoded or the answer cannot be sent. The
    /// listener remains usable.
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

/// Sends questions to peers, and keeps a connection to each of them.
#[derive(Default)]
pub struct PeerDialer {
    sockets: HashMap<SocketAddr, Socket>,
}

impl PeerDialer {
    /// Sends a question to the peer at an address and waits for its answer.
    ///
    /// Returns the answer and the number of bytes sent and received.
    ///
    /// # Errors
    ///
    /// Returns a [`PeerError`] if no valid answer arrives within [`ANSWER_TIMEOUT`].
    pub fn ask(
        &mut self,
        address: SocketAddr,
        question: &Question,
    ) -> Result<(Reply, usize, usize), PeerError> {
        let bytes = encode(question)?;
        let outcome = self.exchange(address, &bytes);
        if outcome.is_err() {
            // A late answer must not be taken for the answer to another question, so the socket is replaced.
            self.sockets.remove(&address);
        }
        let received = outcome?;
        Ok((decode(&received)?, bytes.len(), received.len()))
    }

    /// Closes the connections to all peers that are not listed.
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
