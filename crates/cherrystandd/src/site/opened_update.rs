//! A peer's answer, opened as a whole before any of it is applied.

use cherrystand_core::{ChangesSince, Document, Revision};
use cherrystand_peer::{ChangeUpdate, CodecError, UnpackError};
use cherrystand_platform::SiteDriver;

use crate::config_versions::ConfigVersions;
use crate::site::Driver;

/// Why an answer could not be opened.
#[derive(Debug, thiserror::Error)]
pub(crate) enum OpenError {
    /// The batch of changes could not be decoded.
    #[error("the peer's changes could not be decoded")]
    Batch(#[from] CodecError),
    /// The configuration could not be unpacked.
    #[error("the peer's configuration could not be unpacked")]
    Configuration(#[from] UnpackError),
}

/// What an answer holds. Its revision covers all of this, so nothing of it is applied without the rest.
#[derive(Debug)]
pub(crate) struct OpenedUpdate {
    /// The configuration, if it is later than the one held.
    pub(crate) config: Option<Document>,
    /// The changes.
    pub(crate) batch: ChangesSince,
}

impl OpenedUpdate {
    /// Opens the answer for a daemon that holds the configuration at `held`.
    ///
    /// # Errors
    ///
    /// Returns an [`OpenError`] if any part of it can't be read.
    pub(crate) fn open(
        update: &ChangeUpdate,
        held: Revision,
        versions: &ConfigVersions,
    ) -> Result<Self, OpenError> {
        let packed = update.config.as_deref().filter(|packed| packed.revision > held);
        let config =
            packed.map(|packed| versions.unpack(Driver::CONFIG_KEY, packed)).transpose()?;
        Ok(Self { config, batch: update.batch.unpack()? })
    }
}
