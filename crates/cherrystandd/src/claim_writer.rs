//! Writing batches of claims into one shard's record.

use std::time::Duration;

use cherrystand_core::{
    CLAIM_USE_TIMEOUT, ClaimRecord, ClaimRequest, ClaimResponse, Revision, WriteId,
};
use cherrystand_platform::{CallError, KeyValue, PlatformError, Swap};
use tokio::time::Instant;

use crate::clock;

/// How long one batch is tried; a claim must be used within twice this time.
const WRITE_TIMEOUT: Duration = Duration::from_millis(CLAIM_USE_TIMEOUT.0 / 2);

/// How long the writer pauses before it tries again.
const RETRY_INTERVAL: Duration = Duration::from_millis(20);

/// Writes claims into one record of a key-value service, keeping a copy of it.
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
    /// Creates a writer of the record at `key` that has yet to read it.
    pub fn new(service: K, key: String) -> Self {
        Self { service, key, revision: Revision::NONE, record: ClaimRecord::default() }
    }

    /// Writes a batch under one identity until it stands or time is up.
    ///
    /// Returns the answers, or nothing when it is not known whether the batch stands. Then no call
    /// of the batch may be run: its claims, if they do stand, are never used.
    ///
    /// A write whose answer was lost is tried again at the revision that it was made for, so that
    /// only one of the two can take effect, and is found by its identity where it did.
    #[expect(
        clippy::disallowed_methods,
        reason = "tries are counted; whether a claim is used in time is looked up on the daemon's clock"
    )]
    pub async fn write(
        &mut self,
        requests: &[ClaimRequest],
        id: &WriteId,
    ) -> Option<Vec<ClaimResponse>> {
        let until = Instant::now() + WRITE_TIMEOUT;
        let mut pending: Option<(ClaimRecord, Vec<ClaimResponse>)> = None;
        while Instant::now() < until {
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

    /// Reads the record as it is, and tells whether the write `id` is in it.
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
                log::error!(key = self.key.as_str(); "a claim record is malformed: {err}");
                false
            }
        }
    }
}
