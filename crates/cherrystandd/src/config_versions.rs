//! The last versions of the configuration, which several duties pass on and read.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use cherrystand_core::{Document, Revision};
use cherrystand_peer::{PackedBody, UnpackError, Versions};

use crate::Metrics;

/// Shares the versions between the duties of one daemon, so that each is packed once.
#[derive(Clone)]
pub(crate) struct ConfigVersions {
    versions: Arc<Mutex<Versions>>,
    metrics: Arc<Metrics>,
}

impl ConfigVersions {
    pub(crate) fn new(metrics: Arc<Metrics>) -> Self {
        Self { versions: Arc::default(), metrics }
    }

    fn versions(&self) -> MutexGuard<'_, Versions> {
        // A version is whole before it is noted; one who panicked left nothing half done.
        self.versions.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Notes a version that is in force.
    pub(crate) fn note(&self, config: &Document) {
        self.versions().note(config.revision, config.body.clone());
    }

    /// Returns the newest revision; 0 where there is none.
    pub(crate) fn newest(&self) -> Revision {
        self.versions().newest()
    }

    /// Returns the newest version for a peer that holds `theirs`; nothing where it needs none.
    pub(crate) fn newer_than(&self, theirs: Revision) -> Option<Arc<PackedBody>> {
        match self.versions().newer_than(theirs) {
            Ok(packed) => packed,
            Err(err) => {
                log::error!("the configuration is not passed on: {err}");
                None
            }
        }
    }

    /// Unpacks a version that a peer passed on, as the record with a key.
    ///
    /// # Errors
    ///
    /// Returns an [`UnpackError`], counted, where it does not fit what is held.
    pub(crate) fn unpack(&self, key: &str, packed: &PackedBody) -> Result<Document, UnpackError> {
        match self.versions().unpack(packed) {
            Ok(body) => Ok(Document { key: Arc::from(key), revision: packed.revision, body }),
            Err(err) => {
                self.metrics.versions_refused.with_label_values(&[err.as_str()]).inc();
                log::warn!("a version of the configuration is refused: {err}");
                Err(err)
            }
        }
    }
}
