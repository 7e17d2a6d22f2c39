//! Monotonic counters: epochs, generations, revisions, incarnations.

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
            /// Returns the next number.
            #[must_use]
            pub fn next(self) -> Self {
                self.plus(1)
            }

            /// Returns the number that follows after so many steps, or the last one there is.
            #[must_use]
            pub fn plus(self, steps: u64) -> Self {
                Self(self.0.saturating_add(steps))
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
    /// Counts the assignments made in a fabric domain; orders carry it as a fencing token.
    Epoch
);
counter_type!(
    /// Counts the accepted configurations of a workspace.
    Generation
);
counter_type!(
    /// Counts how often the platform's store was restored from a backup. A backup lacks the writes
    /// of the last seconds, so the store issues their revisions again.
    Era
);
counter_type!(
    /// Counts the incarnations of one daemon; resuming after a long pause starts a new one.
    Incarnation
);

/// The point in the history of the platform's store at which something was written, or as of which
/// it is known.
///
/// The store's own number increases only within one era, so revisions are ordered by era first.
/// Only the store's client creates revisions from the store's numbers, so that bare numbers are
/// never compared.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Revision {
    era: Era,
    number: u64,
}

impl Revision {
    /// The revision of a missing value, before all others.
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

    /// Returns its number within the era, as the store issued it.
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

/// Identifies one write, so that a write whose response was lost can be confirmed by reading the
/// record.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct WriteId {
    /// The daemon that wrote.
    pub node: crate::NodeId,
    /// The daemon's incarnation.
    pub incarnation: Incarnation,
    /// The number of the write within the incarnation.
    pub sequence: u64,
}

/// The ids of the last writes of a record, oldest first.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(transparent)]
pub struct RecentWrites(Vec<WriteId>);

impl RecentWrites {
    /// How many writes are kept.
    ///
    /// A writer reads a record back within one step of its write, so this only has to exceed the
    /// number of writers that can race on the record meanwhile.
    pub const CAPACITY: usize = 16;

    /// Adds a write and drops the oldest beyond [`RecentWrites::CAPACITY`].
    pub fn push(&mut self, id: WriteId) {
        self.0.push(id);
        let excess = self.0.len().saturating_sub(Self::CAPACITY);
        self.0.drain(..excess);
    }

    /// Returns whether the write took effect and is still remembered.
    pub fn contains(&self, id: &WriteId) -> bool {
        self.0.contains(id)
    }
}
