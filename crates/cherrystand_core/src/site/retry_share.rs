//! One node's share of a retry budget that all nodes have together.

use std::collections::VecDeque;

use crate::Millis;

/// The part of the budget that is handed out; the rest covers what nodes count that were lost.
const HANDED_OUT: f64 = 0.7;

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
    pub fn request(&mut self, now: Millis) {
        self.forget(now);
        self.requests.push_back(now);
    }

    /// Takes one repeat out of the share of a node among `nodes`, where it holds one.
    ///
    /// The time `now` counts from the node's start.
    pub fn spend(&mut self, now: Millis, nodes: usize) -> bool {
        let fits = self.has_left(now, nodes);
        if fits {
            self.repeats.push_back(now);
        }
        fits
    }

    /// Tells whether the share holds a repeat now, without taking it.
    pub fn has_left(&mut self, now: Millis, nodes: usize) -> bool {
        self.forget(now);
        self.most_nodes = self.most_nodes.max(nodes);
        let earned = self.bounds.ratio * self.requests.len() as f64;
        let knows_others = now >= KNOWS_OTHERS_AFTER;
        let slack = if knows_others { self.bounds.slack / self.most_nodes as f64 } else { 0.0 };
        let allowed = (earned + slack) * HANDED_OUT;
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
