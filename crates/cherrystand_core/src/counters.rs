//! Numbers that only grow: epochs, generations, revisions, incarnations.

use std::fmt;

use serde::{Deserialize, Serialize};

macro_rules! counter_type {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(
            Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
        )]
        #[serde(transparent)]
        pub struct $name(pub u64);

        impl $name {
            /// Returns the number that follows this one.
            #[must_use]
            pub fn next(self) -> Self {
                Self(self.0 + 1)
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                self.0.fmt(f)
            }
        }
    };
}

counter_type!(
    /// Numbers the assignments made in a fabric domain; orders carry it as their fence.
    Epoch
);
counter_type!(
    /// Numbers the accepted configurations of a workspace.
    Generation
);
counter_type!(
    /// Numbers the times that the platform's store has come back from a copy, in which its writes of the last seconds
    /// are missing and revisions are given out again.
    Era
);
counter_type!(
    /// Numbers the lives of one daemon, a return from a long pause counting as a new life.
    Incarnation
);

/// Says when something was written in the platform's store, or as of when it is known.
///
/// The store's own number grows only within one era; the order is by the era first. Only the store's client makes one
/// from what the store tells, so that no bare number is ever compared.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Revision {
    era: Era,
    number: u64,
}

impl Revision {
    /// Of what is not there, before all others.
    pub const NONE: Self = Self::new(0);

    /// Creates a revision of the first era.
    pub const fn new(number: u64) -> Self {
        Self::in_era(Era(0), number)
    }

    /// Creates a revision of an era.
    pub const fn in_era(era: Era, number: u64) -> Self {
        Self { era, number }
    }

    /// Returns its era.
    pub fn era(self) -> Era {
        self.era
    }

    /// Returns its number within the era, for the store that gave it.
    pub fn number(self) -> u64 {
        self.number
    }
}

impl fmt::Display for Revision {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self.era {
            Era(0) => self.number.fmt(f),
            era => write!(f, "{era}/{}", self.number),
        }
    }
}

/// Identifies one write, so that a write whose answer was lost can be found again by reading.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct WriteId {
    /// The daemon that wrote.
    pub node: crate::NodeId,
    /// The life of the daemon in which it wrote.
    pub incarnation: Incarnation,
    /// The number of the write within that life.
    pub sequence: u64,
}

/// Holds the identities of the last few writes of a record, oldest first.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(transparent)]
pub struct RecentWrites(Vec<WriteId>);

impl RecentWrites {
    /// How many writes are remembered.
    ///
    /// A writer reads back within one step of its own, so this has to exceed only the writers
    /// that can race on one record meanwhile.
    pub const CAPACITY: usize = 16;

    /// Adds a write, forgetting the oldest one beyond [`RecentWrites::CAPACITY`].
    pub fn push(&mut self, id: WriteId) {
        self.0.push(id);
        let excess = self.0.len().saturating_sub(Self::CAPACITY);
        self.0.drain(..excess);
    }

    /// Tells whether the write took effect and is still remembered.
    pub fn contains(&self, id: &WriteId) -> bool {
        self.0.contains(id)
    }
}
