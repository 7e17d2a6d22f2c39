//! A listener that can be closed for a while.

use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use tokio::net::{TcpListener, TcpStream};
use tokio::time::sleep;

use crate::since_boot;

enum State {
    Open(TcpListener),
    /// Closed until a time since boot.
    ClosedUntil(Duration),
}

/// Accepts connections at one address, and refuses them while it is closed.
pub(crate) struct ReopeningListener {
    state: State,
    /// Where it listens, if that is known.
    address: Option<SocketAddr>,
}

impl ReopeningListener {
    pub(crate) fn new(listener: TcpListener) -> Self {
        Self { address: listener.local_addr().ok(), state: State::Open(listener) }
    }

    /// Closes the listener for some time. The machine refuses new connections meanwhile, and resets
    /// those that were not accepted yet.
    pub(crate) fn close_for(&mut self, time: Duration) {
        // Without its address it could not be opened again.
        if self.address.is_some() {
            self.state = State::ClosedUntil(since_boot() + time);
        }
    }

    /// Waits for the next connection, first until the listener is open again if it is closed.
    ///
    /// No connection is lost if the future is dropped.
    ///
    /// # Errors
    ///
    /// Returns the error of the operating system; it may be called again after one.
    pub(crate) async fn accept(&mut self) -> io::Result<(TcpStream, SocketAddr)> {
        loop {
            match &self.state {
                State::Open(listener) => return listener.accept().await,
                State::ClosedUntil(reopens_at) => {
                    sleep(reopens_at.saturating_sub(since_boot())).await;
                    let address = self.address.ok_or(io::ErrorKind::NotConnected)?;
                    self.state = State::Open(TcpListener::bind(address).await?);
                }
            }
        }
    }
}
