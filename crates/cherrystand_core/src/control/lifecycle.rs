//! What the members of a replica make of its phase.

use crate::control::domain_change::DomainChange;
use crate::{Assignment, DesiredReplica, Evidence, MemberSummary, Millis, Phase, ReplicaId};

/// One replica whose turn it is in a step.
pub(crate) struct Turn<'a> {
    /// The replica.
    pub(crate) replica: &'a ReplicaId,
    /// Its assignment.
    pub(crate) held: &'a Assignment,
    /// What its members answered.
    pub(crate) members: MemberSummary,
    /// What it should be, if it is asked for.
    pub(crate) desired: Option<&'a DesiredReplica>,
}

/// Puts a replica into service once every member acknowledged its epoch.
pub(crate) fn advance_loading(change: &mut DomainChange<'_>, turn: Turn<'_>, overdue: bool) {
    let Some(desired) = turn.desired else {
        return change.remove(turn.replica, Evidence::NotDesired);
    };
    if let Some(evidence) = turn.members.failure_evidence() {
        return change.set_phase(turn.replica, Phase::Broken, evidence);
    }
    if !desired.matches(turn.held) {
        return change.set_phase(turn.replica, Phase::Broken, Evidence::LoadChanged);
    }
    if overdue && !turn.members.unready.is_empty() {
        let boxes = turn.members.unready;
        return change.set_phase(turn.replica, Phase::Broken, Evidence::LoadStalled { boxes });
    }
    if turn.held.phase == Phase::Loading && turn.members.ready == turn.held.boxes.len() {
        change.set_phase(turn.replica, Phase::Ready, Evidence::AllAcknowledged);
    }
}

/// Takes a replica out of service when members are lost, will leave, or have to load anew.
pub(crate) fn advance_ready(change: &mut DomainChange<'_>, turn: Turn<'_>) {
    if let Some(evidence) = turn.members.failure_evidence() {
        return change.set_phase(turn.replica, Phase::Broken, evidence);
    }
    let leaving = change.leaving(&turn.held.boxes);
    let evidence = match turn.desired {
        None => Evidence::NotDesired,
        Some(_) if !leaving.is_empty() => Evidence::MembersLeaving { boxes: leaving },
        Some(desired) if !desired.matches(turn.held) && desired.may_reload => Evidence::LoadChanged,
        Some(_) => return,
    };
    change.set_phase(turn.replica, Phase::Draining, evidence);
}

/// Ends the draining of a replica once nothing can be on its way to it and it is idle.
pub(crate) fn advance_draining(change: &mut DomainChange<'_>, turn: Turn<'_>, waited: bool) {
    if let Some(evidence) = turn.members.failure_evidence() {
        return change.set_phase(turn.replica, Phase::Broken, evidence);
    }
    if !waited || turn.members.in_flight > 0 {
        return;
    }
    match turn.desired.filter(|desired| desired.fits(turn.held)) {
        None => change.remove(turn.replica, Evidence::NotDesired),
        Some(_) => change.set_phase(turn.replica, Phase::Broken, Evidence::Drained),
    }
}

/// Puts a replica back into service that was whole all the while, as after a false alarm.
pub(crate) fn advance_broken(change: &mut DomainChange<'_>, turn: Turn<'_>, since: Millis) {
    let Some(desired) = turn.desired.filter(|desired| desired.fits(turn.held)) else {
        return change.remove(turn.replica, Evidence::NotDesired);
    };
    let answered = !change.awaits_answer(&turn.held.boxes, &[], since);
    let whole = turn.members.serving == turn.held.boxes.len() && answered;
    let stays = change.leaving(&turn.held.boxes).is_empty();
    if whole && stays && desired.matches(turn.held) {
        change.set_phase(turn.replica, Phase::Ready, Evidence::AllAcknowledged);
    }
}
