//! The domain records as last read from the store.

use std::collections::BTreeMap;
use std::sync::Arc;

use cherrystand_core::{
    AssignedBoxes, BoxId, Document, DomainId, DomainRecord, Revision, replica_name,
};

/// A domain record and the document that is passed on to peers.
#[derive(Clone, Debug)]
struct HeldRecord {
    record: DomainRecord,
    /// The record as a document, at the revision at which the store holds this record or an earlier
    /// one.
    document: Document,
    /// Whether the store, since it was restored from a backup, holds no record or an earlier one.
    is_lost: bool,
}

impl HeldRecord {
    /// Returns whether the held record is newer than one of a later era. `is_restored` says that
    /// the latter comes from the backup that the store was restored from.
    fn supersedes(&self, record: &DomainRecord, is_restored: bool) -> bool {
        let (held, received) = (self.record.last_epoch, record.last_epoch);
        held > received || (held == received && is_restored)
    }
}

/// Holds the latest record of each domain, and which boxes the records assign to each replica.
#[derive(Clone, Debug, Default)]
pub(crate) struct DomainRecords {
    held: BTreeMap<DomainId, HeldRecord>,
    /// Shared with the published view. Only the part that a new record changes is recomputed.
    assigned: Arc<AssignedBoxes>,
}

impl DomainRecords {
    /// Applies a record, unless a later one is held. Returns whether it was applied.
    ///
    /// `is_restored` says that the record comes from the backup that the store was restored from.
    ///
    /// # Errors
    ///
    /// Returns an error if the record is malformed; the one held stays.
    pub(crate) fn apply(
        &mut self,
        document: &Document,
        is_restored: bool,
    ) -> Result<bool, serde_json::Error> {
        let record: DomainRecord = serde_json::from_str(&document.body)?;
        let held = self.held.get(&record.domain);
        if held.is_some_and(|held| held.document.revision >= document.revision) {
            return Ok(false);
        }
        if let Some(held) = self.held.get_mut(&record.domain)
            && held.document.revision.era() < document.revision.era()
            && held.supersedes(&record, is_restored)
        {
            // Boxes follow the epochs of the held record, and epochs are never reused.
            held.is_lost = held.record != record;
            held.document.revision = document.revision;
            return Ok(false);
        }
        let held = self.held.get(&record.domain);
        let assigned = Arc::make_mut(&mut self.assigned);
        for (key, _) in held.iter().flat_map(|held| replica_boxes(&held.record)) {
            assigned.remove(&key);
        }
        assigned.extend(replica_boxes(&record));
        self.held.insert(
            record.domain.clone(),
            HeldRecord { record, document: document.clone(), is_lost: false },
        );
        Ok(true)
    }

    /// Marks the records that the store no longer holds as lost, so that they are written again
    /// from the held documents.
    pub(crate) fn mark_lost(&mut self, is_missing: impl Fn(&Document) -> bool) {
        for held in self.held.values_mut().filter(|held| is_missing(&held.document)) {
            (held.document.revision, held.is_lost) = (Revision::NONE, true);
        }
    }

    /// Returns whether the held record of a domain has to be written to the store again.
    pub(crate) fn is_lost(&self, domain: &DomainId) -> bool {
        self.held.get(domain).is_some_and(|held| held.is_lost)
    }

    /// Returns the domains that have a record.
    pub(crate) fn domains(&self) -> impl Iterator<Item = &DomainId> {
        self.held.keys()
    }

    /// Returns a domain's record and its revision, or an empty record if there is none.
    pub(crate) fn get(&self, domain: &DomainId) -> (Revision, DomainRecord) {
        match self.held.get(domain) {
            Some(held) => (held.document.revision, held.record.clone()),
            None => (Revision::NONE, DomainRecord::empty(domain.clone())),
        }
    }

    /// Returns the boxes that a domain's record assigns to replicas.
    pub(crate) fn assigned_boxes(&self, domain: &DomainId) -> impl Iterator<Item = &BoxId> {
        let record = self.held.get(domain).map(|held| &held.record);
        record.into_iter().flat_map(|record| record.replicas.values()).flat_map(|held| &held.boxes)
    }

    /// Returns the home model of each domain whose record names one.
    pub(crate) fn home_models(&self) -> BTreeMap<DomainId, String> {
        let homes =
            self.held.iter().filter_map(|(id, held)| Some((id.clone(), held.record.home.clone()?)));
        homes.collect()
    }

    /// Returns the second model for the hosts of each domain whose record names one.
    pub(crate) fn second_models(&self) -> BTreeMap<DomainId, String> {
        let seconds = self.held.iter();
        seconds.filter_map(|(id, held)| Some((id.clone(), held.record.second.clone()?))).collect()
    }

    /// Returns the boxes assigned to each replica.
    pub(crate) fn assigned(&self) -> &Arc<AssignedBoxes> {
        &self.assigned
    }

    /// Returns the boxes assigned to each replica, each under the ID that `listed_id_for` returns
    /// for it, if any.
    pub(crate) fn assigned_with_listed_ids(
        &self,
        listed_id_for: impl Fn(&BoxId) -> Option<BoxId>,
    ) -> Arc<AssignedBoxes> {
        let is_listed_id = |id: &BoxId| listed_id_for(id).is_none();
        if self.assigned.values().flatten().all(is_listed_id) {
            return self.assigned.clone();
        }
        let mut assigned = self.assigned.clone();
        for id in Arc::make_mut(&mut assigned).values_mut().flatten() {
            if let Some(listed) = listed_id_for(id) {
                *id = listed;
            }
        }
        assigned
    }

    /// Returns whether any record names a box.
    pub(crate) fn names_box(&self, id: &BoxId) -> bool {
        let mut records = self.held.values().map(|held| &held.record);
        records.any(|record| !record.is_free(id))
    }

    /// Returns the records as they stand in the store.
    pub(crate) fn documents(&self) -> impl Iterator<Item = &Document> {
        self.held.values().map(|held| &held.document)
    }
}

/// Returns the boxes assigned to each replica of one domain.
fn replica_boxes(record: &DomainRecord) -> AssignedBoxes {
    let replicas = record.replicas.iter();
    let named = replicas
        .map(|(id, held)| ((replica_name(&record.domain, id), held.epoch), held.boxes.clone()));
    named.collect()
}
