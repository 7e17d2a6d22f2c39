//! Attempts for one request whose answers are waited for side by side.

use std::rc::Rc;
use std::time::Duration;

use futures_util::StreamExt;
use futures_util::stream::FuturesUnordered;

use crate::site::flight::Flight;
use crate::site::front::{Front, ReplicaLook};
use crate::site::request::SiteRequest;

/// How often a waiting request looks whether its endpoints still make progress.
pub(crate) const LOOK_EVERY: Duration = Duration::from_millis(40);

/// Keeps attempts that are under way, in the order in which they were sent.
///
/// All are futures of one kind, so that none of them needs a box or a task of its own. Dropping it
/// closes their connections, which frees their places at the endpoints at once.
pub(crate) struct OpenAttempts<F> {
    pending: FuturesUnordered<F>,
    flights: Vec<Rc<Flight>>,
}

impl<T, F: Future<Output = (Rc<Flight>, T)>> OpenAttempts<F> {
    /// Creates it with no attempt.
    pub(crate) fn new() -> Self {
        Self { pending: FuturesUnordered::new(), flights: Vec::new() }
    }

    /// Adds an attempt that is counted by `flight`.
    pub(crate) fn push(&mut self, flight: Rc<Flight>, attempt: F) {
        self.flights.push(flight);
        self.pending.push(attempt);
    }

    /// Waits for the first attempt that ends; never ends where there is none.
    pub(crate) async fn next(&mut self) -> T {
        let Some((flight, ended)) = self.pending.next().await else {
            return std::future::pending().await;
        };
        self.flights.retain(|open| !Rc::ptr_eq(open, &flight));
        ended
    }

    /// Tells whether no attempt is under way.
    pub(crate) fn is_empty(&self) -> bool {
        self.flights.is_empty()
    }

    /// Gives all attempts up.
    pub(crate) fn clear(&mut self) {
        self.flights.clear();
        self.pending.clear();
    }

    /// Looks at the replicas of all attempts, ends those that are lost, and returns what the newest
    /// one shows; nothing where there is none.
    pub(crate) fn look(&self, front: &Front, req: &SiteRequest) -> Option<ReplicaLook> {
        let mut newest = None;
        for flight in &self.flights {
            let look = front.look(req, flight, flight.sent);
            if look == ReplicaLook::Lost {
                flight.give_up();
            }
            newest = Some(look);
        }
        newest
    }
}
