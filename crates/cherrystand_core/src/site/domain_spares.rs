//! Preloads models on the free boxes of a domain, so that they can replace a lost box quickly.

use std::collections::{BTreeMap, BTreeSet};

use crate::site::domain_draft::{DomainDraft, ReplicaStatus};
use crate::site::formation::replica_name;
use crate::site::model_location::{ModelLocation, model_location};
use crate::{Assignment, BoxId, DomainId, Epoch, MemberTask, Millis, ModelSpec, ReplicaId};

/// The epoch that spares join under, below all epochs that are assigned.
pub(crate) const SPARE_EPOCH: Epoch = Epoch(0);

impl<'a> DomainDraft<'a> {
    /// Returns the home model of the domain, if it has one.
    fn home_model(&self) -> Option<&'a ModelSpec> {
        self.input.engine.models.iter().find(|model| Some(model.name.as_str()) == self.input.home)
    }

    /// Makes free boxes load a model to their hosts.
    ///
    /// In a domain with a home model every box holds that one, so that any box can replace any
    /// other.
    pub(crate) fn stage_spares(&mut self, staging: &BTreeMap<BoxId, Millis>) {
        let free = self.free_boxes();
        let staged = |model: &ModelSpec| {
            free.iter().filter(|site_box| site_box.staged.contains(&model.name)).count()
        };
        let models = &self.input.engine.models;
        let mut counts: Vec<usize> = models.iter().map(staged).collect();
        let home = self.home_model();
        for site_box in free.iter().filter(|site_box| !staging.contains_key(&site_box.id)) {
            let model = match home {
                Some(home) if site_box.staged.contains(&home.name) => continue,
                // It joins from memory, and its host holds the second model.
                Some(home) if site_box.loaded.contains(&home.name) => continue,
                Some(home) => home,
                None if !site_box.staged.is_empty() => continue,
                None => {
                    let least = (0..models.len()).min_by_key(|index| counts[*index]);
                    let Some(index) = least else { return };
                    counts[index] += 1;
                    &models[index]
                }
            };
            self.add_order(site_box, "", Epoch(0), MemberTask::Stage { model: model.name.clone() });
        }
    }

    /// Makes the hosts of boxes with the home model in memory load the second model, once all
    /// replicas of the domain serve.
    ///
    /// Only what a box reports about its memory counts. When a box that refused to be warmed was
    /// assumed to hold the home model, it was ranked as one that has to load that model, and was
    /// given neither, permanently.
    pub(crate) fn stage_second_model(&mut self, staging: &BTreeMap<BoxId, Millis>) {
        let (Some(home), Some(second)) = (self.home_model(), self.input.second) else {
            return;
        };
        if self.changed || !self.all_replicas_serve() {
            return;
        }
        for site_box in self.input.boxes.iter().copied() {
            let holds = site_box.staged.iter().any(|name| name == second);
            let is_staged = holds || staging.contains_key(&site_box.id);
            if !is_staged && !site_box.leaving && site_box.loaded.contains(&home.name) {
                let task = MemberTask::Stage { model: second.to_owned() };
                self.add_order(site_box, "", Epoch(0), task);
            }
        }
    }

    /// Returns whether the record has replicas and all of them serve.
    fn all_replicas_serve(&self) -> bool {
        let replicas = &self.input.record.replicas;
        let serves = |(id, assignment): (&ReplicaId, &Assignment)| {
            let name = replica_name(self.input.domain, id);
            matches!(self.replica_status(&name, assignment), ReplicaStatus::Serving)
        };
        !replicas.is_empty() && replicas.iter().all(serves)
    }

    /// Makes free boxes that never joined a replica load the home model from their hosts into
    /// memory.
    ///
    /// Each joins a replica of its own that is never opened, and can then join a real one at once.
    /// It joins under an epoch below all assigned ones: a box that is in a replica after all
    /// refuses it.
    pub(crate) fn warm_spares(&mut self, warmed: &BTreeSet<BoxId>) {
        let has_formed = self.input.record.last_epoch != Epoch(0);
        let Some(home) = self.home_model().filter(|_| has_formed) else {
            return;
        };
        for site_box in self.free_boxes() {
            let is_unused = site_box.member.is_none() && !warmed.contains(&site_box.id);
            if is_unused && model_location(site_box, &home.name) == ModelLocation::Host {
                let name = format!("{}{}", spare_prefix(self.input.domain), site_box.id);
                let members = vec![site_box.id.clone()];
                let task = MemberTask::Join { model: home.name.clone(), members };
                self.add_order(site_box, &name, SPARE_EPOCH, task);
            }
        }
    }
}

/// Returns the prefix of the names of the replicas in which spares of a domain are kept warm.
pub(crate) fn spare_prefix(domain: &DomainId) -> String {
    format!("{domain}.spare.")
}
