//! Attempts for one request whose answers are waited for side by side.

use std::rc::Rc;
use std::time::Duration;

use futures_util::StreamExt;
use futures_util::stream::FuturesUnordered;

use crate::site::active_attempt::ActiveAttempt;
use crate::site::frontend::{Frontend, ReplicaHealth};
use crate::site::request::SiteRequest;

/// How often a waiting request looks whether its endpoints still make progress.
pub(crate) const CHECK_INTERVAL: Duration = Duration::from_millis(40);

/// Keeps attempts that are under way, in the order in which they were sent.
///
/// All are futures of one kind, so that none of them needs a box or a task of its own. Dropping it
/// closes their connections, which frees their places at the endpoints at once.
pub(crate) struct OpenAttempts<F> {
    pending: FuturesUnordered<F>,
    attempts: Vec<Rc<ActiveAttempt>>,
}

impl<T, F: Future<Output = (Rc<ActiveAttempt>, T)>> OpenAttempts<F> {
    /// Creates it with no attempt.
    pub(crate) fn new() -> Self {
        Self { pending: FuturesUnordered::new(), attempts: Vec::new() }
    }

    /// Adds an attempt that is counted by `flight`.
    pub(crate) fn push(&mut self, attempt: Rc<ActiveAttempt>, answer: F) {
        self.attempts.push(attempt);
        self.pending.push(answer);
    }

    /// Waits for the first attempt that ends; never ends where there is none.
    pub(crate) async fn next(&mut self) -> T {
        let Some((attempt, ended)) = self.pending.next().await else {
            return std::future::pending().await;
        };
        self.attempts.retain(|open| !Rc::ptr_eq(open, &attempt));
        ended
    }

    /// Tells whether no attempt is under way.
    pub(crate) fn is_empty(&self) -> bool {
        self.attempts.is_empty()
    }

    /// Gives all attempts up.
    pub(crate) fn clear(&mut self) {
        self.attempts.clear();
        self.pending.clear();
    }

    /// Looks at the replicas of all attempts, ends those that are lost, and returns what the newest
    /// one shows; nothing where there is none.
    pub(crate) fn check_replicas(
        &self,
        frontend: &Frontend,
        req: &SiteRequest,
    ) -> Option<ReplicaHealth> {
        let mut newest = None;
        for attempt in &self.attempts {
            let health = frontend.check_replica(req, attempt, attempt.sent);
            if health == ReplicaHealth::Lost {
                attempt.abort();
            }
            newest = Some(health);
        }
        newest
    }
}
