//! What is known of the limit that one endpoint names.

use crate::{Millis, RateLimitReport, RequestRate};

/// For how long a limit holds after it was last named, though answers come without it: an endpoint may
/// name it in some of its answers only.
const HOLD_TIME: Millis = Millis(1_000);

/// For how long it is known that a limit is over, to those that have yet to hear it.
const LIFTED_TTL: Millis = Millis(10_000);

/// After this time without a word an endpoint's limit is forgotten.
const LIMIT_TTL: Millis = Millis(600_000);

/// Keeps what one endpoint named last, by the answers of this node and what peers tell of theirs.
///
/// Answers overtake each other. So an answer counts as made when it came, where it names a limit, and when
/// its request was sent, where it names none or a higher one: the lower limit is kept where either may
/// be the later word.
#[derive(Clone, Copy, Debug)]
pub(crate) struct KnownRateLimit {
    limit: RequestRate,
    /// When the limit in force was first named.
    changed_at: Millis,
    last_named: Millis,
    /// When the newest request was sent whose answer named none.
    last_unnamed: Option<Millis>,
}

impl KnownRateLimit {
    pub(crate) fn new(limit: RequestRate, now: Millis) -> Self {
        Self { limit, changed_at: now, last_named: now, last_unnamed: None }
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
        if limit > self.limit && made_after < self.changed_at {
            return false;
        }
        let was_lifted = self.is_lifted();
        self.last_named = at.max(self.last_named);
        let is_changed = limit != self.limit || (was_lifted && !self.is_lifted());
        if is_changed {
            (self.limit, self.changed_at) = (limit, at.max(self.changed_at));
        }
        is_changed
    }

    /// Takes in that an answer which was made after `made_after` named none; tells whether the limit is over
    /// by that.
    pub(crate) fn record_no_limit(&mut self, made_after: Millis) -> bool {
        let was_lifted = self.is_lifted();
        self.last_unnamed = self.last_unnamed.max(Some(made_after));
        self.is_lifted() && !was_lifted
    }

    /// Tells whether nothing is worth remembering of it any more.
    pub(crate) fn is_expired(&self, now: Millis) -> bool {
        match self.last_unnamed.filter(|_| self.is_lifted()) {
            Some(last_unnamed) => now.since(last_unnamed) >= LIFTED_TTL,
            None => now.since(self.last_named) >= LIMIT_TTL,
        }
    }

    /// Tells whether the endpoint names no limit any more.
    pub(crate) fn is_lifted(&self) -> bool {
        self.last_unnamed.is_some_and(|last_unnamed| last_unnamed >= self.last_named + HOLD_TIME)
    }

    /// Tells what is known to a peer.
    pub(crate) fn report(&self, now: Millis) -> RateLimitReport {
        match (self.is_lifted(), self.last_unnamed) {
            (true, Some(last_unnamed)) => {
                RateLimitReport { age: now.since(last_unnamed), ..RateLimitReport::UNHEARD }
            }
            _ => {
                let (limit, age) = (Some(self.limit), now.since(self.last_named));
                RateLimitReport { limit, age, ..RateLimitReport::UNHEARD }
            }
        }
    }
}
