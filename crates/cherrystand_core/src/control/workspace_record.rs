//! The record that holds the configuration of a workspace.

use serde::{Deserialize, Serialize};

use crate::{
    BoxId, DomainId, Generation, Plan, PlanId, RecentWrites, ReplicaId, WorkspaceConfig,
    WorkspaceId, WriteId,
};

/// How many plans may await confirmation; the oldest one gives way.
pub const MAX_PENDING_PLANS: usize = 8;

/// How many accepted changes the record remembers.
pub const MAX_HISTORY: usize = 64;

/// Holds one workspace's accepted configuration and what awaits confirmation.
///
/// Every change is one compare-and-swap on the record, so of two operators who race one wins and
/// the other one is told what got in first.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct WorkspaceRecord {
    /// The number of the accepted configuration; it only grows.
    pub generation: Generation,
    /// The accepted configuration.
    pub config: WorkspaceConfig,
    /// The domain that holds each replica.
    pub slots: Vec<Slot>,
    /// Plans that await confirmation, oldest first.
    pub plans: Vec<Plan>,
    /// AcceptedChange changes, oldest first.
    pub history: Vec<AcceptedChange>,
    /// The identities of the last writes.
    pub writes: RecentWrites,
}

/// Assigns one replica to a domain.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Slot {
    /// The replica.
    pub replica: ReplicaId,
    /// The domain that forms it.
    pub domain: DomainId,
    /// The boxes that the confirmed plan named for it.
    pub planned: Vec<BoxId>,
}

/// Remembers one accepted change.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AcceptedChange {
    /// The generation that the change made.
    pub generation: Generation,
    /// The plan that was confirmed.
    pub plan: PlanId,
    /// Who confirmed it.
    pub operator: String,
    /// When, in seconds since 1970 by the confirming daemon's clock.
    pub at_unix_secs: u64,
    /// The plan's changes, a line each.
    pub summary: Vec<String>,
}

/// Tells why a plan could not be confirmed.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ConfirmError {
    /// No such plan awaits confirmation.
    #[error("plan `{0}` is not pending; make it again with `cherrystand plan`")]
    UnknownPlan(PlanId),
    /// Another change was accepted after the plan was made.
    #[error(
        "plan `{plan}` was made from generation {base}, but `{}` made it {} first ({}); \
         make the plan again with `cherrystand plan`",
        .first.operator, .first.generation, .first.summary.join("; ")
    )]
    Conflict {
        /// The plan that lost.
        plan: PlanId,
        /// The generation that it was made from.
        base: Generation,
        /// The change that got in first.
        first: AcceptedChange,
    },
}

impl WorkspaceRecord {
    /// Creates the record of a workspace that has no groups yet.
    pub fn empty(workspace: WorkspaceId) -> Self {
        Self {
            generation: Generation(0),
            config: WorkspaceConfig::empty(workspace),
            slots: Vec::new(),
            plans: Vec::new(),
            history: Vec::new(),
            writes: RecentWrites::default(),
        }
    }

    /// Returns the record with `plan` pending.
    #[must_use]
    pub fn with_plan(mut self, plan: Plan, write: WriteId) -> Self {
        self.plans.push(plan);
        let excess = self.plans.len().saturating_sub(MAX_PENDING_PLANS);
        self.plans.drain(..excess);
        self.writes.push(write);
        self
    }

    /// Returns the record with the plan `id` in force.
    ///
    /// # Errors
    ///
    /// Returns a [`ConfirmError`] when the plan is not pending or was made from a generation that
    /// is no longer the accepted one.
    pub fn confirm(
        &self,
        id: &PlanId,
        operator: &str,
        at_unix_secs: u64,
        write: WriteId,
    ) -> Result<Self, ConfirmError> {
        let plan = self.plans.iter().find(|plan| &plan.id == id);
        let plan = plan.ok_or_else(|| ConfirmError::UnknownPlan(id.clone()))?;
        self.check_base(plan)?;
        let mut next = self.clone();
        next.generation = self.generation.next();
        next.config = plan.config.clone();
        next.slots = plan.slots.clone();
        next.plans.retain(|other| &other.id != id);
        next.history.push(AcceptedChange {
            generation: next.generation,
            plan: id.clone(),
            operator: operator.to_owned(),
            at_unix_secs,
            summary: plan.changes.iter().map(ToString::to_string).collect(),
        });
        let excess = next.history.len().saturating_sub(MAX_HISTORY);
        next.history.drain(..excess);
        next.writes.push(write);
        Ok(next)
    }

    fn check_base(&self, plan: &Plan) -> Result<(), ConfirmError> {
        if plan.base == self.generation {
            return Ok(());
        }
        let first = self.history.iter().find(|accepted| accepted.generation > plan.base);
        match first {
            Some(first) => Err(ConfirmError::Conflict {
                plan: plan.id.clone(),
                base: plan.base,
                first: first.clone(),
            }),
            None => Err(ConfirmError::UnknownPlan(plan.id.clone())),
        }
    }
}
