//! Queries on the boxes and domain records that a node knows.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use cherrystand_core::{BoxId, DomainId, DomainRecord, Millis, Revision, SiteBox};

use crate::site::site_state::SiteState;

impl SiteState {
    /// Returns the domains of the listed boxes and of the domain records.
    pub(crate) fn domains(&self) -> BTreeSet<DomainId> {
        let listed = self.boxes.values().filter_map(|site_box| site_box.domain.clone());
        listed.chain(self.domain_records.domains().cloned()).collect()
    }

    /// Returns a domain's record and its revision.
    ///
    /// Boxes are named by the IDs under which they are listed now, since records written by earlier
    /// versions name boxes without incarnations.
    pub(crate) fn record(&self, domain: &DomainId) -> (Revision, DomainRecord) {
        let (revision, record) = self.domain_records.get(domain);
        (revision, record.with_boxes_renamed(|id| self.listed_id_for(id)))
    }

    /// Returns whether the store lost a domain's record that is held here.
    pub(crate) fn is_record_lost(&self, domain: &DomainId) -> bool {
        self.domain_records.is_lost(domain)
    }

    /// Returns the home model of each domain whose record names one.
    pub(crate) fn home_models(&self) -> BTreeMap<DomainId, String> {
        self.domain_records.home_models()
    }

    /// Returns the second model for the hosts of each domain whose record names one.
    pub(crate) fn second_models(&self) -> BTreeMap<DomainId, String> {
        self.domain_records.second_models()
    }

    /// Returns the listed boxes of a domain.
    pub(crate) fn boxes_in(&self, domain: &DomainId) -> Vec<&SiteBox> {
        let boxes = self.boxes.values().map(Arc::as_ref);
        boxes.filter(|site_box| site_box.domain.as_ref() == Some(domain)).collect()
    }

    /// Returns the listed boxes by domain.
    pub(crate) fn boxes_by_domain(&self) -> BTreeMap<DomainId, Vec<&SiteBox>> {
        let mut by_domain: BTreeMap<DomainId, Vec<&SiteBox>> = BTreeMap::new();
        for site_box in self.boxes.values() {
            if let Some(domain) = &site_box.domain {
                by_domain.entry(domain.clone()).or_default().push(site_box.as_ref());
            }
        }
        by_domain
    }

    /// Returns the boxes of a domain that departed recently.
    pub(crate) fn departed_in(&self, domain: &DomainId) -> Vec<&SiteBox> {
        let boxes = self.departed.values().map(|departed| departed.site_box.as_ref());
        boxes.filter(|site_box| site_box.domain.as_ref() == Some(domain)).collect()
    }

    /// Returns the time since a box that was not known before last appeared.
    pub(crate) fn time_since_new_box(&self, now: Millis) -> Millis {
        now.since(self.last_new_box_at)
    }

    /// Returns a listed box.
    pub(crate) fn listed_box(&self, id: &BoxId) -> Option<SiteBox> {
        self.boxes.get(id).map(|site_box| SiteBox::clone(site_box))
    }

    /// Returns a listed box that is not silent and not a member of the replica of `doubted`. It is
    /// probed to distinguish a fault of `doubted` from one of this node.
    pub(crate) fn pick_witness(&self, doubted: &SiteBox) -> Option<Arc<SiteBox>> {
        let replica =
            |site_box: &SiteBox| site_box.member.as_ref().map(|member| member.replica.clone());
        let is_other = |site_box: &&Arc<SiteBox>| {
            site_box.id != doubted.id
                && (replica(site_box).is_none() || replica(site_box) != replica(doubted))
                && !self.silent_since.contains_key(&site_box.id)
        };
        self.boxes.values().find(is_other).cloned()
    }

    /// Returns the boxes in the same domain as a box that belong to no replica.
    pub(crate) fn domain_spares(&self, id: &BoxId) -> Vec<SiteBox> {
        let domain = self.boxes.get(id).and_then(|site_box| site_box.domain.clone());
        let Some(domain) = domain else {
            return Vec::new();
        };
        let (_, record) = self.record(&domain);
        let boxes = self.boxes_in(&domain).into_iter();
        boxes.filter(|site_box| record.is_free(&site_box.id)).cloned().collect()
    }

    /// Returns the members of the replica that a box leads, including itself, all listed or departed.
    pub(crate) fn replica_members(&self, id: &BoxId) -> Vec<SiteBox> {
        let departed = || self.departed.get(id).map(|departed| &departed.site_box);
        let Some(site_box) = self.boxes.get(id).or_else(departed) else {
            return Vec::new();
        };
        let Some(member) = &site_box.member else {
            return vec![SiteBox::clone(site_box)];
        };
        let departed = self.departed.values().map(|departed| &departed.site_box);
        let all = self.boxes.values().chain(departed).map(Arc::as_ref);
        all.filter(|other| other.is_member_of(&member.replica, member.epoch)).cloned().collect()
    }

    /// Returns the members of the replica that a box leads of which only the names are known, so
    /// that this node cannot probe them.
    pub(crate) fn unknown_members(&self, leader: &BoxId) -> Vec<BoxId> {
        let member = self.boxes.get(leader).and_then(|site_box| site_box.member.as_ref());
        let members = member.and_then(|member| {
            let key = (member.replica.clone(), member.epoch);
            self.domain_records.assigned().get(&key)
        });
        let is_unknown =
            |id: &&BoxId| !self.boxes.contains_key(*id) && !self.departed.contains_key(*id);
        members.into_iter().flatten().filter(is_unknown).cloned().collect()
    }

    /// Returns whether a box has gone silent.
    pub(crate) fn is_silent(&self, id: &BoxId) -> bool {
        self.silent_since.contains_key(id)
    }

    /// Returns the silent boxes and the incarnations that have ended.
    pub(crate) fn silent_boxes(&self) -> BTreeSet<BoxId> {
        self.silent_since.keys().chain(&self.ended_incarnations).cloned().collect()
    }

    /// Returns the dead boxes and the incarnations that have ended.
    pub(crate) fn dead_boxes(&self) -> BTreeSet<BoxId> {
        self.dead.iter().chain(&self.ended_incarnations).cloned().collect()
    }
}
