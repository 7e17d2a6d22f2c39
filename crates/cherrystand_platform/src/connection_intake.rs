//! Which connections of callers a listener takes.

use std::io;
use std::rc::Rc;
use std::time::Duration;

/// How far a connection was when it ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConnectionEnd {
    /// No head of a next request was read.
    BetweenRequests,
    /// Its next request was not taken, and nothing was read of it.
    NotTaken,
    /// The head of a request was read, and its caller has no whole answer.
    Unanswered,
}

impl ConnectionEnd {
    /// All ends.
    pub const ALL: [Self; 3] = [Self::BetweenRequests, Self::NotTaken, Self::Unanswered];

    /// Returns the name that logs and metrics use.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::BetweenRequests => "between-requests",
            Self::NotTaken => "not-taken",
            Self::Unanswered => "unanswered",
        }
    }
}

/// A connection that is open, which counts as such until this is dropped.
pub trait TakenConnection {
    /// Records that its first request was read, or is not expected soon.
    fn first_request_read(&self);

    /// Returns whether a further request, of which nothing has been read, is taken. Otherwise the
    /// connection is closed.
    fn takes_next_request(&self) -> bool;

    /// Records how the connection ended, and the error that ended it.
    fn ended(&self, end: ConnectionEnd, err: Option<&hyper::Error>);
}

/// A connection that isn't taken. It is closed unread, so that its caller tries another daemon at once.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct NotTaken {
    /// For how long the listener is to be closed too. Connections are refused meanwhile, which costs
    /// this machine nothing.
    pub closed_for: Option<Duration>,
}

/// Decides which connections of a listener are taken.
pub trait ConnectionIntake {
    /// A connection that was taken.
    type Connection: TakenConnection + 'static;

    /// Takes one more connection, of which nothing has been read.
    ///
    /// # Errors
    ///
    /// Returns [`NotTaken`] if the connection is to be closed.
    fn take(self: &Rc<Self>) -> Result<Self::Connection, NotTaken>;

    /// Records that the listener failed to accept a connection or to open again. It is tried again.
    fn listener_failed(&self, err: &io::Error);
}

/// Takes all connections and all their requests.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct TakeAll;

impl TakenConnection for TakeAll {
    fn first_request_read(&self) {}

    fn takes_next_request(&self) -> bool {
        true
    }

    fn ended(&self, _: ConnectionEnd, _: Option<&hyper::Error>) {}
}

impl ConnectionIntake for TakeAll {
    type Connection = Self;

    fn take(self: &Rc<Self>) -> Result<Self, NotTaken> {
        Ok(Self)
    }

    // Callers of these listeners connect again; a failure that lasts shows at callers' own listener.
    fn listener_failed(&self, _: &io::Error) {}
}
