//! Request classes.

use serde::{Deserialize, Serialize};

/// Ranks requests by how urgently their answers are needed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Class {
    /// Consent and share-link checks, which have reserved capacity.
    Consent,
    /// Requests that a person waits for.
    Interactive,
    /// Background requests.
    Batch,
}

impl Class {
    /// Returns the name used in settings and metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            Class::Consent => "consent",
            Class::Interactive => "interactive",
            Class::Batch => "batch",
        }
    }
}
