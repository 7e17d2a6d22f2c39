//! Which connections may carry a further try of a request.

/// One connection, among all that a process opens.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct ConnectionId(pub u64);

/// A connection that a request could be sent on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ConnectionUse {
    /// The connection.
    pub id: ConnectionId,
    /// Whether it has carried a request before.
    pub has_carried: bool,
}

/// The tries of one request so far.
///
/// A surplus answer to one try names the same request as the answer to the next, so that only the
/// connection tells them apart.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum EarlierTries {
    /// These connections carried them, and no other.
    On(Vec<ConnectionId>),
    /// Any connection may have carried one.
    Anywhere,
}

impl Default for EarlierTries {
    fn default() -> Self {
        Self::On(Vec::new())
    }
}

impl EarlierTries {
    /// Returns whether a connection may carry the next try: it surely has carried none before.
    pub fn allow(&self, conn: ConnectionUse) -> bool {
        match self {
            Self::On(connections) => !connections.contains(&conn.id),
            Self::Anywhere => !conn.has_carried,
        }
    }

    /// Records the connection that carries the next try.
    pub fn record(&mut self, conn: ConnectionId) {
        if let Self::On(connections) = self {
            connections.push(conn);
        }
    }

    /// Returns whether there has been none.
    pub fn is_empty(&self) -> bool {
        matches!(self, Self::On(connections) if connections.is_empty())
    }
}
