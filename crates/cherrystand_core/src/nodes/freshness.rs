//! Whether a node's configuration is recent enough to serve by.
//!
//! An accepted change has to be in force everywhere within seconds, yet an outage of the platform
//! alone must not stop anything. Both hold because a change is reported to the operator as accepted
//! only once a majority of the daemons holds it, and because a daemon that has no contact with the
//! platform serves only while a majority has recently held the same configuration as itself. Any
//! two majorities share a daemon, which stops counting for the old configuration when it takes the
//! new one.
//!
//! Source: docs/design/0006-configuration-and-membership.md.

use std::collections::{BTreeMap, BTreeSet};

use crate::{Millis, NodeId};

/// How old the last contact with the platform, or with a majority, may be while a node serves.
pub const FRESH_FOR: Millis = Millis(8_000);

/// Tracks when a node last had contact with the platform and with its peers.
#[derive(Clone, Debug)]
pub struct Freshness {
    own: NodeId,
    started: Millis,
    last_platform_read: Option<Millis>,
    agreed_at: BTreeMap<NodeId, Millis>,
    expected: BTreeSet<NodeId>,
}

/// Says what allows a node to serve, or why it may not.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ServeBy {
    /// The platform's records were read recently, by this node or by a peer that reported it.
    Platform,
    /// The platform is unreachable, but a majority of the daemons holds the same configuration.
    Majority,
    /// The node has had no contact with the platform or a majority yet.
    NotYet,
    /// The node is cut off, and a change may have been accepted without it.
    CutOff,
}

impl ServeBy {
    /// Returns whether the node may take requests.
    pub fn may_serve(self) -> bool {
        matches!(self, Self::Platform | Self::Majority)
    }
}

impl Freshness {
    /// Creates the state of a node that starts now and expects no other daemon yet.
    pub fn new(own: NodeId, now: Millis) -> Self {
        Self {
            expected: BTreeSet::from([own.clone()]),
            own,
            started: now,
            last_platform_read: None,
            agreed_at: BTreeMap::new(),
        }
    }

    /// Sets which daemons there should be, as the platform lists them.
    pub fn set_expected(&mut self, nodes: impl IntoIterator<Item = NodeId>) {
        self.expected = nodes.into_iter().collect();
    }

    /// Records that the platform's records were read, by this node or another, `age` ago.
    pub fn record_platform_read(&mut self, now: Millis, age: Millis) {
        let at = now - age;
        if self.last_platform_read.is_none_or(|known| known < at) {
            self.last_platform_read = Some(at);
        }
    }

    /// Returns the time since the platform's records were last read, by this node or by a peer that
    /// reported it.
    pub fn platform_age(&self, now: Millis) -> Option<Millis> {
        self.last_platform_read.map(|at| now.since(at))
    }

    /// Records that a peer held the same configurations as this node at a given time.
    pub fn record_agreement(&mut self, peer: &NodeId, at: Millis) {
        match self.agreed_at.get_mut(peer) {
            Some(known) => *known = at.max(*known),
            None => {
                self.agreed_at.insert(peer.clone(), at);
            }
        }
    }

    /// Returns whether the given daemons are a majority of those expected.
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
        if self.last_platform_read.is_some() && self.has_majority(now) {
            return ServeBy::Majority;
        }
        if self.last_platform_read.is_none() && now.since(self.started) <= FRESH_FOR {
            return ServeBy::NotYet;
        }
        ServeBy::CutOff
    }

    /// Returns whether this node may try to get a change accepted.
    pub fn may_accept(&self, now: Millis) -> bool {
        self.has_majority(now)
    }

    /// Returns how many of the expected daemons recently held the same configurations as this one,
    /// including this one, and how many are expected.
    pub fn reachable_daemons(&self, now: Millis) -> (usize, usize) {
        let fresh = |node: &NodeId| {
            let agreed_at = self.agreed_at.get(node);
            node == &self.own
                || agreed_at.is_some_and(|agreed_at| now.since(*agreed_at) <= FRESH_FOR)
        };
        let reachable = self.expected.iter().filter(|node| fresh(node)).count();
        (reachable, self.expected.len())
    }

    fn has_majority(&self, now: Millis) -> bool {
        let (reachable, all) = self.reachable_daemons(now);
        reachable * 2 > all
    }
}
