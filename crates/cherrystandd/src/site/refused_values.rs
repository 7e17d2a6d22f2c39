//! Counts and logs values from the store that cannot be used.

use std::collections::BTreeMap;
use std::fmt::Display;
use std::sync::Arc;

use cherrystand_core::{Document, Revision};

/// Keys whose refused values are remembered, so that each is logged once. Other writers may write
/// any number of values.
const MAX_REMEMBERED_KEYS: usize = 4_096;

/// Refused values logged until the counts are next taken; further ones are only counted.
const MAX_LOGGED_VALUES: u64 = 10;

/// Characters logged of a reason, which may repeat the value.
const MAX_REASON_CHARS: usize = 300;

/// What a refused value should have been.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum RefusedKind {
    /// A box's entry.
    BoxEntry,
    /// The operators' configuration.
    Configuration,
    /// A domain's record.
    DomainRecord,
    /// The record of requests that crash replicas.
    Suspects,
    /// The evacuated availability zones, or a key that names no zone.
    EvacuatedZones,
    /// The store's era in one of its answers.
    Era,
}

impl RefusedKind {
    /// All kinds.
    pub(crate) const ALL: [Self; 6] = [
        Self::BoxEntry,
        Self::Configuration,
        Self::DomainRecord,
        Self::Suspects,
        Self::EvacuatedZones,
        Self::Era,
    ];

    /// Returns the name used in metrics and logs.
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

/// Counts values that cannot be used, each once per key and revision.
#[derive(Debug, Default)]
pub(crate) struct RefusedValues {
    seen: BTreeMap<Arc<str>, Revision>,
    counts: BTreeMap<RefusedKind, u64>,
    logged: u64,
}

impl RefusedValues {
    /// Records a value that cannot be used.
    ///
    /// The value held before stays in force, except that a box whose entry is refused is removed.
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
