//! The list of a zone's readers that is published in the store.
//!
//! After a loss of power no daemon knows any other, and without the list each would list the whole
//! store: 295 daemons with 1,107 boxes would read 295 lists of 0.7 MB each, which takes 1.7 s of
//! the store's 1 Gbit/s link. Instead each daemon reads this one small key and asks the readers of
//! its zone, which are starting as well and answer as soon as they have read the store.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::{Heartbeat, Millis, NodeId, readers_of};

/// How long the readers of a zone have to be the same before they are published.
const SETTLE_TIME: Millis = Millis(1_000);

/// A reader of the store and its address.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ListedReader {
    /// The daemon.
    pub node: NodeId,
    /// The address at which it serves the store's changes.
    pub changes: SocketAddr,
}

/// The readers of one zone in rank order.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReaderList {
    /// The readers.
    pub readers: Vec<ListedReader>,
}

impl ReaderList {
    /// Creates the list of a daemon's zone.
    pub fn of_zone(own: &Heartbeat, alive: &[&Heartbeat]) -> Self {
        let readers = readers_of(&own.zone, alive).into_iter();
        let listed = readers.filter_map(|beat| {
            beat.changes.map(|changes| ListedReader { node: beat.node.clone(), changes })
        });
        Self { readers: listed.collect() }
    }

    /// Returns the readers that a daemon asks: the first reader asks nobody, the second one the
    /// first, all other daemons both.
    pub fn readers_for(&self, own: &NodeId) -> &[ListedReader] {
        let rank = self.readers.iter().position(|reader| &reader.node == own);
        &self.readers[..rank.unwrap_or(self.readers.len())]
    }
}

/// Decides when the first reader of a zone publishes the list.
#[derive(Clone, Debug, Default)]
pub struct ReaderListPublisher {
    candidate: Option<(ReaderList, Millis)>,
    published: Option<ReaderList>,
}

impl ReaderListPublisher {
    /// Returns the list to publish now, if the daemon `own` is the one to publish it and the
    /// readers have differed from the published ones for a while.
    pub fn due(&mut self, own: &NodeId, list: ReaderList, now: Millis) -> Option<ReaderList> {
        let is_first = list.readers.first().is_some_and(|first| &first.node == own);
        if !is_first {
            // Another daemon publishes the list now, so this one no longer knows its content.
            *self = Self::default();
            return None;
        }
        let since = match &self.candidate {
            Some((candidate, since)) if *candidate == list => *since,
            _ => now,
        };
        self.candidate = Some((list.clone(), since));
        let settled = now.since(since) >= SETTLE_TIME;
        (settled && self.published.as_ref() != Some(&list)).then_some(list)
    }

    /// Records that the store holds a list.
    pub fn record_written(&mut self, list: ReaderList) {
        self.published = Some(list);
    }

    /// Records that a list could not be written; it is tried again after [`SETTLE_TIME`].
    pub fn record_failure(&mut self, now: Millis) {
        if let Some((_, since)) = &mut self.candidate {
            *since = now;
        }
    }
}
