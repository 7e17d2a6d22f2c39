//! The last changes that a daemon learned of, for peers that read them from it.

use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::{BoxId, Document, Revision};

/// How many changes are kept; a peer that has fallen behind further reads the whole state again.
const MAX_CHANGES: usize = 2_000;

/// One change.
#[derive(Clone, Debug)]
enum Change {
    /// A record was written.
    Record(Document),
    /// A box was removed.
    Removed(BoxId),
}

/// The changes since a peer last asked.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ChangesSince {
    /// The records written, each in its current version.
    pub records: Vec<Document>,
    /// The boxes that were removed.
    pub gone: Vec<BoxId>,
}

/// Keeps the last changes in order.
#[derive(Clone, Debug, Default)]
pub struct ChangeLog {
    changes: VecDeque<(Arc<str>, Change)>,
    /// The number of all changes so far.
    count: u64,
    /// Revisions up to which everything was known, each with the number of changes at that time, in
    /// order.
    known: VecDeque<(Revision, u64)>,
}

impl ChangesSince {
    /// Returns whether nothing changed.
    pub fn is_empty(&self) -> bool {
        self.records.is_empty() && self.gone.is_empty()
    }
}

impl ChangeLog {
    /// Adds a record that was written.
    pub fn record(&mut self, document: Document) {
        self.push(document.key.clone(), Change::Record(document));
    }

    /// Adds that a box, whose entry was under `key`, was removed.
    pub fn record_removal(&mut self, key: &str, id: BoxId) {
        self.push(Arc::from(key), Change::Removed(id));
    }

    fn push(&mut self, key: Arc<str>, change: Change) {
        self.changes.push_back((key, change));
        self.count += 1;
        if self.changes.len() > MAX_CHANGES {
            self.changes.pop_front();
        }
    }

    /// Records that everything up to a revision is known.
    pub fn record_known(&mut self, revision: Revision) {
        let is_new =
            self.known.back().is_none_or(|(known, count)| *known < revision && *count < self.count);
        if !is_new {
            return;
        }
        self.known.push_back((revision, self.count));
        if self.known.len() > MAX_CHANGES {
            self.known.pop_front();
        }
    }

    /// Returns a number of changes after which come all that somebody lacks who knows everything up
    /// to a revision, if all of these are still kept.
    pub fn count_known_at(&self, revision: Revision) -> Option<u64> {
        let later = self.known.partition_point(|(known, _)| *known <= revision);
        let (_, count) = self.known.get(later.checked_sub(1)?)?;
        Some(*count).filter(|count| self.has_all_since(*count))
    }

    /// Returns the number of all changes so far.
    pub fn count(&self) -> u64 {
        self.count
    }

    /// Returns whether all changes after the first `count` are still kept.
    pub fn has_all_since(&self, count: u64) -> bool {
        self.index_after(count).is_some()
    }

    /// Returns the index of the first change after the first `count`.
    fn index_after(&self, count: u64) -> Option<usize> {
        let missing = usize::try_from(self.count.checked_sub(count)?).ok()?;
        self.changes.len().checked_sub(missing)
    }

    /// Returns the last change of each key after the first `count` changes, or `None` if some of
    /// these are no longer kept.
    pub fn since(&self, count: u64) -> Option<ChangesSince> {
        let first = self.index_after(count)?;
        let last: BTreeMap<&str, &Change> =
            self.changes.range(first..).map(|(key, change)| (key.as_ref(), change)).collect();
        let mut since = ChangesSince::default();
        for change in last.into_values() {
            match change {
                Change::Record(document) => since.records.push(document.clone()),
                Change::Removed(id) => since.gone.push(id.clone()),
            }
        }
        Some(since)
    }
}
