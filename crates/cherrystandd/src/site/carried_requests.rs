//! The requests that this daemon carries for peers now.

use std::sync::Arc;

use cherrystand_platform::BufferBudget;
use tokio::sync::watch;

/// How many requests of peers are carried at once: each takes two connections, and those of the own
/// callers come first.
const MAX_CARRIED: usize = 512;

/// How many requests are carried now, shared by the threads of a daemon.
#[derive(Clone, Debug, Default)]
pub(crate) struct CarriedCount(Arc<watch::Sender<usize>>);

impl CarriedCount {
    /// Waits until no request is carried.
    pub(crate) async fn none_left(&self) {
        let mut count = self.0.subscribe();
        // Cannot fail: this count holds the sender.
        let _ = count.wait_for(|count| *count == 0).await;
    }
}

/// The requests that are carried now, and the memory for their bodies.
pub(crate) struct CarriedRequests {
    count: CarriedCount,
    budget: BufferBudget,
}

/// One request that is carried until this is dropped.
pub(crate) struct CarrySlot(CarriedCount);

impl CarriedRequests {
    pub(crate) fn new(count: CarriedCount, budget: BufferBudget) -> Self {
        Self { count, budget }
    }

    /// Counts one more request until the slot is dropped, if there is room for it.
    pub(super) fn admit(&self) -> Option<CarrySlot> {
        let mut is_admitted = false;
        self.count.0.send_modify(|count| {
            is_admitted = *count < MAX_CARRIED;
            *count += usize::from(is_admitted);
        });
        is_admitted.then(|| CarrySlot(self.count.clone()))
    }

    /// Returns the memory for the bodies of these requests.
    pub(super) fn budget(&self) -> &BufferBudget {
        &self.budget
    }
}

impl Drop for CarrySlot {
    fn drop(&mut self) {
        self.0.0.send_modify(|count| *count -= 1);
    }
}
