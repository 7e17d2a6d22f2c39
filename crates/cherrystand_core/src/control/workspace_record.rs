//! The record of a workspace's configuration.

use serde::{Deserialize, Serialize};

use crate::{
    BoxId, DomainId, Generation, Plan, PlanId, RecentWrites, ReplicaId, WorkspaceConfig,
    WorkspaceId, WriteId,
};

/// The number of plans that may be pending; beyond it, the oldest is dropped.
pub const MAX_PENDING_PLANS: usize = 8;

/// The number of accepted changes the record keeps.
pub const MAX_HISTORY: usize = 64;

/// The accepted configuration of one workspace and its pending plans.
///
/// Each change is one compare-and-swap of the record. Of two operators who race, one wins, and the
/// other gets an error that names the change that came first.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct WorkspaceRecord {
    /// The number of the accepted configuration, which only increases.
    pub generation: Generation,
    /// The accepted configuration.
    pub config: WorkspaceConfig,
    /// The domain of each replica.
    pub slots: Vec<Slot>,
    /// Pending plans, oldest first.
    pub plans: Vec<Plan>,
    /// Accepted changes, oldest first.
    pub history: Vec<AcceptedChange>,
    /// The ids of the last writes.
    pub writes: RecentWrites,
}

/// The place of one replica slot.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Slot {
    /// The replica.
    pub replica: ReplicaId,
    /// The domain that forms it.
    pub domain: DomainId,
    /// The boxes named for it by the confirmed plan.
    pub planned: Vec<BoxId>,
}

/// One accepted change.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AcceptedChange {
    /// The generation created by the change.
    pub generation: Generation,
    /// The plan that was confirmed.
    pub plan: PlanId,
    /// Who confirmed it.
    pub operator: String,
    /// When, in seconds since 1970 by the clock of the confirming daemon.
    pub at_unix_secs: u64,
    /// The plan's changes, one line each.
    pub summary: Vec<String>,
}

/// Why a plan could not be confirmed.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ConfirmError {
    /// No such plan is pending.
    #[error("plan `{0}` is not pending; make it again with `cherrystand plan`")]
    UnknownPlan(PlanId),
    /// Another change was accepted after the plan was made.
    #[error(
        "plan `{plan}` was made from generation {base}, but `{}` made it {} first ({}); \
         make the plan again with `cherrystand plan`",
        .first.operator, .first.generation, .first.summary.join("; ")
    )]
    Conflict {
        /// The refused plan.
        plan: PlanId,
        /// The generation that it is based on.
        base: Generation,
        /// The change that came first.
        first: AcceptedChange,
    },
}

impl WorkspaceRecord {
    /// Creates the record of a workspace without groups.
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
    /// Returns a [`ConfirmError`] if the plan isn't pending, or is based on a generation that is no
    /// longer in force.
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
