//! The next record of a domain and its orders, built up during one formation step.

use std::collections::BTreeSet;

use crate::site::formation::replica_name;
use crate::site::model_location::{ModelLocation, model_location};
use crate::{
    Assignment, BoxId, DomainRecord, Epoch, FormationInput, GroupId, LoadSpec, MemberOrder,
    MemberState, MemberTask, ModelSpec, Phase, ReplicaId, SiteBox, WorkspaceId,
};

/// The status of a replica, as its members report it.
pub(crate) enum ReplicaStatus {
    /// It serves.
    Serving,
    /// Its members are joining; it will serve.
    Joining,
    /// It has to drain: a member will leave, or its leader is closing.
    Leaving,
    /// It cannot serve, or no longer serves, for the given reason.
    Broken(&'static str),
}

/// How many epochs may have been issued that the record doesn't know, as it was lost: far more than a
/// domain ever issues. An epoch beyond was issued by nobody.
const MAX_LOST_EPOCHS: u64 = 1 << 32;

/// The next record and the orders of a domain while a step decides.
pub(crate) struct DomainDraft<'a> {
    /// What the step decides from.
    pub(crate) input: FormationInput<'a>,
    /// The record as it will be.
    pub(crate) next: DomainRecord,
    /// Whether it differs from the record that was read.
    pub(crate) changed: bool,
    /// The orders, and whether each starts a load from the weight store.
    pub(crate) orders: Vec<(MemberOrder, bool)>,
    /// What was decided and why.
    pub(crate) reasons: Vec<String>,
    /// Whether replicas are not formed yet because boxes of the domain are being probed.
    awaits_probes: bool,
    /// Boxes that this step already gave an order.
    ordered: BTreeSet<BoxId>,
}

impl<'a> DomainDraft<'a> {
    pub(crate) fn new(input: FormationInput<'a>, awaits_probes: bool) -> Self {
        let mut next = input.record.clone();
        let reported = input.boxes.iter().filter_map(|site_box| site_box.member.as_ref());
        let believable = next.last_epoch.plus(MAX_LOST_EPOCHS);
        let reported = reported.map(|member| member.epoch).filter(|epoch| *epoch <= believable);
        next.last_epoch = next.last_epoch.max(reported.max().unwrap_or_default());
        Self {
            input,
            next,
            changed: false,
            orders: Vec::new(),
            reasons: Vec::new(),
            awaits_probes,
            ordered: BTreeSet::new(),
        }
    }

    /// Returns a listed box.
    pub(crate) fn listed_box(&self, id: &BoxId) -> Option<&'a SiteBox> {
        self.input.boxes.iter().copied().find(|site_box| &site_box.id == id)
    }

    /// Returns a box that is listed and not silent.
    pub(crate) fn responsive_box(&self, id: &BoxId) -> Option<&'a SiteBox> {
        self.listed_box(id).filter(|site_box| !self.input.silent.contains(&site_box.id))
    }

    /// Returns a listed box that counts for a replica: not a dead one, and a silent one only while the
    /// replica serves.
    fn counted_box(&self, id: &BoxId, serves: bool) -> Option<&'a SiteBox> {
        match serves {
            true => self.listed_box(id).filter(|site_box| !self.input.dead.contains(&site_box.id)),
            false => self.responsive_box(id),
        }
    }

    /// Returns the leader of a replica under an epoch, if it is or recently was listed.
    pub(crate) fn leader_of(&self, name: &str, epoch: Epoch) -> Option<&'a SiteBox> {
        let leads = |site_box: &&&SiteBox| {
            let member = site_box.member.as_ref();
            site_box.is_member_of(name, epoch) && member.is_some_and(|member| member.rank == 0)
        };
        let all = self.input.boxes.iter().chain(self.input.departed);
        all.copied().find(|site_box| leads(&site_box))
    }

    /// Returns whether a box that is no longer listed may still do its work: its entry also expires
    /// when it is cut off from the store, and it was not found dead.
    fn may_still_run(&self, id: &BoxId) -> bool {
        let is_enabled = self.input.policy.serve_unlisted;
        let started_again =
            || self.input.boxes.iter().any(|site_box| site_box.id.is_other_incarnation_of(id));
        is_enabled
            && self.listed_box(id).is_none()
            && !self.input.dead.contains(id)
            && !started_again()
    }

    /// Returns the last entry of a box that is no longer listed.
    fn last_entry(&self, id: &BoxId) -> Option<&'a SiteBox> {
        self.input.departed.iter().copied().find(|site_box| &site_box.id == id)
    }

    /// Returns the status of a replica.
    ///
    /// A serving replica keeps serving while its leader is listed and no member was found dead.
    /// The entry of a member may expire although it works on, and a member that is gone is noticed
    /// because the streams stall.
    pub(crate) fn replica_status(&self, name: &str, assignment: &Assignment) -> ReplicaStatus {
        let leader = assignment.boxes.first().and_then(|id| self.listed_box(id));
        let state = leader.filter(|leader| leader.is_member_of(name, assignment.epoch));
        let state = state.and_then(|leader| leader.member.as_ref()).map(|member| member.state);
        let serves = matches!(state, Some(MemberState::Open | MemberState::Closing));
        if leader.and_then(|leader| self.counted_box(&leader.id, serves)).is_none() {
            return ReplicaStatus::Broken("its leader is lost");
        }
        if state == Some(MemberState::Broken) {
            return ReplicaStatus::Broken("its leader says that it came apart");
        }
        let mut leaves = false;
        for id in &assignment.boxes {
            match self.counted_box(id, serves) {
                Some(member) if serves && !member.is_member_of(name, assignment.epoch) => {
                    return ReplicaStatus::Broken("a member belongs to it no more");
                }
                Some(member) => leaves |= member.leaving,
                None if serves && self.may_still_run(id) => {
                    leaves |= self.last_entry(id).is_some_and(|site_box| site_box.leaving);
                }
                None => return ReplicaStatus::Broken("a member is lost"),
            }
        }
        match state {
            _ if leaves => ReplicaStatus::Leaving,
            Some(MemberState::Open) => ReplicaStatus::Serving,
            // This controller didn't close it; whoever did is gone.
            Some(MemberState::Closing) => ReplicaStatus::Leaving,
            _ => ReplicaStatus::Joining,
        }
    }

    /// Orders the leader of a broken replica to leave, so that it stops serving.
    pub(crate) fn stop_leader(&mut self, name: &str, assignment: &Assignment) {
        if let Some(leader) = self.leader_of(name, assignment.epoch)
            && self.may_serve(leader)
        {
            self.add_order(leader, name, assignment.epoch, MemberTask::Leave);
        }
    }

    /// Orders a box to join a replica, or first to leave the one it may still belong to.
    fn join(
        &mut self,
        site_box: &'a SiteBox,
        name: &str,
        assignment: &Assignment,
        model: &ModelSpec,
    ) {
        if let Some(holder) = self.blocking_box(site_box)
            && let Some(member) = &holder.member
        {
            let (replica, epoch) = (member.replica.clone(), member.epoch);
            return self.add_order(holder, &replica, epoch, MemberTask::Leave);
        }
        if let Some(former) = self.unconfirmed_assignment(site_box) {
            let (replica, epoch) = (replica_name(self.input.domain, &former.replica), former.epoch);
            return self.add_order(site_box, &replica, epoch, MemberTask::Leave);
        }
        let members = assignment.boxes.clone();
        let task = MemberTask::Join { model: model.name.clone(), members };
        self.add_order(site_box, name, assignment.epoch, task);
    }

    /// Orders the members of a replica to join, or its leader to open it once all have joined.
    pub(crate) fn join_or_open(&mut self, name: &str, assignment: &Assignment, model: &ModelSpec) {
        let members: Vec<&'a SiteBox> =
            assignment.boxes.iter().filter_map(|id| self.responsive_box(id)).collect();
        let is_ready = |member: &&SiteBox| {
            let state = member.member.as_ref().map(|member| member.state);
            member.is_member_of(name, assignment.epoch) && state == Some(MemberState::Ready)
        };
        if members.iter().all(is_ready) {
            return self.add_order(members[0], name, assignment.epoch, MemberTask::Open);
        }
        for member in members {
            if !member.is_member_of(name, assignment.epoch) {
                self.join(member, name, assignment, model);
            }
        }
    }

    /// Assigns boxes to a broken replica again, or gives it up.
    pub(crate) fn repair(
        &mut self,
        replica: &ReplicaId,
        assignment: &Assignment,
        model: &ModelSpec,
        why: &str,
    ) {
        if self.awaits_probes {
            return;
        }
        let usable = |id: &&BoxId| {
            self.responsive_box(id)
                .is_some_and(|site_box| !site_box.leaving && self.is_assignable(site_box))
        };
        let kept: Vec<BoxId> = assignment.boxes.iter().filter(usable).cloned().collect();
        let missing = (model.span as usize).saturating_sub(kept.len());
        let free = self.formable_boxes(&model.name);
        if kept.is_empty() || free.len() < missing {
            return self.remove(replica, why);
        }
        let mut boxes = kept;
        boxes.extend(free.into_iter().take(missing));
        boxes.truncate(model.span as usize);
        self.assign(replica.clone(), boxes, model, why);
    }

    /// Returns the usable boxes that belong to no replica.
    pub(crate) fn free_boxes(&self) -> Vec<&'a SiteBox> {
        let mut free = self.unassigned_boxes();
        free.retain(|site_box| self.responsive_box(&site_box.id).is_some());
        free
    }

    /// Returns the boxes that belong to no replica of the record, and may serve in one.
    fn unassigned_boxes(&self) -> Vec<&'a SiteBox> {
        let usable = |site_box: &&&SiteBox| {
            !site_box.leaving
                && !self.input.dead.contains(&site_box.id)
                && self.next.is_free(&site_box.id)
                && self.is_assignable(site_box)
        };
        self.input.boxes.iter().filter(usable).copied().collect()
    }

    /// Returns the free boxes that a replica of a model may be formed of, those that can join
    /// soonest first.
    ///
    /// A box that would have to load the model first is staged instead; the replicas of its domain
    /// can use the other boxes meanwhile. Only in a domain that never formed a replica do boxes
    /// load by joining.
    fn formable_boxes(&self, model: &str) -> Vec<BoxId> {
        let mut free = self.free_boxes();
        if self.input.record.last_epoch != Epoch(0) {
            free.retain(|site_box| model_location(site_box, model) != ModelLocation::WeightStore);
        }
        free.sort_by_key(|site_box| (model_location(site_box, model), site_box.id.clone()));
        free.into_iter().map(|site_box| site_box.id.clone()).collect()
    }

    /// Assigns boxes to a replica under a new epoch.
    fn assign(&mut self, replica: ReplicaId, boxes: Vec<BoxId>, model: &ModelSpec, why: &str) {
        let epoch = self.next.take_epoch();
        self.set_assignment(replica, epoch, boxes, model, why);
    }

    /// Records the boxes and the epoch of a replica, and the reason.
    fn set_assignment(
        &mut self,
        replica: ReplicaId,
        epoch: Epoch,
        boxes: Vec<BoxId>,
        model: &ModelSpec,
        why: &str,
    ) {
        self.reasons
            .push(format!("{replica} has {} boxes under epoch {epoch}: {why}", boxes.len()));
        let load = LoadSpec {
            model: model.name.clone(),
            version: String::new(),
            adapters: Vec::new(),
            role: String::new(),
        };
        self.release_boxes(&replica);
        let assignment = Assignment { epoch, boxes, load, phase: Phase::Loading };
        self.next.replicas.insert(replica, assignment);
        if self.next.home.is_none() {
            self.next.home = self.input.home.map(str::to_owned);
        }
        self.changed = true;
    }

    /// Removes a replica from the record, and adds the reason for the log.
    pub(crate) fn remove(&mut self, replica: &ReplicaId, why: &str) {
        self.release_boxes(replica);
        self.changed = true;
        self.reasons.push(format!("{replica} is given up: {why}"));
    }

    /// Adopts complete replicas that serve but are not in the record, as after a network partition
    /// during which the record gave them up.
    pub(crate) fn adopt_serving_replicas(&mut self) {
        for leader in self.unassigned_boxes() {
            let Some(member) = leader.member.as_ref() else {
                continue;
            };
            let Some(model) = leader.loaded.first().and_then(|name| self.input.engine.model(name))
            else {
                continue;
            };
            let id = self.replica_ids(model).find(|id| {
                replica_name(self.input.domain, id) == member.replica
                    && !self.next.replicas.contains_key(id)
            });
            let epochs = self.next.replicas.values().map(|assignment| assignment.epoch);
            let is_recorded = epochs.into_iter().any(|epoch| epoch == member.epoch);
            let leads = member.state == MemberState::Open && member.rank == 0 && !is_recorded;
            let Some(id) = id.filter(|_| leads) else {
                continue;
            };
            let mut members: Vec<&SiteBox> = self.free_boxes();
            members.retain(|site_box| site_box.is_member_of(&member.replica, member.epoch));
            members.sort_by_key(|site_box| site_box.member.as_ref().map(|member| member.rank));
            if members.len() == model.span as usize {
                let boxes = members.into_iter().map(|site_box| site_box.id.clone()).collect();
                self.set_assignment(
                    id,
                    member.epoch,
                    boxes,
                    model,
                    "it serves and was not in the record",
                );
            }
        }
    }

    /// Returns the ids that replicas of a model may have in this domain.
    fn replica_ids(&self, model: &ModelSpec) -> impl Iterator<Item = ReplicaId> + use<> {
        let group = GroupId::new(WorkspaceId::new(self.input.service.as_str()), &model.name);
        let most = self.input.boxes.len() as u32;
        (0..=most).map(move |slot| ReplicaId::new(group.clone(), slot))
    }

    /// Forms further replicas of the free boxes.
    pub(crate) fn form_replicas(&mut self) {
        if self.awaits_probes {
            return;
        }
        while let Some(model) = self.next_model() {
            let mut ids = self.replica_ids(&model);
            let Some(id) = ids.find(|id| !self.next.replicas.contains_key(id)) else {
                return;
            };
            let mut boxes = self.formable_boxes(&model.name);
            boxes.truncate(model.span as usize);
            self.assign(id, boxes, &model, "the domain has boxes for it");
        }
    }

    /// Returns the model that gains most from another replica, among those with enough free boxes.
    fn next_model(&self) -> Option<ModelSpec> {
        let count = |model: &ModelSpec| {
            let names = self.next.replicas.keys().map(|id| &id.group.name);
            names.filter(|name| **name == model.name).count()
        };
        let is_home = |model: &ModelSpec| self.input.home.is_none_or(|home| home == model.name);
        let fits = |model: &&ModelSpec| {
            is_home(model) && self.formable_boxes(&model.name).len() >= model.span as usize
        };
        let worth = |model: &ModelSpec| {
            let count = count(model) as f64;
            model.work_share * ((count + 2.0) / (count + 1.0)).ln()
        };
        let models = self.input.engine.models.iter().filter(fits);
        models.max_by(|a, b| worth(a).total_cmp(&worth(b))).cloned()
    }

    /// Adds an order, unless this step already gave one to the box.
    pub(crate) fn add_order(
        &mut self,
        site_box: &SiteBox,
        name: &str,
        epoch: Epoch,
        task: MemberTask,
    ) {
        if !self.ordered.insert(site_box.id.clone()) {
            return;
        }
        let is_load = match &task {
            MemberTask::Join { model, .. } => {
                model_location(site_box, model) == ModelLocation::WeightStore
            }
            MemberTask::Stage { .. } => true,
            _ => false,
        };
        let order = MemberOrder {
            target: site_box.id.clone(),
            address: site_box.address,
            replica: name.to_owned(),
            epoch,
            task,
            sequence: 0,
            record_epoch: self.input.record.last_epoch,
        };
        self.orders.push((order, is_load));
    }
}
