//! The controller of one fabric domain.
//!
//! Each step compares the accepted configurations, the domain's record and what is known of the
//! boxes. It returns at most one new record, to be written by compare-and-swap, and the orders that
//! follow from the record as read. No order follows from a record that hasn't been read back, so a
//! lost response or a lost race costs one step and nothing else.
//!
//! Source: docs/design/0002-replica-life.md.

use std::collections::BTreeMap;

use crate::control::domain_change::DomainChange;
use crate::control::lifecycle::{
    ReplicaContext, advance_broken, advance_draining, advance_loading, advance_ready,
};
use crate::control::orders::orders_of;
use crate::{
    BoxId, DesiredReplica, DomainRecord, Epoch, Evidence, Fleet, MemberSummary, Millis,
    Observations, Order, Phase, Prices, RecordFault, Repair, RepairCase, RepairPolicy, RepairRule,
    ReplicaId, choose_repair,
};

/// How long a draining replica waits for its record to reach every node that may still route to it.
/// Before that, an idle engine doesn't mean that no request is on its way.
pub const DRAIN_GRACE: Millis = Millis(4_000);

/// How many times its expected duration a load may take before its boxes count as stalled.
const LOAD_TIMEOUT_FACTOR: f64 = 5.0;

/// The minimum load timeout.
const MIN_LOAD_TIMEOUT: Millis = Millis(30_000);

/// How long a box is excluded after its load stalled.
const STALLED_BOX_EXCLUSION: Millis = Millis::from_secs(900);

/// The input of a controller step.
#[derive(Clone, Copy, Debug)]
pub struct ControllerInput<'a> {
    /// The record as last read.
    pub record: &'a DomainRecord,
    /// The replicas that the accepted configurations place in this domain.
    pub desired: &'a [DesiredReplica],
    /// The listed boxes.
    pub fleet: &'a Fleet,
    /// The latest reports of the boxes.
    pub observations: &'a Observations,
    /// The current time, on the clock of the observations.
    pub now: Millis,
    /// The current wall-clock time, in seconds since 1970.
    pub unix_secs: u64,
}

/// The result of a controller step.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ControllerStep {
    /// The record to write, if it changes.
    pub write: Option<DomainRecord>,
    /// The orders to send, which follow from the record as read.
    pub orders: Vec<Order>,
    /// The rule that the record, as read or as changed, violates. Nothing is written then.
    pub fault: Option<RecordFault>,
}

/// Decides for one fabric domain.
///
/// Its state isn't needed for safety: another controller, or this one after a restart, decides from
/// the record and new observations, and only waits out some grace periods again.
#[derive(Clone, Debug)]
pub struct Controller {
    policy: RepairPolicy,
    /// The phase of each replica, and since when this controller has known it.
    phases: BTreeMap<ReplicaId, (Epoch, Phase, Millis)>,
    /// When the load of each box was found to be stalled.
    stalled: BTreeMap<BoxId, Millis>,
}

impl Controller {
    /// Creates a controller with a policy.
    pub fn new(policy: RepairPolicy) -> Self {
        Self { policy, phases: BTreeMap::new(), stalled: BTreeMap::new() }
    }

    /// Decides what to write and order now.
    pub fn step(&mut self, input: ControllerInput<'_>) -> ControllerStep {
        self.track_phases(&input);
        self.track_stalled_loads(&input);
        let stalled = self.stalled.keys().cloned().collect();
        let mut change = DomainChange::new(input, stalled);
        change.free_released_boxes();
        for replica in change.replicas() {
            self.advance_replica(&mut change, &replica);
        }
        if !change.suspends_formation() {
            self.repair_broken(&mut change);
            change.form_missing_replicas();
        }
        change.start_loads(self.policy.loads_at_once);
        let orders = orders_of(input);
        match change.finish() {
            Ok(write) => ControllerStep { write, orders, fault: None },
            Err(fault) => ControllerStep { write: None, orders, fault: Some(fault) },
        }
    }

    fn track_phases(&mut self, input: &ControllerInput<'_>) {
        let known = std::mem::take(&mut self.phases);
        for (replica, assignment) in &input.record.replicas {
            let since = match known.get(replica) {
                Some((epoch, phase, since))
                    if (*epoch, *phase) == (assignment.epoch, assignment.phase) =>
                {
                    *since
                }
                _ => input.now,
            };
            let noted = (assignment.epoch, assignment.phase, since);
            self.phases.insert(replica.clone(), noted);
        }
    }

    /// Excludes boxes whose loads have exceeded their timeout.
    fn track_stalled_loads(&mut self, input: &ControllerInput<'_>) {
        self.stalled.retain(|_, since| input.now.since(*since) < STALLED_BOX_EXCLUSION);
        for (replica, assignment) in &input.record.replicas {
            if self.is_load_overdue(replica, input.now) {
                let members = MemberSummary::of(assignment, input.observations, input.now);
                let stalled = members.unready.into_iter().map(|id| (id, input.now));
                self.stalled.extend(stalled);
            }
        }
    }

    /// Returns whether a replica has been loading for longer than its timeout.
    fn is_load_overdue(&self, replica: &ReplicaId, now: Millis) -> bool {
        let timeout = Millis((self.policy.load_secs * LOAD_TIMEOUT_FACTOR * 1_000.0) as u64);
        let since = self.in_phase_since(replica, Phase::Loading, now);
        now.since(since) >= timeout.max(MIN_LOAD_TIMEOUT)
    }

    fn in_phase_since(&self, replica: &ReplicaId, phase: Phase, now: Millis) -> Millis {
        match self.phases.get(replica) {
            Some((_, known, since)) if *known == phase => *since,
            _ => now,
        }
    }

    fn advance_replica(&self, change: &mut DomainChange<'_>, replica: &ReplicaId) {
        let Some(assignment) = change.next.replicas.get(replica).cloned() else {
            return;
        };
        let now = change.input.now;
        let members = MemberSummary::of(&assignment, change.input.observations, now);
        let desired = change.input.desired.iter().find(|desired| &desired.replica == replica);
        let context = ReplicaContext { replica, assignment: &assignment, members, desired };
        match assignment.phase {
            Phase::Reserved | Phase::Loading => {
                advance_loading(change, context, self.is_load_overdue(replica, now));
            }
            Phase::Ready => advance_ready(change, context),
            Phase::Draining => {
                let since = self.in_phase_since(replica, Phase::Draining, now);
                advance_draining(change, context, now.since(since) >= DRAIN_GRACE);
            }
            Phase::Broken => {
                let since = self.in_phase_since(replica, Phase::Broken, now);
                advance_broken(change, context, since);
            }
        }
    }

    /// Repairs broken replicas, those with the highest downtime weight first.
    fn repair_broken(&self, change: &mut DomainChange<'_>) {
        let mut broken = change.broken_replicas();
        broken.sort_by(|a, b| b.downtime_weight.total_cmp(&a.downtime_weight));
        for desired in &broken {
            self.repair_replica(change, desired);
        }
        if self.policy.rule == RepairRule::Priced {
            change.dissolve_for_another(&broken, &self.policy);
        }
    }

    fn repair_replica(&self, change: &mut DomainChange<'_>, desired: &DesiredReplica) {
        let Some(assignment) = change.next.replicas.get(&desired.replica).cloned() else {
            return;
        };
        let broken_since = self.in_phase_since(&desired.replica, Phase::Broken, change.input.now);
        let unusable = change.unusable_boxes(&assignment.boxes);
        if change.awaits_report(&assignment.boxes, &unusable, broken_since) {
            return;
        }
        if unusable.is_empty() {
            let boxes = assignment.boxes.clone();
            change.assign(desired, boxes, Evidence::MembersReturned, None);
            return;
        }
        let free = change.free_boxes();
        let case = self.repair_case(change, desired, &unusable, free.len());
        let (repair, prices) = self.select_repair(&case);
        match repair {
            Repair::Wait => {}
            Repair::Swap => change.swap(desired, &assignment, &unusable, &free, prices),
            Repair::Reform => {
                let boxes = free[..desired.span as usize].to_vec();
                change.assign(desired, boxes, Evidence::Reformed, Some(prices));
            }
        }
    }

    fn select_repair(&self, case: &RepairCase) -> (Repair, Prices) {
        let (priced, prices) = choose_repair(case, &self.policy.returns);
        let repair = match self.policy.rule {
            RepairRule::Priced => priced,
            RepairRule::ReformAtOnce if prices.reform.is_some() => Repair::Reform,
            RepairRule::ReformAtOnce | RepairRule::WaitForBox => Repair::Wait,
        };
        (repair, prices)
    }

    fn repair_case(
        &self,
        change: &DomainChange<'_>,
        desired: &DesiredReplica,
        unusable: &[BoxId],
        free: usize,
    ) -> RepairCase {
        let loads_at_once = self.policy.loads_at_once.max(1);
        let rounds = change.loads_queued() as f64 / f64::from(loads_at_once);
        RepairCase {
            span: desired.span,
            missing: unusable.len() as u32,
            missing_secs: change.longest_missing_secs(unusable),
            free: free as u32,
            queue_secs: rounds * self.policy.load_secs,
            load_secs: self.policy.load_secs,
            loads_at_once,
            rejoin_secs: self.policy.rejoin_secs,
            downtime_weight: desired.downtime_weight,
            stranded_weight: desired.stranded_weight,
        }
    }
}
