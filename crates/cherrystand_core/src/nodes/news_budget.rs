//! How the time that a change may take to all daemons is split over its way.
//!
//! Source: docs/design/0025-how-old-news-may-be.md.

use crate::Millis;

/// Splits the longest time that may pass between a change in the store and its being known everywhere.
///
/// A change goes from the store to a zone's reader, from there to a branch in a large zone, and to everybody else. Any
/// of them, and any connection between them, may fall silent at any moment. Times that were each chosen alone added up
/// to more than the bound; all are parts of it here, and [`NewsBudget::longest`] adds them up.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct NewsBudget {
    bound: Millis,
}

/// Says what fails on the way of a change.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NewsFault {
    /// The reader's connection to the store carries nothing any more; new ones work.
    SilentConnection,
    /// The reader is cut off from the store; it answers its peers.
    ReaderCutOff,
    /// The reader answers nobody.
    ReaderSilent,
    /// The store leaves the questions of one daemon unanswered that has no reader.
    TurnedAwaySilently,
}

impl NewsFault {
    /// All of them.
    pub const ALL: [Self; 4] =
        [Self::SilentConnection, Self::ReaderCutOff, Self::ReaderSilent, Self::TurnedAwaySilently];
}

impl Default for NewsBudget {
    fn default() -> Self {
        Self { bound: Self::USUAL }
    }
}

impl NewsBudget {
    /// The bound where none is stated.
    pub const USUAL: Millis = Millis(2_000);

    /// The smallest bound that can be kept, by way of branches as well.
    pub const LEAST: Millis = Millis(2_000);

    /// The least time between two watches; changes that come faster arrive together.
    pub const BETWEEN_WATCHES: Millis = Millis(60);

    /// How long a call to the store may take that does not wait.
    pub const STORE_ANSWERS_WITHIN: Millis = Millis(1_000);

    /// How often a daemon whose store failed it looks whether a peer is a source.
    pub const LOOK_FOR_SOURCE: Millis = Millis(250);

    /// How long a peer may take to answer beyond the time for which it waits for a change.
    pub const PEER_ANSWERS_WITHIN: Millis = Millis(400);

    /// The longest time between two questions to a peer.
    pub const BETWEEN_QUESTIONS: Millis = Millis(250);

    /// How long an answer takes over links and processors that are well, the store's own time included.
    pub const ONE_WAY: Millis = Millis(50);

    /// Creates the split of a bound.
    pub fn new(bound: Millis) -> Self {
        Self { bound }
    }

    /// Returns a part of the bound, `most` at the most: more would only make what fails known later.
    fn part(self, parts: u64, of: u64, most: u64) -> Millis {
        Millis((self.bound.0 * parts / of).min(most))
    }

    /// Returns for how long a question to the store waits for a change; each is a call that is paid for, and most of a
    /// quiet store's bring nothing.
    pub fn watch_for(self) -> Millis {
        self.part(1, 4, 1_000)
    }

    /// Returns after what time without its answer such a question is asked again on another connection.
    pub fn doubled_after(self) -> Millis {
        self.watch_for() + self.part(1, 10, 500)
    }

    /// Returns up to what age a daemon passes on what it knows.
    pub fn fresh_for(self) -> Millis {
        self.part(1, 2, 1_800)
    }

    /// Returns how long a daemon reads nothing more at the most after what took it long to take in.
    pub fn longest_rest(self) -> Millis {
        self.part(1, 10, 400)
    }

    /// Returns for how long a question to a peer waits for a change.
    pub fn wait(self) -> Millis {
        self.part(1, 8, 500)
    }

    /// Returns how long a question to a peer takes until it is given up.
    pub fn peer_given_up_after(self) -> Millis {
        self.wait() + Self::PEER_ANSWERS_WITHIN
    }

    /// Returns how old a daemon's knowledge gets at the most while one thing fails and the store is well, in a large zone
    /// by way of a branch.
    pub fn longest(self, fault: NewsFault, has_branches: bool) -> Millis {
        let hop = Self::BETWEEN_QUESTIONS.max(self.longest_rest()) + Self::ONE_WAY;
        let below = if has_branches { hop + hop } else { hop };
        // Whoever is told that its source knows nothing fresh asks the next at once: the second reader, which asks the
        // store, or the store itself.
        let next = Self::ONE_WAY + Self::ONE_WAY;
        match fault {
            NewsFault::SilentConnection => {
                Self::BETWEEN_WATCHES + self.doubled_after() + next + below
            }
            NewsFault::ReaderCutOff => self.fresh_for() + next + below,
            NewsFault::ReaderSilent => {
                Self::BETWEEN_QUESTIONS + self.peer_given_up_after() + next + below
            }
            NewsFault::TurnedAwaySilently => {
                let given_up = self.watch_for() + Self::STORE_ANSWERS_WITHIN;
                given_up + Self::LOOK_FOR_SOURCE + next
            }
        }
    }
}
