//! The store's record of requests that crash replicas, as last read.

use std::sync::Arc;

use cherrystand_core::{Document, Revision, SuspectRecord};

/// Keeps the latest record and the document that peers are given.
#[derive(Default)]
pub(crate) struct HeldSuspects {
    /// The revision of the latest record, even if that couldn't be parsed: the next write replaces
    /// it.
    revision: Revision,
    document: Option<Document>,
    record: Arc<SuspectRecord>,
}

impl HeldSuspects {
    /// Takes over a record unless a later one is held, and returns whether it did. If the record
    /// `is_restored`, meaning that it comes from the copy from which the store was restored, and a
    /// record is already known, only its revision is taken over.
    ///
    /// # Errors
    ///
    /// Returns the parse error of a malformed record; the one held stays.
    pub(crate) fn update(
        &mut self,
        document: &Document,
        is_restored: bool,
    ) -> Result<bool, serde_json::Error> {
        if self.revision >= document.revision {
            return Ok(false);
        }
        let is_known = self.revision != Revision::NONE;
        let is_restored = is_restored && self.revision.era() < document.revision.era();
        self.revision = document.revision;
        if is_known && is_restored {
            return Ok(false);
        }
        self.record = Arc::new(serde_json::from_str(&document.body)?);
        self.document = Some(document.clone());
        Ok(true)
    }

    /// Records that the store holds no record; the one held is then written as a new one.
    pub(crate) fn mark_missing(&mut self) {
        self.revision = Revision::NONE;
    }

    /// Returns the record, which is empty if there is none, and its revision.
    pub(crate) fn get(&self) -> (Revision, Arc<SuspectRecord>) {
        (self.revision, self.record.clone())
    }

    /// Returns the document that peers are given.
    pub(crate) fn document(&self) -> Option<&Document> {
        self.document.as_ref()
    }
}
