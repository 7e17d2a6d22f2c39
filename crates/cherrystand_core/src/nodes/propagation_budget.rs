//! How the time that a change may take to all daemons is split over its way.
//!
//! Source: docs/design/0025-how-old-news-may-be.md.

use crate::Millis;

/// Splits the longest time that may pass between a change in the store and its being known everywhere.
///
/// A change goes from the store to a zone's reader, from there to a branch in a large zone, and to everybody else. Any
/// of them, and any connection between them, may fall silent at any moment. Times that were each chosen alone added up
/// to more than the bound; all are parts of it here, and [`PropagationBudget::longest`] adds them up.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PropagationBudget {
    bound: Millis,
}

/// Says what fails on the way of a change.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PropagationFault {
    /// The reader's connection to the store carries nothing any more; new ones work.
    StalledConnection,
    /// The reader is cut off from the store; it answers its peers.
    ReaderCutOff,
    /// The reader answers nobody.
    ReaderUnresponsive,
    /// The store leaves the questions of one daemon unanswered that has no reader.
    StoreUnresponsive,
}

impl PropagationFault {
    /// All of them.
    pub const ALL: [Self; 4] = [
        Self::StalledConnection,
        Self::ReaderCutOff,
        Self::ReaderUnresponsive,
        Self::StoreUnresponsive,
    ];
}

impl Default for PropagationBudget {
    fn default() -> Self {
        Self { bound: Self::DEFAULT_BOUND }
    }
}

impl PropagationBudget {
    /// The bound where none is stated.
    pub const DEFAULT_BOUND: Millis = Millis(2_000);

    /// The smallest bound that can be kept, by way of branches as well.
    pub const MIN_BOUND: Millis = Millis(2_000);

    /// The least time between two watches; changes that come faster arrive together.
    pub const MIN_WATCH_INTERVAL: Millis = Millis(60);

    /// How long a call to the store may take that does not wait.
    pub const STORE_TIMEOUT: Millis = Millis(1_000);

    /// How often a daemon whose store failed it looks whether a peer is a source.
    pub const SOURCE_CHECK_INTERVAL: Millis = Millis(250);

    /// How long a peer may take to answer beyond the time for which it waits for a change.
    pub const PEER_RESPONSE_TIME: Millis = Millis(400);

    /// The longest time between two questions to a peer.
    pub const MAX_POLL_INTERVAL: Millis = Millis(250);

    /// How long an answer takes over links and processors that are well, the store's own time included.
    pub const HOP_LATENCY: Millis = Millis(50);

    /// Creates the split of a bound.
    pub fn new(bound: Millis) -> Self {
        Self { bound }
    }

    /// Returns a part of the bound, `most` at the most: more would only make what fails known later.
    fn fraction(self, parts: u64, of: u64, most: u64) -> Millis {
        Millis((self.bound.0 * parts / of).min(most))
    }

    /// Returns for how long a question to the store waits for a change; each is a call that is paid for, and most of a
    /// quiet store's bring nothing.
    pub fn watch_timeout(self) -> Millis {
        self.fraction(1, 4, 1_000)
    }

    /// Returns after what time without its answer such a question is asked again on another connection.
    pub fn watch_hedge_delay(self) -> Millis {
        self.watch_timeout() + self.fraction(1, 10, 500)
    }

    /// Returns up to what age a daemon passes on what it knows.
    pub fn max_source_age(self) -> Millis {
        self.fraction(1, 2, 1_800)
    }

    /// Returns how long a daemon reads nothing more at the most after what took it long to take in.
    pub fn max_pause(self) -> Millis {
        self.fraction(1, 10, 400)
    }

    /// Returns for how long a question to a peer waits for a change.
    pub fn peer_wait(self) -> Millis {
        self.fraction(1, 8, 500)
    }

    /// Returns how long a question to a peer takes until it is given up.
    pub fn peer_timeout(self) -> Millis {
        self.peer_wait() + Self::PEER_RESPONSE_TIME
    }

    /// Returns how old a daemon's knowledge gets at the most while one thing fails and the store is well, in a large zone
    /// by way of a branch.
    pub fn worst_case_delay(self, fault: PropagationFault, has_branches: bool) -> Millis {
        let hop = Self::MAX_POLL_INTERVAL.max(self.max_pause()) + Self::HOP_LATENCY;
        let below = if has_branches { hop + hop } else { hop };
        // Whoever is told that its source knows nothing fresh asks the next at once: the second reader, which asks the
        // store, or the store itself.
        let next = Self::HOP_LATENCY + Self::HOP_LATENCY;
        match fault {
            PropagationFault::StalledConnection => {
                Self::MIN_WATCH_INTERVAL + self.watch_hedge_delay() + next + below
            }
            PropagationFault::ReaderCutOff => self.max_source_age() + next + below,
            PropagationFault::ReaderUnresponsive => {
                Self::MAX_POLL_INTERVAL + self.peer_timeout() + next + below
            }
            PropagationFault::StoreUnresponsive => {
                let given_up = self.watch_timeout() + Self::STORE_TIMEOUT;
                given_up + Self::SOURCE_CHECK_INTERVAL + next
            }
        }
    }
}
