//! The rate limit of one endpoint over all nodes, as one node knows it.
//!
//! Source: docs/design/0022-limits.md, docs/design/0023-evacuated-zones-and-cold-endpoints.md.

use std::net::SocketAddr;

use crate::requests::endpoint_rate_limits::RateLimitOwner;
use crate::requests::known_rate_limit::KnownRateLimit;
use crate::requests::rate_limit_ledger::{PermitRequest, RateLimitLedger};
use crate::requests::rate_limit_permits::RateLimitPermits;
use crate::{ColdPeriod, Millis, RateLimitMessage, RateLimitReport, RequestRate};

/// The lowest rate at which an endpoint is sent requests. At zero it would never answer anything,
/// and a limit of zero could never be lifted.
const MIN_RATE: f64 = 0.25;

/// A peer's report extends a cold period only if its end is later by more than this. A message
/// takes some time, so that without a margin the period would grow each time it is passed back and
/// forth.
const MIN_COLD_EXTENSION: Millis = Millis(250);

/// Keeps what is known of one endpoint's rate limit, and this node's share of it.
#[derive(Clone, Debug, Default)]
pub(super) struct RateLimitedEndpoint {
    /// The limit that it names, if it ever named one.
    named_limit: Option<KnownRateLimit>,
    /// Its cold period, if it is cold.
    pub(super) cold: Option<ColdPeriod>,
    pub(super) permits: RateLimitPermits,
    pub(super) owner: Option<RateLimitOwner>,
    /// The ledger, if this node owns the rate limit.
    ledger: Option<RateLimitLedger<Option<SocketAddr>>>,
    /// Messages that arrived before the owner was known.
    pub(super) early_messages: Vec<(SocketAddr, RateLimitMessage)>,
    /// The end of the cold period that was last announced to all other nodes.
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

    /// Returns what is known as a report for a peer.
    pub(super) fn report(&self, now: Millis) -> RateLimitReport {
        let named_limit = self
            .named_limit
            .map_or(RateLimitReport::NO_LIMIT, |named_limit| named_limit.report(now));
        RateLimitReport { cold: self.cold.map(|cold| cold.to_update(now)), ..named_limit }
    }

    /// Merges a report; returns whether the limit in force changes.
    pub(super) fn merge_report(
        &mut self,
        report: RateLimitReport,
        made_after: Millis,
        now: Millis,
    ) -> bool {
        if let Some(cold) = report.cold.map(|cold| cold.to_period(now)) {
            let known = self.cold.map(|cold| cold.until).unwrap_or(now);
            if cold.until.since(known) > MIN_COLD_EXTENSION {
                self.cold = Some(cold);
            }
        }
        match (&mut self.named_limit, report.limit) {
            (Some(named_limit), Some(limit)) => {
                named_limit.record_limit(limit, now - report.age, made_after)
            }
            (Some(named_limit), None) => named_limit.record_no_limit(made_after),
            (None, Some(limit)) => {
                self.named_limit = Some(KnownRateLimit::new(limit, now));
                true
            }
            (None, None) => false,
        }
    }

    /// Returns an announcement to all other nodes that the endpoint is cold. Only the owner
    /// announces it, once per cold period.
    ///
    /// Some nodes reach neither the store nor a reader of it, and would not reduce their rate
    /// otherwise.
    pub(super) fn take_cold_announcement(&mut self, now: Millis) -> Option<RateLimitMessage> {
        let cold = self.cold.filter(|_| self.ledger.is_some())?;
        let is_new = cold.until.since(self.cold_announced_until) > MIN_COLD_EXTENSION;
        self.cold_announced_until = cold.until.max(self.cold_announced_until);
        is_new.then(|| RateLimitMessage::Report(self.report(now)))
    }

    /// Returns whether neither this node nor another has an open request for permits.
    pub(super) fn is_idle(&self) -> bool {
        self.permits.is_idle() && self.ledger.as_ref().is_none_or(RateLimitLedger::is_idle)
    }

    /// Returns whether nothing about it is worth remembering any longer.
    pub(super) fn is_expired(&self, now: Millis) -> bool {
        self.cold.is_none()
            && self.named_limit.is_none_or(|named_limit| named_limit.is_expired(now))
    }

    /// Sets the owner of the rate limit. If this node becomes the owner, it starts a new ledger.
    pub(super) fn set_owner(&mut self, owner: RateLimitOwner, burst: Option<f64>, now: Millis) {
        if self.owner.is_some_and(|known| known.address != owner.address) {
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

    /// Drops the permits and the ledger, after the limit was lifted.
    pub(super) fn clear_rate_limit(&mut self) {
        self.permits = RateLimitPermits::default();
        self.early_messages.clear();
        (self.owner, self.ledger) = (None, None);
    }

    /// Requests, grants and returns the permits that are due; returns the messages to other nodes.
    pub(super) fn step(
        &mut self,
        last_request_number: &mut u64,
        now: Millis,
    ) -> Vec<(SocketAddr, RateLimitMessage)> {
        let Some(owner) = self.owner else { return Vec::new() };
        let (report, rate) = (self.report(now), self.rate());
        let limit = self.limit().unwrap_or_default();
        let request = self.permits.step(limit, rate, report, last_request_number, now);
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
        for (to, grant) in ledger.step(rate * owner.share, report, now) {
            match to {
                Some(address) => out.push((address, grant)),
                None => self.permits.handle_grant(grant, now),
            }
        }
        out
    }

    /// Passes a message from another node, or with `None` from this one, to the ledger; returns an
    /// immediate reply if there is one.
    pub(super) fn handle_at_ledger(
        &mut self,
        from: Option<SocketAddr>,
        message: RateLimitMessage,
        now: Millis,
    ) -> Option<RateLimitMessage> {
        let report = self.report(now);
        let ledger = self.ledger.as_mut()?;
        match message {
            RateLimitMessage::Ask { number, want, lasts, .. } => {
                ledger.handle_request(from, PermitRequest { number, want, lasts }, report, now)
            }
            RateLimitMessage::Return { number, used } => {
                ledger.handle_return(from, number, used, now);
                None
            }
            RateLimitMessage::Report(_) | RateLimitMessage::Give { .. } => None,
        }
    }
}
