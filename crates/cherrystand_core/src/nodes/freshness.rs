//! Whether a node's configuration is new enough to serve by.
//!
//! An accepted change has to be in force everywhere within seconds, yet an outage of the platform
//! alone must stop nothing. Both hold because an operator is told that a change is accepted only
//! once a majority of the daemons holds it, and a daemon out of touch with the platform serves
//! only while a majority has lately held just what it holds: two majorities share a daemon, which
//! stops counting for the old configuration when it takes the new one.
//!
//! Source: docs/design/0006-configuration-and-membership.md.

use std::collections::{BTreeMap, BTreeSet};

use crate::{Millis, NodeId};

/// How old the news from the platform, or from a majority, may be while a node serves.
pub const FRESH_FOR: Millis = Millis(8_000);

/// Tracks how lately a node heard from the platform and from its peers.
#[derive(Clone, Debug)]
pub struct Freshness {
    own: NodeId,
    started: Millis,
    last_platform_read: Option<Millis>,
    agreed_at: BTreeMap<NodeId, Millis>,
    expected: BTreeSet<NodeId>,
}

/// Says by what right a node serves.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ServeBy {
    /// The platform's records were read lately, by this node or by one it heard from.
    Platform,
    /// The platform is out of reach, but a majority of the daemons holds the same configuration.
    Majority,
    /// The node has yet to hear from the platform or a majority for the first time.
    NotYet,
    /// The node is cut off; a change may have been accepted without it.
    CutOff,
}

impl ServeBy {
    /// Tells whether the node may take requests.
    pub fn may_serve(self) -> bool {
        matches!(self, Self::Platform | Self::Majority)
    }
}

impl Freshness {
    /// Creates the state of a node that starts now and is, for all it knows, alone.
    pub fn new(own: NodeId, now: Millis) -> Self {
        Self {
            expected: BTreeSet::from([own.clone()]),
            own,
            started: now,
            last_platform_read: None,
            agreed_at: BTreeMap::new(),
        }
    }

    /// Replaces the daemons that there should be, as the platform lists them.
    pub fn set_expected(&mut self, nodes: impl IntoIterator<Item = NodeId>) {
        self.expected = nodes.into_iter().collect();
    }

    /// Takes in that the platform's records were read, by someone, `age` ago.
    pub fn record_platform_read(&mut self, now: Millis, age: Millis) {
        let at = now - age;
        if self.last_platform_read.is_none_or(|known| known < at) {
            self.last_platform_read = Some(at);
        }
    }

    /// Returns how long ago the platform's records were last read, by anyone heard from.
    pub fn platform_age(&self, now: Millis) -> Option<Millis> {
        self.last_platform_read.map(|at| now.since(at))
    }

    /// Takes in that a peer held, at a time, the configurations that this node holds.
    pub fn record_agreement(&mut self, peer: &NodeId, at: Millis) {
        match self.agreed_at.get_mut(peer) {
            Some(known) => *known = at.max(*known),
            None => {
                self.agreed_at.insert(peer.clone(), at);
            }
        }
    }

    /// Tells whether the daemons given are a majority of those that there should be.
    pub fn is_majority<'a>(&self, nodes: impl IntoIterator<Item = &'a NodeId>) -> bool {
        let expected = nodes.into_iter().filter(|node| self.expected.contains(node)).count();
        expected * 2 > self.expected.len()
    }

    /// Decides whether the node may take requests.
    pub fn serve_by(&self, now: Millis) -> ServeBy {
        let by_platform = self.platform_age(now).is_some_and(|age| age <= FRESH_FOR);
        if by_platform {
            return ServeBy::Platform;
        }
        if self.last_platform_read.is_some() && self.hears_majority(now) {
            return ServeBy::Majority;
        }
        if self.last_platform_read.is_none() && now.since(self.started) <= FRESH_FOR {
            return ServeBy::NotYet;
        }
        ServeBy::CutOff
    }

    /// Tells whether this node may try to have a change accepted.
    pub fn may_accept(&self, now: Millis) -> bool {
        self.hears_majority(now)
    }

    /// Returns how many of the expected daemons were heard from lately, this one included, and
    /// how many there are.
    pub fn heard_of_expected(&self, now: Millis) -> (usize, usize) {
        let fresh = |node: &NodeId| {
            let heard = self.agreed_at.get(node);
            node == &self.own || heard.is_some_and(|heard| now.since(*heard) <= FRESH_FOR)
        };
        let heard = self.expected.iter().filter(|node| fresh(node)).count();
        (heard, self.expected.len())
    }

    fn hears_majority(&self, now: Millis) -> bool {
        let (heard, all) = self.heard_of_expected(now);
        heard * 2 > all
    }
}
