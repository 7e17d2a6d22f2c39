//! Rate limits of endpoints over all nodes, and this node's share of them.
//!
//! One node, the owner of a rate limit, keeps its ledger and grants permits to all nodes, each for
//! one request. The owner follows from the set of live nodes, so no node is dedicated to it and
//! nothing is stored.
//!
//! An endpoint is limited by the rate that it names in its answers, and while it is cold also by
//! the rate that its service states for cold endpoints. The stricter one applies, and one ledger
//! enforces both.
//!
//! Source: docs/design/0022-limits.md, docs/design/0023-evacuated-zones-and-cold-endpoints.md.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use crate::requests::rate_limited_endpoint::RateLimitedEndpoint;
use crate::{ColdPeriod, Millis, RateLimitMessage, RateLimitReport, RequestRate};

/// Rates from this value on count as unlimited, in requests per second: all nodes together never
/// send one endpoint that many.
const UNLIMITED_FROM: f64 = 1_000.0;

/// The largest number of endpoints whose rate limits are kept.
const MAX_ENDPOINTS: usize = 16_384;

/// How many messages about an endpoint are kept until the owner of its rate limit is known.
const MAX_EARLY_MESSAGES: usize = 64;

/// The owner of an endpoint's rate limit, as this node sees it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RateLimitOwner {
    /// The address of the owner; `None` if it is this node.
    pub address: Option<SocketAddr>,
    /// The share of the rate that the owner may grant to the nodes that this node sees: 1.0 unless
    /// others are out of sight, since those may have an owner of their own.
    pub share: f64,
}

/// The recipient of a message about a rate limit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RateLimitRecipient {
    /// All other nodes.
    All,
    /// One node.
    Node(SocketAddr),
}

/// The result of [`EndpointRateLimits::step`].
#[derive(Clone, Debug)]
pub struct RateLimitStep<K> {
    /// The messages to send, each with the endpoint that it is about.
    pub messages: Vec<(RateLimitRecipient, K, RateLimitMessage)>,
    /// Whether this node was granted permits, or got the answer that there are none for now.
    pub has_permits: bool,
}

/// What an answer says about its endpoint's rate limit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ObservedRateLimit {
    /// The limit; `None` if the answer names none.
    pub limit: Option<RequestRate>,
    /// When the request was sent that is answered.
    pub request_sent_at: Millis,
}

/// Keeps the rate limit of each endpoint incarnation, and the permits to send to it.
#[derive(Clone, Debug)]
pub struct EndpointRateLimits<K> {
    endpoints: BTreeMap<K, RateLimitedEndpoint>,
    /// Limits learned from this node's own answers, which other nodes may not know.
    to_announce: Vec<(K, RateLimitReport)>,
    /// Replies to messages from other nodes.
    replies: Vec<(RateLimitRecipient, K, RateLimitMessage)>,
    /// The number of this node's last request for permits, for whichever endpoint.
    last_request_number: u64,
    /// Overrides how many permits a ledger may grant at once and starts with.
    burst: Option<f64>,
}

impl<K> Default for EndpointRateLimits<K> {
    fn default() -> Self {
        Self {
            endpoints: BTreeMap::new(),
            to_announce: Vec::new(),
            replies: Vec::new(),
            last_request_number: 0,
            burst: None,
        }
    }
}

impl<K: Ord + Clone> EndpointRateLimits<K> {
    /// Creates rate limits whose ledgers start with this many permits and may grant them all at
    /// once, since the capacity behind them is full while nobody uses it.
    pub fn with_burst(permits: f64) -> Self {
        Self { burst: Some(permits), ..Self::default() }
    }

    /// Returns whether no permits are being requested or granted.
    pub fn is_idle(&self) -> bool {
        let nothing_queued = self.to_announce.is_empty() && self.replies.is_empty();
        nothing_queued && self.endpoints.values().all(RateLimitedEndpoint::is_idle)
    }

    /// Sets the number after which this node's requests for permits are numbered. The requests of
    /// its earlier incarnations must have lower numbers.
    pub fn set_last_request_number(&mut self, number: u64) {
        self.last_request_number = number;
    }

    /// Returns whether no endpoint has a rate limit.
    pub fn is_empty(&self) -> bool {
        self.endpoints.is_empty()
    }

    /// Returns the rate limit of an endpoint, if it has one.
    pub fn limit(&self, id: &K) -> Option<RequestRate> {
        self.endpoints.get(id).and_then(RateLimitedEndpoint::limit)
    }

    /// Sets whether an endpoint is cold, as its own answers to this node state.
    pub fn set_cold_period(&mut self, id: &K, cold: Option<ColdPeriod>) {
        let cold = cold.filter(|cold| cold.rate.as_f64() < UNLIMITED_FROM);
        if cold.is_some() {
            self.ensure_entry(id);
        }
        if let Some(endpoint) = self.endpoints.get_mut(id) {
            endpoint.cold = cold;
        }
    }

    /// Moves the rate limit of another ID of the same endpoint to the ID under which it is listed
    /// now. Its owner may be another node, so permits are requested anew.
    pub(crate) fn adopt(&mut self, id: &K, is_same: impl Fn(&&K) -> bool) {
        let Some(held) = self.endpoints.keys().find(is_same).cloned() else { return };
        if let Some(mut endpoint) = self.endpoints.remove(&held) {
            endpoint.clear_rate_limit();
            self.endpoints.insert(id.clone(), endpoint);
        }
    }

    /// Adds an entry for an endpoint that may be limited, unless there are too many.
    fn ensure_entry(&mut self, id: &K) {
        if self.endpoints.len() < MAX_ENDPOINTS && !self.endpoints.contains_key(id) {
            self.endpoints.insert(id.clone(), RateLimitedEndpoint::default());
        }
    }

    /// Records what an answer to one of this node's requests says about the rate limit; returns
    /// whether that is new.
    pub fn record_answer(&mut self, id: &K, observed: ObservedRateLimit, now: Millis) -> bool {
        let limit = observed.limit.filter(|limit| limit.as_f64() < UNLIMITED_FROM);
        // An answer without a limit is only known to be as recent as the sending of its request.
        let age = if limit.is_some() { Millis(0) } else { now.since(observed.request_sent_at) };
        let report = RateLimitReport { limit, age, ..RateLimitReport::NO_LIMIT };
        let is_new = self.merge_report(id, report, observed.request_sent_at, now);
        if is_new {
            self.to_announce.push((id.clone(), report));
        }
        is_new
    }

    /// Merges a report that comes from an answer made after `made_after`.
    fn merge_report(
        &mut self,
        id: &K,
        report: RateLimitReport,
        made_after: Millis,
        now: Millis,
    ) -> bool {
        if report.limit.is_some() || report.cold.is_some() {
            self.ensure_entry(id);
        }
        let endpoint = self.endpoints.get_mut(id);
        endpoint.is_some_and(|endpoint| endpoint.merge_report(report, made_after, now))
    }

    fn limited(&self, id: &K) -> Option<&RateLimitedEndpoint> {
        self.endpoints.get(id).filter(|endpoint| endpoint.limit().is_some())
    }

    fn limited_mut(&mut self, id: &K) -> Option<&mut RateLimitedEndpoint> {
        self.endpoints.get_mut(id).filter(|endpoint| endpoint.limit().is_some())
    }

    /// Returns whether a request may be sent now: `None` if the endpoint has no rate limit, `Ok` if
    /// a permit is available, else about when one will be.
    pub fn permit_wait(&self, id: &K, now: Millis) -> Option<Result<(), Millis>> {
        let endpoint = self.limited(id)?;
        let rate = endpoint.rate();
        match endpoint.permits.has_permit(rate, now) {
            true => Some(Ok(())),
            false => Some(Err(endpoint.permits.next_permit_at(rate, now))),
        }
    }

    /// Returns whether a permit for an endpoint may arrive at any moment.
    pub fn may_get_permit(&self, id: &K) -> bool {
        self.limited(id).is_some_and(|endpoint| endpoint.permits.may_arrive())
    }

    /// Uses a permit for one request; also returns `true` if the endpoint has no rate limit.
    pub fn take_permit(&mut self, id: &K, now: Millis) -> bool {
        let Some(endpoint) = self.limited_mut(id) else { return true };
        let rate = endpoint.rate();
        endpoint.permits.take(rate, now)
    }

    /// Returns the last permit used, as its request was not sent.
    pub fn return_permit(&mut self, id: &K) {
        if let Some(endpoint) = self.limited_mut(id) {
            endpoint.permits.return_permit();
        }
    }

    /// Records that a request could have used a permit.
    pub fn request_permit(&mut self, id: &K, now: Millis) {
        if let Some(endpoint) = self.limited_mut(id) {
            endpoint.permits.record_demand(now);
        }
    }

    /// Handles a message from another node; resulting messages are returned by the next step.
    pub fn handle_message(
        &mut self,
        from: SocketAddr,
        id: &K,
        message: RateLimitMessage,
        now: Millis,
    ) {
        if let RateLimitMessage::Report(report)
        | RateLimitMessage::Ask { report, .. }
        | RateLimitMessage::Give { report, .. } = message
        {
            self.merge_report(id, report, now - report.age, now);
        }
        let Some(endpoint) = self.endpoints.get_mut(id) else { return };
        let report = endpoint.report(now);
        if endpoint.limit().is_none() {
            // The sender may not know that the limit is lifted.
            if let RateLimitMessage::Ask { .. } = message {
                self.replies.push((
                    RateLimitRecipient::Node(from),
                    id.clone(),
                    RateLimitMessage::Report(report),
                ));
            }
            return;
        }
        match message {
            RateLimitMessage::Report(_) => {}
            RateLimitMessage::Ask { .. } | RateLimitMessage::Return { .. }
                if endpoint.owner.is_none() =>
            {
                if endpoint.early_messages.len() < MAX_EARLY_MESSAGES {
                    endpoint.early_messages.push((from, message));
                }
            }
            RateLimitMessage::Ask { .. } | RateLimitMessage::Return { .. } => {
                let answer = endpoint.handle_at_ledger(Some(from), message, now);
                let reply = |message| (RateLimitRecipient::Node(from), id.clone(), message);
                self.replies.extend(answer.map(reply));
            }
            RateLimitMessage::Give { .. } => {
                if endpoint.owner.is_some_and(|owner| owner.address == Some(from)) {
                    endpoint.permits.handle_grant(message, now);
                }
            }
        }
    }

    /// Reassigns the owners of all rate limits, after nodes have joined or left.
    pub fn reassign_owners(&mut self, now: Millis, owner_of: impl Fn(&K) -> RateLimitOwner) {
        for (id, endpoint) in &mut self.endpoints {
            if endpoint.limit().is_some() {
                endpoint.set_owner(owner_of(id), self.burst, now);
            }
        }
    }

    /// Requests, grants and returns the permits that are due.
    pub fn step(
        &mut self,
        now: Millis,
        owner_of: impl Fn(&K) -> RateLimitOwner,
    ) -> RateLimitStep<K> {
        let announced = std::mem::take(&mut self.to_announce).into_iter();
        let announced = announced
            .map(|(id, report)| (RateLimitRecipient::All, id, RateLimitMessage::Report(report)));
        let mut has_permits = false;
        let mut messages: Vec<_> = announced.chain(std::mem::take(&mut self.replies)).collect();
        self.endpoints.retain(|_, endpoint| {
            endpoint.cold = endpoint.cold.filter(|cold| now < cold.until);
            !endpoint.is_expired(now)
        });
        for (id, endpoint) in &mut self.endpoints {
            if endpoint.limit().is_none() {
                endpoint.clear_rate_limit();
                continue;
            }
            if endpoint.owner.is_none() {
                endpoint.set_owner(owner_of(id), self.burst, now);
            }
            if self.burst.is_none() {
                let cold = endpoint.take_cold_announcement(now);
                messages.extend(cold.map(|cold| (RateLimitRecipient::All, id.clone(), cold)));
            }
            let sent = endpoint.step(&mut self.last_request_number, now);
            messages.extend(
                sent.into_iter()
                    .map(|(to, message)| (RateLimitRecipient::Node(to), id.clone(), message)),
            );
            has_permits |= endpoint.permits.take_new_answer();
        }
        RateLimitStep { messages, has_permits }
    }
}
