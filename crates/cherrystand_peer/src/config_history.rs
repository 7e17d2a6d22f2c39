//! The last versions of the configuration, by which a new one is told as what changed.

use std::collections::VecDeque;
use std::sync::Arc;

use cherrystand_core::Revision;

use crate::{PackError, PackedBody, UnpackError};

/// How many versions are kept; in a storm of twelve a second a peer that reads ten times a second
/// holds one of the last two.
const CAPACITY: usize = 6;

/// How many bytes of versions are kept beyond the newest one, so that a large configuration does
/// not take a box's memory.
const MAX_OLDER_BYTES: usize = 6 << 20;

/// How many packed forms of the newest version are kept: nearly all peers hold the same one or two.
const PACKED_CAPACITY: usize = 4;

/// Keeps the last versions of one text and the packed forms of the newest.
#[derive(Debug, Default)]
pub struct ConfigHistory {
    /// The oldest first.
    versions: VecDeque<(Revision, Arc<str>)>,
    packed: VecDeque<Arc<PackedBody>>,
}

impl ConfigHistory {
    /// Notes a version that is in force; an older one than the newest changes nothing.
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

    /// Returns the newest revision; 0 where there is none.
    pub fn newest_revision(&self) -> Revision {
        self.versions.back().map(|(revision, _)| *revision).unwrap_or_default()
    }

    /// Returns the text at a revision, where it is kept.
    pub fn get(&self, revision: Revision) -> Option<&str> {
        let found = self.versions.iter().find(|(kept, _)| *kept == revision);
        found.map(|(_, text)| text.as_ref())
    }

    /// Returns the newest version for a peer that holds `theirs`, packed against that one where it
    /// is kept; nothing where the peer needs none.
    ///
    /// # Errors
    ///
    /// Returns a [`PackError`] where it cannot be packed.
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

    /// Unpacks a version that a peer passed on.
    ///
    /// # Errors
    ///
    /// Returns an [`UnpackError`] where it does not fit what is kept or is no packed text.
    pub fn unpack(&self, packed: &PackedBody) -> Result<Arc<str>, UnpackError> {
        Ok(Arc::from(packed.unpack(|revision| self.get(revision))?))
    }
}
