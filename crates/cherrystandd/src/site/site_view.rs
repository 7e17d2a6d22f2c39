//! What the request path knows of the site, as one immutable value.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::Arc;

use cherrystand_core::{
    BoxId, Epoch, Member, MemberState, RouteTable, SiteBox, TargetSpec, ZoneId,
};

/// What the request path tells the duty that watches over boxes.
#[derive(Clone, Debug)]
pub(crate) enum Hint {
    /// Every stream of a replica has gone silent.
    Stalled(BoxId),
    /// A box refuses connections or does not answer any.
    Unreachable(BoxId),
}

/// Holds what a node knows of the site at one moment.
#[derive(Clone, Debug, Default)]
pub(crate) struct SiteView {
    /// The configuration in force; nothing before the first one is known.
    pub table: Option<Arc<RouteTable>>,
    /// The boxes listed.
    pub boxes: Arc<BTreeMap<BoxId, SiteBox>>,
    /// Boxes that are listed but silent.
    pub silent: Arc<BTreeSet<BoxId>>,
    /// The boxes of each replica, by its name and epoch, as the domains' records have them.
    pub assigned: BTreeMap<(String, Epoch), Vec<BoxId>>,
    /// Whether the boxes were listed at least once.
    pub listed: bool,
    /// How many nodes are alive, this one included.
    pub nodes: usize,
}

impl SiteView {
    /// Lists the endpoints that may be sent requests, and where they are.
    pub(crate) fn targets(&self, zone: &ZoneId) -> Vec<(TargetSpec, SocketAddr)> {
        let Some(table) = &self.table else {
            return Vec::new();
        };
        let usable = self.boxes.values().filter(|known| self.is_usable(known));
        let targets = usable.filter_map(|known| {
            let model = match table.config().engine(&known.service) {
                Some(engine) => {
                    let model = self.open_model(known)?;
                    Some((model, engine.slots))
                }
                None => None,
            };
            let spec = TargetSpec {
                id: known.id.clone(),
                service: known.service.clone(),
                slots: model.as_ref().map_or(known.slots, |(_, slots)| *slots),
                model: model.map(|(model, _)| model),
                near: &known.zone == zone,
            };
            Some((spec, known.address))
        });
        targets.collect()
    }

    fn is_usable(&self, known: &SiteBox) -> bool {
        !known.leaving && !self.silent.contains(&known.id)
    }

    /// Returns the model of the whole replica that a box leads and serves with.
    fn open_model(&self, leader: &SiteBox) -> Option<String> {
        let member = leader.member.as_ref()?;
        if member.state != MemberState::Open || member.rank != 0 {
            return None;
        }
        let model = leader.loaded.first()?;
        let table = self.table.as_ref()?;
        let span = table.config().engine(&leader.service)?.model(model)?.span;
        let in_it = |known: &&SiteBox| known.is_in(&member.replica, member.epoch);
        let listed: Vec<&SiteBox> = self.boxes.values().filter(in_it).collect();
        let all_usable = listed.iter().all(|known| self.is_usable(known));
        let there = listed.len() + self.unlisted_members(member);
        (all_usable && there >= span as usize).then(|| model.clone())
    }

    /// Returns how many members of a replica are listed no more and may still do their work, since
    /// nobody found them silent.
    fn unlisted_members(&self, member: &Member) -> usize {
        let assigned = self.assigned.get(&(member.replica.clone(), member.epoch));
        let may_be_there =
            |id: &&BoxId| !self.boxes.contains_key(*id) && !self.silent.contains(*id);
        assigned.into_iter().flatten().filter(may_be_there).count()
    }
}
