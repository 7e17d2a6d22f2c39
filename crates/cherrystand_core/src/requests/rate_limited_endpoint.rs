//! What one endpoint takes from all nodes together, as one node knows it.
//!
//! Source: docs/design/0022-limits.md, docs/design/0023-evacuated-zones-and-cold-endpoints.md.

use std::net::SocketAddr;

use crate::requests::endpoint_rate_limits::RateLimitOwner;
use crate::requests::known_rate_limit::KnownRateLimit;
use crate::requests::rate_limit_ledger::{PermitRequest, RateLimitLedger};
use crate::requests::rate_limit_permits::RateLimitPermits;
use crate::{ColdPeriod, Millis, RateLimitMessage, RateLimitReport, RequestRate};

/// The least rate at which an endpoint is asked, or its word that it takes nothing would never end.
const MIN_RATE: f64 = 0.25;

/// A peer's word that an endpoint is cold for longer counts where it is longer by more than this, which a
/// message takes: handed back and forth it would grow otherwise.
const MIN_COLD_EXTENSION: Millis = Millis(250);

/// Keeps what is known of one endpoint's limit, and this node's part of it.
#[derive(Clone, Debug, Default)]
pub(super) struct RateLimitedEndpoint {
    /// What it names, where it ever did.
    named_limit: Option<KnownRateLimit>,
    /// Until when it is cold, where it is.
    pub(super) cold: Option<ColdPeriod>,
    pub(super) permits: RateLimitPermits,
    pub(super) owner: Option<RateLimitOwner>,
    /// The account, where this node keeps it.
    ledger: Option<RateLimitLedger<Option<SocketAddr>>>,
    /// What came before it was known who keeps the account.
    pub(super) early_messages: Vec<(SocketAddr, RateLimitMessage)>,
    /// Until when all others were last told that it is cold.
    cold_announced_until: Millis,
}

impl RateLimitedEndpoint {
    /// Returns the strictest limit in force.
    pub(super) fn limit(&self) -> Option<RequestRate> {
        let named_limit = self
            .named_limit
            .filter(|named_limit| !named_limit.is_lifted())
            .map(|named_limit| named_limit.limit());
        named_limit.into_iter().chain(self.cold.map(|cold| cold.rate)).min()
    }

    pub(super) fn rate(&self) -> f64 {
        self.limit().unwrap_or_default().as_f64().max(MIN_RATE)
    }

    /// Tells what is known of it to a peer.
    pub(super) fn report(&self, now: Millis) -> RateLimitReport {
        let named_limit = self
            .named_limit
            .map_or(RateLimitReport::UNHEARD, |named_limit| named_limit.report(now));
        RateLimitReport { cold: self.cold.map(|cold| cold.to_update(now)), ..named_limit }
    }

    /// Takes in that it named a limit or none; tells whether that is new.
    pub(super) fn merge_report(
        &mut self,
        word: RateLimitReport,
        made_after: Millis,
        now: Millis,
    ) -> bool {
        if let Some(cold) = word.cold.map(|cold| cold.to_period(now)) {
            let held = self.cold.map(|cold| cold.until).unwrap_or(now);
            if cold.until.since(held) > MIN_COLD_EXTENSION {
                self.cold = Some(cold);
            }
        }
        match (&mut self.named_limit, word.limit) {
            (Some(named_limit), Some(limit)) => {
                named_limit.record_limit(limit, now - word.age, made_after)
            }
            (Some(named_limit), None) => named_limit.record_no_limit(made_after),
            (None, Some(limit)) => {
                self.named_limit = Some(KnownRateLimit::new(limit, now));
                true
            }
            (None, None) => false,
        }
    }

    /// Returns what all others are to be told: that it is cold, by the node that keeps its account, once.
    ///
    /// Some hear neither the store nor a reader, and would send as before.
    pub(super) fn take_cold_announcement(&mut self, now: Millis) -> Option<RateLimitMessage> {
        let cold = self.cold.filter(|_| self.ledger.is_some())?;
        let is_news = cold.until.since(self.cold_announced_until) > MIN_COLD_EXTENSION;
        self.cold_announced_until = cold.until.max(self.cold_announced_until);
        is_news.then(|| RateLimitMessage::Heard(self.report(now)))
    }

    /// Tells whether no question of this node or of another is open.
    pub(super) fn is_idle(&self) -> bool {
        self.permits.is_idle() && self.ledger.as_ref().is_none_or(RateLimitLedger::is_idle)
    }

    /// Tells whether nothing is worth remembering of it any more.
    pub(super) fn is_expired(&self, now: Millis) -> bool {
        self.cold.is_none()
            && self.named_limit.is_none_or(|named_limit| named_limit.is_expired(now))
    }

    /// Takes over who keeps the account; one that this node comes to keep begins anew.
    pub(super) fn set_owner(&mut self, owner: RateLimitOwner, burst: Option<f64>, now: Millis) {
        if self.owner.is_some_and(|held| held.address != owner.address) {
            self.permits.abandon_request();
        }
        self.owner = Some(owner);
        match owner.address {
            None if self.ledger.is_none() => {
                self.ledger = Some(RateLimitLedger::new(self.rate(), burst, now));
            }
            None => {}
            Some(_) => self.ledger = None,
        }
    }

    /// Forgets what hangs on a limit that is over.
    pub(super) fn clear_rate_limit(&mut self) {
        self.permits = RateLimitPermits::default();
        self.early_messages.clear();
        (self.owner, self.ledger) = (None, None);
    }

    /// Asks, gives and hands back what is due, and returns what other nodes are to be told.
    pub(super) fn step(
        &mut self,
        last_request_number: &mut u64,
        now: Millis,
    ) -> Vec<(SocketAddr, RateLimitMessage)> {
        let Some(owner) = self.owner else { return Vec::new() };
        let (word, rate) = (self.report(now), self.rate());
        let limit = self.limit().unwrap_or_default();
        let request = self.permits.step(limit, rate, word, last_request_number, now);
        let mut out = Vec::new();
        for (from, message) in std::mem::take(&mut self.early_messages) {
            out.extend(
                self.handle_at_ledger(Some(from), message, now).map(|answer| (from, answer)),
            );
        }
        match (owner.address, request) {
            (Some(address), Some(request)) => out.push((address, request)),
            (None, Some(request)) => {
                if let Some(answer) = self.handle_at_ledger(None, request, now) {
                    self.permits.handle_grant(answer, now);
                }
            }
            (_, None) => {}
        }
        let Some(ledger) = &mut self.ledger else { return out };
        for (to, given) in ledger.step(rate * owner.share, word, now) {
            match to {
                Some(address) => out.push((address, given)),
                None => self.permits.handle_grant(given, now),
            }
        }
        out
    }

    /// Takes in what a node, or this one, says to the account; returns the answer where there is one at once.
    pub(super) fn handle_at_ledger(
        &mut self,
        from: Option<SocketAddr>,
        message: RateLimitMessage,
        now: Millis,
    ) -> Option<RateLimitMessage> {
        let word = self.report(now);
        let ledger = self.ledger.as_mut()?;
        match message {
            RateLimitMessage::Ask { number, want, lasts, .. } => {
                ledger.handle_request(from, PermitRequest { number, want, lasts }, word, now)
            }
            RateLimitMessage::Return { number, used } => {
                ledger.handle_return(from, number, used, now);
                None
            }
            RateLimitMessage::Heard(_) | RateLimitMessage::Give { .. } => None,
        }
    }
}
