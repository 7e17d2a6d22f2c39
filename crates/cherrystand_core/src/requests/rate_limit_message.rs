//! Messages between daemons about the rate limits of endpoints.

use serde::{Deserialize, Serialize};

use crate::{ColdPeriodUpdate, Millis, RequestRate};

/// The rate limit that an endpoint named last, as far as the sender knows.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RateLimitReport {
    /// The requests per second that it takes from all daemons together; `None` if it no longer
    /// names a limit.
    pub limit: Option<RequestRate>,
    /// The time since the endpoint's answer that states it.
    pub age: Millis,
    /// The rest of the endpoint's cold period, if it is cold.
    pub cold: Option<ColdPeriodUpdate>,
}

impl RateLimitReport {
    /// The report about an endpoint that has never named a limit.
    pub(crate) const NO_LIMIT: Self = Self { limit: None, age: Millis(u64::MAX), cold: None };
}

/// A message about one endpoint's rate limit. It may be lost, delayed, duplicated or reordered.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum RateLimitMessage {
    /// Reports a limit.
    #[serde(rename = "Heard")]
    Report(RateLimitReport),
    /// Requests permits from the owner of the limit, or repeats a request under the same number.
    Ask {
        /// What the requester knows about the limit.
        #[serde(rename = "word")]
        report: RateLimitReport,
        /// The number of the request; a later one closes those before it.
        number: u64,
        /// How many permits are requested.
        want: u8,
        /// How long the request waits for permits unless it is repeated.
        lasts: Millis,
    },
    /// Grants permits.
    Give {
        /// What the owner knows about the limit.
        #[serde(rename = "word")]
        report: RateLimitReport,
        /// The number of the request that is answered.
        number: u64,
        /// How many permits have been granted to the request in total.
        given: u8,
        /// How many requests are queued before the requester's next permit.
        waiting: u16,
    },
    /// Closes a request and returns its unused permits.
    Return {
        /// The number of the request.
        number: u64,
        /// How many of its permits were used.
        used: u8,
    },
}
