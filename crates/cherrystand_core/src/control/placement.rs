//! Placement of new replicas on domains and boxes.

use std::collections::{BTreeMap, BTreeSet};

use crate::{BoxId, DomainId, Fleet, ModelGroup, ZoneId};

/// The place of one replica.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Placement {
    /// The domain.
    pub domain: DomainId,
    /// The boxes, by rank.
    pub boxes: Vec<BoxId>,
}

/// No allowed domain has room for another replica.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error(
    "group `{group}` needs {needed} free boxes in one domain and the most free in any allowed \
     one is {most_free}; allow more domains or ask for fewer replicas"
)]
pub struct PlacementError {
    /// The group's name.
    pub group: String,
    /// The number of boxes a replica spans.
    pub needed: u32,
    /// The largest number of free boxes in any allowed domain.
    pub most_free: u32,
}

/// Places replicas one after the other, so that a group spreads over zones and domains are left
/// with few boxes that no replica of the same size can use.
///
/// Source: docs/design/0003-placement.md.
#[derive(Clone, Debug)]
pub struct Placer<'a> {
    fleet: &'a Fleet,
    free: BTreeMap<DomainId, Vec<BoxId>>,
    replicas_by_zone: BTreeMap<ZoneId, u32>,
}

impl<'a> Placer<'a> {
    /// Creates a placer for the boxes that are neither taken nor leaving.
    pub fn new(fleet: &'a Fleet, taken: &BTreeSet<BoxId>) -> Self {
        let mut free: BTreeMap<DomainId, Vec<BoxId>> = BTreeMap::new();
        let usable = fleet.iter().filter(|info| !info.leaving && !taken.contains(&info.id));
        for info in usable {
            free.entry(info.domain.clone()).or_default().push(info.id.clone());
        }
        Self { fleet, free, replicas_by_zone: BTreeMap::new() }
    }

    /// Starts a group whose placed replicas are in the given domains.
    pub fn start_group<'d>(&mut self, domains: impl IntoIterator<Item = &'d DomainId>) {
        self.replicas_by_zone.clear();
        for domain in domains {
            self.count_zone(domain);
        }
    }

    /// Takes the boxes for one more replica of `group`.
    ///
    /// # Errors
    ///
    /// Returns a [`PlacementError`] if no allowed domain has enough free boxes.
    pub fn place(&mut self, group: &ModelGroup) -> Result<Placement, PlacementError> {
        let span = group.boxes_per_replica as usize;
        let domain = self.best_domain(group, span)?;
        let free = self.free.entry(domain.clone()).or_default();
        let boxes = free.drain(..span).collect();
        self.count_zone(&domain);
        Ok(Placement { domain, boxes })
    }

    fn best_domain(&self, group: &ModelGroup, span: usize) -> Result<DomainId, PlacementError> {
        let allowed = || self.free.iter().filter(|(domain, _)| group.allows(domain));
        let fitting = allowed().filter(|(_, free)| free.len() >= span);
        let best = fitting.min_by_key(|(domain, free)| {
            let remainder = (free.len() - span) % span;
            (self.replicas_in_zone(domain), remainder, free.len())
        });
        best.map(|(domain, _)| domain.clone()).ok_or_else(|| PlacementError {
            group: group.name.clone(),
            needed: group.boxes_per_replica,
            most_free: allowed().map(|(_, free)| free.len() as u32).max().unwrap_or(0),
        })
    }

    fn replicas_in_zone(&self, domain: &DomainId) -> u32 {
        let zone = self.fleet.zone_of(domain);
        zone.and_then(|zone| self.replicas_by_zone.get(zone)).copied().unwrap_or(0)
    }

    fn count_zone(&mut self, domain: &DomainId) {
        if let Some(zone) = self.fleet.zone_of(domain) {
            *self.replicas_by_zone.entry(zone.clone()).or_default() += 1;
        }
    }
}
