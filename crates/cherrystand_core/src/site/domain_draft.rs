//! What one step makes of a domain: its next record and the orders that follow.

use std::collections::BTreeSet;

use crate::site::formation::replica_name;
use crate::site::model_location::{ModelLocation, model_location};
use crate::{
    Assignment, BoxId, DomainRecord, Epoch, FormationInput, GroupId, LoadSpec, MemberOrder,
    MemberState, MemberTask, ModelSpec, Phase, ReplicaId, SiteBox, WorkspaceId,
};

/// Says how a replica stands.
pub(crate) enum Standing {
    /// It serves.
    Whole,
    /// It is on its way to serve.
    Joining,
    /// A member will leave as planned.
    Leaving,
    /// It cannot serve, or serves no more.
    Apart(&'static str),
}

/// The next record and orders of a domain while a step decides.
pub(crate) struct DomainDraft<'a> {
    /// What is decided from.
    pub(crate) at: FormationInput<'a>,
    /// The record as it will be.
    pub(crate) next: DomainRecord,
    /// Whether it differs from the one read.
    pub(crate) changed: bool,
    /// The orders, and whether each begins a load from the weight store.
    pub(crate) orders: Vec<(MemberOrder, bool)>,
    /// What was decided and why.
    pub(crate) reasons: Vec<String>,
    /// Whether nothing new is formed yet, since boxes of the domain are asked whether they are there.
    asks_first: bool,
    /// Boxes that this step ordered something already.
    ordered: BTreeSet<BoxId>,
}

impl<'a> DomainDraft<'a> {
    pub(crate) fn new(at: FormationInput<'a>, asks_first: bool) -> Self {
        let mut next = at.record.clone();
        let told = at.boxes.iter().filter_map(|known| known.member.as_ref());
        let highest = told.map(|member| member.epoch).max().unwrap_or_default();
        next.last_epoch = next.last_epoch.max(highest);
        Self {
            at,
            next,
            changed: false,
            orders: Vec::new(),
            reasons: Vec::new(),
            asks_first,
            ordered: BTreeSet::new(),
        }
    }

    pub(crate) fn find(&self, id: &BoxId) -> Option<&'a SiteBox> {
        self.at.boxes.iter().copied().find(|known| &known.id == id)
    }

    /// Returns a box that is listed and not silent.
    pub(crate) fn alive(&self, id: &BoxId) -> Option<&'a SiteBox> {
        self.find(id).filter(|known| !self.at.silent.contains(&known.id))
    }

    /// Returns the leader of a replica under an epoch, as far as it is listed or was lately.
    pub(crate) fn leader_of(&self, name: &str, epoch: Epoch) -> Option<&'a SiteBox> {
        let leads = |known: &&&SiteBox| {
            let member = known.member.as_ref();
            known.is_member_of(name, epoch) && member.is_some_and(|member| member.rank == 0)
        };
        let all = self.at.boxes.iter().chain(self.at.departed);
        all.copied().find(|known| leads(&known))
    }

    /// Tells whether a box that is listed no more may still do its work: its entry runs out as well
    /// where it is cut off from the store, and nobody found it silent.
    fn may_be_there(&self, id: &BoxId) -> bool {
        let counts = self.at.policy.serve_unlisted;
        let started_again =
            || self.at.boxes.iter().any(|known| known.id.is_other_incarnation_of(id));
        counts && self.find(id).is_none() && !self.at.silent.contains(id) && !started_again()
    }

    /// Returns what a box that is listed no more last told of itself.
    fn last_told(&self, id: &BoxId) -> Option<&'a SiteBox> {
        self.at.departed.iter().copied().find(|known| &known.id == id)
    }

    /// Says how a replica stands.
    ///
    /// One that serves goes on while its leader is listed and none of its members was found silent:
    /// a member's entry may run out though it works on, and one that is gone is noticed by the
    /// silence of the streams.
    pub(crate) fn standing(&self, name: &str, held: &Assignment) -> Standing {
        let Some(leader) = held.boxes.first().and_then(|id| self.alive(id)) else {
            return Standing::Apart("its leader is lost");
        };
        let state = leader.member.as_ref().filter(|_| leader.is_member_of(name, held.epoch));
        let state = state.map(|member| member.state);
        if state == Some(MemberState::Broken) {
            return Standing::Apart("its leader says that it came apart");
        }
        let serves = matches!(state, Some(MemberState::Open | MemberState::Closing));
        let mut leaves = false;
        for id in &held.boxes {
            match self.alive(id) {
                Some(member) if serves && !member.is_member_of(name, held.epoch) => {
                    return Standing::Apart("a member belongs to it no more");
                }
                Some(member) => leaves |= member.leaving,
                None if serves && self.may_be_there(id) => {
                    leaves |= self.last_told(id).is_some_and(|known| known.leaving);
                }
                None => return Standing::Apart("a member is lost"),
            }
        }
        match state {
            _ if leaves => Standing::Leaving,
            Some(MemberState::Open) => Standing::Whole,
            // Nobody here wants it closed: whoever began that is gone.
            Some(MemberState::Closing) => Standing::Leaving,
            _ => Standing::Joining,
        }
    }

    /// Makes the leader of a replica that came apart serve no more.
    pub(crate) fn end_serving(&mut self, name: &str, held: &Assignment) {
        if let Some(leader) = self.leader_of(name, held.epoch)
            && self.may_serve(leader)
        {
            self.order(leader, name, held.epoch, MemberTask::Leave);
        }
    }

    fn join(&mut self, known: &'a SiteBox, name: &str, held: &Assignment, model: &ModelSpec) {
        if let Some(holder) = self.held_by(known)
            && let Some(member) = &holder.member
        {
            let (replica, epoch) = (member.replica.clone(), member.epoch);
            return self.order(holder, &replica, epoch, MemberTask::Leave);
        }
        if let Some(former) = self.may_be_in(known) {
            let (replica, epoch) = (replica_name(self.at.domain, &former.replica), former.epoch);
            return self.order(known, &replica, epoch, MemberTask::Leave);
        }
        let members = held.boxes.clone();
        let task = MemberTask::Join { model: model.name.clone(), members };
        self.order(known, name, held.epoch, task);
    }

    pub(crate) fn join_or_open(&mut self, name: &str, held: &Assignment, model: &ModelSpec) {
        let members: Vec<&'a SiteBox> = held.boxes.iter().filter_map(|id| self.alive(id)).collect();
        let is_ready = |member: &&SiteBox| {
            let state = member.member.as_ref().map(|member| member.state);
            member.is_member_of(name, held.epoch) && state == Some(MemberState::Ready)
        };
        if members.iter().all(is_ready) {
            return self.order(members[0], name, held.epoch, MemberTask::Open);
        }
        for member in members {
            if !member.is_member_of(name, held.epoch) {
                self.join(member, name, held, model);
            }
        }
    }

    /// Gives a replica that came apart its boxes anew, or gives it up.
    pub(crate) fn mend(
        &mut self,
        replica: &ReplicaId,
        held: &Assignment,
        model: &ModelSpec,
        why: &str,
    ) {
        if self.asks_first {
            return;
        }
        let usable = |id: &&BoxId| {
            self.alive(id).is_some_and(|known| !known.leaving && self.is_placeable(known))
        };
        let kept: Vec<BoxId> = held.boxes.iter().filter(usable).cloned().collect();
        let missing = (model.span as usize).saturating_sub(kept.len());
        let free = self.free_boxes(&model.name);
        if kept.is_empty() || free.len() < missing {
            return self.remove(replica, why);
        }
        let mut boxes = kept;
        boxes.extend(free.into_iter().take(missing));
        boxes.truncate(model.span as usize);
        self.assign(replica.clone(), boxes, model, why);
    }

    /// Returns the boxes that belong to no replica.
    pub(crate) fn free(&self) -> Vec<&'a SiteBox> {
        let usable = |known: &&&SiteBox| {
            !known.leaving
                && self.alive(&known.id).is_some()
                && self.next.is_free(&known.id)
                && self.is_placeable(known)
        };
        self.at.boxes.iter().filter(usable).copied().collect()
    }

    /// Returns the free boxes that a replica of a model may be formed of, those that join soonest
    /// first.
    ///
    /// A box that would have to load first is staged instead, and its domain's replicas stay free
    /// to use the others meanwhile; only a domain that never formed any loads by joining.
    fn free_boxes(&self, model: &str) -> Vec<BoxId> {
        let mut free = self.free();
        if self.at.record.last_epoch != Epoch(0) {
            free.retain(|known| model_location(known, model) != ModelLocation::WeightStore);
        }
        free.sort_by_key(|known| (model_location(known, model), known.id.clone()));
        free.into_iter().map(|known| known.id.clone()).collect()
    }

    fn assign(&mut self, replica: ReplicaId, boxes: Vec<BoxId>, model: &ModelSpec, why: &str) {
        let epoch = self.next.take_epoch();
        self.put(replica, epoch, boxes, model, why);
    }

    fn put(
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
        self.vacate(&replica);
        let assignment = Assignment { epoch, boxes, load, phase: Phase::Loading };
        self.next.replicas.insert(replica, assignment);
        if self.next.home.is_none() {
            self.next.home = self.at.home.map(str::to_owned);
        }
        self.changed = true;
    }

    pub(crate) fn remove(&mut self, replica: &ReplicaId, why: &str) {
        self.vacate(replica);
        self.changed = true;
        self.reasons.push(format!("{replica} is given up: {why}"));
    }

    /// Takes whole replicas back into the record that serve and are not in it, as after a
    /// partition that the record took for their end.
    pub(crate) fn adopt_serving(&mut self) {
        for leader in self.free() {
            let Some(member) = leader.member.as_ref() else {
                continue;
            };
            let Some(model) = leader.loaded.first().and_then(|name| self.at.engine.model(name))
            else {
                continue;
            };
            let id = self.replica_ids(model).find(|id| {
                replica_name(self.at.domain, id) == member.replica
                    && !self.next.replicas.contains_key(id)
            });
            let epochs = self.next.replicas.values().map(|held| held.epoch);
            let known = epochs.into_iter().any(|epoch| epoch == member.epoch);
            let leads = member.state == MemberState::Open && member.rank == 0 && !known;
            let Some(id) = id.filter(|_| leads) else {
                continue;
            };
            let mut members: Vec<&SiteBox> = self.free();
            members.retain(|known| known.is_member_of(&member.replica, member.epoch));
            members.sort_by_key(|known| known.member.as_ref().map(|member| member.rank));
            if members.len() == model.span as usize {
                let boxes = members.into_iter().map(|known| known.id.clone()).collect();
                self.put(id, member.epoch, boxes, model, "it serves and was not in the record");
            }
        }
    }

    /// Returns the ids that replicas of a model may have here.
    fn replica_ids(&self, model: &ModelSpec) -> impl Iterator<Item = ReplicaId> + use<> {
        let group = GroupId::new(WorkspaceId::new(self.at.service.as_str()), &model.name);
        let most = self.at.boxes.len() as u32;
        (0..=most).map(move |slot| ReplicaId::new(group.clone(), slot))
    }

    /// Forms further replicas out of free boxes.
    pub(crate) fn form_missing(&mut self) {
        if self.asks_first {
            return;
        }
        while let Some(model) = self.next_model() {
            let mut ids = self.replica_ids(&model);
            let Some(id) = ids.find(|id| !self.next.replicas.contains_key(id)) else {
                return;
            };
            let mut boxes = self.free_boxes(&model.name);
            boxes.truncate(model.span as usize);
            self.assign(id, boxes, &model, "the domain has boxes for it");
        }
    }

    /// Returns the model that another replica is worth most for, if the free boxes allow one.
    fn next_model(&self) -> Option<ModelSpec> {
        let count = |model: &ModelSpec| {
            let names = self.next.replicas.keys().map(|id| &id.group.name);
            names.filter(|name| **name == model.name).count()
        };
        let is_home = |model: &ModelSpec| self.at.home.is_none_or(|home| home == model.name);
        let fits = |model: &&ModelSpec| {
            is_home(model) && self.free_boxes(&model.name).len() >= model.span as usize
        };
        let worth = |model: &ModelSpec| {
            let count = count(model) as f64;
            model.work_share * ((count + 2.0) / (count + 1.0)).ln()
        };
        let models = self.at.engine.models.iter().filter(fits);
        models.max_by(|a, b| worth(a).total_cmp(&worth(b))).cloned()
    }

    pub(crate) fn order(&mut self, known: &SiteBox, name: &str, epoch: Epoch, task: MemberTask) {
        if !self.ordered.insert(known.id.clone()) {
            return;
        }
        let is_load = match &task {
            MemberTask::Join { model, .. } => {
                model_location(known, model) == ModelLocation::WeightStore
            }
            MemberTask::Stage { .. } => true,
            _ => false,
        };
        let order = MemberOrder {
            target: known.id.clone(),
            address: known.address,
            replica: name.to_owned(),
            epoch,
            task,
            sequence: 0,
            record_epoch: self.at.record.last_epoch,
        };
        self.orders.push((order, is_load));
    }
}
