//! Phase transitions of a replica, by what its members report.

use crate::control::domain_change::DomainChange;
use crate::{Assignment, DesiredReplica, Evidence, MemberSummary, Millis, Phase, ReplicaId};

/// One replica in a controller step.
pub(crate) struct ReplicaContext<'a> {
    /// The replica.
    pub(crate) replica: &'a ReplicaId,
    /// Its assignment.
    pub(crate) assignment: &'a Assignment,
    /// What its members report.
    pub(crate) members: MemberSummary,
    /// Its desired state, if the configuration asks for it.
    pub(crate) desired: Option<&'a DesiredReplica>,
}

/// Puts a replica into service once every member has acknowledged its epoch.
pub(crate) fn advance_loading(
    change: &mut DomainChange<'_>,
    context: ReplicaContext<'_>,
    overdue: bool,
) {
    let Some(desired) = context.desired else {
        return change.remove(context.replica, Evidence::NotDesired);
    };
    if let Some(evidence) = context.members.failure_evidence() {
        return change.set_phase(context.replica, Phase::Broken, evidence);
    }
    if !desired.matches(context.assignment) {
        return change.set_phase(context.replica, Phase::Broken, Evidence::LoadChanged);
    }
    if overdue && !context.members.unready.is_empty() {
        let boxes = context.members.unready;
        return change.set_phase(context.replica, Phase::Broken, Evidence::LoadStalled { boxes });
    }
    if context.assignment.phase == Phase::Loading
        && context.members.ready == context.assignment.boxes.len()
    {
        change.set_phase(context.replica, Phase::Ready, Evidence::AllAcknowledged);
    }
}

/// Takes a replica out of service if members are lost, are leaving or have to load something else.
pub(crate) fn advance_ready(change: &mut DomainChange<'_>, context: ReplicaContext<'_>) {
    if let Some(evidence) = context.members.failure_evidence() {
        return change.set_phase(context.replica, Phase::Broken, evidence);
    }
    let leaving = change.leaving_boxes(&context.assignment.boxes);
    let evidence = match context.desired {
        None => Evidence::NotDesired,
        Some(_) if !leaving.is_empty() => Evidence::MembersLeaving { boxes: leaving },
        Some(desired) if !desired.matches(context.assignment) && desired.may_reload => {
            Evidence::LoadChanged
        }
        Some(_) => return,
    };
    change.set_phase(context.replica, Phase::Draining, evidence);
}

/// Ends the draining of a replica once it is idle and no request can be on its way to it.
pub(crate) fn advance_draining(
    change: &mut DomainChange<'_>,
    context: ReplicaContext<'_>,
    grace_elapsed: bool,
) {
    if let Some(evidence) = context.members.failure_evidence() {
        return change.set_phase(context.replica, Phase::Broken, evidence);
    }
    if !grace_elapsed || context.members.in_flight > 0 {
        return;
    }
    match context.desired.filter(|desired| desired.fits(context.assignment)) {
        None => change.remove(context.replica, Evidence::NotDesired),
        Some(_) => change.set_phase(context.replica, Phase::Broken, Evidence::Drained),
    }
}

/// Puts a replica back into service if all its members turn out to serve, as after a false alarm.
pub(crate) fn advance_broken(
    change: &mut DomainChange<'_>,
    context: ReplicaContext<'_>,
    since: Millis,
) {
    let Some(desired) = context.desired.filter(|desired| desired.fits(context.assignment)) else {
        return change.remove(context.replica, Evidence::NotDesired);
    };
    let all_reported = !change.awaits_report(&context.assignment.boxes, &[], since);
    let is_whole = context.members.serving == context.assignment.boxes.len() && all_reported;
    let none_leaves = change.leaving_boxes(&context.assignment.boxes).is_empty();
    if is_whole && none_leaves && desired.matches(context.assignment) {
        change.set_phase(context.replica, Phase::Ready, Evidence::AllAcknowledged);
    }
}
