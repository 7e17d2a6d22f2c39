//! What was decided for the last requests, for operators who ask.

use std::collections::VecDeque;

use serde::{Deserialize, Serialize};
use tokio::sync::oneshot;

/// How many requests are remembered.
const REMEMBERED: usize = 2_048;

/// Says what was decided for one request.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) struct RequestNote {
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
pub(crate) struct NoteQuestion {
    /// The request's id.
    pub(crate) request: String,
    /// Where the answer goes.
    pub(crate) reply: oneshot::Sender<Option<RequestNote>>,
}

/// Remembers the last requests.
#[derive(Debug, Default)]
pub(crate) struct Notes {
    notes: VecDeque<RequestNote>,
}

impl Notes {
    /// Adds a note, forgetting the oldest.
    pub(crate) fn push(&mut self, note: RequestNote) {
        if self.notes.len() >= REMEMBERED {
            self.notes.pop_front();
        }
        self.notes.push_back(note);
    }

    /// Finds the newest note of a request.
    pub(crate) fn find(&self, request: &str) -> Option<&RequestNote> {
        self.notes.iter().rev().find(|note| note.request == request)
    }
}
