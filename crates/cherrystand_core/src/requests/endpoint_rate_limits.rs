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
const NO_LIMIT: f64 = 1_000.0;

/// The most endpoints that limits are kept of.
const MOST_ENDPOINTS: usize = 16_384;

/// How many questions about an endpoint are kept until it is known who keeps its account.
const MOST_EARLY: usize = 64;

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
    to_tell: Vec<(K, RateLimitReport)>,
    /// Answers to what other nodes said.
    replies: Vec<(RateLimitRecipient, K, RateLimitMessage)>,
    /// The number of this node's last question, about whichever endpoint.
    last_number: u64,
    /// How many permits of each account may be given at once, and are there as it begins, where that is not the
    /// usual figure.
    at_once: Option<f64>,
}

impl<K> Default for EndpointRateLimits<K> {
    fn default() -> Self {
        Self {
            endpoints: BTreeMap::new(),
            to_tell: Vec::new(),
            replies: Vec::new(),
            last_number: 0,
            at_once: None,
        }
    }
}

impl<K: Ord + Clone> EndpointRateLimits<K> {
    /// Creates accounts that begin with so many permits, which may be given at once: what stands behind them is full
    /// while nobody asks.
    pub fn with_burst(permits: f64) -> Self {
        Self { at_once: Some(permits), ..Self::default() }
    }

    /// Tells whether nothing is asked for or given out now.
    pub fn is_idle(&self) -> bool {
        let nothing_told = self.to_tell.is_empty() && self.replies.is_empty();
        nothing_told && self.endpoints.values().all(RateLimitedEndpoint::is_idle)
    }

    /// Numbers this node's questions from here on; those of its earlier lives have to be lower.
    pub fn set_last_request_number(&mut self, first: u64) {
        self.last_number = first;
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
        let cold = cold.filter(|cold| cold.rate.as_f64() < NO_LIMIT);
        if cold.is_some() {
            self.ensure_entry(id);
        }
        if let Some(held) = self.endpoints.get_mut(id) {
            held.cold = cold;
        }
    }

    /// Makes a place for an endpoint that may be limited, where there is room.
    fn ensure_entry(&mut self, id: &K) {
        if self.endpoints.len() < MOST_ENDPOINTS && !self.endpoints.contains_key(id) {
            self.endpoints.insert(id.clone(), RateLimitedEndpoint::default());
        }
    }

    /// Takes in what an answer to a request of this node names; tells whether that is new.
    pub fn record_answer(&mut self, id: &K, heard: ObservedRateLimit, now: Millis) -> bool {
        let limit = heard.limit.filter(|limit| limit.as_f64() < NO_LIMIT);
        // That none is named is known as of the sending only.
        let age = if limit.is_some() { Millis(0) } else { now.since(heard.request_sent_at) };
        let word = RateLimitReport { limit, age, ..RateLimitReport::UNHEARD };
        let is_new = self.merge_report(id, word, heard.request_sent_at, now);
        if is_new {
            self.to_tell.push((id.clone(), word));
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
        let held = self.endpoints.get_mut(id);
        held.is_some_and(|held| held.merge_report(word, made_after, now))
    }

    fn limited(&self, id: &K) -> Option<&RateLimitedEndpoint> {
        self.endpoints.get(id).filter(|held| held.limit().is_some())
    }

    fn limited_mut(&mut self, id: &K) -> Option<&mut RateLimitedEndpoint> {
        self.endpoints.get_mut(id).filter(|held| held.limit().is_some())
    }

    /// Tells whether a request may be sent now: nothing where the endpoint names no limit, else whether a permit
    /// is at hand, or about when one will be.
    pub fn permit_wait(&self, id: &K, now: Millis) -> Option<Result<(), Millis>> {
        let held = self.limited(id)?;
        let rate = held.rate();
        match held.permits.has_permit(rate, now) {
            true => Some(Ok(())),
            false => Some(Err(held.permits.next_permit_at(rate, now))),
        }
    }

    /// Tells whether a permit for an endpoint may come at any moment.
    pub fn may_get_permit(&self, id: &K) -> bool {
        self.limited(id).is_some_and(|held| held.permits.may_arrive())
    }

    /// Uses a permit for one request; true as well where the endpoint names no limit.
    pub fn take_permit(&mut self, id: &K, now: Millis) -> bool {
        let Some(held) = self.limited_mut(id) else { return true };
        let rate = held.rate();
        held.permits.take(rate, now)
    }

    /// Takes in that the request which last used a permit was not sent.
    pub fn return_permit(&mut self, id: &K) {
        if let Some(held) = self.limited_mut(id) {
            held.permits.return_permit();
        }
    }

    /// Notes that a request could have used a permit.
    pub fn request_permit(&mut self, id: &K, now: Millis) {
        if let Some(held) = self.limited_mut(id) {
            held.permits.record_demand(now);
        }
    }

    /// Takes in what a node says; what follows comes with the next step.
    pub fn handle_message(
        &mut self,
        from: SocketAddr,
        id: &K,
        news: RateLimitMessage,
        now: Millis,
    ) {
        if let RateLimitMessage::Heard(word)
        | RateLimitMessage::Ask { word, .. }
        | RateLimitMessage::Give { word, .. } = news
        {
            self.merge_report(id, word, now - word.age, now);
        }
        let Some(held) = self.endpoints.get_mut(id) else { return };
        let word = held.report(now);
        if held.limit().is_none() {
            // The asker may not know.
            if let RateLimitMessage::Ask { .. } = news {
                self.replies.push((
                    RateLimitRecipient::Node(from),
                    id.clone(),
                    RateLimitMessage::Heard(word),
                ));
            }
            return;
        }
        match news {
            RateLimitMessage::Heard(_) => {}
            RateLimitMessage::Ask { .. } | RateLimitMessage::Return { .. }
                if held.keeper.is_none() =>
            {
                if held.early.len() < MOST_EARLY {
                    held.early.push((from, news));
                }
            }
            RateLimitMessage::Ask { .. } | RateLimitMessage::Return { .. } => {
                let answer = held.handle_at_ledger(Some(from), news, now);
                let reply = |news| (RateLimitRecipient::Node(from), id.clone(), news);
                self.replies.extend(answer.map(reply));
            }
            RateLimitMessage::Give { .. } => {
                if held.keeper.is_some_and(|keeper| keeper.address == Some(from)) {
                    held.permits.handle_grant(news, now);
                }
            }
        }
    }

    /// Has the keepers of all accounts named anew, as nodes have come or gone.
    pub fn reassign_owners(&mut self, now: Millis, keeper_of: impl Fn(&K) -> RateLimitOwner) {
        for (id, held) in &mut self.endpoints {
            if held.limit().is_some() {
                held.set_owner(keeper_of(id), self.at_once, now);
            }
        }
    }

    /// Asks, gives and hands back what is due.
    pub fn step(
        &mut self,
        now: Millis,
        keeper_of: impl Fn(&K) -> RateLimitOwner,
    ) -> RateLimitStep<K> {
        let told = std::mem::take(&mut self.to_tell).into_iter();
        let told =
            told.map(|(id, word)| (RateLimitRecipient::All, id, RateLimitMessage::Heard(word)));
        let mut has_permits = false;
        let mut news: Vec<_> = told.chain(std::mem::take(&mut self.replies)).collect();
        self.endpoints.retain(|_, held| {
            held.cold = held.cold.filter(|cold| now < cold.until);
            !held.is_expired(now)
        });
        for (id, held) in &mut self.endpoints {
            if held.limit().is_none() {
                held.clear_rate_limit();
                continue;
            }
            if held.keeper.is_none() {
                held.set_owner(keeper_of(id), self.at_once, now);
            }
            if self.at_once.is_none() {
                let cold = held.take_cold_announcement(now);
                news.extend(cold.map(|cold| (RateLimitRecipient::All, id.clone(), cold)));
            }
            let sent = held.step(&mut self.last_number, now);
            news.extend(
                sent.into_iter().map(|(to, news)| (RateLimitRecipient::Node(to), id.clone(), news)),
            );
            has_permits |= held.permits.take_has_news();
        }
        RateLimitStep { messages: news, has_permits }
    }
}
