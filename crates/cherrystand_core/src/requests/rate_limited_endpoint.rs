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
const LEAST_RATE: f64 = 0.25;

/// A peer's word that an endpoint is cold for longer counts where it is longer by more than this, which a
/// message takes: handed back and forth it would grow otherwise.
const LONGER_BY: Millis = Millis(250);

/// Keeps what is known of one endpoint's limit, and this node's part of it.
#[derive(Clone, Debug, Default)]
pub(super) struct RateLimitedEndpoint {
    /// What it names, where it ever did.
    named: Option<KnownRateLimit>,
    /// Until when it is cold, where it is.
    pub(super) cold: Option<ColdPeriod>,
    pub(super) permits: RateLimitPermits,
    pub(super) keeper: Option<RateLimitOwner>,
    /// The account, where this node keeps it.
    account: Option<RateLimitLedger<Option<SocketAddr>>>,
    /// What came before it was known who keeps the account.
    pub(super) early: Vec<(SocketAddr, RateLimitMessage)>,
    /// Until when all others were last told that it is cold.
    told_cold: Millis,
}

impl RateLimitedEndpoint {
    /// Returns the strictest limit in force.
    pub(super) fn limit(&self) -> Option<RequestRate> {
        let named = self.named.filter(|named| !named.is_lifted()).map(|named| named.limit());
        named.into_iter().chain(self.cold.map(|cold| cold.rate)).min()
    }

    pub(super) fn rate(&self) -> f64 {
        self.limit().unwrap_or_default().as_f64().max(LEAST_RATE)
    }

    /// Tells what is known of it to a peer.
    pub(super) fn report(&self, now: Millis) -> RateLimitReport {
        let named = self.named.map_or(RateLimitReport::UNHEARD, |named| named.report(now));
        RateLimitReport { cold: self.cold.map(|cold| cold.to_update(now)), ..named }
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
            if cold.until.since(held) > LONGER_BY {
                self.cold = Some(cold);
            }
        }
        match (&mut self.named, word.limit) {
            (Some(named), Some(limit)) => named.record_limit(limit, now - word.age, made_after),
            (Some(named), None) => named.record_no_limit(made_after),
            (None, Some(limit)) => {
                self.named = Some(KnownRateLimit::new(limit, now));
                true
            }
            (None, None) => false,
        }
    }

    /// Returns what all others are to be told: that it is cold, by the node that keeps its account, once.
    ///
    /// Some hear neither the store nor a reader, and would send as before.
    pub(super) fn take_cold_announcement(&mut self, now: Millis) -> Option<RateLimitMessage> {
        let cold = self.cold.filter(|_| self.account.is_some())?;
        let is_news = cold.until.since(self.told_cold) > LONGER_BY;
        self.told_cold = cold.until.max(self.told_cold);
        is_news.then(|| RateLimitMessage::Heard(self.report(now)))
    }

    /// Tells whether no question of this node or of another is open.
    pub(super) fn is_idle(&self) -> bool {
        self.permits.is_idle() && self.account.as_ref().is_none_or(RateLimitLedger::is_idle)
    }

    /// Tells whether nothing is worth remembering of it any more.
    pub(super) fn is_expired(&self, now: Millis) -> bool {
        self.cold.is_none() && self.named.is_none_or(|named| named.is_expired(now))
    }

    /// Takes over who keeps the account; one that this node comes to keep begins anew.
    pub(super) fn set_owner(&mut self, keeper: RateLimitOwner, at_once: Option<f64>, now: Millis) {
        if self.keeper.is_some_and(|held| held.address != keeper.address) {
            self.permits.abandon_request();
        }
        self.keeper = Some(keeper);
        match keeper.address {
            None if self.account.is_none() => {
                self.account = Some(RateLimitLedger::new(self.rate(), at_once, now));
            }
            None => {}
            Some(_) => self.account = None,
        }
    }

    /// Forgets what hangs on a limit that is over.
    pub(super) fn clear_rate_limit(&mut self) {
        self.permits = RateLimitPermits::default();
        self.early.clear();
        (self.keeper, self.account) = (None, None);
    }

    /// Asks, gives and hands back what is due, and returns what other nodes are to be told.
    pub(super) fn step(
        &mut self,
        last_number: &mut u64,
        now: Millis,
    ) -> Vec<(SocketAddr, RateLimitMessage)> {
        let Some(keeper) = self.keeper else { return Vec::new() };
        let (word, rate) = (self.report(now), self.rate());
        let limit = self.limit().unwrap_or_default();
        let asks = self.permits.step(limit, rate, word, last_number, now);
        let mut out = Vec::new();
        for (from, news) in std::mem::take(&mut self.early) {
            out.extend(self.handle_at_ledger(Some(from), news, now).map(|answer| (from, answer)));
        }
        match (keeper.address, asks) {
            (Some(address), Some(asks)) => out.push((address, asks)),
            (None, Some(asks)) => {
                if let Some(answer) = self.handle_at_ledger(None, asks, now) {
                    self.permits.handle_grant(answer, now);
                }
            }
            (_, None) => {}
        }
        let Some(account) = &mut self.account else { return out };
        for (to, given) in account.step(rate * keeper.share, word, now) {
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
        news: RateLimitMessage,
        now: Millis,
    ) -> Option<RateLimitMessage> {
        let word = self.report(now);
        let account = self.account.as_mut()?;
        match news {
            RateLimitMessage::Ask { number, want, lasts, .. } => {
                account.handle_request(from, PermitRequest { number, want, lasts }, word, now)
            }
            RateLimitMessage::Return { number, used } => {
                account.handle_return(from, number, used, now);
                None
            }
            RateLimitMessage::Heard(_) | RateLimitMessage::Give { .. } => None,
        }
    }
}
