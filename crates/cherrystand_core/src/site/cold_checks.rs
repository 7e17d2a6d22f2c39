//! Decides which endpoints a daemon asks whether they are cold.
//!
//! Source: docs/design/0023-evacuated-zones-and-cold-endpoints.md.

use std::collections::BTreeMap;

use crate::{BoxId, Millis, PropagationBudget};

/// The time between two questions to one endpoint; each is paid for.
const CHECK_INTERVAL: Millis = Millis(500);

/// Asks endpoints whether they are cold while nobody can read their entries.
///
/// An endpoint may turn cold at any moment, and says so in its entry and in its answers to health
/// checks. So while what a daemon knows of the store is so old that no source has helped, it asks
/// the endpoints whose rate limits it owns. Each endpoint is asked by one daemon, which tells all
/// others.
#[derive(Clone, Debug)]
pub struct ColdChecks {
    budget: PropagationBudget,
    asked_at: BTreeMap<BoxId, Millis>,
}

impl ColdChecks {
    /// Creates the state of a daemon that has asked nobody.
    pub fn new(budget: PropagationBudget) -> Self {
        Self { budget, asked_at: BTreeMap::new() }
    }

    /// Returns when endpoints may be due again, given the age of what the daemon knows of the
    /// store.
    pub fn check_at(&self, age: Millis, now: Millis) -> Millis {
        let first = self.asked_at.values().min().map(|at| *at + CHECK_INTERVAL);
        let next = now + self.budget.outage_age().since(age);
        next.max(first.unwrap_or_default())
    }

    /// Returns the endpoints to ask now, among those whose rate limits the daemon owns.
    pub fn due(
        &mut self,
        age: Millis,
        owned: impl IntoIterator<Item = BoxId>,
        now: Millis,
    ) -> Vec<BoxId> {
        self.asked_at.retain(|_, at| now.since(*at) < CHECK_INTERVAL);
        if age < self.budget.outage_age() {
            return Vec::new();
        }
        let due: Vec<BoxId> =
            owned.into_iter().filter(|id| !self.asked_at.contains_key(id)).collect();
        self.asked_at.extend(due.iter().map(|id| (id.clone(), now)));
        due
    }
}
