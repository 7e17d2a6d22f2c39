//! The time for which the event loop of a thread waits for events.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use cherrystand_core::IdleTime;
use cherrystand_platform::since_boot;
use tokio::runtime::Builder;

#[derive(Debug, Default)]
struct Waits {
    began: Option<Duration>,
    idle: IdleTime,
}

/// Measures how long one event loop waits for events.
#[derive(Clone, Debug, Default)]
pub(crate) struct LoopIdleTime(Arc<Mutex<Waits>>);

impl LoopIdleTime {
    /// Measures the loop of the runtime that is being built.
    pub(crate) fn observe(&self, runtime: &mut Builder) {
        let (began, ended) = (self.clone(), self.clone());
        runtime.on_thread_park(move || began.begin());
        runtime.on_thread_unpark(move || ended.end());
    }

    /// Returns how long the loop has waited so far.
    pub(crate) fn total(&self) -> Duration {
        self.lock().idle.total()
    }

    fn begin(&self) {
        self.lock().began = Some(since_boot());
    }

    fn end(&self) {
        let now = since_boot();
        let mut waits = self.lock();
        if let Some(began) = waits.began.take() {
            waits.idle.record(now, now.saturating_sub(began));
        }
    }

    fn lock(&self) -> MutexGuard<'_, Waits> {
        // No change of it panics half-way.
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
