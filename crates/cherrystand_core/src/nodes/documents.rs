//! Copies of the platform's records that daemons pass on to each other.

use std::collections::BTreeMap;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::Revision;

/// One copy of a record.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Document {
    /// The record's key in the platform's key-value service.
    pub key: Arc<str>,
    /// The revision of the copy.
    pub revision: Revision,
    /// The content of the record as it was written.
    pub body: Arc<str>,
}

/// The key of a record and the revision of a copy.
pub type Version = (Arc<str>, Revision);

/// Holds the newest copies that a daemon has seen; the revision of a record never decreases.
#[derive(Clone, Debug, Default)]
pub struct Documents {
    copies: BTreeMap<Arc<str>, Document>,
}

impl Documents {
    /// Inserts a copy if it is newer than the one held, and returns whether it was.
    pub fn insert_if_newer(&mut self, document: Document) -> bool {
        let newer = self.revision(&document.key) < document.revision;
        if newer {
            self.copies.insert(document.key.clone(), document);
        }
        newer
    }

    /// Returns the copy of a record.
    pub fn get(&self, key: &str) -> Option<&Document> {
        self.copies.get(key)
    }

    /// Returns the revision of the copy held of a record, or the lowest one if there is none.
    pub fn revision(&self, key: &str) -> Revision {
        self.copies.get(key).map(|copy| copy.revision).unwrap_or_default()
    }

    /// Returns all copies whose key starts with `prefix`.
    pub fn with_prefix<'a>(&'a self, prefix: &'a str) -> impl Iterator<Item = &'a Document> + 'a {
        self.copies.values().filter(move |copy| copy.key.starts_with(prefix))
    }

    /// Returns the versions of all copies.
    pub fn versions(&self) -> Vec<Version> {
        let copy = self.copies.values();
        copy.map(|copy| (copy.key.clone(), copy.revision)).collect()
    }

    /// Returns a hash that is equal on two daemons that hold the same versions.
    pub fn fingerprint(&self) -> u64 {
        self.fingerprint_of_prefix("")
    }

    /// Returns the same hash of only the records whose key starts with `prefix`.
    pub fn fingerprint_of_prefix(&self, prefix: &str) -> u64 {
        let hash_of = |copy: &Document| {
            let revision = crate::mix(copy.revision.number() ^ crate::mix(copy.revision.era().0));
            crate::mix(crate::hash_bytes(copy.key.as_bytes()) ^ revision)
        };
        self.with_prefix(prefix).fold(0, |sum, copy| sum ^ hash_of(copy))
    }

    /// Returns the copies that are newer here than in `theirs`.
    pub fn newer_than(&self, theirs: &[Version]) -> Vec<Document> {
        let theirs: BTreeMap<&str, Revision> =
            theirs.iter().map(|(key, revision)| (key.as_ref(), *revision)).collect();
        let known = |copy: &Document| theirs.get(copy.key.as_ref()).copied().unwrap_or_default();
        let newer = self.copies.values().filter(|copy| known(copy) < copy.revision);
        newer.cloned().collect()
    }

    /// Returns the own versions of the records that `theirs` has newer copies of.
    pub fn older_than(&self, theirs: &[Version]) -> Vec<Version> {
        let newer = theirs.iter().filter(|(key, revision)| self.revision(key) < *revision);
        newer.map(|(key, _)| (key.clone(), self.revision(key))).collect()
    }
}
