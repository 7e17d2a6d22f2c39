//! How many requests endpoints take from all nodes together, and this node's part of them.
//!
//! One node keeps the account of an endpoint and gives permits out to all, each for one request. Which one it is
//! follows from who is alive, so that no node is set aside for it and nothing is stored.
//!
//! An endpoint is limited by what it names in its answers, and while it is cold by what its service says that it
//! then bears; the strictest holds, and both are kept by one account.
//!
//! Source: docs/design/0022-limits.md, docs/design/0023-evacuated-zones-and-cold-endpoints.md.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use crate::requests::rate_limited_endpoint::RateLimitedEndpoint;
use crate::{ColdPeriod, Millis, RateLimitMessage, RateLimitReport, RequestRate};

/// A limit from which on it is none: no endpoint is sent as many requests a second by all nodes.
const UNLIMITED_FROM: f64 = 1_000.0;

/// The most endpoints that limits are kept of.
const MAX_ENDPOINTS: usize = 16_384;

/// How many questions about an endpoint are kept until it is known who keeps its account.
const MAX_EARLY_MESSAGES: usize = 64;

/// Says who keeps the account of an endpoint, as this node sees it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RateLimitOwner {
    /// Where it is reached; nothing where it is this node.
    pub address: Option<SocketAddr>,
    /// The part of the limit that the nodes which this one sees may have together: all, unless others are
    /// out of sight and may have a keeper of their own.
    pub share: f64,
}

/// Says whom news of a limit is for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RateLimitRecipient {
    /// All other nodes.
    All,
    /// One node.
    Node(SocketAddr),
}

/// What a step leads to.
#[derive(Clone, Debug)]
pub struct RateLimitStep<K> {
    /// What is to be sent, of which endpoint.
    pub messages: Vec<(RateLimitRecipient, K, RateLimitMessage)>,
    /// Whether this node has got permits, or the word that there are none for now.
    pub has_permits: bool,
}

/// What an answer says of its endpoint's limit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ObservedRateLimit {
    /// The limit; nothing where it names none.
    pub limit: Option<RequestRate>,
    /// When the request was sent that is answered.
    pub request_sent_at: Millis,
}

/// Keeps what endpoints say of how many requests they take, by the life of each, and the permits to send to them.
#[derive(Clone, Debug)]
pub struct EndpointRateLimits<K> {
    endpoints: BTreeMap<K, RateLimitedEndpoint>,
    /// What this node's own answers told that others may not know.
    to_announce: Vec<(K, RateLimitReport)>,
    /// Answers to what other nodes said.
    replies: Vec<(RateLimitRecipient, K, RateLimitMessage)>,
    /// The number of this node's last question, about whichever endpoint.
    last_request_number: u64,
    /// How many permits of each account may be given at once, and are there as it begins, where that is not the
    /// usual figure.
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
    /// Creates accounts that begin with so many permits, which may be given at once: what stands behind them is full
    /// while nobody asks.
    pub fn with_burst(permits: f64) -> Self {
        Self { burst: Some(permits), ..Self::default() }
    }

    /// Tells whether nothing is asked for or given out now.
    pub fn is_idle(&self) -> bool {
        let nothing_told = self.to_announce.is_empty() && self.replies.is_empty();
        nothing_told && self.endpoints.values().all(RateLimitedEndpoint::is_idle)
    }

    /// Numbers this node's questions from here on; those of its earlier lives have to be lower.
    pub fn set_last_request_number(&mut self, first: u64) {
        self.last_request_number = first;
    }

    /// Tells whether no endpoint names a limit.
    pub fn is_empty(&self) -> bool {
        self.endpoints.is_empty()
    }

    /// Returns how many requests an endpoint takes, where it is limited.
    pub fn limit(&self, id: &K) -> Option<RequestRate> {
        self.endpoints.get(id).and_then(RateLimitedEndpoint::limit)
    }

    /// Takes over whether an endpoint is cold, as this node is told of it by the endpoint itself.
    pub fn set_cold_period(&mut self, id: &K, cold: Option<ColdPeriod>) {
        let cold = cold.filter(|cold| cold.rate.as_f64() < UNLIMITED_FROM);
        if cold.is_some() {
            self.ensure_entry(id);
        }
        if let Some(endpoint) = self.endpoints.get_mut(id) {
            endpoint.cold = cold;
        }
    }

    /// Makes a place for an endpoint that may be limited, where there is room.
    fn ensure_entry(&mut self, id: &K) {
        if self.endpoints.len() < MAX_ENDPOINTS && !self.endpoints.contains_key(id) {
            self.endpoints.insert(id.clone(), RateLimitedEndpoint::default());
        }
    }

    /// Takes in what an answer to a request of this node names; tells whether that is new.
    pub fn record_answer(&mut self, id: &K, observed: ObservedRateLimit, now: Millis) -> bool {
        let limit = observed.limit.filter(|limit| limit.as_f64() < UNLIMITED_FROM);
        // That none is named is known as of the sending only.
        let age = if limit.is_some() { Millis(0) } else { now.since(observed.request_sent_at) };
        let word = RateLimitReport { limit, age, ..RateLimitReport::UNHEARD };
        let is_new = self.merge_report(id, word, observed.request_sent_at, now);
        if is_new {
            self.to_announce.push((id.clone(), word));
        }
        is_new
    }

    /// Takes in a word as of its age ago, in an answer made after `made_after`.
    fn merge_report(
        &mut self,
        id: &K,
        word: RateLimitReport,
        made_after: Millis,
        now: Millis,
    ) -> bool {
        if word.limit.is_some() || word.cold.is_some() {
            self.ensure_entry(id);
        }
        let endpoint = self.endpoints.get_mut(id);
        endpoint.is_some_and(|endpoint| endpoint.merge_report(word, made_after, now))
    }

    fn limited(&self, id: &K) -> Option<&RateLimitedEndpoint> {
        self.endpoints.get(id).filter(|endpoint| endpoint.limit().is_some())
    }

    fn limited_mut(&mut self, id: &K) -> Option<&mut RateLimitedEndpoint> {
        self.endpoints.get_mut(id).filter(|endpoint| endpoint.limit().is_some())
    }

    /// Tells whether a request may be sent now: nothing where the endpoint names no limit, else whether a permit
    /// is at hand, or about when one will be.
    pub fn permit_wait(&self, id: &K, now: Millis) -> Option<Result<(), Millis>> {
        let endpoint = self.limited(id)?;
        let rate = endpoint.rate();
        match endpoint.permits.has_permit(rate, now) {
            true => Some(Ok(())),
            false => Some(Err(endpoint.permits.next_permit_at(rate, now))),
        }
    }

    /// Tells whether a permit for an endpoint may come at any moment.
    pub fn may_get_permit(&self, id: &K) -> bool {
        self.limited(id).is_some_and(|endpoint| endpoint.permits.may_arrive())
    }

    /// Uses a permit for one request; true as well where the endpoint names no limit.
    pub fn take_permit(&mut self, id: &K, now: Millis) -> bool {
        let Some(endpoint) = self.limited_mut(id) else { return true };
        let rate = endpoint.rate();
        endpoint.permits.take(rate, now)
    }

    /// Takes in that the request which last used a permit was not sent.
    pub fn return_permit(&mut self, id: &K) {
        if let Some(endpoint) = self.limited_mut(id) {
            endpoint.permits.return_permit();
        }
    }

    /// Notes that a request could have used a permit.
    pub fn request_permit(&mut self, id: &K, now: Millis) {
        if let Some(endpoint) = self.limited_mut(id) {
            endpoint.permits.record_demand(now);
        }
    }

    /// Takes in what a node says; what follows comes with the next step.
    pub fn handle_message(
        &mut self,
        from: SocketAddr,
        id: &K,
        message: RateLimitMessage,
        now: Millis,
    ) {
        if let RateLimitMessage::Heard(word)
        | RateLimitMessage::Ask { word, .. }
        | RateLimitMessage::Give { word, .. } = message
        {
            self.merge_report(id, word, now - word.age, now);
        }
        let Some(endpoint) = self.endpoints.get_mut(id) else { return };
        let word = endpoint.report(now);
        if endpoint.limit().is_none() {
            // The asker may not know.
            if let RateLimitMessage::Ask { .. } = message {
                self.replies.push((
                    RateLimitRecipient::Node(from),
                    id.clone(),
                    RateLimitMessage::Heard(word),
                ));
            }
            return;
        }
        match message {
            RateLimitMessage::Heard(_) => {}
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

    /// Has the keepers of all accounts named anew, as nodes have come or gone.
    pub fn reassign_owners(&mut self, now: Millis, owner_of: impl Fn(&K) -> RateLimitOwner) {
        for (id, endpoint) in &mut self.endpoints {
            if endpoint.limit().is_some() {
                endpoint.set_owner(owner_of(id), self.burst, now);
            }
        }
    }

    /// Asks, gives and hands back what is due.
    pub fn step(
        &mut self,
        now: Millis,
        owner_of: impl Fn(&K) -> RateLimitOwner,
    ) -> RateLimitStep<K> {
        let announced = std::mem::take(&mut self.to_announce).into_iter();
        let announced = announced
            .map(|(id, word)| (RateLimitRecipient::All, id, RateLimitMessage::Heard(word)));
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
