//! Writes batches of claims to the record of one shard.

use std::time::Duration;

use cherrystand_core::{
    CLAIM_USE_TIMEOUT, ClaimRecord, ClaimRequest, ClaimResponse, Revision, WriteId,
};
use cherrystand_platform::{CallError, KeyValue, PlatformError, Swap};
use tokio::time::Instant;

use crate::clock;

/// The time for which one batch is retried: half of the time within which a claim must be used.
const WRITE_TIMEOUT: Duration = Duration::from_millis(CLAIM_USE_TIMEOUT.0 / 2);

/// The pause between two attempts to write a batch.
const RETRY_INTERVAL: Duration = Duration::from_millis(20);

/// Writes claims to one record of a key-value service and caches that record.
///
/// Source: docs/design/0008-at-most-once.md.
#[derive(Debug)]
pub struct ClaimWriter<K> {
    service: K,
    key: String,
    revision: Revision,
    record: ClaimRecord,
}

impl<K: KeyValue> ClaimWriter<K> {
    /// Creates a writer of the record at `key`, which it has not read yet.
    pub fn new(service: K, key: String) -> Self {
        Self { service, key, revision: Revision::NONE, record: ClaimRecord::default() }
    }

    /// Writes a batch under one write id, retrying until it is stored or the timeout expires.
    ///
    /// Returns the answers, or `None` if it is unknown whether the batch was stored. In that case none of
    /// its calls may run. If the claims were stored after all, they stay unused.
    ///
    /// A write whose answer was lost is retried with the same expected revision, so that at most one
    /// of the two takes effect. If the first one did, its write id is found in the record.
    #[expect(
        clippy::disallowed_methods,
        reason = "only limits retries; whether a claim is used in time is checked on the daemon's clock"
    )]
    pub async fn write(
        &mut self,
        requests: &[ClaimRequest],
        id: &WriteId,
    ) -> Option<Vec<ClaimResponse>> {
        let deadline = Instant::now() + WRITE_TIMEOUT;
        let mut pending: Option<(ClaimRecord, Vec<ClaimResponse>)> = None;
        while Instant::now() < deadline {
            let (next, answers) = pending
                .take()
                .unwrap_or_else(|| self.record.apply(requests, id, clock::unix_secs()));
            match self.swap(&next).await {
                Ok(Swap::Done(revision)) => {
                    self.revision = revision;
                    self.record = next;
                    return Some(answers);
                }
                Ok(Swap::Conflict(_)) => {
                    if self.read_back(id).await {
                        return Some(answers);
                    }
                }
                Err(_) => pending = Some((next, answers)),
            }
            tokio::time::sleep(RETRY_INTERVAL).await;
        }
        None
    }

    async fn swap(&self, next: &ClaimRecord) -> Result<Swap, PlatformError> {
        let body = serde_json::to_string(next).map_err(CallError::Malformed)?;
        self.service.swap(&self.key, self.revision, &body).await
    }

    /// Reads the stored record and returns whether it contains the write `id`.
    async fn read_back(&mut self, id: &WriteId) -> bool {
        let Ok(Some(document)) = self.service.get(&self.key).await else {
            return false;
        };
        match serde_json::from_str::<ClaimRecord>(&document.body) {
            Ok(record) => {
                let found = record.writes.contains(id);
                self.revision = document.revision;
                self.record = record;
                found
            }
            Err(err) => {
                log::error!(key = self.key.as_str(); "malformed claim record: {err}");
                false
            }
        }
    }
}
