//! The last versions of the configuration, as bases for packing a new one.

use std::collections::VecDeque;
use std::sync::Arc;

use cherrystand_core::Revision;

use crate::{PackError, PackedBody, UnpackError};

/// Number of kept versions. With twelve new versions a second, a peer that reads ten times a second has
/// one of the last two.
const CAPACITY: usize = 6;

/// Maximum total size of the versions before the newest one, in bytes, which bounds the memory that
/// large configurations take.
const MAX_OLDER_BYTES: usize = 6 << 20;

/// Number of cached packed forms of the newest version. Nearly all peers have the same one or two
/// versions.
const PACKED_CAPACITY: usize = 4;

/// The last versions of a text, with a cache of packed forms of the newest one.
#[derive(Debug, Default)]
pub struct ConfigHistory {
    /// The kept versions, the oldest first.
    versions: VecDeque<(Revision, Arc<str>)>,
    packed: VecDeque<Arc<PackedBody>>,
}

impl ConfigHistory {
    /// Records a version that is in force, unless it is older than the newest one.
    pub fn record(&mut self, revision: Revision, text: Arc<str>) {
        if revision <= self.newest_revision() {
            return;
        }
        self.versions.push_back((revision, text));
        self.packed.clear();
        while self.versions.len() > CAPACITY
            || (self.versions.len() > 1 && self.older_bytes() > MAX_OLDER_BYTES)
        {
            self.versions.pop_front();
        }
    }

    fn older_bytes(&self) -> usize {
        self.versions.iter().rev().skip(1).map(|(_, text)| text.len()).sum()
    }

    /// Returns the newest revision, or 0 if there is none.
    pub fn newest_revision(&self) -> Revision {
        self.versions.back().map(|(revision, _)| *revision).unwrap_or_default()
    }

    /// Returns the text of a revision, if it is kept.
    pub fn get(&self, revision: Revision) -> Option<&str> {
        let found = self.versions.iter().find(|(kept, _)| *kept == revision);
        found.map(|(_, text)| text.as_ref())
    }

    /// Returns the newest version for a peer that has the revision `theirs`, packed against that revision
    /// if it is kept. Returns nothing if the peer is up to date.
    ///
    /// # Errors
    ///
    /// Returns a [`PackError`] if the version cannot be packed.
    pub fn newer_than(&mut self, theirs: Revision) -> Result<Option<Arc<PackedBody>>, PackError> {
        let Some((revision, text)) = self.versions.back().filter(|(newest, _)| *newest > theirs)
        else {
            return Ok(None);
        };
        let base = self.get(theirs).map(|text| (theirs, text));
        let base_revision = base.map(|(revision, _)| revision);
        if let Some(packed) = self.packed.iter().find(|packed| packed.base == base_revision) {
            return Ok(Some(packed.clone()));
        }
        let packed = Arc::new(PackedBody::pack(*revision, text, base)?);
        self.packed.push_back(packed.clone());
        if self.packed.len() > PACKED_CAPACITY {
            self.packed.pop_front();
        }
        Ok(Some(packed))
    }

    /// Unpacks a version that a peer sent.
    ///
    /// # Errors
    ///
    /// Returns an [`UnpackError`] if the base version is not kept or the packed text is malformed.
    pub fn unpack(&self, packed: &PackedBody) -> Result<Arc<str>, UnpackError> {
        Ok(Arc::from(packed.unpack(|revision| self.get(revision))?))
    }
}
