//! Decides which boxes of a domain form which replicas, where boxes report their state to the
//! store.
//!
//! Each step compares the domain's record with what its boxes report. It returns at most one new
//! record, to be written by compare-and-swap, and the orders that follow from the record as read.
//! Safety rests on three rules: the record assigns a box to a single replica, epochs only grow, and
//! a member joins another replica only after the leader of its last one is known to have stopped
//! serving.
//!
//! Source: docs/design/0009-users-machines.md.

use std::collections::{BTreeMap, BTreeSet};

use crate::site::domain_draft::{DomainDraft, ReplicaStatus};
use crate::site::domain_spares::SPARE_EPOCH;
use crate::{
    Assignment, BoxId, DomainId, DomainRecord, EngineSpec, Epoch, MemberOrder, MemberState,
    MemberTask, Millis, OrderEnd, Policy, ReplicaId, ServiceName, SiteBox,
};

/// A load to the host is ordered again after this multiple of its usual time.
const STAGING_TIMEOUT_FACTOR: u64 = 2;

/// An order without effect is sent again after this time.
const ORDER_RETRY: Millis = Millis(1_200);

/// The pause before an order is sent again to a box that could not be reached. It doubles up to
/// [`ORDER_RETRY`].
const FIRST_UNREACHED_PAUSE: Millis = Millis(50);

/// How many fences are skipped after a box has seen a later one.
const FENCE_SKIP: u32 = 64;

/// How long the start of a replica's drain is remembered.
const CLOSING_RETENTION: Millis = Millis(60_000);

/// How long no replica is formed while boxes of the domain are being probed: a little more than two
/// probes take. Boxes that are lost together then cause one formation instead of one each.
const MAX_PROBE_WAIT: Millis = Millis(450);

/// Why replicas are removed when their domain is assigned to another model.
const HOME_CHANGED: &str = "the domain is for another model now";

/// How long a leader may take to drain before it is ordered to leave.
const DRAIN_TIMEOUT: Millis = Millis(8_000);

/// What a step decides from.
#[derive(Clone, Copy, Debug)]
pub struct FormationInput<'a> {
    /// The current time.
    pub now: Millis,
    /// The domain.
    pub domain: &'a DomainId,
    /// The service that its boxes belong to.
    pub service: &'a ServiceName,
    /// The domain's record as last read.
    pub record: &'a DomainRecord,
    /// The engine of the service.
    pub engine: &'a EngineSpec,
    /// The listed boxes of the domain.
    pub boxes: &'a [&'a SiteBox],
    /// The last entries of boxes that were listed recently and no longer are.
    pub departed: &'a [&'a SiteBox],
    /// Boxes that are listed but don't respond. None is used for a replica.
    pub silent: &'a BTreeSet<BoxId>,
    /// Those among them that are dead. Only these end a replica that serves.
    pub dead: &'a BTreeSet<BoxId>,
    /// Boxes that are being probed.
    pub probed: &'a BTreeSet<BoxId>,
    /// Replicas whose leaders confirmed that they stopped serving, by name and epoch, with the last
    /// epoch of the record that the order to leave followed from.
    pub ended_replicas: &'a BTreeMap<(String, Epoch), Epoch>,
    /// The epochs that boxes confirmed to have left, with the last epoch of the record that the
    /// order to leave followed from.
    pub left_epochs: &'a BTreeMap<(BoxId, Epoch), Epoch>,
    /// How many loads from the weight store may start now.
    pub loads_allowed: u32,
    /// The home model of the domain; `None` if it serves all models.
    pub home: Option<&'a str>,
    /// The model that hosts also preload while loads are available.
    pub second: Option<&'a str>,
    /// The decisions that are switched on.
    pub policy: Policy,
}

/// What a step decided.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct FormationStep {
    /// The record to write, if it changes.
    pub new_record: Option<DomainRecord>,
    /// The orders to send, which follow from the record as read.
    pub orders: Vec<MemberOrder>,
    /// How many loads from the weight store the orders start.
    pub loads: u32,
    /// What was decided and why, for the log.
    pub reasons: Vec<String>,
}

/// An order that was sent.
#[derive(Clone, Debug)]
struct SentOrder {
    task: MemberTask,
    epoch: Epoch,
    /// When it may be sent again.
    again_at: Millis,
}

/// Decides the formation of one domain.
///
/// It remembers only which orders were sent; any other node reaches the same decisions from the
/// record and the boxes alone.
#[derive(Clone, Debug, Default)]
pub struct Formation {
    sent_orders: BTreeMap<BoxId, SentOrder>,
    /// How long the next order to a box waits that could not be reached.
    unreached_pauses: BTreeMap<BoxId, Millis>,
    /// Since when replicas drain, by name and epoch.
    closing_since: BTreeMap<(String, Epoch), Millis>,
    /// How many orders each box was sent, plus the fences skipped for it.
    order_counts: BTreeMap<BoxId, u32>,
    /// The home model of the domain.
    home: Option<String>,
    /// Boxes that were ordered to load that model into memory and answered.
    warmed: BTreeSet<BoxId>,
    /// Boxes that were ordered to load a model to their hosts, and when.
    staging: BTreeMap<BoxId, Millis>,
    /// The order count that each box reports. If it falls, the box has restarted, where boxes don't
    /// report their start times.
    orders_taken: BTreeMap<BoxId, u64>,
    /// Since when boxes of the domain are being probed.
    probing_since: Option<Millis>,
}

impl Formation {
    /// Decides what to write and to order now.
    pub fn step(&mut self, input: FormationInput<'_>) -> FormationStep {
        self.sent_orders.retain(|_, sent| input.now < sent.again_at);
        // A box that is only cut off from the store still compares fences.
        let is_known = |id: &BoxId| {
            input.boxes.iter().chain(input.departed).any(|site_box| &site_box.id == id)
        };
        self.order_counts.retain(|id, _| is_known(id));
        self.orders_taken.retain(|id, _| is_known(id));
        self.unreached_pauses.retain(|id, _| is_known(id));
        self.warmed.retain(is_known);
        self.reset_restarted(&input);
        if self.home.as_deref() != input.home {
            self.home = input.home.map(str::to_owned);
            self.warmed.clear();
        }
        let mut draft = DomainDraft::new(input, self.awaits_probes(&input));
        let replicas: Vec<ReplicaId> = input.record.replicas.keys().cloned().collect();
        for replica in &replicas {
            self.advance(&mut draft, replica);
        }
        draft.adopt_serving_replicas();
        draft.form_replicas();
        draft.leave_former_assignments();
        let longest =
            input.engine.models.iter().map(|model| model.load_time.0).max().unwrap_or_default();
        self.staging
            .retain(|_, since| input.now.since(*since).0 < STAGING_TIMEOUT_FACTOR * longest);
        draft.stage_spares(&self.staging);
        if input.policy.warm_spares {
            draft.warm_spares(&self.warmed);
        }
        draft.stage_second_model(&self.staging);
        self.closing_since.retain(|_, began| input.now.since(*began) < CLOSING_RETENTION);
        self.finish(draft)
    }

    /// Forgets the orders of boxes that have restarted since.
    fn reset_restarted(&mut self, input: &FormationInput<'_>) {
        for site_box in input.boxes {
            let previous = self.orders_taken.insert(site_box.id.clone(), site_box.orders_taken);
            if previous.is_some_and(|previous| site_box.has_restarted_since(previous)) {
                self.sent_orders.remove(&site_box.id);
                self.unreached_pauses.remove(&site_box.id);
                self.warmed.remove(&site_box.id);
                self.staging.remove(&site_box.id);
            }
        }
    }

    /// Returns whether forming replicas has to wait for boxes that are being probed.
    fn awaits_probes(&mut self, input: &FormationInput<'_>) -> bool {
        if !input.boxes.iter().any(|site_box| input.probed.contains(&site_box.id)) {
            self.probing_since = None;
            return false;
        }
        let since = *self.probing_since.get_or_insert(input.now);
        input.now.since(since) < MAX_PROBE_WAIT
    }

    /// Records the result of an order, which decides whether it is sent again at once if it is
    /// still wanted.
    pub fn record_order_end(
        &mut self,
        order: &MemberOrder,
        end: OrderEnd,
        is_silent: bool,
        now: Millis,
    ) {
        let is_unreached = matches!(end, OrderEnd::Refused | OrderEnd::Dark | OrderEnd::Cut);
        if !is_unreached {
            self.unreached_pauses.remove(&order.target);
        }
        let is_spare = matches!(order.task, MemberTask::Join { .. }) && order.epoch == SPARE_EPOCH;
        if is_spare && !matches!(end, OrderEnd::Silent | OrderEnd::Cut) {
            // A box that refuses has joined before, and holds the model of that replica.
            self.warmed.insert(order.target.clone());
            return;
        }
        let send_again = match (end, &order.task) {
            // A later record may immediately require it again.
            (OrderEnd::Taken, MemberTask::Leave) => true,
            (OrderEnd::Taken, _) => false,
            // It already loads a model.
            (OrderEnd::Unfit, MemberTask::Stage { .. }) => false,
            // The box cannot execute it in its state, and would refuse it again: sent again at
            // once, 456 of 714 such orders were refused on a day on which boxes restarted
            // while the store was unreachable.
            (OrderEnd::Unknown, _) => false,
            // A box that responds but left an order unanswered is ordered again, under a later
            // fence.
            (OrderEnd::Silent | OrderEnd::Dark | OrderEnd::Cut, _) => !is_silent,
            _ => true,
        };
        if end == OrderEnd::Fenced {
            *self.order_counts.entry(order.target.clone()).or_default() += FENCE_SKIP;
        }
        match send_again {
            true if is_unreached => self.postpone(&order.target, now),
            true => _ = self.sent_orders.remove(&order.target),
            false => {}
        }
    }

    /// Lets the next order to a box that could not be reached wait, longer each time.
    fn postpone(&mut self, target: &BoxId, now: Millis) {
        let pause = self.unreached_pauses.get(target).copied().unwrap_or(FIRST_UNREACHED_PAUSE);
        let next = Millis(pause.0 * 2).min(ORDER_RETRY);
        self.unreached_pauses.insert(target.clone(), next);
        if let Some(sent) = self.sent_orders.get_mut(target) {
            sent.again_at = now + pause;
        }
    }

    /// Records that a box is already loading a model to its host.
    pub fn record_staging(&mut self, target: &BoxId, now: Millis) {
        self.staging.insert(target.clone(), now);
    }

    /// Brings one replica of the record closer to serving.
    fn advance(&mut self, draft: &mut DomainDraft<'_>, replica: &ReplicaId) {
        let Some(assignment) = draft.input.record.replicas.get(replica).cloned() else {
            return;
        };
        let name = replica_name(draft.input.domain, replica);
        let Some(model) = draft.input.engine.model(&replica.group.name).cloned() else {
            draft.stop_leader(&name, &assignment);
            return draft.remove(replica, "its model is not configured");
        };
        if draft.input.home.is_some_and(|home| home != model.name) {
            return self.give_up_for_home(draft, replica, &name, &assignment);
        }
        match draft.replica_status(&name, &assignment) {
            ReplicaStatus::Serving => {}
            ReplicaStatus::Joining => draft.join_or_open(&name, &assignment, &model),
            ReplicaStatus::Leaving => {
                if self.drain(draft, &name, &assignment) {
                    draft.repair(replica, &assignment, &model, "a member leaves");
                }
            }
            ReplicaStatus::Broken(reason) => {
                draft.stop_leader(&name, &assignment);
                draft.repair(replica, &assignment, &model, reason);
            }
        }
    }

    /// Removes a replica whose domain has another home model, once it has drained.
    fn give_up_for_home(
        &mut self,
        draft: &mut DomainDraft<'_>,
        replica: &ReplicaId,
        name: &str,
        assignment: &Assignment,
    ) {
        match draft.replica_status(name, assignment) {
            ReplicaStatus::Serving | ReplicaStatus::Leaving
                if !self.drain(draft, name, assignment) =>
            {
                return;
            }
            ReplicaStatus::Broken(_) => draft.stop_leader(name, assignment),
            _ => {}
        }
        draft.remove(replica, HOME_CHANGED);
    }

    /// Drains a replica that is to stop serving, and returns whether it has.
    fn drain(&mut self, draft: &mut DomainDraft<'_>, name: &str, assignment: &Assignment) -> bool {
        let Some(leader) = draft.leader_of(name, assignment.epoch) else {
            return true;
        };
        let state = leader.member.as_ref().map(|member| member.state);
        let began = *self
            .closing_since
            .entry((name.to_owned(), assignment.epoch))
            .or_insert(draft.input.now);
        match state {
            Some(MemberState::Open) => {
                draft.add_order(leader, name, assignment.epoch, MemberTask::Close)
            }
            Some(MemberState::Closing) if draft.input.now.since(began) < DRAIN_TIMEOUT => {}
            Some(MemberState::Closing) => {
                draft.add_order(leader, name, assignment.epoch, MemberTask::Leave);
            }
            _ => return true,
        }
        false
    }

    /// Returns the new record and the orders, without repeated orders and excess loads.
    fn finish(&mut self, draft: DomainDraft<'_>) -> FormationStep {
        let now = draft.input.now;
        let mut step = FormationStep { reasons: draft.reasons, ..FormationStep::default() };
        if draft.changed && draft.next.check().is_ok() {
            step.new_record = Some(draft.next);
        }
        for (mut order, is_load) in draft.orders {
            let last_sent = self.sent_orders.get(&order.target);
            let repeated =
                last_sent.is_some_and(|sent| sent.task == order.task && sent.epoch == order.epoch);
            if repeated || (is_load && step.loads >= draft.input.loads_allowed) {
                continue;
            }
            step.loads += u32::from(is_load);
            if matches!(order.task, MemberTask::Stage { .. }) {
                self.staging.insert(order.target.clone(), now);
            }
            let again_at = now + ORDER_RETRY;
            let sent = SentOrder { task: order.task.clone(), epoch: order.epoch, again_at };
            self.sent_orders.insert(order.target.clone(), sent);
            let count = self.order_counts.entry(order.target.clone()).or_default();
            order.sequence = *count;
            *count += 1;
            step.orders.push(order);
        }
        step
    }
}

/// Returns the name by which members know a replica.
pub fn replica_name(domain: &DomainId, replica: &ReplicaId) -> String {
    format!("{domain}.{}.{}", replica.group.name, replica.slot)
}
