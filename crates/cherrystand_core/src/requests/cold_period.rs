//! An endpoint that takes little for a while, as it has just started.

use serde::{Deserialize, Serialize};

use crate::{Millis, RequestRate};

/// The longest time for which an endpoint is taken for cold by one telling.
pub(crate) const MAX_COLD_PERIOD: Millis = Millis(600_000);

/// Says how an endpoint of a service takes requests while it is cold.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ColdStart {
    /// How long it is cold after its start.
    pub duration: Millis,
    /// The requests a second that it bears meanwhile, from all nodes together.
    pub rate: RequestRate,
}

/// Says until when one endpoint is cold, and what it bears.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ColdPeriod {
    /// The requests a second that it bears from all nodes together.
    pub rate: RequestRate,
    /// Until when.
    pub until: Millis,
}

/// Tells another node of it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ColdPeriodUpdate {
    /// The requests a second that it bears from all nodes together.
    pub rate: RequestRate,
    /// How much longer it is cold.
    pub left: Millis,
}

impl ColdPeriod {
    /// Returns what another node is told.
    pub fn to_update(self, now: Millis) -> ColdPeriodUpdate {
        ColdPeriodUpdate { rate: self.rate, left: self.until.since(now) }
    }
}

impl ColdPeriodUpdate {
    /// Returns what it says on this node's clock.
    pub fn to_period(self, now: Millis) -> ColdPeriod {
        ColdPeriod { rate: self.rate, until: now + self.left.min(MAX_COLD_PERIOD) }
    }
}
