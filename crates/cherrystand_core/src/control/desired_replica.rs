//! What a domain should have.

use crate::{Assignment, BoxId, LoadSpec, ReplicaId};

/// States what one replica in the domain should be.
#[derive(Clone, Debug, PartialEq)]
pub struct DesiredReplica {
    /// The replica.
    pub replica: ReplicaId,
    /// What its engines load.
    pub load: LoadSpec,
    /// How many boxes it spans.
    pub span: u32,
    /// The boxes that the confirmed plan named.
    pub planned: Vec<BoxId>,
    /// Whether the replica may go out of service now to load something else.
    pub may_reload: bool,
    /// The price of a second in which it cannot serve.
    pub downtime_weight: f64,
    /// The price of a second in which a healthy box stands idle.
    pub stranded_weight: f64,
}

impl DesiredReplica {
    /// Tells whether an assignment is of the size asked for.
    pub(crate) fn fits(&self, assignment: &Assignment) -> bool {
        assignment.boxes.len() == self.span as usize
    }

    /// Tells whether an assignment is what is asked for.
    pub(crate) fn matches(&self, assignment: &Assignment) -> bool {
        self.fits(assignment) && self.load == assignment.load
    }
}
