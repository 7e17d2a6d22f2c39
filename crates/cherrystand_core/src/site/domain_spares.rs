//! What a step has the free boxes of a domain load, so that they join soon where one is lost.

use std::collections::{BTreeMap, BTreeSet};

use crate::site::domain_draft::{DomainDraft, Standing};
use crate::site::formation::replica_name;
use crate::site::model_location::{ModelLocation, model_location};
use crate::{Assignment, BoxId, DomainId, Epoch, MemberTask, Millis, ModelSpec, ReplicaId};

/// The epoch that spares join under, below all that are given out.
pub(crate) const SPARE_EPOCH: Epoch = Epoch(0);

impl<'a> DomainDraft<'a> {
    /// Returns the model that the domain is for, where it is for one.
    fn home(&self) -> Option<&'a ModelSpec> {
        self.at.engine.models.iter().find(|model| Some(model.name.as_str()) == self.at.home)
    }

    /// Lets free boxes load a model to their hosts.
    ///
    /// In a domain that is for one model every box holds that one, so that any of them can take
    /// the place of any other.
    pub(crate) fn stage_spares(&mut self, staging: &BTreeMap<BoxId, Millis>) {
        let free = self.free();
        let staged = |model: &ModelSpec| {
            free.iter().filter(|known| known.staged.contains(&model.name)).count()
        };
        let models = &self.at.engine.models;
        let mut counts: Vec<usize> = models.iter().map(staged).collect();
        let home = self.home();
        for known in free.iter().filter(|known| !staging.contains_key(&known.id)) {
            let model = match home {
                Some(home) if known.staged.contains(&home.name) => continue,
                // It joins out of its memory, and its host holds the other model.
                Some(home) if known.loaded.contains(&home.name) => continue,
                Some(home) => home,
                None if !known.staged.is_empty() => continue,
                None => {
                    let least = (0..models.len()).min_by_key(|index| counts[*index]);
                    let Some(index) = least else { return };
                    counts[index] += 1;
                    &models[index]
                }
            };
            self.order(known, "", Epoch(0), MemberTask::Stage { model: model.name.clone() });
        }
    }

    /// Lets the hosts of boxes that have the home model in memory load the other one, once all that
    /// the domain has boxes for serves.
    ///
    /// Only what a box tells of its memory counts: one that was taken to hold the home model since it
    /// refused to be warmed was ranked as one that has to load it, and given neither, for good.
    pub(crate) fn stage_second(&mut self, staging: &BTreeMap<BoxId, Millis>) {
        let (Some(home), Some(second)) = (self.home(), self.at.second) else {
            return;
        };
        if self.changed || !self.all_serve() {
            return;
        }
        for known in self.at.boxes.iter().copied() {
            let holds = known.staged.iter().any(|name| name == second);
            let is_done = holds || staging.contains_key(&known.id);
            if !is_done && !known.leaving && known.loaded.contains(&home.name) {
                let task = MemberTask::Stage { model: second.to_owned() };
                self.order(known, "", Epoch(0), task);
            }
        }
    }

    /// Tells whether each replica of the record serves, and there is one.
    fn all_serve(&self) -> bool {
        let replicas = &self.at.record.replicas;
        let serves = |(id, held): (&ReplicaId, &Assignment)| {
            let name = replica_name(self.at.domain, id);
            matches!(self.standing(&name, held), Standing::Whole)
        };
        !replicas.is_empty() && replicas.iter().all(serves)
    }

    /// Lets free boxes that never joined take the home model from their hosts into memory, each in
    /// a replica of its own that is never opened, so that it joins at once where it is needed.
    ///
    /// It joins under an epoch below all that are given out: a box that is in a replica after all
    /// refuses it.
    pub(crate) fn warm_spares(&mut self, warmed: &BTreeSet<BoxId>) {
        let formed_before = self.at.record.last_epoch != Epoch(0);
        let Some(home) = self.home().filter(|_| formed_before) else {
            return;
        };
        for known in self.free() {
            let is_cold = known.member.is_none() && !warmed.contains(&known.id);
            if is_cold && model_location(known, &home.name) == ModelLocation::Host {
                let name = format!("{}{}", spare_prefix(self.at.domain), known.id);
                let members = vec![known.id.clone()];
                let task = MemberTask::Join { model: home.name.clone(), members };
                self.order(known, &name, SPARE_EPOCH, task);
            }
        }
    }
}

/// Returns what the names of replicas begin with that spares of a domain are kept warm in.
pub(crate) fn spare_prefix(domain: &DomainId) -> String {
    format!("{domain}.spare.")
}
