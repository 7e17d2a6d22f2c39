//! What a node is asked of the boxes that it knows.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use cherrystand_core::{BoxId, DomainId, DomainRecord, Millis, Revision, SiteBox};

use crate::site::site_state::SiteState;

impl SiteState {
    /// Returns the domains of the listed boxes and of the records.
    pub(crate) fn domains(&self) -> BTreeSet<DomainId> {
        let listed = self.boxes.values().filter_map(|known| known.domain.clone());
        listed.chain(self.domain_records.domains().cloned()).collect()
    }

    /// Returns a domain's record and its revision.
    ///
    /// Boxes stand in it as they are listed now: a record of an earlier version names no lives.
    pub(crate) fn record(&self, domain: &DomainId) -> (Revision, DomainRecord) {
        let (revision, record) = self.domain_records.get(domain);
        (revision, record.with_boxes_renamed(|id| self.listed_id_for(id)))
    }

    /// Tells whether the store lost a domain's record, which is held here.
    pub(crate) fn is_record_lost(&self, domain: &DomainId) -> bool {
        self.domain_records.is_lost(domain)
    }

    /// Returns the model that each domain is for, as far as the records say.
    pub(crate) fn home_models(&self) -> BTreeMap<DomainId, String> {
        self.domain_records.home_models()
    }

    /// Returns the model that each domain's hosts are to hold besides, as far as the records say.
    pub(crate) fn second_models(&self) -> BTreeMap<DomainId, String> {
        self.domain_records.second_models()
    }

    /// Returns the boxes of a domain that are listed.
    pub(crate) fn boxes_in(&self, domain: &DomainId) -> Vec<&SiteBox> {
        let all = self.boxes.values().map(Arc::as_ref);
        all.filter(|known| known.domain.as_ref() == Some(domain)).collect()
    }

    /// Returns the boxes that are listed, by domain.
    pub(crate) fn boxes_by_domain(&self) -> BTreeMap<DomainId, Vec<&SiteBox>> {
        let mut all: BTreeMap<DomainId, Vec<&SiteBox>> = BTreeMap::new();
        for known in self.boxes.values() {
            if let Some(domain) = &known.domain {
                all.entry(domain.clone()).or_default().push(known.as_ref());
            }
        }
        all
    }

    /// Returns the boxes of a domain that were listed lately.
    pub(crate) fn departed_in(&self, domain: &DomainId) -> Vec<&SiteBox> {
        let all = self.departed.values().map(|gone| gone.site_box.as_ref());
        all.filter(|known| known.domain.as_ref() == Some(domain)).collect()
    }

    /// Returns for how long no box has come that was not known.
    pub(crate) fn time_since_new_box(&self, now: Millis) -> Millis {
        now.since(self.last_new_box_at)
    }

    /// Returns a box that is listed.
    pub(crate) fn listed_box(&self, id: &BoxId) -> Option<SiteBox> {
        self.boxes.get(id).map(|known| SiteBox::clone(known))
    }

    /// Returns a box that is listed and not silent, other than the members of the replica of
    /// `doubted`.
    pub(crate) fn pick_witness(&self, doubted: &SiteBox) -> Option<Arc<SiteBox>> {
        let replica = |known: &SiteBox| known.member.as_ref().map(|member| member.replica.clone());
        let is_other = |known: &&Arc<SiteBox>| {
            known.id != doubted.id
                && (replica(known).is_none() || replica(known) != replica(doubted))
                && !self.silent_since.contains_key(&known.id)
        };
        self.boxes.values().find(is_other).cloned()
    }

    /// Returns the boxes of a box's domain that belong to no replica.
    pub(crate) fn domain_spares(&self, id: &BoxId) -> Vec<SiteBox> {
        let domain = self.boxes.get(id).and_then(|known| known.domain.clone());
        let Some(domain) = domain else {
            return Vec::new();
        };
        let (_, record) = self.record(&domain);
        let boxes = self.boxes_in(&domain).into_iter();
        boxes.filter(|known| record.is_free(&known.id)).cloned().collect()
    }

    /// Returns the members of the replica that a box leads, itself among them, listed or not.
    pub(crate) fn replica_members(&self, id: &BoxId) -> Vec<SiteBox> {
        let Some(known) = self.boxes.get(id) else {
            return Vec::new();
        };
        let Some(member) = &known.member else {
            return vec![SiteBox::clone(known)];
        };
        let departed = self.departed.values().map(|gone| &gone.site_box);
        let all = self.boxes.values().chain(departed).map(Arc::as_ref);
        all.filter(|other| other.is_member_of(&member.replica, member.epoch)).cloned().collect()
    }

    /// Returns the members of the replica that a box leads of which nothing but their names is
    /// known, so that nobody here can ask them.
    pub(crate) fn unknown_members(&self, leader: &BoxId) -> Vec<BoxId> {
        let member = self.boxes.get(leader).and_then(|known| known.member.as_ref());
        let members = member.and_then(|member| {
            let key = (member.replica.clone(), member.epoch);
            self.domain_records.assigned().get(&key)
        });
        let is_unknown =
            |id: &&BoxId| !self.boxes.contains_key(*id) && !self.departed.contains_key(*id);
        members.into_iter().flatten().filter(is_unknown).cloned().collect()
    }

    /// Tells whether a box went silent.
    pub(crate) fn is_silent(&self, id: &BoxId) -> bool {
        self.silent_since.contains_key(id)
    }

    /// Returns the boxes that went silent, and those whose life is over.
    pub(crate) fn silent_boxes(&self) -> BTreeSet<BoxId> {
        self.silent_since.keys().chain(&self.ended_incarnations).cloned().collect()
    }
}
