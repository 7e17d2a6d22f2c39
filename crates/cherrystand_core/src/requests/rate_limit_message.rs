//! What daemons tell each other of the requests that endpoints take.

use serde::{Deserialize, Serialize};

use crate::{ColdPeriodUpdate, Millis, RequestRate};

/// Says what an endpoint named last, as far as the sender knows.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RateLimitReport {
    /// The requests that it takes from all daemons together; nothing where it names no limit any more.
    pub limit: Option<RequestRate>,
    /// How long ago that was heard.
    pub age: Millis,
    /// How much longer the endpoint is cold, where it is.
    pub cold: Option<ColdPeriodUpdate>,
}

impl RateLimitReport {
    /// Says that an endpoint was never heard to name a limit.
    pub(crate) const UNHEARD: Self = Self { limit: None, age: Millis(u64::MAX), cold: None };
}

/// One message about one endpoint's limit; any of them may be lost, late, doubled or out of order.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum RateLimitMessage {
    /// Tells what was heard.
    Heard(RateLimitReport),
    /// Asks the keeper of the endpoint's account for permits, or once more for those of the same number.
    Ask {
        /// What the asker heard.
        word: RateLimitReport,
        /// Numbers the asker's questions; a later one closes those before it.
        number: u64,
        /// How many permits it wants.
        want: u8,
        /// How long it waits for them, unless it asks once more.
        lasts: Millis,
    },
    /// Gives permits.
    Give {
        /// What the keeper heard.
        word: RateLimitReport,
        /// The question that is answered.
        number: u64,
        /// How many are given to it in all.
        given: u8,
        /// How many questions wait before the next permit of the asker.
        waiting: u16,
    },
    /// Closes a question and hands back what was not used of it.
    Return {
        /// The question.
        number: u64,
        /// How many of its permits were used.
        used: u8,
    },
}
