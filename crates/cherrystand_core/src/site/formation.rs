//! Which boxes of a domain form which replicas, where boxes tell of themselves through the store.
//!
//! Each step compares the domain's record with what its boxes tell, and answers with at most one
//! new record, to be written by compare-and-swap, and the orders that follow from the record as
//! it is. What is safe rests on three things: the record gives a box to one replica only, epochs
//! only grow, and a member joins anew only once the leader of its last replica is known to serve
//! no more.
//!
//! Source: docs/design/0009-users-machines.md.

use std::collections::{BTreeMap, BTreeSet};

use crate::site::domain_draft::{DomainDraft, Standing};
use crate::site::domain_spares::SPARE_EPOCH;
use crate::{
    Assignment, BoxId, DomainId, DomainRecord, EngineSpec, Epoch, MemberOrder, MemberState,
    MemberTask, Millis, OrderEnd, Policy, ReplicaId, ServiceName, SiteBox,
};

/// How many times its usual time a load to the host may take before it is ordered again.
const STAGE_PATIENCE: u64 = 2;

/// After this time without effect an order is sent again.
const ORDER_AGAIN: Millis = Millis(1_200);

/// How many fences are passed over after a box has seen a later one.
const FENCES_PASSED: u32 = 64;

/// For how long it is remembered since when a replica closes.
const CLOSING_KNOWN_FOR: Millis = Millis(60_000);

/// How long nothing is formed while boxes of the domain are asked whether they are there: two
/// questions and a little. Boxes lost together then cost one forming and not one each.
const ASKS_FIRST_FOR: Millis = Millis(450);

/// Why the replicas of a domain are given up that is for another model from now on.
const CHANGES_HANDS: &str = "the domain is for another model now";

/// How long a leader may finish what it has before it is made to leave.
const CLOSE_WITHIN: Millis = Millis(8_000);

/// Holds what a step decides from.
#[derive(Clone, Copy, Debug)]
pub struct FormationInput<'a> {
    /// The time now.
    pub now: Millis,
    /// The domain.
    pub domain: &'a DomainId,
    /// The service that its boxes belong to.
    pub service: &'a ServiceName,
    /// The domain's record as it was last read.
    pub record: &'a DomainRecord,
    /// The engine's figures.
    pub engine: &'a EngineSpec,
    /// The boxes of the domain that are listed.
    pub boxes: &'a [&'a SiteBox],
    /// Boxes that were listed lately and are not any more, as they were.
    pub departed: &'a [&'a SiteBox],
    /// Boxes that are listed but have gone silent.
    pub silent: &'a BTreeSet<BoxId>,
    /// Boxes that are being asked whether they are there.
    pub asked: &'a BTreeSet<BoxId>,
    /// Replicas whose leaders said that they serve no more, with their epochs, and the last epoch of
    /// the record that they were ordered to leave by.
    pub ended: &'a BTreeMap<(String, Epoch), Epoch>,
    /// The epochs that boxes said they left, with the last epoch of the record that they were
    /// ordered to by.
    pub left: &'a BTreeMap<(BoxId, Epoch), Epoch>,
    /// How many loads from the weight store may begin now.
    pub loads_allowed: u32,
    /// The model that the domain is for; nothing where it serves all of them.
    pub home: Option<&'a str>,
    /// The model that hosts are to hold beside the one that their boxes serve, while loads are free.
    pub second: Option<&'a str>,
    /// Which decisions are made how.
    pub policy: Policy,
}

/// Holds what a step decided.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct FormationStep {
    /// The record to write, where it changes.
    pub write: Option<DomainRecord>,
    /// The orders to send, which follow from the record as read.
    pub orders: Vec<MemberOrder>,
    /// Loads from the weight store that the orders begin.
    pub loads: u32,
    /// What was decided and why, for the log.
    pub reasons: Vec<String>,
}

/// An order that was sent.
#[derive(Clone, Debug)]
struct Sent {
    task: MemberTask,
    epoch: Epoch,
    at: Millis,
}

/// Decides for one domain.
///
/// It keeps only when orders were sent; another node decides from the record and the boxes alone.
#[derive(Clone, Debug, Default)]
pub struct Formation {
    sent: BTreeMap<BoxId, Sent>,
    closing: BTreeMap<(String, Epoch), Millis>,
    /// How many orders each box was sent, beyond those that its fences are known to have passed.
    orders: BTreeMap<BoxId, u32>,
    /// The model that the domain is for.
    home: Option<String>,
    /// Boxes that were ordered to take that model into memory and answered.
    warmed: BTreeSet<BoxId>,
    /// Boxes that were ordered to load a model to their hosts, and when.
    staging: BTreeMap<BoxId, Millis>,
    /// How many orders boxes said that they took; one that falls tells that the box started again,
    /// where boxes do not tell their starts.
    taken: BTreeMap<BoxId, u64>,
    /// Since when there have been boxes of the domain that are asked whether they are there.
    asking_since: Option<Millis>,
}

impl Formation {
    /// Decides what to write and order now.
    pub fn step(&mut self, at: FormationInput<'_>) -> FormationStep {
        self.sent.retain(|_, sent| at.now.since(sent.at) < ORDER_AGAIN);
        // A box that is only cut off from the store still compares fences.
        let known = |id: &BoxId| at.boxes.iter().chain(at.departed).any(|known| &known.id == id);
        self.orders.retain(|id, _| known(id));
        self.taken.retain(|id, _| known(id));
        self.warmed.retain(known);
        self.forget_restarted(&at);
        if self.home.as_deref() != at.home {
            self.home = at.home.map(str::to_owned);
            self.warmed.clear();
        }
        let mut draft = DomainDraft::new(at, self.asks_first(&at));
        let replicas: Vec<ReplicaId> = at.record.replicas.keys().cloned().collect();
        for replica in &replicas {
            self.advance(&mut draft, replica);
        }
        draft.adopt_serving();
        draft.form_missing();
        draft.close_places();
        let longest =
            at.engine.models.iter().map(|model| model.load_time.0).max().unwrap_or_default();
        self.staging.retain(|_, since| at.now.since(*since).0 < STAGE_PATIENCE * longest);
        draft.stage_spares(&self.staging);
        if at.policy.warm_spares {
            draft.warm_spares(&self.warmed);
        }
        draft.stage_second(&self.staging);
        self.closing.retain(|_, began| at.now.since(*began) < CLOSING_KNOWN_FOR);
        self.finish(draft)
    }

    /// Forgets what boxes were ordered that have started again since.
    fn forget_restarted(&mut self, at: &FormationInput<'_>) {
        for known in at.boxes {
            let before = self.taken.insert(known.id.clone(), known.orders_taken);
            if before.is_some_and(|before| known.has_restarted_since(before)) {
                self.sent.remove(&known.id);
                self.warmed.remove(&known.id);
                self.staging.remove(&known.id);
            }
        }
    }

    /// Tells whether what is formed waits for the answers of boxes that are asked.
    fn asks_first(&mut self, at: &FormationInput<'_>) -> bool {
        if !at.boxes.iter().any(|known| at.asked.contains(&known.id)) {
            self.asking_since = None;
            return false;
        }
        let since = *self.asking_since.get_or_insert(at.now);
        at.now.since(since) < ASKS_FIRST_FOR
    }

    /// Takes in how an order ended, which tells whether it is sent again at once where it is still
    /// wanted.
    pub fn record_order_end(&mut self, order: &MemberOrder, end: OrderEnd, is_silent: bool) {
        let is_spare = matches!(order.task, MemberTask::Join { .. }) && order.epoch == SPARE_EPOCH;
        if is_spare && end != OrderEnd::Silent {
            // One that refuses has joined before, and holds its last model.
            self.warmed.insert(order.target.clone());
            return;
        }
        let again = match (end, &order.task) {
            // What was followed at once may be wanted again at once, by a later record.
            (OrderEnd::Taken, MemberTask::Leave) => true,
            (OrderEnd::Taken, _) => false,
            // It loads something already.
            (OrderEnd::Unfit, MemberTask::Stage { .. }) => false,
            // The box cannot carry it out as it is: said again at once it is refused again, 456 times
            // of 714 on a day on which boxes started again behind a cut from the store.
            (OrderEnd::Unknown, _) => false,
            // A box that answers and left an order unanswered is ordered again, under a later fence.
            (OrderEnd::Silent | OrderEnd::Dark, _) => !is_silent,
            _ => true,
        };
        if end == OrderEnd::Fenced {
            *self.orders.entry(order.target.clone()).or_default() += FENCES_PASSED;
        }
        if again {
            self.sent.remove(&order.target);
        }
    }

    /// Notes that a box loads a model to its host already.
    pub fn record_staging(&mut self, target: &BoxId, now: Millis) {
        self.staging.insert(target.clone(), now);
    }

    fn advance(&mut self, draft: &mut DomainDraft<'_>, replica: &ReplicaId) {
        let Some(held) = draft.at.record.replicas.get(replica).cloned() else {
            return;
        };
        let name = replica_name(draft.at.domain, replica);
        let Some(model) = draft.at.engine.model(&replica.group.name).cloned() else {
            draft.end_serving(&name, &held);
            return draft.remove(replica, "its model is not configured");
        };
        if draft.at.home.is_some_and(|home| home != model.name) {
            return self.give_away(draft, replica, &name, &held);
        }
        match draft.standing(&name, &held) {
            Standing::Whole => {}
            Standing::Joining => draft.join_or_open(&name, &held, &model),
            Standing::Leaving => {
                if self.has_closed(draft, &name, &held) {
                    draft.mend(replica, &held, &model, "a member leaves");
                }
            }
            Standing::Apart(reason) => {
                draft.end_serving(&name, &held);
                draft.mend(replica, &held, &model, reason);
            }
        }
    }

    /// Gives a replica up whose domain is for another model, once it has finished what it has.
    fn give_away(
        &mut self,
        draft: &mut DomainDraft<'_>,
        replica: &ReplicaId,
        name: &str,
        held: &Assignment,
    ) {
        match draft.standing(name, held) {
            Standing::Whole | Standing::Leaving if !self.has_closed(draft, name, held) => return,
            Standing::Apart(_) => draft.end_serving(name, held),
            _ => {}
        }
        draft.remove(replica, CHANGES_HANDS);
    }

    /// Empties a replica that is to serve no more, and tells whether it has.
    fn has_closed(&mut self, draft: &mut DomainDraft<'_>, name: &str, held: &Assignment) -> bool {
        let Some(leader) = draft.leader_of(name, held.epoch) else {
            return true;
        };
        let state = leader.member.as_ref().map(|member| member.state);
        let began = *self.closing.entry((name.to_owned(), held.epoch)).or_insert(draft.at.now);
        match state {
            Some(MemberState::Open) => draft.order(leader, name, held.epoch, MemberTask::Close),
            Some(MemberState::Closing) if draft.at.now.since(began) < CLOSE_WITHIN => {}
            Some(MemberState::Closing) => {
                draft.order(leader, name, held.epoch, MemberTask::Leave);
            }
            _ => return true,
        }
        false
    }

    fn finish(&mut self, draft: DomainDraft<'_>) -> FormationStep {
        let now = draft.at.now;
        let mut step = FormationStep { reasons: draft.reasons, ..FormationStep::default() };
        if draft.changed && draft.next.check().is_ok() {
            step.write = Some(draft.next);
        }
        for (mut order, is_load) in draft.orders {
            let known = self.sent.get(&order.target);
            let repeated =
                known.is_some_and(|sent| sent.task == order.task && sent.epoch == order.epoch);
            if repeated || (is_load && step.loads >= draft.at.loads_allowed) {
                continue;
            }
            step.loads += u32::from(is_load);
            if matches!(order.task, MemberTask::Stage { .. }) {
                self.staging.insert(order.target.clone(), now);
            }
            let sent = Sent { task: order.task.clone(), epoch: order.epoch, at: now };
            self.sent.insert(order.target.clone(), sent);
            let before = self.orders.entry(order.target.clone()).or_default();
            order.sequence = *before;
            *before += 1;
            step.orders.push(order);
        }
        step
    }
}

/// Returns the name that members of a replica know it by.
pub fn replica_name(domain: &DomainId, replica: &ReplicaId) -> String {
    format!("{domain}.{}.{}", replica.group.name, replica.slot)
}
