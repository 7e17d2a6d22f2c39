//! Classes of requests.

use serde::{Deserialize, Serialize};

/// Ranks requests by who waits for them.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Class {
    /// Consent and share-link checks; they have room of their own.
    Consent,
    /// Requests that a person waits for.
    Interactive,
    /// Requests that nobody waits for.
    Batch,
}

impl Class {
    /// Returns the name that settings and metrics use.
    pub fn as_str(self) -> &'static str {
        match self {
            Class::Consent => "consent",
            Class::Interactive => "interactive",
            Class::Batch => "batch",
        }
    }
}
