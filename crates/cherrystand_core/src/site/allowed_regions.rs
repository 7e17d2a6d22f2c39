//! In which regions a request may be answered.

use crate::RegionId;

/// The regions that a request is bound to, by its route and by its tenant.
///
/// Where both name some, both bind. An empty list names none, and so binds nothing.
#[derive(Clone, Copy, Debug, Default)]
pub struct AllowedRegions<'a> {
    /// Those of its route.
    pub route: &'a [RegionId],
    /// Those of its tenant.
    pub tenant: &'a [RegionId],
}

impl AllowedRegions<'_> {
    /// Tells whether an endpoint in a region may get the request; one whose region is not known is in no home.
    pub fn allow(&self, region: Option<&RegionId>) -> bool {
        let is_home = |homes: &[RegionId]| {
            homes.is_empty() || region.is_some_and(|region| homes.contains(region))
        };
        is_home(self.route) && is_home(self.tenant)
    }
}
