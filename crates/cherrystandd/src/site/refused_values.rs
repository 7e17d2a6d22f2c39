//! Values of the store that are not what they should be, counted and written down once.

use std::collections::BTreeMap;
use std::fmt::Display;
use std::sync::Arc;

use cherrystand_core::{Document, Revision};

/// How many keys are remembered whose values were written down; other writers may make any number.
const MAX_REMEMBERED_KEYS: usize = 4_096;

/// How many refused values are written down before the counts alone are kept, until the counts are
/// taken.
const MAX_LOGGED_VALUES: u64 = 10;

/// How much of a reason is written down, in characters; it may repeat the value.
const MAX_REASON_CHARS: usize = 300;

/// Says what a refused value should have been.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum RefusedKind {
    /// What a box tells of itself.
    BoxEntry,
    /// The operators' configuration.
    Configuration,
    /// The record of a domain.
    DomainRecord,
    /// The record of requests that end replicas.
    Suspects,
    /// Which availability zones operators have emptied, or a key that names none.
    EvacuatedZones,
    /// The store's era in one of its answers.
    Era,
}

impl RefusedKind {
    /// Lists them all.
    pub(crate) const ALL: [Self; 6] = [
        Self::BoxEntry,
        Self::Configuration,
        Self::DomainRecord,
        Self::Suspects,
        Self::EvacuatedZones,
        Self::Era,
    ];

    /// Returns the name that metrics and logs use.
    pub(crate) fn as_str(self) -> &'static str {
        match self {
            Self::BoxEntry => "entry",
            Self::Configuration => "configuration",
            Self::DomainRecord => "domain-record",
            Self::Suspects => "suspects",
            Self::EvacuatedZones => "emptied-zones",
            Self::Era => "era",
        }
    }
}

/// Counts values that cannot be used, each once by its key and revision.
#[derive(Debug, Default)]
pub(crate) struct RefusedValues {
    seen: BTreeMap<Arc<str>, Revision>,
    counts: BTreeMap<RefusedKind, u64>,
    logged: u64,
}

impl RefusedValues {
    /// Notes a value that cannot be used; what was in force before stays, but for entries of boxes,
    /// which name none then.
    pub(crate) fn record(&mut self, value: &Document, kind: RefusedKind, reason: &dyn Display) {
        if self.seen.get(&value.key) == Some(&value.revision) {
            return;
        }
        if self.seen.len() >= MAX_REMEMBERED_KEYS {
            self.seen.clear();
        }
        self.seen.insert(value.key.clone(), value.revision);
        *self.counts.entry(kind).or_default() += 1;
        self.logged += 1;
        if self.logged <= MAX_LOGGED_VALUES {
            let reason: String = reason.to_string().chars().take(MAX_REASON_CHARS).collect();
            log::error!(
                key = &*value.key, revision = value.revision.to_string(), kind = kind.as_str();
                "a value of the store is refused: {reason}"
            );
        }
    }

    /// Returns the counts since the last call.
    pub(crate) fn take_counts(&mut self) -> BTreeMap<RefusedKind, u64> {
        self.logged = 0;
        std::mem::take(&mut self.counts)
    }
}
