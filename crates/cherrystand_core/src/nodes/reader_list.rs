//! A note in the store of who reads it for each zone.
//!
//! After a loss of power no daemon knows any other, and all would list the store: at 295 daemons and
//! 1,107 boxes 295 lists of 0.7 MB each, 1.7 s of the store's link of 1 Gbit/s. With the note each
//! reads one small key, then asks the readers of its zone, which are starting as well and answer as
//! soon as they have read the store.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::{Heartbeat, Millis, NodeId, readers_of};

/// How long the readers of a zone have to be the same before they are noted.
const SETTLE_TIME: Millis = Millis(1_000);

/// A reader of the store and where it is asked.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ListedReader {
    /// The daemon.
    pub node: NodeId,
    /// Where it passes on what changes in the store.
    pub changes: SocketAddr,
}

/// The readers of one zone, the first one first.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReaderList {
    /// The readers.
    pub readers: Vec<ListedReader>,
}

impl ReaderList {
    /// Makes the note of a daemon's zone.
    pub fn of_zone(own: &Heartbeat, alive: &[&Heartbeat]) -> Self {
        let readers = readers_of(&own.zone, alive).into_iter();
        let listed = readers.filter_map(|beat| {
            beat.changes.map(|changes| ListedReader { node: beat.node.clone(), changes })
        });
        Self { readers: listed.collect() }
    }

    /// Returns the readers that a daemon asks: the first reader nobody, the second the first, all
    /// others both.
    pub fn readers_for(&self, own: &NodeId) -> &[ListedReader] {
        let rank = self.readers.iter().position(|reader| &reader.node == own);
        &self.readers[..rank.unwrap_or(self.readers.len())]
    }
}

/// Decides when the first reader of a zone writes the note.
#[derive(Clone, Debug, Default)]
pub struct ReaderListPublisher {
    candidate: Option<(ReaderList, Millis)>,
    published: Option<ReaderList>,
}

impl ReaderListPublisher {
    /// Returns the note to write now, where the daemon `own` is the one to write it and the readers
    /// have been others than noted for a while.
    pub fn due(&mut self, own: &NodeId, list: ReaderList, now: Millis) -> Option<ReaderList> {
        let is_first = list.readers.first().is_some_and(|first| &first.node == own);
        if !is_first {
            // Whoever writes it now, this daemon does not know what it says any more.
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

    /// Notes that the store holds a note.
    pub fn record_written(&mut self, list: ReaderList) {
        self.published = Some(list);
    }

    /// Notes that a note could not be written; it is tried again after a while.
    pub fn record_failure(&mut self, now: Millis) {
        if let Some((_, since)) = &mut self.candidate {
            *since = now;
        }
    }
}
