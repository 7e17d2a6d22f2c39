//! Concurrent attempts of one request.

use std::rc::Rc;
use std::time::Duration;

use futures_util::StreamExt;
use futures_util::stream::FuturesUnordered;

use crate::site::active_attempt::ActiveAttempt;
use crate::site::frontend::{Frontend, ReplicaHealth};
use crate::site::request::SiteRequest;

/// How often a waiting request checks whether its endpoints still make progress.
pub(crate) const CHECK_INTERVAL: Duration = Duration::from_millis(40);

/// Keeps the open attempts in the order in which they were sent.
///
/// All are futures of one type, so none of them needs a heap allocation or a task of its own.
/// Dropping this closes their connections, which frees their slots at the endpoints at once.
pub(crate) struct OpenAttempts<F> {
    pending: FuturesUnordered<F>,
    attempts: Vec<Rc<ActiveAttempt>>,
}

impl<T, F: Future<Output = (Rc<ActiveAttempt>, T)>> OpenAttempts<F> {
    /// Creates it without attempts.
    pub(crate) fn new() -> Self {
        Self { pending: FuturesUnordered::new(), attempts: Vec::new() }
    }

    /// Adds an attempt and the future of its answer.
    pub(crate) fn push(&mut self, attempt: Rc<ActiveAttempt>, answer: F) {
        self.attempts.push(attempt);
        self.pending.push(answer);
    }

    /// Waits for the first attempt that ends. Without open attempts it never returns.
    pub(crate) async fn next(&mut self) -> T {
        let Some((attempt, ended)) = self.pending.next().await else {
            return std::future::pending().await;
        };
        self.attempts.retain(|open| !Rc::ptr_eq(open, &attempt));
        ended
    }

    /// Returns whether no attempt is open.
    pub(crate) fn is_empty(&self) -> bool {
        self.attempts.is_empty()
    }

    /// Drops all attempts.
    pub(crate) fn clear(&mut self) {
        self.attempts.clear();
        self.pending.clear();
    }

    /// Checks the replicas of all attempts, aborts the attempts whose replicas are lost, and
    /// returns what the check of the newest attempt showed, or `None` without attempts.
    pub(crate) fn check_replicas(
        &self,
        frontend: &Rc<Frontend>,
        req: &SiteRequest,
    ) -> Option<ReplicaHealth> {
        let mut newest = None;
        for attempt in &self.attempts {
            let health = frontend.check_replica(req, attempt, attempt.started_at);
            if health == ReplicaHealth::Lost {
                attempt.abort();
            }
            newest = Some(health);
        }
        newest
    }
}
