//! The latest versions of the configuration, which several duties read and send to peers.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use cherrystand_core::{Document, Revision};
use cherrystand_peer::{ConfigHistory, PackError, PackedBody, UnpackError};

use crate::Metrics;

/// Shares the latest versions of the configuration between the duties of one daemon, so that each version
/// is packed only once.
#[derive(Clone)]
pub(crate) struct ConfigVersions {
    versions: Arc<Mutex<ConfigHistory>>,
    metrics: Arc<Metrics>,
}

impl ConfigVersions {
    pub(crate) fn new(metrics: Arc<Metrics>) -> Self {
        Self { versions: Arc::default(), metrics }
    }

    fn versions(&self) -> MutexGuard<'_, ConfigHistory> {
        // Each change is a single insertion, so a thread that panicked left no partial state.
        self.versions.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Records a version that is in force.
    pub(crate) fn record(&self, config: &Document) {
        self.versions().record(config.revision, config.body.clone());
    }

    /// Returns the newest revision, or 0 if there is none.
    pub(crate) fn newest_revision(&self) -> Revision {
        self.versions().newest_revision()
    }

    /// Returns the newest version, packed for a peer that holds `peer_revision`, or `None` if the peer is
    /// up to date.
    ///
    /// # Errors
    ///
    /// Returns a [`PackError`] if the version cannot be packed.
    pub(crate) fn newer_than(
        &self,
        peer_revision: Revision,
    ) -> Result<Option<Arc<PackedBody>>, PackError> {
        self.versions().newer_than(peer_revision)
    }

    /// Unpacks a version received from a peer into the record with the given key.
    ///
    /// # Errors
    ///
    /// Returns an [`UnpackError`], and counts it, if the version cannot be unpacked with the versions
    /// held here.
    pub(crate) fn unpack(&self, key: &str, packed: &PackedBody) -> Result<Document, UnpackError> {
        match self.versions().unpack(packed) {
            Ok(body) => Ok(Document { key: Arc::from(key), revision: packed.revision, body }),
            Err(err) => {
                self.metrics.versions_refused.with_label_values(&[err.as_str()]).inc();
                log::warn!("rejected a version of the configuration from a peer: {err}");
                Err(err)
            }
        }
    }
}
