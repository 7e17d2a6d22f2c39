//! The last versions of the configuration, by which a new one is told as what changed.

use std::collections::VecDeque;
use std::sync::Arc;

use cherrystand_core::Revision;

use crate::{PackError, PackedBody, UnpackError};

/// How many versions are kept; in a storm of twelve a second a peer that reads ten times a second
/// holds one of the last two.
const KEPT: usize = 6;

/// How many bytes of versions are kept beyond the newest one, so that a large configuration does
/// not take a box's memory.
const KEPT_BYTES: usize = 6 << 20;

/// How many packed forms of the newest version are kept: nearly all peers hold the same one or two.
const KEPT_PACKED: usize = 4;

/// Keeps the last versions of one text and the packed forms of the newest.
#[derive(Debug, Default)]
pub struct Versions {
    /// The oldest first.
    held: VecDeque<(Revision, Arc<str>)>,
    packed: VecDeque<Arc<PackedBody>>,
}

impl Versions {
    /// Notes a version that is in force; an older one than the newest changes nothing.
    pub fn note(&mut self, revision: Revision, text: Arc<str>) {
        if revision <= self.newest() {
            return;
        }
        self.held.push_back((revision, text));
        self.packed.clear();
        while self.held.len() > KEPT || (self.held.len() > 1 && self.older_bytes() > KEPT_BYTES) {
            self.held.pop_front();
        }
    }

    fn older_bytes(&self) -> usize {
        self.held.iter().rev().skip(1).map(|(_, text)| text.len()).sum()
    }

    /// Returns the newest revision; 0 where there is none.
    pub fn newest(&self) -> Revision {
        self.held.back().map(|(revision, _)| *revision).unwrap_or_default()
    }

    /// Returns the text at a revision, where it is kept.
    pub fn get(&self, revision: Revision) -> Option<&str> {
        let found = self.held.iter().find(|(held, _)| *held == revision);
        found.map(|(_, text)| text.as_ref())
    }

    /// Returns the newest version for a peer that holds `theirs`, packed against that one where it
    /// is kept; nothing where the peer needs none.
    ///
    /// # Errors
    ///
    /// Returns a [`PackError`] where it cannot be packed.
    pub fn newer_than(&mut self, theirs: Revision) -> Result<Option<Arc<PackedBody>>, PackError> {
        let Some((revision, text)) = self.held.back().filter(|(newest, _)| *newest > theirs) else {
            return Ok(None);
        };
        let base = self.get(theirs).map(|text| (theirs, text));
        let base_revision = base.map(|(revision, _)| revision);
        if let Some(packed) = self.packed.iter().find(|packed| packed.base == base_revision) {
            return Ok(Some(packed.clone()));
        }
        let packed = Arc::new(PackedBody::pack(*revision, text, base)?);
        self.packed.push_back(packed.clone());
        if self.packed.len() > KEPT_PACKED {
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
