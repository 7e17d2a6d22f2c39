//! What the request path knows of the site, as one immutable value.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::net::SocketAddr;
use std::sync::Arc;

use crate::{
    BoxId, ColdBoxes, ColdLife, Epoch, Member, MemberState, Millis, RegionId, RouteTable, SiteBox,
    SuspectRecord, TargetSpec, ZoneId,
};

/// The boxes of each replica, by its name and epoch.
pub type AssignedBoxes = BTreeMap<(String, Epoch), Vec<BoxId>>;

/// Holds what a node knows of the site at one moment.
///
/// It is published many times a second while boxes come and go, so that it shares all that did not
/// change since the last time: at 1,107 boxes a copy of each took 381 us.
#[derive(Clone, Debug, Default)]
pub struct SiteView {
    /// The configuration in force; nothing before the first one is known.
    pub table: Option<Arc<RouteTable>>,
    /// The boxes listed.
    pub boxes: Arc<BTreeMap<BoxId, Arc<SiteBox>>>,
    /// Boxes that are listed but silent.
    pub silent: BTreeSet<BoxId>,
    /// The boxes of each replica as the domains' records have them.
    pub assigned: Arc<AssignedBoxes>,
    /// The store's record of requests that were at boxes as these ended.
    pub suspects: Arc<SuspectRecord>,
    /// The availability zones that operators have emptied, and since when.
    pub evacuated: Arc<BTreeMap<ZoneId, Millis>>,
    /// Until when boxes are cold.
    pub cold: Arc<ColdBoxes>,
    /// Whether the boxes were listed at least once.
    pub listed: bool,
    /// How many nodes are alive, this one included.
    pub nodes: usize,
}

/// What the listed members of one replica amount to.
#[derive(Clone, Copy, Debug, Default)]
struct MemberCounts {
    count: usize,
    unusable: usize,
}

/// The listed members by replica and epoch.
///
/// It is made in one pass: looking through all boxes for each leader took 943 us at 1,107 boxes and
/// 15 ms at 5,000, for each view that is published.
type MembersByReplica<'a> = HashMap<(&'a str, Epoch), MemberCounts>;

impl SiteView {
    /// Tells whether a configuration and the boxes are known.
    pub fn is_known(&self) -> bool {
        self.listed && self.table.is_some()
    }

    /// Lists the endpoints that are in service, as a daemon in `zone` sees them, and where they are.
    ///
    /// Those of emptied zones are listed as well: what is known of them is kept.
    pub fn targets(
        &self,
        zone: &ZoneId,
        regions: &BTreeMap<ZoneId, RegionId>,
    ) -> Vec<(TargetSpec, SocketAddr)> {
        let Some(table) = &self.table else {
            return Vec::new();
        };
        let members = self.members_by_replica();
        let usable = self.boxes.values().filter(|site_box| self.is_usable(site_box));
        let targets = usable.filter_map(|site_box| {
            let model = match table.config().engine(&site_box.service) {
                Some(engine) => {
                    let model = self.open_model(site_box, &members)?;
                    Some((model, engine.slots))
                }
                None => None,
            };
            let spec = TargetSpec {
                id: site_box.id.clone(),
                service: site_box.service.clone(),
                slots: model.as_ref().map_or(site_box.slots, |(_, slots)| *slots),
                model: model.map(|(model, _)| model),
                near: &site_box.zone == zone,
                region: regions.get(&site_box.zone).cloned(),
                evacuated: self.evacuated.get(&site_box.zone).copied(),
                cold: self.cold_life(site_box),
            };
            Some((spec, site_box.address))
        });
        targets.collect()
    }

    /// Tells whether what a box leads is known to be lost, so that no answer can come of it: its entry
    /// is gone, it is silent or a member of its replica is, or it says itself that it leads none.
    ///
    /// A replica whose leader lost power never closes its connections, and one whose member did cuts
    /// its answers only after 4 s; callers leave a stream that is silent for 2 s.
    pub fn is_lost(&self, leader: &BoxId) -> bool {
        let Some(site_box) = self.boxes.get(leader) else {
            return true;
        };
        if self.silent.contains(leader) {
            return true;
        }
        let config = self.table.as_ref().map(|table| table.config());
        if config.is_none_or(|config| config.engine(&site_box.service).is_none()) {
            return false;
        }
        let Some(member) = site_box.member.as_ref().filter(|member| member.rank == 0) else {
            return true;
        };
        let serves = matches!(member.state, MemberState::Open | MemberState::Closing);
        !serves || self.has_silent_member(member)
    }

    fn has_silent_member(&self, leader: &Member) -> bool {
        if self.silent.is_empty() {
            return false;
        }
        let assigned = self.assigned.get(&(leader.replica.clone(), leader.epoch));
        let is_listed_member = |id: &BoxId| {
            self.boxes
                .get(id)
                .is_some_and(|site_box| site_box.is_member_of(&leader.replica, leader.epoch))
        };
        assigned.into_iter().flatten().any(|id| self.silent.contains(id))
            || self.silent.iter().any(is_listed_member)
    }

    /// Lists the leaders of replicas that serve by their entries and are lost since they, or members
    /// of theirs, are silent.
    pub fn lost_leaders(&self) -> Vec<BoxId> {
        if self.silent.is_empty() {
            return Vec::new();
        }
        let is_lost = |site_box: &&Arc<SiteBox>| {
            let leads = |member: &&Member| member.rank == 0 && member.state == MemberState::Open;
            let leader = site_box.member.as_ref().filter(leads);
            leader.is_some_and(|member| {
                self.silent.contains(&site_box.id) || self.has_silent_member(member)
            })
        };
        self.boxes.values().filter(is_lost).map(|site_box| site_box.id.clone()).collect()
    }

    /// Returns until when a box is cold, where its service bears less then.
    fn cold_life(&self, site_box: &SiteBox) -> Option<ColdLife> {
        let until = self.cold.until(&site_box.id)?;
        let service = self.table.as_ref()?.config().service(&site_box.service)?;
        Some(ColdLife { rate: service.cold?.rate, until })
    }

    fn is_usable(&self, site_box: &SiteBox) -> bool {
        !site_box.leaving && !self.silent.contains(&site_box.id)
    }

    fn members_by_replica(&self) -> MembersByReplica<'_> {
        let mut replicas = MembersByReplica::new();
        for site_box in self.boxes.values() {
            let Some(member) = &site_box.member else { continue };
            let counts = replicas.entry((&member.replica, member.epoch)).or_default();
            counts.count += 1;
            counts.unusable += usize::from(!self.is_usable(site_box));
        }
        replicas
    }

    /// Returns the model of the whole replica that a box leads and serves with.
    fn open_model(&self, leader: &SiteBox, members: &MembersByReplica<'_>) -> Option<String> {
        let member = leader.member.as_ref()?;
        if member.state != MemberState::Open || member.rank != 0 {
            return None;
        }
        let model = leader.loaded.first()?;
        let table = self.table.as_ref()?;
        let span = table.config().engine(&leader.service)?.model(model)?.span;
        let counts = members.get(&(member.replica.as_str(), member.epoch))?;
        let present = counts.count + self.running_unlisted_members(member);
        (counts.unusable == 0 && present >= span as usize).then(|| model.clone())
    }

    /// Tells whether a box is listed in another life than the one named.
    pub fn has_restarted(&self, id: &BoxId) -> bool {
        if id.start().is_none() {
            return false;
        }
        // The lives of one box follow each other, beginning with the least.
        let mut incarnations = self.boxes.range(id.with_incarnation(0)..).map(|(listed, _)| listed);
        incarnations.next().is_some_and(|listed| listed.is_other_incarnation_of(id))
    }

    /// Returns how many members of a replica are listed no more and may still do their work, since
    /// nobody found them silent.
    fn running_unlisted_members(&self, member: &Member) -> usize {
        let assigned = self.assigned.get(&(member.replica.clone(), member.epoch));
        let may_still_run = |id: &&BoxId| {
            !self.boxes.contains_key(*id) && !self.silent.contains(*id) && !self.has_restarted(id)
        };
        assigned.into_iter().flatten().filter(may_still_run).count()
    }
}
