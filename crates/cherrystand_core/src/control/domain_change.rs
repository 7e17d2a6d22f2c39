//! Builds the next record of a domain.

use std::collections::BTreeSet;

use crate::{
    Assignment, BoxId, ControllerInput, DesiredReplica, DomainRecord, EngineState, Epoch, Evidence,
    Explanation, Millis, Phase, Prices, RecordFault, RepairPolicy, ReplicaId, fresh_report,
};

/// The share of a domain's listed boxes that may be missing before repairs are suspended.
///
/// With more boxes missing, the observer's own connection or the list is the more likely cause.
pub const MAX_MISSING_SHARE: f64 = 0.5;

/// Builds the next record from the one that was read.
pub(crate) struct DomainChange<'a> {
    /// The input of the step.
    pub(crate) input: ControllerInput<'a>,
    /// The record as changed so far.
    pub(crate) next: DomainRecord,
    changed: bool,
    stalled: BTreeSet<BoxId>,
}

impl<'a> DomainChange<'a> {
    /// Starts from the record as read.
    pub(crate) fn new(input: ControllerInput<'a>, stalled: BTreeSet<BoxId>) -> Self {
        let next = input.record.clone();
        Self { input, next, changed: false, stalled }
    }

    /// Returns the next record if it differs from the one read.
    ///
    /// # Errors
    ///
    /// Returns a [`RecordFault`] in place of a record that violates a rule.
    pub(crate) fn finish(self) -> Result<Option<DomainRecord>, RecordFault> {
        self.next.check()?;
        Ok(self.changed.then_some(self.next))
    }

    /// Returns the replicas of the record as changed so far.
    pub(crate) fn replicas(&self) -> Vec<ReplicaId> {
        self.next.replicas.keys().cloned().collect()
    }

    /// Frees released boxes that report to be idle, on which no earlier order takes effect any
    /// more.
    pub(crate) fn free_released_boxes(&mut self) {
        let idle: Vec<BoxId> =
            self.next.releasing.keys().filter(|id| self.is_idle(id)).cloned().collect();
        self.changed |= !idle.is_empty();
        self.next.releasing.retain(|id, _| !idle.contains(id));
    }

    fn is_idle(&self, id: &BoxId) -> bool {
        let report = fresh_report(self.input.observations, id, self.input.now);
        report.is_some_and(|report| report.state == EngineState::Idle)
    }

    /// Returns whether so many boxes are silent that no replica should be formed or repaired.
    pub(crate) fn suspends_formation(&self) -> bool {
        let listed = self.input.fleet.of_domain(&self.next.domain);
        let (mut all, mut missing) = (0.0, 0.0);
        for info in listed {
            all += 1.0;
            if fresh_report(self.input.observations, &info.id, self.input.now).is_none() {
                missing += 1.0;
            }
        }
        missing > all * MAX_MISSING_SHARE
    }

    /// Returns the boxes that the list marks as leaving.
    pub(crate) fn leaving_boxes(&self, boxes: &[BoxId]) -> Vec<BoxId> {
        let leaving = |id: &&BoxId| self.input.fleet.get(id).is_some_and(|info| info.leaving);
        boxes.iter().filter(leaving).cloned().collect()
    }

    /// Returns the boxes that can't be members now: those that are silent, stalled or leaving.
    pub(crate) fn unusable_boxes(&self, boxes: &[BoxId]) -> Vec<BoxId> {
        let leaving = self.leaving_boxes(boxes);
        let silent =
            |id: &BoxId| fresh_report(self.input.observations, id, self.input.now).is_none();
        let unusable = boxes
            .iter()
            .filter(|id| silent(id) || leaving.contains(id) || self.stalled.contains(*id));
        unusable.cloned().collect()
    }

    /// Returns whether a box that counts as usable hasn't reported since the replica broke.
    ///
    /// Until it does, it may be the one that failed.
    pub(crate) fn awaits_report(
        &self,
        boxes: &[BoxId],
        unusable: &[BoxId],
        broken_since: Millis,
    ) -> bool {
        let answered = |id: &BoxId| {
            let observation = self.input.observations.get(id);
            observation.is_some_and(|observation| observation.last_heard > broken_since)
        };
        boxes.iter().any(|id| !unusable.contains(id) && !answered(id))
    }

    /// Returns the boxes on which a replica can be formed now.
    pub(crate) fn free_boxes(&self) -> Vec<BoxId> {
        let listed = self.input.fleet.of_domain(&self.next.domain);
        let usable = listed
            .filter(|info| !info.leaving && self.next.is_free(&info.id))
            .filter(|info| self.is_idle(&info.id))
            .filter(|info| !self.stalled.contains(&info.id));
        usable.map(|info| info.id.clone()).collect()
    }

    /// Returns the longest time that one of some boxes has been silent, in seconds.
    pub(crate) fn longest_missing_secs(&self, boxes: &[BoxId]) -> f64 {
        let ages = boxes.iter().filter_map(|id| self.input.observations.get(id));
        let longest = ages.map(|observation| self.input.now.since(observation.last_heard)).max();
        longest.unwrap_or_default().as_secs_f64()
    }

    /// Counts the boxes of an assignment that haven't loaded their weights yet.
    fn loads_needed(&self, assignment: &Assignment) -> usize {
        let lacks = |id: &&BoxId| {
            let report = fresh_report(self.input.observations, id, self.input.now);
            report.is_none_or(|report| report.loaded.as_ref() != Some(&assignment.load))
        };
        assignment.boxes.iter().filter(lacks).count()
    }

    fn loads_in(&self, phase: Phase) -> usize {
        let assignments =
            self.next.replicas.values().filter(|assignment| assignment.phase == phase);
        assignments.map(|assignment| self.loads_needed(assignment)).sum()
    }

    /// Counts the loads that are running or waiting for their turn.
    pub(crate) fn loads_queued(&self) -> usize {
        self.loads_in(Phase::Reserved) + self.loads_in(Phase::Loading)
    }

    /// Returns the desired state of the broken replicas.
    pub(crate) fn broken_replicas(&self) -> Vec<DesiredReplica> {
        let is_broken = |desired: &&DesiredReplica| {
            let assignment = self.next.replicas.get(&desired.replica);
            assignment.is_some_and(|assignment| assignment.phase == Phase::Broken)
        };
        self.input.desired.iter().filter(is_broken).cloned().collect()
    }

    /// Moves a replica to a phase.
    pub(crate) fn set_phase(&mut self, replica: &ReplicaId, phase: Phase, evidence: Evidence) {
        let Some(assignment) = self.next.replicas.get_mut(replica) else {
            return;
        };
        assignment.phase = phase;
        let epoch = assignment.epoch;
        self.record_decision(replica, epoch, Some(phase), evidence, None);
    }

    /// Removes a replica from the record and releases its boxes.
    pub(crate) fn remove(&mut self, replica: &ReplicaId, evidence: Evidence) {
        let Some(assignment) = self.next.replicas.remove(replica) else {
            return;
        };
        let epoch = assignment.epoch;
        self.release(assignment.boxes, epoch);
        self.record_decision(replica, epoch, None, evidence, None);
    }

    fn release(&mut self, boxes: impl IntoIterator<Item = BoxId>, epoch: Epoch) {
        for id in boxes {
            self.next.releasing.insert(id, epoch);
        }
    }

    /// Assigns boxes to a replica under a new epoch and releases those it no longer has.
    pub(crate) fn assign(
        &mut self,
        desired: &DesiredReplica,
        boxes: Vec<BoxId>,
        evidence: Evidence,
        prices: Option<Prices>,
    ) {
        let epoch = self.next.take_epoch();
        let assignment = Assignment {
            epoch,
            boxes: boxes.clone(),
            load: desired.load.clone(),
            phase: Phase::Reserved,
        };
        let old = self.next.replicas.insert(desired.replica.clone(), assignment);
        if let Some(old) = old {
            let given_up = old.boxes.into_iter().filter(|id| !boxes.contains(id));
            self.release(given_up, old.epoch);
        }
        self.record_decision(&desired.replica, epoch, Some(Phase::Reserved), evidence, prices);
    }

    /// Replaces lost members by spares.
    pub(crate) fn swap(
        &mut self,
        desired: &DesiredReplica,
        assignment: &Assignment,
        lost: &[BoxId],
        free: &[BoxId],
        prices: Prices,
    ) {
        let spares = free[..lost.len()].to_vec();
        let mut replacements = spares.iter();
        let mut boxes = assignment.boxes.clone();
        for member in boxes.iter_mut().filter(|id| lost.contains(id)) {
            if let Some(spare) = replacements.next() {
                *member = spare.clone();
            }
        }
        let lost = lost.to_vec();
        self.assign(desired, boxes, Evidence::Swapped { lost, spares }, Some(prices));
    }

    /// Frees the healthy boxes of one broken replica if they suffice to repair another one whose
    /// missing boxes are unlikely to restart.
    pub(crate) fn dissolve_for_another(
        &mut self,
        broken: &[DesiredReplica],
        policy: &RepairPolicy,
    ) {
        let unrepaired: Vec<&DesiredReplica> =
            broken.iter().filter(|desired| self.is_broken(desired)).collect();
        let (Some(first), Some(last)) = (unrepaired.first(), unrepaired.last()) else {
            return;
        };
        if unrepaired.len() < 2 || !self.has_no_pending_release() {
            return;
        }
        let needed = self.unusable_members(first);
        let donor = self.unusable_members(last);
        let donated = last.span as usize - donor.len().min(last.span as usize);
        let is_gone = policy.returns.restart_probability(self.longest_missing_secs(&needed)) < 0.5;
        if is_gone && donated + self.free_boxes().len() >= needed.len() {
            let beneficiary = first.replica.clone();
            let donor = last.replica.clone();
            self.remove(&donor, Evidence::Dissolved { beneficiary });
        }
    }

    fn is_broken(&self, desired: &DesiredReplica) -> bool {
        let assignment = self.next.replicas.get(&desired.replica);
        assignment.is_some_and(|assignment| assignment.phase == Phase::Broken)
    }

    fn unusable_members(&self, desired: &DesiredReplica) -> Vec<BoxId> {
        let assignment = self.next.replicas.get(&desired.replica);
        assignment.map(|assignment| self.unusable_boxes(&assignment.boxes)).unwrap_or_default()
    }

    /// Returns whether no healthy box is about to be released. If one is, dissolving a replica
    /// would be premature.
    fn has_no_pending_release(&self) -> bool {
        let mut releasing = self.next.releasing.keys();
        releasing.all(|id| fresh_report(self.input.observations, id, self.input.now).is_none())
    }

    /// Forms the desired replicas that the record lacks.
    pub(crate) fn form_missing_replicas(&mut self) {
        for desired in self.input.desired {
            if self.next.replicas.contains_key(&desired.replica) {
                continue;
            }
            let free = self.free_boxes();
            if let Some(boxes) = pick_boxes(desired, &free) {
                self.assign(desired, boxes, Evidence::Desired, None);
            }
        }
    }

    /// Starts the loads of reserved replicas, up to `loads_at_once` boxes at a time. A replica that
    /// needs more loads alone.
    pub(crate) fn start_loads(&mut self, loads_at_once: u32) {
        let mut running = self.loads_in(Phase::Loading);
        for replica in self.replicas() {
            let Some(assignment) = self.next.replicas.get(&replica) else {
                continue;
            };
            let needed = self.loads_needed(assignment);
            let fits = running == 0 || running + needed <= loads_at_once as usize;
            if assignment.phase == Phase::Reserved && (fits || needed == 0) {
                running += needed;
                self.set_phase(&replica, Phase::Loading, Evidence::LoadTurn);
            }
        }
    }

    fn record_decision(
        &mut self,
        replica: &ReplicaId,
        epoch: Epoch,
        phase: Option<Phase>,
        evidence: Evidence,
        prices: Option<Prices>,
    ) {
        self.changed = true;
        self.next.explain(Explanation {
            at_unix_secs: self.input.unix_secs,
            replica: replica.clone(),
            epoch,
            phase,
            evidence,
            prices,
        });
    }
}

/// Picks the planned boxes that are free, and others for the rest.
fn pick_boxes(desired: &DesiredReplica, free: &[BoxId]) -> Option<Vec<BoxId>> {
    let span = desired.span as usize;
    if free.len() < span {
        return None;
    }
    let planned = desired.planned.iter().filter(|id| free.contains(id));
    let mut boxes: Vec<BoxId> = planned.take(span).cloned().collect();
    let chosen: BTreeSet<BoxId> = boxes.iter().cloned().collect();
    let others = free.iter().filter(|id| !chosen.contains(*id));
    boxes.extend(others.take(span - boxes.len()).cloned());
    Some(boxes)
}
