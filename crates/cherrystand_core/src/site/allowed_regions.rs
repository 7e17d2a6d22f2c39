//! The regions in which a request may be answered.

use crate::RegionId;

/// The regions that a request is restricted to, by its route and by its tenant.
///
/// If both name regions, both restrict the request. An empty list restricts nothing.
#[derive(Clone, Copy, Debug, Default)]
pub struct AllowedRegions<'a> {
    /// The regions allowed by its route.
    pub route: &'a [RegionId],
    /// The regions allowed by its tenant.
    pub tenant: &'a [RegionId],
}

impl AllowedRegions<'_> {
    /// Returns whether an endpoint in a region may get the request. An endpoint of unknown region
    /// may not, if the request is restricted at all.
    pub fn allows(&self, region: Option<&RegionId>) -> bool {
        let is_allowed = |allowed: &[RegionId]| {
            allowed.is_empty() || region.is_some_and(|region| allowed.contains(region))
        };
        is_allowed(self.route) && is_allowed(self.tenant)
    }
}
