//! Limits which peers may carry requests, so that no body leaves the regions that it may be in.

use std::collections::BTreeMap;

use crate::{Heartbeat, RegionId, ZoneId};

/// The regions in which a request to one endpoint may be carried: the daemon's own, where the caller
/// has sent it, and the endpoint's, which was chosen among the allowed ones.
#[derive(Clone, Copy, Debug)]
pub struct CarrierRegions<'a> {
    /// The region of each zone; empty if the deployment has none.
    pub regions: &'a BTreeMap<ZoneId, RegionId>,
    /// The daemon's zone.
    pub own_zone: &'a ZoneId,
    /// The endpoint's zone, if known.
    pub endpoint_zone: Option<&'a ZoneId>,
}

impl CarrierRegions<'_> {
    /// Returns whether a peer in a zone may carry the request.
    pub fn allows(&self, zone: &ZoneId) -> bool {
        if zone == self.own_zone || self.regions.is_empty() {
            return true;
        }
        let Some(region) = self.regions.get(zone) else { return false };
        let allowed = [Some(self.own_zone), self.endpoint_zone].into_iter().flatten();
        allowed.filter_map(|zone| self.regions.get(zone)).any(|allowed| allowed == region)
    }

    /// Returns the peers that may carry the request.
    pub fn filter<'p>(&self, peers: impl Iterator<Item = &'p Heartbeat>) -> Vec<&'p Heartbeat> {
        peers.filter(|peer| self.allows(&peer.zone)).collect()
    }
}
