//! One node's share of a retry budget that all nodes have together.
//!
//! Source: docs/design/0024-the-whole-fleet.md.

use std::collections::VecDeque;

use crate::{ColdLife, Millis, RequestRate};

/// The part of the budget that is handed out; the rest covers what nodes count that were lost.
const ALLOCATED_FRACTION: f64 = 0.7;

/// An even share of the slack that holds fewer repeats than this is of no use to a node whose requests fail
/// together: the larger part of it is lent to those that ask instead.
const MIN_EVEN_SHARE: f64 = 4.0;

/// The part of the slack that is handed out evenly nevertheless.
const EVEN_FRACTION: f64 = 0.5;

/// The part of the slack that may be lent at once, and as much again in one window.
///
/// One who comes to lend does not know what was lent before; so up to three may follow each other in a window
/// within what is handed out.
const LOAN_FRACTION: f64 = 0.05;

/// The slack is divided among at least this many, so that a node more or less does not matter.
const MIN_NODES: usize = 10;

/// A node that started more recently than this has no part of the slack, since it does not know
/// all others yet.
const DISCOVERY_TIME: Millis = Millis(1_200);

/// States the budget of all nodes together for one service.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct RetryBounds {
    /// Repeats for each request.
    pub ratio: f64,
    /// Repeats beyond that in one window, over all nodes.
    pub slack: f64,
    /// The window that slides over both.
    pub window: Millis,
}

impl RetryBounds {
    /// Tells whether most of the slack is lent to those that ask, among so many nodes.
    pub fn is_lending(&self, nodes: usize) -> bool {
        self.slack * ALLOCATED_FRACTION / (nodes.max(MIN_NODES) as f64) < MIN_EVEN_SHARE
    }

    /// Returns how many repeats may be lent at once.
    pub fn max_loan(&self) -> f64 {
        self.slack * LOAN_FRACTION
    }

    /// Returns how fast repeats are lent after that, for as long as somebody who lends has to remember it.
    pub fn loan_rate(&self, now: Millis) -> ColdLife {
        let per_second = self.max_loan() / self.window.as_secs_f64().max(1.0);
        let rate = RequestRate::per_second(per_second).unwrap_or_default();
        ColdLife { rate, until: now + self.window + self.window }
    }
}

/// Counts one node's requests and repeats for one service over a sliding window.
///
/// Each node earns by the requests that it took itself and has its part of the slack, so that the
/// sum over all nodes stays within the budget whoever is lost.
#[derive(Clone, Debug)]
pub struct RetryShare {
    bounds: RetryBounds,
    requests: VecDeque<Millis>,
    retries: VecDeque<Millis>,
    /// The most nodes that were known at a time; those that are out of reach may repeat as well.
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

    /// Takes one repeat out of the share of a node among `nodes`, where it holds one.
    ///
    /// The time `now` counts from the node's start.
    pub fn try_spend(&mut self, now: Millis, nodes: usize) -> bool {
        let has_budget = self.has_budget(now, nodes);
        if has_budget {
            self.retries.push_back(now);
        }
        has_budget
    }

    /// Tells whether the share holds a repeat now, without taking it.
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
