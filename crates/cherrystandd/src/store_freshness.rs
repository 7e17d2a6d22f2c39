//! How old what a daemon knows of the store is, for the request path to see.

use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Mutex, PoisonError};

use cherrystand_core::Millis;

use crate::site::ChangeSource;

/// Holds as of when everything that the store told is known here, and from whom it came last.
///
/// It is told with each answer, also with one that says nothing new, so that the age grows as soon as none
/// comes; a view is published only where something changed.
#[derive(Debug, Default)]
pub(crate) struct StoreFreshness {
    /// In milliseconds on the daemon's clock; 0 before anything is known.
    as_of: AtomicU64,
    source: Mutex<ChangeSource>,
}

impl StoreFreshness {
    /// Notes that everything is known as of a time, and who told it.
    pub(crate) fn record_update(&self, as_of: Millis, source: &ChangeSource) {
        self.as_of.store(as_of.0, Ordering::Relaxed);
        // A source is whole before it is noted; one who panicked left nothing half done.
        let mut held = self.source.lock().unwrap_or_else(PoisonError::into_inner);
        if *held != *source {
            *held = source.clone();
        }
    }

    /// Returns how old what is known is.
    pub(crate) fn age(&self, now: Millis) -> Millis {
        now.since(Millis(self.as_of.load(Ordering::Relaxed)))
    }

    /// Returns who told it.
    pub(crate) fn source(&self) -> ChangeSource {
        self.source.lock().unwrap_or_else(PoisonError::into_inner).clone()
    }
}
