//! The availability zones that operators have evacuated.

use std::collections::BTreeSet;

use serde::{Deserialize, Serialize};

use crate::{Revision, ZoneId};

/// The evacuated zones as one daemon passes them to others.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct EvacuatedZones {
    /// The zones whose replicas get no requests.
    pub zones: BTreeSet<ZoneId>,
}

/// Keeps the zones whose replicas get no requests, as stored.
///
/// The set belongs to a revision, and is only replaced by the set of a later revision. Daemons
/// therefore agree although they learn of changes in different ways and orders, and an outdated
/// message cannot evacuate a reopened zone again.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Evacuations {
    zones: BTreeSet<ZoneId>,
    /// The revision up to which the set is known.
    as_of: Revision,
    /// The revision at which the set last changed, or was first known.
    changed: Revision,
}

impl Evacuations {
    /// Returns the zones.
    pub fn zones(&self) -> &BTreeSet<ZoneId> {
        &self.zones
    }

    /// Returns the revision at which the set last changed; 0 while nothing is known.
    pub fn changed_at(&self) -> Revision {
        self.changed
    }

    /// Returns the set to pass on to other daemons.
    pub fn snapshot(&self) -> EvacuatedZones {
        EvacuatedZones { zones: self.zones.clone() }
    }

    /// Replaces the set by the one as of a revision, and returns whether it changed.
    pub fn replace(&mut self, zones: BTreeSet<ZoneId>, as_of: Revision) -> bool {
        let is_first = self.changed == Revision::NONE;
        if as_of < self.as_of || (as_of == self.as_of && !is_first) {
            return false;
        }
        self.as_of = as_of;
        let is_different = self.zones != zones;
        if is_different || is_first {
            (self.zones, self.changed) = (zones, as_of);
        }
        is_different
    }

    /// Applies the changes up to a revision, and returns whether the set changed.
    pub fn apply_changes(
        &mut self,
        evacuated: impl IntoIterator<Item = ZoneId>,
        reopened: impl IntoIterator<Item = ZoneId>,
        as_of: Revision,
    ) -> bool {
        let mut zones = self.zones.clone();
        zones.extend(evacuated);
        for zone in reopened {
            zones.remove(&zone);
        }
        self.replace(zones, as_of)
    }
}
