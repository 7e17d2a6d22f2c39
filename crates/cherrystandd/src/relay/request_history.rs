//! The decisions on recent requests, kept for operators.

use std::collections::VecDeque;

use serde::{Deserialize, Serialize};
use tokio::sync::oneshot;

/// The number of requests kept.
const HISTORY_CAPACITY: usize = 2_048;

/// The decisions on one request.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) struct RequestRecord {
    /// The request's id.
    pub request: String,
    /// The group that it was routed to.
    pub group: String,
    /// The endpoint and the end of each attempt.
    pub attempts: Vec<(String, String)>,
    /// Whether it was run, as reported to the caller.
    pub outcome: String,
    /// Why it was refused, if it was.
    pub refusal: Option<String>,
}

/// Asks the relay for the record of a request.
#[derive(Debug)]
pub(crate) struct RequestLookup {
    /// The request's id.
    pub(crate) request: String,
    /// Where the record is sent.
    pub(crate) reply: oneshot::Sender<Option<RequestRecord>>,
}

/// Keeps the records of the last `HISTORY_CAPACITY` requests.
#[derive(Debug, Default)]
pub(crate) struct RequestHistory {
    records: VecDeque<RequestRecord>,
}

impl RequestHistory {
    /// Adds a record and, at capacity, removes the oldest.
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
