//! One node's share of the retry budget of all nodes.
//!
//! Source: docs/design/0024-the-whole-fleet.md.

use std::collections::VecDeque;

use crate::{ColdPeriod, Millis, RequestRate};

/// The fraction of the budget that is allocated; the rest covers what lost nodes have counted.
const ALLOCATED_FRACTION: f64 = 0.7;

/// If an even share of the slack holds fewer retries than this, it is useless to a node whose
/// requests fail together, and the larger part of the slack is lent on request instead.
const MIN_EVEN_SHARE: f64 = 4.0;

/// The fraction of the slack that is split evenly even then.
const EVEN_FRACTION: f64 = 0.5;

/// The fraction of the slack that may be lent at once, and the same again over one window.
///
/// A node that becomes the lender doesn't know what was lent before. With this value, three lenders
/// may follow each other within one window and stay within the allocated budget.
const LOAN_FRACTION: f64 = 0.05;

/// The slack is divided among at least this many nodes, so that a single node joining or leaving
/// changes little.
const MIN_NODES: usize = 10;

/// A node that started more recently has no share of the slack, since it doesn't know all others
/// yet.
const DISCOVERY_TIME: Millis = Millis(1_200);

/// The retry budget of all nodes together for one service.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct RetryBounds {
    /// Retries allowed per request.
    pub ratio: f64,
    /// Retries allowed beyond that in one window, over all nodes.
    pub slack: f64,
    /// The sliding window of both.
    pub window: Millis,
}

impl RetryBounds {
    /// Returns whether, with this many nodes, most of the slack is lent on request.
    pub fn is_lending(&self, nodes: usize) -> bool {
        self.slack * ALLOCATED_FRACTION / (nodes.max(MIN_NODES) as f64) < MIN_EVEN_SHARE
    }

    /// Returns how many retries may be lent at once.
    pub fn max_loan(&self) -> f64 {
        self.slack * LOAN_FRACTION
    }

    /// Returns the rate at which retries are lent after that, and how long a lender has to remember
    /// it.
    pub fn loan_rate(&self, now: Millis) -> ColdPeriod {
        let per_second = self.max_loan() / self.window.as_secs_f64().max(1.0);
        let rate = RequestRate::per_second(per_second).unwrap_or_default();
        ColdPeriod { rate, until: now + self.window + self.window }
    }
}

/// Counts one node's requests and retries for one service over a sliding window.
///
/// Each node earns retries by its own requests and has a share of the slack, so that the sum over
/// all nodes stays within the budget whichever nodes are lost.
#[derive(Clone, Debug)]
pub struct RetryShare {
    bounds: RetryBounds,
    requests: VecDeque<Millis>,
    retries: VecDeque<Millis>,
    /// The most nodes known at any time; nodes that are out of reach may retry as well.
    max_nodes: usize,
}

impl RetryShare {
    /// Creates an unused share.
    pub fn new(bounds: RetryBounds) -> Self {
        Self { bounds, requests: VecDeque::new(), retries: VecDeque::new(), max_nodes: MIN_NODES }
    }

    /// Counts a request that this node took.
    pub fn record_request(&mut self, now: Millis) {
        self.remove_expired(now);
        self.requests.push_back(now);
    }

    /// Takes one retry out of the share of one among `nodes` nodes, if it has any left.
    ///
    /// The time `now` counts from the node's start.
    pub fn try_spend(&mut self, now: Millis, nodes: usize) -> bool {
        let has_budget = self.has_budget(now, nodes);
        if has_budget {
            self.retries.push_back(now);
        }
        has_budget
    }

    /// Returns whether the share has a retry left, without taking it.
    pub fn has_budget(&mut self, now: Millis, nodes: usize) -> bool {
        self.remove_expired(now);
        self.max_nodes = self.max_nodes.max(nodes);
        let earned = self.bounds.ratio * self.requests.len() as f64;
        let has_discovered_peers = now >= DISCOVERY_TIME;
        let even_share = self.bounds.slack / self.max_nodes as f64;
        let slack = match self.bounds.is_lending(self.max_nodes) {
            _ if !has_discovered_peers => 0.0,
            true => even_share * EVEN_FRACTION,
            false => even_share * ALLOCATED_FRACTION,
        };
        let allowed = earned * ALLOCATED_FRACTION + slack;
        (self.retries.len() + 1) as f64 <= allowed
    }

    fn remove_expired(&mut self, now: Millis) {
        let old = |at: &Millis| now.since(*at) > self.bounds.window;
        while self.requests.front().is_some_and(old) {
            self.requests.pop_front();
        }
        while self.retries.front().is_some_and(old) {
            self.retries.pop_front();
        }
    }
}
