//! Endpoints that have just started and take few requests for a while.

use serde::{Deserialize, Serialize};

use crate::{Millis, RequestRate};

/// The longest cold period that is accepted from one message.
pub(crate) const MAX_COLD_PERIOD: Millis = Millis(600_000);

/// Says how an endpoint of a service takes requests after it has started.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ColdStart {
    /// How long it is cold after its start.
    pub duration: Millis,
    /// The requests per second that it takes from all nodes together meanwhile.
    pub rate: RequestRate,
}

/// The cold period of one endpoint, on this node's clock.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ColdPeriod {
    /// The requests per second that the endpoint takes from all nodes together.
    pub rate: RequestRate,
    /// The end of the cold period.
    pub until: Millis,
}

/// A [`ColdPeriod`] as it is sent to another node.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ColdPeriodUpdate {
    /// The requests per second that the endpoint takes from all nodes together.
    pub rate: RequestRate,
    /// The remaining time of the cold period.
    pub left: Millis,
}

impl ColdPeriod {
    /// Converts the period for sending, with its end as a remaining time.
    pub fn to_update(self, now: Millis) -> ColdPeriodUpdate {
        ColdPeriodUpdate { rate: self.rate, left: self.until.since(now) }
    }
}

impl ColdPeriodUpdate {
    /// Converts a received update to this node's clock.
    pub fn to_period(self, now: Millis) -> ColdPeriod {
        ColdPeriod { rate: self.rate, until: now + self.left.min(MAX_COLD_PERIOD) }
    }
}
