//! Which availability zones operators have emptied.

use std::collections::BTreeSet;

use serde::{Deserialize, Serialize};

use crate::{Revision, ZoneId};

/// The zones as one daemon passes them on to others.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct EvacuatedZones {
    /// The zones whose replicas are to get nothing.
    pub zones: BTreeSet<ZoneId>,
}

/// Keeps the zones whose replicas are to get nothing, as the store has them.
///
/// The whole set is held as of a revision, and only a later one counts. So daemons agree that hear of it by
/// different ways and in any order, and a zone that was taken back is not emptied again by old news.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Evacuations {
    zones: BTreeSet<ZoneId>,
    /// The revision up to which the set is known.
    as_of: Revision,
    /// The revision by which it last changed, or was first known.
    changed: Revision,
}

impl Evacuations {
    /// Returns the zones.
    pub fn zones(&self) -> &BTreeSet<ZoneId> {
        &self.zones
    }

    /// Returns the revision by which the set last changed; 0 while nothing is known.
    pub fn changed_at(&self) -> Revision {
        self.changed
    }

    /// Returns the set for others.
    pub fn snapshot(&self) -> EvacuatedZones {
        EvacuatedZones { zones: self.zones.clone() }
    }

    /// Takes in all zones that are emptied as of a revision; tells whether that changes anything.
    pub fn replace(&mut self, zones: BTreeSet<ZoneId>, as_of: Revision) -> bool {
        let is_first = self.changed == Revision::NONE;
        if as_of < self.as_of || (as_of == self.as_of && !is_first) {
            return false;
        }
        self.as_of = as_of;
        let is_other = self.zones != zones;
        if is_other || is_first {
            (self.zones, self.changed) = (zones, as_of);
        }
        is_other
    }

    /// Takes in what changed up to a revision; tells whether that changes anything.
    pub fn apply_changes(
        &mut self,
        emptied: impl IntoIterator<Item = ZoneId>,
        taken_back: impl IntoIterator<Item = ZoneId>,
        as_of: Revision,
    ) -> bool {
        let mut zones = self.zones.clone();
        zones.extend(emptied);
        for zone in taken_back {
            zones.remove(&zone);
        }
        self.replace(zones, as_of)
    }
}
