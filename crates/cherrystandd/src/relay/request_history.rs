//! What was decided for the last requests, for operators who ask.

use std::collections::VecDeque;

use serde::{Deserialize, Serialize};
use tokio::sync::oneshot;

/// How many requests are remembered.
const HISTORY_CAPACITY: usize = 2_048;

/// Says what was decided for one request.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) struct RequestRecord {
    /// The request's id.
    pub request: String,
    /// The group that it went to.
    pub group: String,
    /// Each attempt: the endpoint and how it ended.
    pub attempts: Vec<(String, String)>,
    /// Whether it was run, as the caller was told.
    pub outcome: String,
    /// Why it was refused, where it was.
    pub refusal: Option<String>,
}

/// Asks the relay what it remembers of a request.
#[derive(Debug)]
pub(crate) struct RequestLookup {
    /// The request's id.
    pub(crate) request: String,
    /// Where the answer goes.
    pub(crate) reply: oneshot::Sender<Option<RequestRecord>>,
}

/// Remembers the last requests.
#[derive(Debug, Default)]
pub(crate) struct RequestHistory {
    records: VecDeque<RequestRecord>,
}

impl RequestHistory {
    /// Adds a record, forgetting the oldest.
    pub(crate) fn push(&mut self, record: RequestRecord) {
        if self.records.len() >= HISTORY_CAPACITY {
            self.records.pop_front();
        }
        self.records.push_back(record);
    }

    /// Finds the newest record of a request.
    pub(crate) fn find(&self, request: &str) -> Option<&RequestRecord> {
        self.records.iter().rev().find(|record| record.request == request)
    }
}
