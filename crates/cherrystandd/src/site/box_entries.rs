//! Applies the boxes' entries to the state, per box and incarnation.
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
    /// Applies a box's entry, unless a later entry or tombstone is held.
    pub(super) fn apply_entry(&mut self, entry: &Document, now: Millis) {
        let name = BoxId::new(entry.key.strip_prefix(Driver::BOX_PREFIX).unwrap_or_default());
        if let Some(held) =
            self.entries.get(&name).filter(|held| self.is_stale_restored_entry(held, entry))
        {
            let held = Document { revision: entry.revision, ..held.clone() };
            self.entries.insert(name, held);
            return;
        }
        let is_not_older = |held: &Document| held.revision >= entry.revision;
        if self.tombstones.hides(&name, entry.revision)
            || self.entries.get(&name).is_some_and(is_not_older)
        {
            return;
        }
        self.entries.insert(name.clone(), entry.clone());
        match Driver::read_box(&entry.key, &entry.body) {
            Ok(site_box) if self.incarnations.update(&site_box) => {
                self.reapply_entries(&site_box.service, now)
            }
            Ok(site_box) => self.apply_box(site_box, entry, now),
            Err(err) => {
                self.refused.record(entry, RefusedKind::BoxEntry, &err);
                self.replace_with_unusable(&name, entry, now);
                if let Some(service) = self.incarnations.remove(&name) {
                    self.reapply_entries(&service, now);
                }
            }
        }
    }

    /// Applies all entries of a service again, after the way its boxes are identified changed.
    fn reapply_entries(&mut self, service: &ServiceName, now: Millis) {
        let entries: Vec<Document> = self.entries.values().cloned().collect();
        for entry in &entries {
            let read = Driver::read_box(&entry.key, &entry.body).ok();
            if let Some(site_box) = read.filter(|site_box| &site_box.service == service) {
                self.apply_box(site_box, entry, now);
            }
        }
    }

    /// Applies a box's entry to the incarnation that the entry belongs to.
    fn apply_box(&mut self, mut site_box: SiteBox, entry: &Document, now: Millis) {
        let name = site_box.id.clone();
        let Some(id) = self.incarnations.incarnation_of(&site_box) else {
            let reason =
                "it does not state its start in whole milliseconds, as others do".to_owned();
            let err = FormatError { key: entry.key.to_string(), reason };
            self.refused.record(entry, RefusedKind::BoxEntry, &err);
            return self.replace_with_unusable(&name, entry, now);
        };
        site_box.id = id.clone();
        site_box.leaving |= self.leaving.contains(&id);
        let is_cold_news = self.apply_cold(&mut site_box, entry, now);
        if self.listed_incarnations.get(&name) != Some(&id) {
            self.list_incarnation(name, &mut site_box);
        }
        let departed = self.departed.remove(&id).map(|departed| departed.site_box);
        if departed.is_some() {
            self.log_box_transition(BoxTransition::Relisted, &id, now);
        }
        let departed = departed.filter(|_| !self.ended_incarnations.contains(&id));
        if let Some(earlier) = self.boxes.get(&id).or(departed.as_ref()) {
            site_box.carry_over_loaded_models(earlier);
        }
        self.ended_incarnations.remove(&id);
        self.unlisted.remove(&id);
        // The entry was written after the box was found silent.
        self.record_alive(&id);
        if !self.boxes.contains_key(&id) {
            self.last_new_box_at = now;
        }
        if site_box.leaving && self.boxes.get(&id).is_some_and(|held| !held.leaving) {
            self.log_box_transition(BoxTransition::Leaving, &id, now);
        }
        let held = self.boxes.get(&id);
        if !is_cold_news && held.is_some_and(|held| **held == site_box) {
            return;
        }
        // Peers do not need a heartbeat that changes nothing but the count of orders taken.
        if is_cold_news || held.is_none_or(|held| held.differs_from(&site_box)) {
            self.change_log.record(entry.clone());
        }
        Arc::make_mut(&mut self.boxes).insert(id, Arc::new(site_box));
    }

    /// Applies the remaining cold time that an entry states. Returns whether that is new.
    ///
    /// A box whose entry states none is cold for as long as its service configures, if it appeared
    /// after this node had listed the boxes.
    fn apply_cold(&mut self, site_box: &mut SiteBox, entry: &Document, now: Millis) -> bool {
        let stated = site_box.cold_remaining.take();
        let is_known = self.boxes.contains_key(&site_box.id);
        if self.evacuations.returned_after(&site_box.zone, entry.revision) {
            // The entry was written while the zone was evacuated and nothing was sent there. A box
            // that was known then was assumed to be cold as the zone was returned.
            let cold = self.cold_start_duration(&site_box.service);
            let is_assumed = !is_known && cold > Millis(0);
            if is_assumed {
                Arc::make_mut(&mut self.cold).assume(&site_box.id, cold, now);
            }
            return is_assumed;
        }
        let is_new = self.is_listed() && !is_known;
        let remaining = match stated {
            Some(remaining) => remaining,
            None if is_new => self.cold_start_duration(&site_box.service),
            None => Millis(0),
        };
        if remaining == Millis(0) && self.cold.until(&site_box.id).is_none() {
            return false;
        }
        Arc::make_mut(&mut self.cold).record(&site_box.id, remaining, now)
    }

    /// Lists a box under an incarnation that it was not listed under.
    fn list_incarnation(&mut self, name: BoxId, site_box: &mut SiteBox) {
        self.assigned.take();
        let departed =
            self.departed.keys().filter(|departed| departed.is_other_incarnation_of(&site_box.id));
        for before in departed.cloned().collect::<Vec<_>>() {
            self.end_incarnation(before);
        }
        match self.listed_incarnations.insert(name, site_box.id.clone()) {
            Some(before) if before.is_other_incarnation_of(&site_box.id) => {
                self.end_incarnation(before)
            }
            // The ID differs only in whether it names an incarnation: it is the same box.
            Some(before) => {
                if let Some(held) = Arc::make_mut(&mut self.boxes).remove(&before) {
                    site_box.loaded.clone_from(&held.loaded);
                }
            }
            None => {}
        }
    }

    /// Ends an incarnation of a box that has restarted: nothing of it is left.
    ///
    /// Its replica counts as broken at once. Detected only by its stalled requests, it kept getting
    /// requests for up to 4 s.
    fn end_incarnation(&mut self, before: BoxId) {
        log::info!(target_box = before.as_str(); "a box has restarted");
        Arc::make_mut(&mut self.boxes).remove(&before);
        self.departed.remove(&before);
        self.unlisted.remove(&before);
        self.left_epochs.retain(|(left, _), _| left != &before);
        self.unverified.retain(|site_box| site_box.id != before);
        self.ended_incarnations.insert(before);
    }

    /// Removes a box whose entry cannot be used, and records the entry without its body as a
    /// change.
    fn replace_with_unusable(&mut self, name: &BoxId, entry: &Document, now: Millis) {
        // Other writers may write any number of values of up to 1 MB each, so only the fact that an
        // entry is there is kept.
        let hidden = Document { body: Arc::from(""), ..entry.clone() };
        if self.remove_listed(name, now) {
            self.change_log.record(hidden.clone());
        }
        self.entries.insert(name.clone(), hidden);
    }

    /// Removes a box that is no longer listed as of a revision, or keeps it for a while if the
    /// store may have lost its entry in an outage.
    pub(super) fn delist(&mut self, name: &BoxId, as_of: Revision, now: Millis) {
        let id = self.listed_incarnations.get(name).filter(|id| self.boxes.contains_key(*id));
        match id.filter(|_| self.store_outage.keeps_unlisted(now)).cloned() {
            Some(id) => {
                self.log_box_transition(BoxTransition::Kept, &id, now);
                self.unlisted.insert(id);
            }
            None => self.remove_box(name, as_of, now),
        }
    }

    /// Removes a box whose entry is gone as of a revision, unless the entry held is newer.
    pub(super) fn remove_box(&mut self, name: &BoxId, as_of: Revision, now: Millis) {
        if self.entries.get(name).is_some_and(|held| held.revision > as_of) {
            return;
        }
        self.tombstones.insert(name, as_of);
        self.entries.remove(name);
        if let Some(service) = self.incarnations.remove(name) {
            self.reapply_entries(&service, now);
        }
        if self.remove_listed(name, now) {
            self.change_log.record_removal(&Driver::box_key(name), name.clone());
        }
    }

    /// Removes a box. Returns whether it was listed.
    fn remove_listed(&mut self, name: &BoxId, now: Millis) -> bool {
        let Some(id) = self.listed_incarnations.remove(name) else {
            return false;
        };
        self.assigned.take();
        self.left_epochs.retain(|(left, _), _| left != &id);
        self.unlisted.remove(&id);
        let Some(site_box) = Arc::make_mut(&mut self.boxes).remove(&id) else {
            return false;
        };
        if site_box.member.is_some() && !self.silent_since.contains_key(&id) {
            self.unverified.push(SiteBox::clone(&site_box));
        }
        self.log_box_transition(BoxTransition::Removed, &id, now);
        self.departed.insert(id, DepartedBox { site_box, departed_at: now });
        true
    }

    /// Returns the names of the known boxes that are missing from a list.
    pub(super) fn missing_from(&self, list: &[Document]) -> Vec<BoxId> {
        let listed: BTreeSet<&str> = list.iter().map(|entry| entry.key.as_ref()).collect();
        let names = self.entries.keys();
        names.filter(|id| !listed.contains(Driver::box_key(id).as_str())).cloned().collect()
    }

    /// Removes ended incarnations that no domain record names any more.
    pub(super) fn expire_ended_incarnations(&mut self) {
        if self.ended_incarnations.is_empty() {
            return;
        }
        let records = &self.domain_records;
        self.ended_incarnations.retain(|id| records.names_box(id));
    }

    /// Returns whether a domain's record names boxes by IDs that differ from the listed ones in
    /// whether they name an incarnation.
    pub(crate) fn has_outdated_box_ids(&self, domain: &DomainId) -> bool {
        self.domain_records.assigned_boxes(domain).any(|id| self.listed_id_for(id).is_some())
    }

    /// Returns the ID under which a box named by a record is listed, if the two differ and one of
    /// them names no incarnation.
    pub(super) fn listed_id_for(&self, id: &BoxId) -> Option<BoxId> {
        let listed = self.listed_incarnations.get(id.name())?;
        let is_uncertain = id.start().is_none() || listed.start().is_none();
        (listed != id && is_uncertain).then(|| listed.clone())
    }
}
