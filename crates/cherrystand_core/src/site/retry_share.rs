//! One node's share of a retry budget that all nodes have together.
//!
//! Source: docs/design/0024-the-whole-fleet.md.

use std::collections::VecDeque;

use crate::{ColdLife, Millis, RequestRate};

/// The part of the budget that is handed out; the rest covers what nodes count that were lost.
const HANDED_OUT: f64 = 0.7;

/// An even share of the slack that holds fewer repeats than this is of no use to a node whose requests fail
/// together: the larger part of it is lent to those that ask instead.
const LEAST_SHARE: f64 = 4.0;

/// The part of the slack that is handed out evenly nevertheless.
const EVEN_PART: f64 = 0.5;

/// The part of the slack that may be lent at once, and as much again in one window.
///
/// One who comes to lend does not know what was lent before; so up to three may follow each other in a window
/// within what is handed out.
const LENT_PART: f64 = 0.05;

/// The slack is divided among at least this many, so that a node more or less does not matter.
const LEAST_NODES: usize = 10;

/// A node that started more recently than this has no part of the slack, since it does not know
/// all others yet.
const KNOWS_OTHERS_AFTER: Millis = Millis(1_200);

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
        self.slack * HANDED_OUT / (nodes.max(LEAST_NODES) as f64) < LEAST_SHARE
    }

    /// Returns how many repeats may be lent at once.
    pub fn max_loan(&self) -> f64 {
        self.slack * LENT_PART
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
    repeats: VecDeque<Millis>,
    /// The most nodes that were known at a time; those that are out of reach may repeat as well.
    most_nodes: usize,
}

impl RetryShare {
    /// Creates an unused share.
    pub fn new(bounds: RetryBounds) -> Self {
        Self {
            bounds,
            requests: VecDeque::new(),
            repeats: VecDeque::new(),
            most_nodes: LEAST_NODES,
        }
    }

    /// Counts a request that this node took.
    pub fn record_request(&mut self, now: Millis) {
        self.forget(now);
        self.requests.push_back(now);
    }

    /// Takes one repeat out of the share of a node among `nodes`, where it holds one.
    ///
    /// The time `now` counts from the node's start.
    pub fn try_spend(&mut self, now: Millis, nodes: usize) -> bool {
        let fits = self.has_budget(now, nodes);
        if fits {
            self.repeats.push_back(now);
        }
        fits
    }

    /// Tells whether the share holds a repeat now, without taking it.
    pub fn has_budget(&mut self, now: Millis, nodes: usize) -> bool {
        self.forget(now);
        self.most_nodes = self.most_nodes.max(nodes);
        let earned = self.bounds.ratio * self.requests.len() as f64;
        let knows_others = now >= KNOWS_OTHERS_AFTER;
        let even = self.bounds.slack / self.most_nodes as f64;
        let slack = match self.bounds.is_lending(self.most_nodes) {
            _ if !knows_others => 0.0,
            true => even * EVEN_PART,
            false => even * HANDED_OUT,
        };
        let allowed = earned * HANDED_OUT + slack;
        (self.repeats.len() + 1) as f64 <= allowed
    }

    fn forget(&mut self, now: Millis) {
        let old = |at: &Millis| now.since(*at) > self.bounds.window;
        while self.requests.front().is_some_and(old) {
            self.requests.pop_front();
        }
        while self.repeats.front().is_some_and(old) {
            self.repeats.pop_front();
        }
    }
}
