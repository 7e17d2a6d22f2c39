//! The domains' records as the store last told them.

use std::collections::BTreeMap;
use std::sync::Arc;

use cherrystand_core::{
    AssignedBoxes, BoxId, Document, DomainId, DomainRecord, Revision, replica_name,
};

/// A domain's record and the copy that peers get.
#[derive(Clone, Debug)]
struct HeldRecord {
    record: DomainRecord,
    /// Its revision is the one at which the store holds the record, or an earlier one of it.
    document: Document,
    /// Whether the store lacks it, or holds an earlier one, since it came back from a copy.
    is_lost: bool,
}

impl HeldRecord {
    /// Tells whether it is newer than a record of a later era, which a store that came back from a copy may have held
    /// before that.
    fn supersedes(&self, record: &DomainRecord, is_old: bool) -> bool {
        let (held, told) = (self.record.last_epoch, record.last_epoch);
        held > told || (held == told && is_old)
    }
}

/// Keeps the latest record of each domain, and which boxes the records give to which replica.
#[derive(Clone, Debug, Default)]
pub(crate) struct DomainRecords {
    held: BTreeMap<DomainId, HeldRecord>,
    /// Shared with the published view; only what a new record changes is worked out anew.
    assigned: Arc<AssignedBoxes>,
}

impl DomainRecords {
    /// Takes in a record, unless a later one is held, and tells whether it did; `is_old` says that a store which came
    /// back from a copy held it before that.
    ///
    /// # Errors
    ///
    /// Returns why it is malformed; the one held stays.
    pub(crate) fn apply(
        &mut self,
        copy: &Document,
        is_old: bool,
    ) -> Result<bool, serde_json::Error> {
        let record: DomainRecord = serde_json::from_str(&copy.body)?;
        let held = self.held.get(&record.domain);
        if held.is_some_and(|held| held.document.revision >= copy.revision) {
            return Ok(false);
        }
        if let Some(held) = self.held.get_mut(&record.domain)
            && held.document.revision.era() < copy.revision.era()
            && held.supersedes(&record, is_old)
        {
            // Boxes follow the epochs of the record held, which are not given out again.
            held.is_lost = held.record != record;
            held.document.revision = copy.revision;
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
            HeldRecord { record, document: copy.clone(), is_lost: false },
        );
        Ok(true)
    }

    /// Has records written again that the store no longer holds, by the copies that are held of them.
    pub(crate) fn mark_lost(&mut self, is_missing: impl Fn(&Document) -> bool) {
        for held in self.held.values_mut().filter(|held| is_missing(&held.document)) {
            (held.document.revision, held.is_lost) = (Revision::NONE, true);
        }
    }

    /// Tells whether a domain's record is to be written again as it is held.
    pub(crate) fn is_lost(&self, domain: &DomainId) -> bool {
        self.held.get(domain).is_some_and(|held| held.is_lost)
    }

    /// Returns the domains that have a record.
    pub(crate) fn domains(&self) -> impl Iterator<Item = &DomainId> {
        self.held.keys()
    }

    /// Returns a domain's record and its revision; an empty one where there is none.
    pub(crate) fn get(&self, domain: &DomainId) -> (Revision, DomainRecord) {
        match self.held.get(domain) {
            Some(held) => (held.document.revision, held.record.clone()),
            None => (Revision::NONE, DomainRecord::empty(domain.clone())),
        }
    }

    /// Returns the boxes that a domain's record gives to replicas.
    pub(crate) fn assigned_boxes(&self, domain: &DomainId) -> impl Iterator<Item = &BoxId> {
        let record = self.held.get(domain).map(|held| &held.record);
        record.into_iter().flat_map(|record| record.replicas.values()).flat_map(|held| &held.boxes)
    }

    /// Returns the model that each domain is for, where its record names one.
    pub(crate) fn home_models(&self) -> BTreeMap<DomainId, String> {
        let named =
            self.held.iter().filter_map(|(id, held)| Some((id.clone(), held.record.home.clone()?)));
        named.collect()
    }

    /// Returns the model that each domain's hosts are to hold besides, where its record names one.
    pub(crate) fn second_models(&self) -> BTreeMap<DomainId, String> {
        let named = self.held.iter();
        named.filter_map(|(id, held)| Some((id.clone(), held.record.second.clone()?))).collect()
    }

    /// Returns the boxes of each replica.
    pub(crate) fn assigned(&self) -> &Arc<AssignedBoxes> {
        &self.assigned
    }

    /// Returns the boxes of each replica, those named otherwise that `as_listed` has another id for.
    pub(crate) fn assigned_with_listed_ids(
        &self,
        as_listed: impl Fn(&BoxId) -> Option<BoxId>,
    ) -> Arc<AssignedBoxes> {
        let is_listed_so = |id: &BoxId| as_listed(id).is_none();
        if self.assigned.values().flatten().all(is_listed_so) {
            return self.assigned.clone();
        }
        let mut assigned = self.assigned.clone();
        for id in Arc::make_mut(&mut assigned).values_mut().flatten() {
            if let Some(listed) = as_listed(id) {
                *id = listed;
            }
        }
        assigned
    }

    /// Tells whether any record names a box.
    pub(crate) fn names_box(&self, id: &BoxId) -> bool {
        let mut records = self.held.values().map(|held| &held.record);
        records.any(|record| !record.is_free(id))
    }

    /// Returns the records as they stand in the store.
    pub(crate) fn documents(&self) -> impl Iterator<Item = &Document> {
        self.held.values().map(|held| &held.document)
    }
}

/// Returns the boxes of each replica of one domain.
fn replica_boxes(record: &DomainRecord) -> AssignedBoxes {
    let replicas = record.replicas.iter();
    let named = replicas
        .map(|(id, held)| ((replica_name(&record.domain, id), held.epoch), held.boxes.clone()));
    named.collect()
}
