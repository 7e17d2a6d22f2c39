//! Questions to peers about the progress of endpoints, and what was answered.

use std::collections::BTreeMap;

use crate::{BoxId, EndpointLoad, Millis, PeerProgress};

/// The timeout of a question to peers.
const ANSWER_TIMEOUT: Millis = Millis(25);

/// How soon peers are asked about the same endpoint again.
const ASK_INTERVAL: Millis = Millis(400);

/// The `silent_ms` of an endpoint that was asked about and made no progress with any request.
pub const NEVER_SEEN_MS: u32 = u32::MAX;

/// A question about one endpoint.
#[derive(Clone, Copy, Debug)]
struct Query {
    asked_at: Millis,
    /// Whether a peer answered it.
    answered: bool,
}

/// Tracks which endpoints peers were asked about.
///
/// Only an answer that names an endpoint is an answer about it: one to an earlier question may arrive
/// after the next was asked.
#[derive(Clone, Debug, Default)]
pub struct ProgressQueries {
    queries: BTreeMap<BoxId, Query>,
    /// When a peer last answered any question.
    last_answer_at: Option<Millis>,
}

impl ProgressQueries {
    /// Records an answer, which names the endpoints that were asked about.
    pub fn record_answer(&mut self, loads: &[EndpointLoad], now: Millis) {
        self.last_answer_at = Some(now);
        for load in loads {
            if let Some(query) = self.queries.get_mut(&load.id) {
                query.answered = true;
            }
        }
    }

    /// Returns how long ago a peer last answered a question, whatever it said.
    pub fn last_answer_age(&self, now: Millis) -> Option<Millis> {
        self.last_answer_at.map(|at| now.since(at))
    }

    /// Returns what peers that saw no progress of an endpoint answered, or `None` if they are to be asked
    /// now.
    pub fn state(&mut self, id: &BoxId, now: Millis) -> Option<PeerProgress> {
        self.queries.retain(|_, query| now.since(query.asked_at) < ASK_INTERVAL);
        let query = self.queries.get(id)?;
        Some(match query.answered {
            _ if now.since(query.asked_at) < ANSWER_TIMEOUT => PeerProgress::AskedJustNow,
            true => PeerProgress::NotSeen,
            false => PeerProgress::NoAnswer,
        })
    }

    /// Records that peers are asked about an endpoint now.
    pub fn record_asked(&mut self, id: &BoxId, now: Millis) {
        self.queries.insert(id.clone(), Query { asked_at: now, answered: false });
    }
}

/// Returns the answer to a question about endpoints from what a daemon has in flight itself: each one that
/// was asked about, also those without a request.
pub fn answer_progress_query(asked: &[BoxId], own: Vec<EndpointLoad>) -> Vec<EndpointLoad> {
    let answer = |id: &BoxId| {
        let seen = own.iter().find(|load| &load.id == id).cloned();
        seen.unwrap_or_else(|| EndpointLoad {
            id: id.clone(),
            requests: 0,
            unread: 0,
            silent_ms: NEVER_SEEN_MS,
        })
    };
    asked.iter().map(answer).collect()
}
