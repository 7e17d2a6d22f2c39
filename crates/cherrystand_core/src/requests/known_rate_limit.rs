//! The rate limit that one endpoint has named, as far as this node knows.

use crate::{Millis, RateLimitReport, RequestRate};

/// How long a limit stays in force after it was last named although later answers lack it, since an
/// endpoint may name it in only some of its answers.
const HOLD_TIME: Millis = Millis(1_000);

/// How long it is remembered that a limit was lifted, to inform nodes that do not know it yet.
const LIFTED_TTL: Millis = Millis(10_000);

/// After this time without any report the limit of an endpoint is forgotten.
const LIMIT_TTL: Millis = Millis(600_000);

/// Keeps the limit that an endpoint named last, from answers to this node and from reports of
/// peers.
///
/// Answers can overtake each other. An answer that names a limit therefore counts as made when it
/// arrived. One that names none, or a higher limit, counts as made when its request was sent. If
/// either order is possible, the lower limit is kept.
#[derive(Clone, Copy, Debug)]
pub(crate) struct KnownRateLimit {
    limit: RequestRate,
    /// When the limit in force was first named.
    changed_at: Millis,
    last_named: Millis,
    /// When the newest request was sent whose answer named no limit.
    last_unnamed: Option<Millis>,
}

impl KnownRateLimit {
    pub(crate) fn new(limit: RequestRate, now: Millis) -> Self {
        Self { limit, changed_at: now, last_named: now, last_unnamed: None }
    }

    pub(crate) fn limit(&self) -> RequestRate {
        self.limit
    }

    /// Records that a limit was named at `at`, in an answer that was made after `made_after`;
    /// returns whether the limit in force changes.
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

    /// Records that an answer which was made after `made_after` named no limit; returns whether
    /// that lifts the limit.
    pub(crate) fn record_no_limit(&mut self, made_after: Millis) -> bool {
        let was_lifted = self.is_lifted();
        self.last_unnamed = self.last_unnamed.max(Some(made_after));
        self.is_lifted() && !was_lifted
    }

    /// Returns whether nothing about the limit is worth remembering any longer.
    pub(crate) fn is_expired(&self, now: Millis) -> bool {
        match self.last_unnamed.filter(|_| self.is_lifted()) {
            Some(last_unnamed) => now.since(last_unnamed) >= LIFTED_TTL,
            None => now.since(self.last_named) >= LIMIT_TTL,
        }
    }

    /// Returns whether the endpoint no longer names a limit.
    pub(crate) fn is_lifted(&self) -> bool {
        self.last_unnamed.is_some_and(|last_unnamed| last_unnamed >= self.last_named + HOLD_TIME)
    }

    /// Returns what is known as a report for a peer.
    pub(crate) fn report(&self, now: Millis) -> RateLimitReport {
        match (self.is_lifted(), self.last_unnamed) {
            (true, Some(last_unnamed)) => {
                RateLimitReport { age: now.since(last_unnamed), ..RateLimitReport::NO_LIMIT }
            }
            _ => {
                let (limit, age) = (Some(self.limit), now.since(self.last_named));
                RateLimitReport { limit, age, ..RateLimitReport::NO_LIMIT }
            }
        }
    }
}
