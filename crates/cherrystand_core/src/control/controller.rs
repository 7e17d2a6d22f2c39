//! The controller of one fabric domain.
//!
//! Each step compares what the accepted configurations ask for, what the domain's record says
//! and what is known of the boxes, and answers with at most one new record, to be written by
//! compare-and-swap, and the orders that follow from the record as it is. Orders never follow
//! from a record that has not been read back, so a lost answer or a lost race costs a step and
//! nothing else.
//!
//! Source: docs/design/0002-replica-life.md.

use std::collections::{BTreeMap, BTreeSet};

use crate::{
    Assignment, BoxId, DomainRecord, EngineState, Epoch, Evidence, Explanation, Fleet, LoadSpec,
    MemberSummary, Millis, Observations, Order, Phase, Prices, Repair, RepairCase, ReplicaId,
    ReturnModel, Task, choose_repair, fresh_report,
};

/// How long a draining replica is given for the news to reach every node that may still route to
/// it; only then does an idle engine mean that no request can be on its way.
pub const DRAIN_GRACE: Millis = Millis(4_000);

/// The share of a domain's listed boxes that may be missing before repairs are held back.
///
/// Beyond it the likelier cause is the observer's own connection or the list.
pub const HOLD_BACK_SHARE: f64 = 0.5;

/// How many times its usual time a load may take before its box is given up on.
const LOAD_PATIENCE: f64 = 5.0;

/// The least time that a load is given.
const LEAST_LOAD_PATIENCE: Millis = Millis(30_000);

/// For how long a box whose load did not end is left out.
const STALLED_FOR: Millis = Millis::from_secs(900);

/// States what one replica in the domain should be.
#[derive(Clone, Debug, PartialEq)]
pub struct Desired {
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

impl Desired {
    /// Tells whether an assignment is of the size asked for.
    fn fits(&self, held: &Assignment) -> bool {
        held.boxes.len() == self.span as usize
    }

    /// Tells whether an assignment is what is asked for.
    fn matches(&self, held: &Assignment) -> bool {
        self.fits(held) && self.load == held.load
    }
}

/// Describes how the weight store and the boxes behave, for pricing and pacing.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RepairPolicy {
    /// How many boxes of the domain may load at once.
    pub loads_at_once: u32,
    /// Seconds that loading one box's weights takes.
    pub load_secs: f64,
    /// Seconds that a box with its weights in memory takes to join anew.
    pub rejoin_secs: f64,
    /// How missing boxes return.
    pub returns: ReturnModel,
    /// The rule that chooses the repair.
    pub rule: RepairRule,
}

/// Names the rule that chooses repairs; the baselines exist to be compared with.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RepairRule {
    /// The cheapest by expected price.
    Priced,
    /// Always form the replica anew at once where that is possible.
    ReformAtOnce,
    /// Always wait for the boxes.
    WaitForBox,
}

impl Default for RepairPolicy {
    fn default() -> Self {
        Self {
            loads_at_once: 8,
            load_secs: 60.0,
            rejoin_secs: 5.0,
            returns: ReturnModel::default(),
            rule: RepairRule::Priced,
        }
    }
}

/// Holds what a step decides from.
#[derive(Clone, Copy, Debug)]
pub struct Situation<'a> {
    /// The record as it was last read.
    pub record: &'a DomainRecord,
    /// What the accepted configurations ask for in this domain.
    pub desired: &'a [Desired],
    /// The listed boxes.
    pub fleet: &'a Fleet,
    /// What is known of them.
    pub seen: &'a Observations,
    /// The time now, on the clock of the observations.
    pub now: Millis,
    /// The time now for people, in seconds since 1970.
    pub unix_secs: u64,
}

/// Holds what a step decided.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Step {
    /// The record to write, where it changes.
    pub write: Option<DomainRecord>,
    /// The orders to send, which follow from the record as read.
    pub orders: Vec<Order>,
}

/// Decides for one fabric domain.
///
/// It keeps nothing that safety needs: another controller, or this one after a restart, decides
/// from the record and fresh observations, and waits some graces once more.
#[derive(Clone, Debug)]
pub struct Controller {
    policy: RepairPolicy,
    /// Since when this controller has known each replica to be in its phase.
    phases: BTreeMap<ReplicaId, (Epoch, Phase, Millis)>,
    /// When each box was given up on, since its load did not end.
    stalled: BTreeMap<BoxId, Millis>,
}

impl Controller {
    /// Creates a controller with a policy.
    pub fn new(policy: RepairPolicy) -> Self {
        Self { policy, phases: BTreeMap::new(), stalled: BTreeMap::new() }
    }

    /// Decides what to write and order now.
    pub fn step(&mut self, at: Situation<'_>) -> Step {
        self.note_phases(&at);
        self.note_stalled(&at);
        let stalled = self.stalled.keys().cloned().collect();
        let mut change = DomainChange::new(at, stalled);
        change.collect_released();
        for replica in change.replicas() {
            self.advance(&mut change, &replica);
        }
        if !change.holds_back() {
            self.mend(&mut change);
            change.form_missing();
        }
        change.start_loads(self.policy.loads_at_once);
        Step { orders: orders_of(at), write: change.finish() }
    }

    fn note_phases(&mut self, at: &Situation<'_>) {
        let known = std::mem::take(&mut self.phases);
        for (replica, held) in &at.record.replicas {
            let since = match known.get(replica) {
                Some((epoch, phase, since)) if (*epoch, *phase) == (held.epoch, held.phase) => {
                    *since
                }
                _ => at.now,
            };
            let noted = (held.epoch, held.phase, since);
            self.phases.insert(replica.clone(), noted);
        }
    }

    /// Gives up on boxes whose loads have taken far longer than they should.
    fn note_stalled(&mut self, at: &Situation<'_>) {
        self.stalled.retain(|_, since| at.now.since(*since) < STALLED_FOR);
        for (replica, held) in &at.record.replicas {
            if self.is_overdue(replica, at.now) {
                let members = MemberSummary::of(held, at.seen, at.now);
                let stalled = members.unready.into_iter().map(|id| (id, at.now));
                self.stalled.extend(stalled);
            }
        }
    }

    /// Tells whether a replica has been loading for far longer than it should.
    fn is_overdue(&self, replica: &ReplicaId, now: Millis) -> bool {
        let patience = Millis((self.policy.load_secs * LOAD_PATIENCE * 1_000.0) as u64);
        let since = self.in_phase_since(replica, Phase::Loading, now);
        now.since(since) >= patience.max(LEAST_LOAD_PATIENCE)
    }

    fn in_phase_since(&self, replica: &ReplicaId, phase: Phase, now: Millis) -> Millis {
        match self.phases.get(replica) {
            Some((_, known, since)) if *known == phase => *since,
            _ => now,
        }
    }

    fn advance(&self, change: &mut DomainChange<'_>, replica: &ReplicaId) {
        let Some(assignment) = change.next.replicas.get(replica).cloned() else {
            return;
        };
        let members = MemberSummary::of(&assignment, change.at.seen, change.at.now);
        let desired = change.at.desired.iter().find(|desired| &desired.replica == replica);
        match assignment.phase {
            Phase::Reserved | Phase::Loading => {
                let overdue = self.is_overdue(replica, change.at.now);
                advance_loading(change, replica, &assignment, members, desired, overdue);
            }
            Phase::Ready => advance_ready(change, replica, &assignment, members, desired),
            Phase::Draining => {
                let desired = desired.filter(|desired| desired.fits(&assignment));
                let since = self.in_phase_since(replica, Phase::Draining, change.at.now);
                let waited = change.at.now.since(since) >= DRAIN_GRACE;
                advance_draining(change, replica, members, desired, waited);
            }
            Phase::Broken => {
                let since = self.in_phase_since(replica, Phase::Broken, change.at.now);
                advance_broken(change, replica, &assignment, members, desired, since);
            }
        }
    }

    /// Repairs broken replicas, the dearest first.
    fn mend(&self, change: &mut DomainChange<'_>) {
        let mut broken = change.broken();
        broken.sort_by(|a, b| b.downtime_weight.total_cmp(&a.downtime_weight));
        for desired in &broken {
            self.mend_one(change, desired);
        }
        if self.policy.rule == RepairRule::Priced {
            change.dissolve_for_another(&broken, &self.policy);
        }
    }

    fn mend_one(&self, change: &mut DomainChange<'_>, desired: &Desired) {
        let Some(assignment) = change.next.replicas.get(&desired.replica).cloned() else {
            return;
        };
        let broken_since = self.in_phase_since(&desired.replica, Phase::Broken, change.at.now);
        let unusable = change.unusable(&assignment.boxes);
        if change.awaits_answer(&assignment.boxes, &unusable, broken_since) {
            return;
        }
        if unusable.is_empty() {
            let boxes = assignment.boxes.clone();
            change.assign(desired, boxes, Evidence::MembersReturned, None);
            return;
        }
        let free = change.free_boxes();
        let case = self.case_of(change, desired, &unusable, free.len());
        let (repair, prices) = self.choose(&case);
        match repair {
            Repair::Wait => {}
            Repair::Swap => change.swap(desired, &assignment, &unusable, &free, prices),
            Repair::Reform => {
                let boxes = free[..desired.span as usize].to_vec();
                change.assign(desired, boxes, Evidence::Reformed, Some(prices));
            }
        }
    }

    fn choose(&self, case: &RepairCase) -> (Repair, Prices) {
        let (priced, prices) = choose_repair(case, &self.policy.returns);
        let repair = match self.policy.rule {
            RepairRule::Priced => priced,
            RepairRule::ReformAtOnce if prices.reform.is_some() => Repair::Reform,
            RepairRule::ReformAtOnce | RepairRule::WaitForBox => Repair::Wait,
        };
        (repair, prices)
    }

    fn case_of(
        &self,
        change: &DomainChange<'_>,
        desired: &Desired,
        unusable: &[BoxId],
        free: usize,
    ) -> RepairCase {
        let loads_at_once = self.policy.loads_at_once.max(1);
        let rounds = change.loads_queued() as f64 / f64::from(loads_at_once);
        RepairCase {
            span: desired.span,
            missing: unusable.len() as u32,
            missing_secs: change.missing_secs(unusable),
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

fn advance_loading(
    change: &mut DomainChange<'_>,
    replica: &ReplicaId,
    assignment: &Assignment,
    members: MemberSummary,
    desired: Option<&Desired>,
    overdue: bool,
) {
    let Some(desired) = desired else {
        return change.remove(replica, Evidence::NotDesired);
    };
    if let Some(evidence) = members.break_evidence() {
        return change.set_phase(replica, Phase::Broken, evidence);
    }
    if !desired.matches(assignment) {
        return change.set_phase(replica, Phase::Broken, Evidence::LoadChanged);
    }
    if overdue && !members.unready.is_empty() {
        let boxes = members.unready;
        return change.set_phase(replica, Phase::Broken, Evidence::LoadStalled { boxes });
    }
    if assignment.phase == Phase::Loading && members.ready == assignment.boxes.len() {
        change.set_phase(replica, Phase::Ready, Evidence::AllAcknowledged);
    }
}

fn advance_ready(
    change: &mut DomainChange<'_>,
    replica: &ReplicaId,
    assignment: &Assignment,
    members: MemberSummary,
    desired: Option<&Desired>,
) {
    if let Some(evidence) = members.break_evidence() {
        return change.set_phase(replica, Phase::Broken, evidence);
    }
    let leaving = change.leaving(&assignment.boxes);
    let evidence = match desired {
        None => Evidence::NotDesired,
        Some(_) if !leaving.is_empty() => Evidence::MembersLeaving { boxes: leaving },
        Some(desired) if !desired.matches(assignment) && desired.may_reload => {
            Evidence::LoadChanged
        }
        Some(_) => return,
    };
    change.set_phase(replica, Phase::Draining, evidence);
}

fn advance_draining(
    change: &mut DomainChange<'_>,
    replica: &ReplicaId,
    members: MemberSummary,
    desired: Option<&Desired>,
    waited: bool,
) {
    if let Some(evidence) = members.break_evidence() {
        return change.set_phase(replica, Phase::Broken, evidence);
    }
    if !waited || members.in_flight > 0 {
        return;
    }
    match desired {
        None => change.remove(replica, Evidence::NotDesired),
        Some(_) => change.set_phase(replica, Phase::Broken, Evidence::Drained),
    }
}

/// Puts a replica back into service that was whole all the while, as after a false alarm.
fn advance_broken(
    change: &mut DomainChange<'_>,
    replica: &ReplicaId,
    assignment: &Assignment,
    members: MemberSummary,
    desired: Option<&Desired>,
    since: Millis,
) {
    let Some(desired) = desired.filter(|desired| desired.fits(assignment)) else {
        return change.remove(replica, Evidence::NotDesired);
    };
    let answered = !change.awaits_answer(&assignment.boxes, &[], since);
    let whole = members.serving == assignment.boxes.len() && answered;
    let stays = change.leaving(&assignment.boxes).is_empty();
    if whole && stays && desired.matches(assignment) {
        change.set_phase(replica, Phase::Ready, Evidence::AllAcknowledged);
    }
}

/// Builds the next record from the one that was read.
struct DomainChange<'a> {
    at: Situation<'a>,
    next: DomainRecord,
    changed: bool,
    stalled: BTreeSet<BoxId>,
}

impl<'a> DomainChange<'a> {
    fn new(at: Situation<'a>, stalled: BTreeSet<BoxId>) -> Self {
        let next = at.record.clone();
        Self { at, next, changed: false, stalled }
    }

    fn finish(self) -> Option<DomainRecord> {
        let sound = self.next.check().is_ok();
        (self.changed && sound).then_some(self.next)
    }

    fn replicas(&self) -> Vec<ReplicaId> {
        self.next.replicas.keys().cloned().collect()
    }

    /// Frees boxes that answer that they are idle, so that no earlier order acts on them any more.
    fn collect_released(&mut self) {
        let idle = |id: &BoxId| {
            let report = fresh_report(self.at.seen, id, self.at.now);
            report.is_some_and(|report| report.state == EngineState::Idle)
        };
        let before = self.next.releasing.len();
        self.next.releasing.retain(|id, _| !idle(id));
        self.changed |= self.next.releasing.len() != before;
    }

    fn holds_back(&self) -> bool {
        let listed = self.at.fleet.of_domain(&self.next.domain);
        let (mut all, mut missing) = (0.0, 0.0);
        for info in listed {
            all += 1.0;
            if fresh_report(self.at.seen, &info.id, self.at.now).is_none() {
                missing += 1.0;
            }
        }
        missing > all * HOLD_BACK_SHARE
    }

    fn leaving(&self, boxes: &[BoxId]) -> Vec<BoxId> {
        let leaving = |id: &&BoxId| self.at.fleet.get(id).is_some_and(|info| info.leaving);
        boxes.iter().filter(leaving).cloned().collect()
    }

    /// Returns the boxes that cannot be members now: silent, stalled, or about to leave.
    fn unusable(&self, boxes: &[BoxId]) -> Vec<BoxId> {
        let leaving = self.leaving(boxes);
        let silent = |id: &BoxId| fresh_report(self.at.seen, id, self.at.now).is_none();
        let unusable = boxes
            .iter()
            .filter(|id| silent(id) || leaving.contains(id) || self.stalled.contains(*id));
        unusable.cloned().collect()
    }

    /// Tells whether a box that passes for usable has yet to answer after the replica broke.
    ///
    /// Until then it may be the very one that is gone.
    fn awaits_answer(&self, boxes: &[BoxId], unusable: &[BoxId], broken_since: Millis) -> bool {
        let answered = |id: &BoxId| {
            let seen = self.at.seen.get(id);
            seen.is_some_and(|seen| seen.heard > broken_since)
        };
        boxes.iter().any(|id| !unusable.contains(id) && !answered(id))
    }

    fn free_boxes(&self) -> Vec<BoxId> {
        let listed = self.at.fleet.of_domain(&self.next.domain);
        let idle = |id: &BoxId| {
            let report = fresh_report(self.at.seen, id, self.at.now);
            report.is_some_and(|report| report.state == EngineState::Idle)
        };
        let usable = listed
            .filter(|info| !info.leaving && self.next.is_free(&info.id) && idle(&info.id))
            .filter(|info| !self.stalled.contains(&info.id));
        usable.map(|info| info.id.clone()).collect()
    }

    fn missing_secs(&self, boxes: &[BoxId]) -> f64 {
        let ages = boxes.iter().filter_map(|id| self.at.seen.get(id));
        let longest = ages.map(|seen| self.at.now.since(seen.heard)).max();
        longest.unwrap_or_default().as_secs_f64()
    }

    /// Counts the boxes of an assignment that do not have their weights yet.
    fn loads_needed(&self, held: &Assignment) -> usize {
        let lacks = |id: &&BoxId| {
            let report = fresh_report(self.at.seen, id, self.at.now);
            report.is_none_or(|report| report.loaded.as_ref() != Some(&held.load))
        };
        held.boxes.iter().filter(lacks).count()
    }

    fn loads_in(&self, phase: Phase) -> usize {
        let held = self.next.replicas.values().filter(|held| held.phase == phase);
        held.map(|held| self.loads_needed(held)).sum()
    }

    /// Counts the boxes that have to load before any other can.
    fn loads_queued(&self) -> usize {
        self.loads_in(Phase::Reserved) + self.loads_in(Phase::Loading)
    }

    fn broken(&self) -> Vec<Desired> {
        let is_broken = |desired: &&Desired| {
            let held = self.next.replicas.get(&desired.replica);
            held.is_some_and(|held| held.phase == Phase::Broken)
        };
        self.at.desired.iter().filter(is_broken).cloned().collect()
    }

    fn set_phase(&mut self, replica: &ReplicaId, phase: Phase, evidence: Evidence) {
        let Some(assignment) = self.next.replicas.get_mut(replica) else {
            return;
        };
        assignment.phase = phase;
        let epoch = assignment.epoch;
        self.record(replica, epoch, Some(phase), evidence, None);
    }

    fn remove(&mut self, replica: &ReplicaId, evidence: Evidence) {
        let Some(assignment) = self.next.replicas.remove(replica) else {
            return;
        };
        let epoch = assignment.epoch;
        self.release(assignment.boxes, epoch);
        self.record(replica, epoch, None, evidence, None);
    }

    fn release(&mut self, boxes: impl IntoIterator<Item = BoxId>, epoch: Epoch) {
        for id in boxes {
            self.next.releasing.insert(id, epoch);
        }
    }

    /// Gives a replica its boxes under a new epoch and releases those it no longer has.
    fn assign(
        &mut self,
        desired: &Desired,
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
        self.record(&desired.replica, epoch, Some(Phase::Reserved), evidence, prices);
    }

    fn swap(
        &mut self,
        desired: &Desired,
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

    /// Frees the healthy boxes of one broken replica when they can mend another one and neither
    /// is likely to get its own boxes back soon.
    fn dissolve_for_another(&mut self, broken: &[Desired], policy: &RepairPolicy) {
        let still: Vec<&Desired> =
            broken.iter().filter(|desired| self.is_broken(desired)).collect();
        let (Some(first), Some(last)) = (still.first(), still.last()) else {
            return;
        };
        if still.len() < 2 || !self.releasing_idle_soon() {
            return;
        }
        let needed = self.unusable_of(first);
        let donor = self.unusable_of(last);
        let donated = last.span as usize - donor.len().min(last.span as usize);
        let gone = policy.returns.restarting(self.missing_secs(&needed)) < 0.5;
        if gone && donated + self.free_boxes().len() >= needed.len() {
            let beneficiary = first.replica.clone();
            let donor = last.replica.clone();
            self.remove(&donor, Evidence::Dissolved { beneficiary });
        }
    }

    fn is_broken(&self, desired: &Desired) -> bool {
        let held = self.next.replicas.get(&desired.replica);
        held.is_some_and(|held| held.phase == Phase::Broken)
    }

    fn unusable_of(&self, desired: &Desired) -> Vec<BoxId> {
        let held = self.next.replicas.get(&desired.replica);
        held.map(|held| self.unusable(&held.boxes)).unwrap_or_default()
    }

    /// Tells whether no healthy box is on its way to be free, which would make giving up a
    /// replica premature.
    fn releasing_idle_soon(&self) -> bool {
        let mut releasing = self.next.releasing.keys();
        releasing.all(|id| fresh_report(self.at.seen, id, self.at.now).is_none())
    }

    fn form_missing(&mut self) {
        for desired in self.at.desired {
            if self.next.replicas.contains_key(&desired.replica) {
                continue;
            }
            let free = self.free_boxes();
            if let Some(boxes) = pick_boxes(desired, &free) {
                self.assign(desired, boxes, Evidence::Desired, None);
            }
        }
    }

    fn start_loads(&mut self, loads_at_once: u32) {
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

    fn record(
        &mut self,
        replica: &ReplicaId,
        epoch: Epoch,
        phase: Option<Phase>,
        evidence: Evidence,
        prices: Option<Prices>,
    ) {
        self.changed = true;
        self.next.explain(Explanation {
            at_unix_secs: self.at.unix_secs,
            replica: replica.clone(),
            epoch,
            phase,
            evidence,
            prices,
        });
    }
}

/// Picks the planned boxes where they are free, and others for the rest.
fn pick_boxes(desired: &Desired, free: &[BoxId]) -> Option<Vec<BoxId>> {
    let span = desired.span as usize;
    if free.len() < span {
        return None;
    }
    let planned = desired.planned.iter().filter(|id| free.contains(id));
    let mut boxes: Vec<BoxId> = planned.take(span).cloned().collect();
    let chosen: BTreeSet<BoxId> = boxes.iter().cloned().collect();
    let others = free.iter().filter(|id| !chosen.contains(id));
    boxes.extend(others.take(span - boxes.len()).cloned());
    Some(boxes)
}

/// Lists the orders that the record calls for and that the boxes have not yet followed.
fn orders_of(at: Situation<'_>) -> Vec<Order> {
    let mut orders = Vec::new();
    for (replica, assignment) in &at.record.replicas {
        match assignment.phase {
            Phase::Loading => orders.extend(join_orders(at, replica, assignment)),
            Phase::Draining => orders.extend(drain_order(at, assignment)),
            Phase::Reserved | Phase::Ready | Phase::Broken => {}
        }
    }
    orders.extend(release_orders(at));
    orders.extend(stray_orders(at));
    orders
}

fn join_orders(at: Situation<'_>, replica: &ReplicaId, assignment: &Assignment) -> Vec<Order> {
    let addresses = assignment.boxes.iter().map(|id| at.fleet.get(id).map(|info| info.address));
    let Some(members) = addresses.collect::<Option<Vec<_>>>() else {
        return Vec::new();
    };
    let waits = |id: &BoxId| {
        let report = fresh_report(at.seen, id, at.now);
        report.is_some_and(|report| report.epoch < assignment.epoch)
    };
    let ranked = assignment.boxes.iter().enumerate().filter(|(_, id)| waits(id));
    ranked
        .map(|(rank, id)| Order {
            target: id.clone(),
            epoch: assignment.epoch,
            task: Task::Join {
                replica: replica.clone(),
                rank: rank as u32,
                members: members.clone(),
                load: assignment.load.clone(),
            },
        })
        .collect()
}

fn drain_order(at: Situation<'_>, assignment: &Assignment) -> Option<Order> {
    let leader = assignment.boxes.first()?;
    let report = fresh_report(at.seen, leader, at.now)?;
    let serves = report.epoch == assignment.epoch && report.state == EngineState::Ready;
    serves.then(|| Order { target: leader.clone(), epoch: assignment.epoch, task: Task::Drain })
}

fn release_orders(at: Situation<'_>) -> Vec<Order> {
    let busy = |id: &BoxId| {
        let report = fresh_report(at.seen, id, at.now);
        report.is_some_and(|report| report.state != EngineState::Idle)
    };
    let waiting = at.record.releasing.iter().filter(|(id, _)| busy(id));
    waiting
        .map(|(id, epoch)| Order { target: id.clone(), epoch: *epoch, task: Task::Release })
        .collect()
}

/// Releases engines that act although the record gives their boxes to nobody, as after an order
/// that arrived long after it was sent.
fn stray_orders(at: Situation<'_>) -> Vec<Order> {
    let free = at.fleet.of_domain(&at.record.domain).filter(|info| at.record.is_free(&info.id));
    let stray = free.filter_map(|info| {
        let report = fresh_report(at.seen, &info.id, at.now)?;
        (report.state != EngineState::Idle).then(|| Order {
            target: info.id.clone(),
            epoch: report.epoch,
            task: Task::Release,
        })
    });
    stray.collect()
}
