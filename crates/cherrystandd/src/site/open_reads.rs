//! Reads of the store that stay open while they are late.

use std::collections::VecDeque;

use cherrystand_core::Millis;
use cherrystand_platform::PlatformError;
use tokio::task::{AbortHandle, JoinSet};

use crate::clock::Clock;

/// The most reads that one task keeps open.
const MAX_OPEN: usize = 4;

/// One read that is open.
struct OpenRead {
    task: AbortHandle,
    late_at: Millis,
}

/// The reads of one task, the oldest first, each of which applies its answer itself.
///
/// A read that is late is kept beside the next one: the store may just be slow, and then the first
/// one is answered first.
pub(crate) struct OpenReads {
    clock: Clock,
    tasks: JoinSet<Result<(), PlatformError>>,
    open: VecDeque<OpenRead>,
}

impl OpenReads {
    pub(crate) fn new(clock: Clock) -> Self {
        Self { clock, tasks: JoinSet::new(), open: VecDeque::new() }
    }

    /// Begins a read that is late after `patience`. If there are too many, the second one is dropped:
    /// the oldest may have been waited for long, and the newest know the most.
    pub(crate) fn begin(
        &mut self,
        patience: Millis,
        read: impl Future<Output = Result<(), PlatformError>> + 'static,
    ) {
        self.open.retain(|read| !read.task.is_finished());
        if self.open.len() >= MAX_OPEN
            && let Some(dropped) = self.open.remove(1)
        {
            dropped.task.abort();
        }
        let task = self.tasks.spawn_local(read);
        self.open.push_back(OpenRead { task, late_at: self.clock.now() + patience });
    }

    /// Forgets how the reads ended that nobody waits for.
    pub(crate) fn forget_ends(&mut self) {
        while self.tasks.try_join_next().is_some() {}
    }

    /// Returns whether a read is open that isn't late.
    pub(crate) fn has_punctual(&self) -> bool {
        self.open.back().is_some_and(|newest| self.clock.now() < newest.late_at)
    }

    /// Waits until a read ends, at most until all are late, and returns how it ended. Those that began
    /// before one that succeeded are dropped, as they know less.
    pub(crate) async fn next_end(&mut self) -> Option<Result<(), PlatformError>> {
        let late_at = self.open.back().map_or(self.clock.now(), |newest| newest.late_at);
        loop {
            let ended = self.clock.timeout_at(late_at, self.tasks.join_next_with_id()).await??;
            // Others were dropped.
            let Ok((id, result)) = ended else { continue };
            let index = self.open.iter().position(|read| read.task.id() == id);
            let older = index.map_or(0, |index| if result.is_ok() { index } else { 0 });
            self.open.drain(..older).for_each(|read| read.task.abort());
            self.open.retain(|read| read.task.id() != id);
            return Some(result);
        }
    }
}
