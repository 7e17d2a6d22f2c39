//! The age of a daemon's copy of the store's records, as the request path reads it.

use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Mutex, PoisonError};

use cherrystand_core::Millis;

use crate::site::ChangeSource;

/// From this age on, what a daemon knows of the store counts as old in the log.
pub(crate) const OLD_KNOWLEDGE: Millis = Millis(1_000);

/// Tracks up to which time a daemon's copy of the store's records is complete, and which source the last
/// update came from.
///
/// It is updated on every answer, even one without changes, so that the age grows as soon as answers
/// stop. A [`SiteView`](cherrystand_core::SiteView) cannot hold it, because views are published only when
/// something changed.
#[derive(Debug, Default)]
pub(crate) struct StoreFreshness {
    /// The time up to which the copy is complete, in milliseconds on the daemon's clock; 0 before the
    /// first update.
    as_of: AtomicU64,
    /// How long the store takes to answer, in milliseconds, as the source of the last update says.
    answer_time: AtomicU64,
    source: Mutex<ChangeSource>,
}

impl StoreFreshness {
    /// Records that the copy is complete up to a time, and which source the update came from.
    ///
    /// An update that is no newer than the copy is ignored.
    pub(crate) fn record_update(&self, as_of: Millis, source: &ChangeSource) {
        if self.as_of.fetch_max(as_of.0, Ordering::Relaxed) >= as_of.0 {
            return;
        }
        // Each change is a single assignment, so a thread that panicked left no partial state.
        let mut held = self.source.lock().unwrap_or_else(PoisonError::into_inner);
        if *held != *source {
            *held = source.clone();
        }
    }

    /// Records how long the store takes to answer.
    pub(crate) fn record_answer_time(&self, answer_time: Millis) {
        self.answer_time.store(answer_time.0, Ordering::Relaxed);
    }

    /// Returns how long the store takes to answer.
    pub(crate) fn answer_time(&self) -> Millis {
        Millis(self.answer_time.load(Ordering::Relaxed))
    }

    /// Returns for how long the copy may have been out of date.
    pub(crate) fn age(&self, now: Millis) -> Millis {
        now.since(Millis(self.as_of.load(Ordering::Relaxed)))
    }

    /// Returns the source of the last update.
    pub(crate) fn source(&self) -> ChangeSource {
        self.source.lock().unwrap_or_else(PoisonError::into_inner).clone()
    }
}
