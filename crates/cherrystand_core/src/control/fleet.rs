//! The boxes that the platform lists.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::{BoxId, DomainId, ZoneId};

/// A box as the platform's list describes it; the list lags behind.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct BoxInfo {
    /// The box's name.
    pub id: BoxId,
    /// The fabric domain of the box, which never changes.
    pub domain: DomainId,
    /// The availability zone of the domain.
    pub zone: ZoneId,
    /// The address of its engine, as an IP address and port.
    pub address: SocketAddr,
    /// The number of its accelerators.
    #[serde(default = "one")]
    pub accelerators: u32,
    /// Whether the platform has announced that the box will leave.
    #[serde(default)]
    pub leaving: bool,
    /// Whether the box's engine refuses orders with an outdated epoch.
    #[serde(default = "yes")]
    pub checks_orders: bool,
}

fn one() -> u32 {
    1
}

fn yes() -> bool {
    true
}

/// The listed boxes by name.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Fleet {
    boxes: BTreeMap<BoxId, BoxInfo>,
}

impl Fleet {
    /// Creates a fleet from a list. Of entries with the same name, the first one counts.
    pub fn new(list: impl IntoIterator<Item = BoxInfo>) -> Self {
        let mut boxes = BTreeMap::new();
        for info in list {
            boxes.entry(info.id.clone()).or_insert(info);
        }
        Self { boxes }
    }

    /// Returns the entry of a box.
    pub fn get(&self, id: &BoxId) -> Option<&BoxInfo> {
        self.boxes.get(id)
    }

    /// Returns all boxes, ordered by name.
    pub fn iter(&self) -> impl Iterator<Item = &BoxInfo> {
        self.boxes.values()
    }

    /// Returns the boxes of one domain, ordered by name.
    pub fn of_domain<'a>(&'a self, domain: &'a DomainId) -> impl Iterator<Item = &'a BoxInfo> {
        self.iter().filter(move |info| &info.domain == domain)
    }

    /// Returns the domains that have boxes.
    pub fn domains(&self) -> BTreeSet<DomainId> {
        self.iter().map(|info| info.domain.clone()).collect()
    }

    /// Returns the zone of a domain.
    pub fn zone_of(&self, domain: &DomainId) -> Option<&ZoneId> {
        self.iter().find(|info| &info.domain == domain).map(|info| &info.zone)
    }
}
