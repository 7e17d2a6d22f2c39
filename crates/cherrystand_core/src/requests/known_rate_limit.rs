//! What is known of the limit that one endpoint names.

use crate::{Millis, RateLimitReport, RequestRate};

/// For how long a limit holds after it was last named, though answers come without it: an endpoint may
/// name it in some of its answers only.
const HOLDS_FOR: Millis = Millis(1_000);

/// For how long it is known that a limit is over, to those that have yet to hear it.
const OVER_FOR: Millis = Millis(10_000);

/// After this time without a word an endpoint's limit is forgotten.
const FORGOTTEN_AFTER: Millis = Millis(600_000);

/// Keeps what one endpoint named last, by the answers of this node and what peers tell of theirs.
///
/// Answers overtake each other. So an answer counts as made when it came, where it names a limit, and when
/// its request was sent, where it names none or a higher one: the lower limit is kept where either may
/// be the later word.
#[derive(Clone, Copy, Debug)]
pub(crate) struct KnownRateLimit {
    limit: RequestRate,
    /// When the limit in force was first named.
    changed: Millis,
    named: Millis,
    /// When the newest request was sent whose answer named none.
    unnamed: Option<Millis>,
}

impl KnownRateLimit {
    pub(crate) fn new(limit: RequestRate, now: Millis) -> Self {
        Self { limit, changed: now, named: now, unnamed: None }
    }

    pub(crate) fn limit(&self) -> RequestRate {
        self.limit
    }

    /// Takes in that a limit was named at a time, in an answer that was made after `made_after`; tells whether
    /// it is another one than was in force.
    pub(crate) fn record_limit(
        &mut self,
        limit: RequestRate,
        at: Millis,
        made_after: Millis,
    ) -> bool {
        if limit > self.limit && made_after < self.changed {
            return false;
        }
        let was_over = self.is_lifted();
        self.named = at.max(self.named);
        let is_other = limit != self.limit || (was_over && !self.is_lifted());
        if is_other {
            (self.limit, self.changed) = (limit, at.max(self.changed));
        }
        is_other
    }

    /// Takes in that an answer which was made after `made_after` named none; tells whether the limit is over
    /// by that.
    pub(crate) fn record_no_limit(&mut self, made_after: Millis) -> bool {
        let was_over = self.is_lifted();
        self.unnamed = self.unnamed.max(Some(made_after));
        self.is_lifted() && !was_over
    }

    /// Tells whether nothing is worth remembering of it any more.
    pub(crate) fn is_expired(&self, now: Millis) -> bool {
        match self.unnamed.filter(|_| self.is_lifted()) {
            Some(unnamed) => now.since(unnamed) >= OVER_FOR,
            None => now.since(self.named) >= FORGOTTEN_AFTER,
        }
    }

    /// Tells whether the endpoint names no limit any more.
    pub(crate) fn is_lifted(&self) -> bool {
        self.unnamed.is_some_and(|unnamed| unnamed >= self.named + HOLDS_FOR)
    }

    /// Tells what is known to a peer.
    pub(crate) fn report(&self, now: Millis) -> RateLimitReport {
        match (self.is_lifted(), self.unnamed) {
            (true, Some(unnamed)) => {
                RateLimitReport { age: now.since(unnamed), ..RateLimitReport::UNHEARD }
            }
            _ => {
                let (limit, age) = (Some(self.limit), now.since(self.named));
                RateLimitReport { limit, age, ..RateLimitReport::UNHEARD }
            }
        }
    }
}
