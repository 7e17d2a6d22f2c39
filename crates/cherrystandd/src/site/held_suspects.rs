//! The store's record of requests that end replicas, as it was last told.

use std::sync::Arc;

use cherrystand_core::{Document, Revision, SuspectRecord};

/// Keeps the latest record and the copy that peers get.
#[derive(Default)]
pub(crate) struct HeldSuspects {
    /// The revision of the last one, whether it could be read or not: it is written over.
    revision: Revision,
    copy: Option<Document>,
    record: Arc<SuspectRecord>,
}

impl HeldSuspects {
    /// Takes in a record, unless a later one is held, and tells whether it did; of one that is `is_old`, which the
    /// store held as it came back from a copy, only the revision counts.
    ///
    /// # Errors
    ///
    /// Returns why it is malformed; the one held stays.
    pub(crate) fn update(
        &mut self,
        copy: &Document,
        is_from_copy: bool,
    ) -> Result<bool, serde_json::Error> {
        if self.revision >= copy.revision {
            return Ok(false);
        }
        let is_known = self.revision != Revision::NONE;
        let is_from_copy = is_from_copy && self.revision.era() < copy.revision.era();
        self.revision = copy.revision;
        if is_known && is_from_copy {
            return Ok(false);
        }
        self.record = Arc::new(serde_json::from_str(&copy.body)?);
        self.copy = Some(copy.clone());
        Ok(true)
    }

    /// Takes in that the store holds none; what is held is written as a new one.
    pub(crate) fn mark_missing(&mut self) {
        self.revision = Revision::NONE;
    }

    /// Returns the record and its revision; an empty one where there is none.
    pub(crate) fn get(&self) -> (Revision, Arc<SuspectRecord>) {
        (self.revision, self.record.clone())
    }

    /// Returns the copy that peers get.
    pub(crate) fn copy(&self) -> Option<&Document> {
        self.copy.as_ref()
    }
}
