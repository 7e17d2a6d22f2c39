//! The domains' records as the store last told them.

use std::collections::BTreeMap;
use std::sync::Arc;

use cherrystand_core::{AssignedBoxes, Document, DomainId, DomainRecord, Revision, replica_name};

/// A domain's record and the copy that peers get.
#[derive(Clone, Debug)]
struct HeldDomain {
    record: DomainRecord,
    copy: Document,
}

/// Keeps the latest record of each domain, and which boxes the records give to which replica.
#[derive(Clone, Debug, Default)]
pub(crate) struct DomainRecords {
    held: BTreeMap<DomainId, HeldDomain>,
    /// Shared with the published view; only what a new record changes is worked out anew.
    assigned: Arc<AssignedBoxes>,
}

impl DomainRecords {
    /// Takes in a record, unless a later one is held or it is malformed, and tells whether it did.
    pub(crate) fn take(&mut self, copy: &Document) -> bool {
        let record = match serde_json::from_str::<DomainRecord>(&copy.body) {
            Ok(record) => record,
            Err(err) => {
                log::error!(key = &*copy.key; "a domain's record is malformed: {err}");
                return false;
            }
        };
        let held = self.held.get(&record.domain);
        if held.is_some_and(|held| held.copy.revision >= copy.revision) {
            return false;
        }
        let assigned = Arc::make_mut(&mut self.assigned);
        for (key, _) in held.iter().flat_map(|held| assigned_in(&held.record)) {
            assigned.remove(&key);
        }
        assigned.extend(assigned_in(&record));
        self.held.insert(record.domain.clone(), HeldDomain { record, copy: copy.clone() });
        true
    }

    /// Returns the domains that have a record.
    pub(crate) fn domains(&self) -> impl Iterator<Item = &DomainId> {
        self.held.keys()
    }

    /// Returns a domain's record and its revision; an empty one where there is none.
    pub(crate) fn get(&self, domain: &DomainId) -> (Revision, DomainRecord) {
        match self.held.get(domain) {
            Some(held) => (held.copy.revision, held.record.clone()),
            None => (Revision(0), DomainRecord::empty(domain.clone())),
        }
    }

    /// Returns the model that each domain is for, where its record names one.
    pub(crate) fn homes(&self) -> BTreeMap<DomainId, String> {
        let named =
            self.held.iter().filter_map(|(id, held)| Some((id.clone(), held.record.home.clone()?)));
        named.collect()
    }

    /// Returns the boxes of each replica.
    pub(crate) fn assigned(&self) -> &Arc<AssignedBoxes> {
        &self.assigned
    }

    /// Returns the records as they stand in the store.
    pub(crate) fn copies(&self) -> impl Iterator<Item = &Document> {
        self.held.values().map(|held| &held.copy)
    }
}

/// Returns the boxes of each replica of one domain.
fn assigned_in(record: &DomainRecord) -> AssignedBoxes {
    let replicas = record.replicas.iter();
    let named = replicas
        .map(|(id, held)| ((replica_name(&record.domain, id), held.epoch), held.boxes.clone()));
    named.collect()
}
