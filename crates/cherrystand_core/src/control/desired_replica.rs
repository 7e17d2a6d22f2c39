//! The desired state of a domain's replicas.

use crate::{Assignment, BoxId, LoadSpec, ReplicaId};

/// The desired state of one replica.
#[derive(Clone, Debug, PartialEq)]
pub struct DesiredReplica {
    /// The replica.
    pub replica: ReplicaId,
    /// What its engines load.
    pub load: LoadSpec,
    /// How many boxes it spans.
    pub span: u32,
    /// The boxes named by the confirmed plan.
    pub planned: Vec<BoxId>,
    /// Whether the replica may go out of service now to load something else.
    pub may_reload: bool,
    /// The price of a second in which it can't serve.
    pub downtime_weight: f64,
    /// The price of a second in which a healthy box is idle.
    pub stranded_weight: f64,
}

impl DesiredReplica {
    /// Returns whether an assignment has the desired number of boxes.
    pub(crate) fn fits(&self, assignment: &Assignment) -> bool {
        assignment.boxes.len() == self.span as usize
    }

    /// Returns whether an assignment has the desired number of boxes and load.
    pub(crate) fn matches(&self, assignment: &Assignment) -> bool {
        self.fits(assignment) && self.load == assignment.load
    }
}
