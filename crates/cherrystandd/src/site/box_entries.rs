//! How what boxes tell of themselves changes what a node knows, box by box and life by life.
//!
//! Source: docs/design/0017-lives-and-other-writers.md.

use std::collections::BTreeSet;
use std::sync::Arc;

use cherrystand_core::{BoxId, Document, DomainId, Millis, Revision, ServiceName, SiteBox};
use cherrystand_platform::{FormatError, SiteDriver};

use crate::site::Driver;
use crate::site::box_log::BoxTransition;
use crate::site::refused_values::RefusedKind;
use crate::site::site_state::{DepartedBox, SiteState};

impl SiteState {
    pub(super) fn apply_entry(&mut self, entry: &Document, now: Millis) {
        let name = BoxId::new(entry.key.strip_prefix(Driver::BOXES).unwrap_or_default());
        if let Some(held) =
            self.entries.get(&name).filter(|held| self.is_stale_restored_entry(held, entry))
        {
            let held = Document { revision: entry.revision, ..held.clone() };
            self.entries.insert(name, held);
            return;
        }
        let older = |held: &Document| held.revision >= entry.revision;
        if self.tombstones.hide(&name, entry.revision) || self.entries.get(&name).is_some_and(older)
        {
            return;
        }
        self.entries.insert(name.clone(), entry.clone());
        match Driver::read_box(&entry.key, &entry.body) {
            Ok(known) if self.incarnations.update(&known) => {
                self.reapply_entries(&known.service, now)
            }
            Ok(known) => self.apply_box(known, entry, now),
            Err(err) => {
                self.refused.record(entry, RefusedKind::BoxEntry, &err);
                self.replace_with_unusable(&name, entry, now);
                if let Some(service) = self.incarnations.remove(&name) {
                    self.reapply_entries(&service, now);
                }
            }
        }
    }

    /// Takes in all entries of a service anew, whose boxes are told apart otherwise from now on.
    fn reapply_entries(&mut self, service: &ServiceName, now: Millis) {
        let entries: Vec<Document> = self.entries.values().cloned().collect();
        for entry in &entries {
            let read = Driver::read_box(&entry.key, &entry.body).ok();
            if let Some(known) = read.filter(|known| &known.service == service) {
                self.apply_box(known, entry, now);
            }
        }
    }

    /// Takes in what a box tells of itself, in the life that its entry tells of.
    fn apply_box(&mut self, mut known: SiteBox, entry: &Document, now: Millis) {
        let name = known.id.clone();
        let Some(id) = self.incarnations.incarnation_of(&known) else {
            let reason =
                "it does not tell its start in whole milliseconds, as others do".to_owned();
            let err = FormatError { key: entry.key.to_string(), reason };
            self.refused.record(entry, RefusedKind::BoxEntry, &err);
            return self.replace_with_unusable(&name, entry, now);
        };
        known.id = id.clone();
        known.leaving |= self.leaving.contains(&id);
        let is_cold_news = self.apply_cold(&mut known, entry, now);
        if self.listed_incarnations.get(&name) != Some(&id) {
            self.list_incarnation(name, &mut known);
        }
        let departed = self.departed.remove(&id).map(|gone| gone.site_box);
        if departed.is_some() {
            self.log_box_transition(BoxTransition::Relisted, &id, now);
        }
        let departed = departed.filter(|_| !self.ended_incarnations.contains(&id));
        if let Some(earlier) = self.boxes.get(&id).or(departed.as_ref()) {
            known.carry_over_loaded_models(earlier);
        }
        self.ended_incarnations.remove(&id);
        self.unlisted.remove(&id);
        // What it tells now, it tells after it was silent.
        self.silent_since.remove(&id);
        if !self.boxes.contains_key(&id) {
            self.last_new_box_at = now;
        }
        if known.leaving && self.boxes.get(&id).is_some_and(|held| !held.leaving) {
            self.log_box_transition(BoxTransition::Leaving, &id, now);
        }
        let held = self.boxes.get(&id);
        if !is_cold_news && held.is_some_and(|held| **held == known) {
            return;
        }
        // Peers need not hear of a heartbeat that says nothing new but how many orders it took.
        if is_cold_news || held.is_none_or(|held| held.differs_from(&known)) {
            self.change_log.record(entry.clone());
        }
        Arc::make_mut(&mut self.boxes).insert(id, Arc::new(known));
    }

    /// Takes in how much longer a box is cold, and tells whether that is news; one that does not tell is cold
    /// for as long as its service says, if it came while this node listened.
    fn apply_cold(&mut self, known: &mut SiteBox, entry: &Document, now: Millis) -> bool {
        let told = known.cold_remaining.take();
        if self.evacuations.returned_after(&known.zone, entry.revision) {
            // It says how the box was while nothing was sent there.
            return false;
        }
        let is_new = self.is_listed() && !self.boxes.contains_key(&known.id);
        let left = match told {
            Some(left) => left,
            None if is_new => self.cold_start_duration(&known.service),
            None => Millis(0),
        };
        if left == Millis(0) && self.cold.until(&known.id).is_none() {
            return false;
        }
        Arc::make_mut(&mut self.cold).record(&known.id, left, now)
    }

    /// Lists a box under a life that it was not listed under.
    fn list_incarnation(&mut self, name: BoxId, known: &mut SiteBox) {
        self.assigned.take();
        let departed =
            self.departed.keys().filter(|departed| departed.is_other_incarnation_of(&known.id));
        for before in departed.cloned().collect::<Vec<_>>() {
            self.end_incarnation(before);
        }
        match self.listed_incarnations.insert(name, known.id.clone()) {
            Some(before) if before.is_other_incarnation_of(&known.id) => {
                self.end_incarnation(before)
            }
            // Told apart otherwise, it is the same box as before.
            Some(before) => {
                if let Some(held) = Arc::make_mut(&mut self.boxes).remove(&before) {
                    known.loaded.clone_from(&held.loaded);
                }
            }
            None => {}
        }
    }

    /// Ends a life of a box that has started again: nothing of it is there any more.
    ///
    /// Its replica is known to be broken at once. Known by its standstill alone, it took requests for
    /// up to 4 s.
    fn end_incarnation(&mut self, before: BoxId) {
        log::info!(target_box = before.as_str(); "a box has started again");
        Arc::make_mut(&mut self.boxes).remove(&before);
        self.departed.remove(&before);
        self.unlisted.remove(&before);
        self.left_epochs.retain(|(left, _), _| left != &before);
        self.unverified.retain(|known| known.id != before);
        self.ended_incarnations.insert(before);
    }

    /// Takes a box out whose entry names no box to use; what stands there now is passed on.
    fn replace_with_unusable(&mut self, name: &BoxId, entry: &Document, now: Millis) {
        // Other writers may make any number of values, up to 1 MB each: of these, only that they
        // are there is kept.
        let hidden = Document { body: Arc::from(""), ..entry.clone() };
        if self.remove_listed(name, now) {
            self.change_log.record(hidden.clone());
        }
        self.entries.insert(name.clone(), hidden);
    }

    /// Takes a box out that is listed no more as of a revision, or keeps it for a while where the store may only
    /// have lost its entry.
    pub(super) fn delist(&mut self, name: &BoxId, as_of: Revision, now: Millis) {
        let id = self.listed_incarnations.get(name).filter(|id| self.boxes.contains_key(*id));
        match id.filter(|_| self.store_outage.keeps(now)).cloned() {
            Some(id) => {
                self.log_box_transition(BoxTransition::Kept, &id, now);
                self.unlisted.insert(id);
            }
            None => self.remove_box(name, as_of, now),
        }
    }

    /// Takes a box out whose entry is gone as of a revision, unless it came later.
    pub(super) fn remove_box(&mut self, name: &BoxId, as_of: Revision, now: Millis) {
        if self.entries.get(name).is_some_and(|held| held.revision > as_of) {
            return;
        }
        self.tombstones.add(name, as_of);
        self.entries.remove(name);
        if let Some(service) = self.incarnations.remove(name) {
            self.reapply_entries(&service, now);
        }
        if self.remove_listed(name, now) {
            self.change_log.gone(&Driver::box_key(name), name.clone());
        }
    }

    /// Takes a box out, and tells whether it was there.
    fn remove_listed(&mut self, name: &BoxId, now: Millis) -> bool {
        let Some(id) = self.listed_incarnations.remove(name) else {
            return false;
        };
        self.assigned.take();
        self.left_epochs.retain(|(left, _), _| left != &id);
        self.unlisted.remove(&id);
        let Some(known) = Arc::make_mut(&mut self.boxes).remove(&id) else {
            return false;
        };
        if known.member.is_some() && !self.silent_since.contains_key(&id) {
            self.unverified.push(SiteBox::clone(&known));
        }
        self.log_box_transition(BoxTransition::Removed, &id, now);
        self.departed.insert(id, DepartedBox { site_box: known, departed_at: now });
        true
    }

    /// Returns the names of the boxes known that a list does not have.
    pub(super) fn missing_from(&self, list: &[Document]) -> Vec<BoxId> {
        let there: BTreeSet<&str> = list.iter().map(|entry| entry.key.as_ref()).collect();
        let known = self.entries.keys();
        known.filter(|id| !there.contains(Driver::box_key(id).as_str())).cloned().collect()
    }

    /// Forgets lives that ended and that no record names any more.
    pub(super) fn expire_ended_incarnations(&mut self) {
        if self.ended_incarnations.is_empty() {
            return;
        }
        let records = &self.domain_records;
        self.ended_incarnations.retain(|id| records.names_box(id));
    }

    /// Tells whether a domain's record names boxes whose lives it does not tell, or that are told apart
    /// otherwise now.
    pub(crate) fn has_outdated_box_ids(&self, domain: &DomainId) -> bool {
        self.domain_records.assigned_boxes(domain).any(|id| self.listed_id_for(id).is_some())
    }

    /// Returns the id under which a box is listed that a record names, where either of them names no
    /// certain life.
    pub(super) fn listed_id_for(&self, id: &BoxId) -> Option<BoxId> {
        let listed = self.listed_incarnations.get(id.name())?;
        let is_uncertain = id.start().is_none() || listed.start().is_none();
        (listed != id && is_uncertain).then(|| listed.clone())
    }
}
