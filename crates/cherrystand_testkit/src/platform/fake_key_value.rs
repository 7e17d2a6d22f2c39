//! An in-memory key-value service with injected faults.

use std::cell::RefCell;
use std::collections::VecDeque;
use std::rc::Rc;
use std::time::Duration;

use cherrystand_core::{Document, Revision};
use cherrystand_platform::{CallError, Changes, KeyValue, Lease, PlatformError, Swap};

use crate::Store;

/// The fault that is injected into one call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallFault {
    /// The call succeeds.
    None,
    /// The call is lost before it reaches the service.
    Lost,
    /// The call takes effect, and its answer is lost.
    AnswerLost,
    /// The answer is lost, and the call takes effect only after `DELAY_CALLS` later calls.
    TakesEffectLater,
    /// The service refuses the call because of its rate limit.
    RateLimited,
}

/// The number of later calls after which a delayed write takes effect.
const DELAY_CALLS: u32 = 2;

struct DelayedWrite {
    after_calls: u32,
    key: String,
    expected: Revision,
    body: String,
}

#[derive(Default)]
struct State {
    store: Store,
    faults: VecDeque<CallFault>,
    delayed: Vec<DelayedWrite>,
    calls: u64,
}

/// A key-value service that can be shared by several writers on one thread.
#[derive(Clone, Default)]
pub struct FakeKeyValue {
    state: Rc<RefCell<State>>,
}

impl FakeKeyValue {
    /// Creates a service that injects `faults` into its first calls, one each; later calls succeed.
    pub fn with_faults(faults: impl IntoIterator<Item = CallFault>) -> Self {
        let fake = Self::default();
        fake.state.borrow_mut().faults = faults.into_iter().collect();
        fake
    }

    /// Returns the value of a key without a call, so no fault applies.
    pub fn peek(&self, key: &str) -> Option<String> {
        self.state.borrow().store.get(key).map(|record| record.value)
    }

    /// Returns how many calls were made.
    pub fn calls(&self) -> u64 {
        self.state.borrow().calls
    }

    /// Yields to the other writers, then starts a call and returns the fault that applies to it.
    async fn begin_call(&self) -> Result<CallFault, PlatformError> {
        tokio::task::yield_now().await;
        let mut state = self.state.borrow_mut();
        state.calls += 1;
        let fault = state.faults.pop_front().unwrap_or(CallFault::None);
        apply_due_writes(&mut state);
        match fault {
            CallFault::Lost => Err(no_answer()),
            CallFault::RateLimited => Err(PlatformError::RateLimited),
            other => Ok(other),
        }
    }
}

fn apply_due_writes(state: &mut State) {
    for delayed in &mut state.delayed {
        delayed.after_calls = delayed.after_calls.saturating_sub(1);
    }
    let (due, waiting): (Vec<DelayedWrite>, Vec<DelayedWrite>) =
        state.delayed.drain(..).partition(|delayed| delayed.after_calls == 0);
    state.delayed = waiting;
    for delayed in due {
        state.store.swap(&delayed.key, delayed.expected.number(), delayed.body);
    }
}

fn no_answer() -> PlatformError {
    PlatformError::NoAnswer(CallError::TimedOut(Duration::from_secs(1)))
}

impl KeyValue for FakeKeyValue {
    async fn get(&self, key: &str) -> Result<Option<Document>, PlatformError> {
        match self.begin_call().await? {
            CallFault::None => Ok(self.state.borrow().store.get(key).map(Document::from)),
            _ => Err(no_answer()),
        }
    }

    async fn list(&self, prefix: &str) -> Result<Changes, PlatformError> {
        self.watch(prefix, Revision::NONE, Duration::ZERO).await
    }

    async fn watch(
        &self,
        prefix: &str,
        after: Revision,
        _wait: Duration,
    ) -> Result<Changes, PlatformError> {
        self.begin_call().await?;
        let state = self.state.borrow();
        let records =
            state.store.changed_since(prefix, after.number()).into_iter().map(Document::from);
        Ok(Changes {
            revision: state.store.revision(),
            records: records.collect(),
            removed: Vec::new(),
        })
    }

    async fn swap(&self, key: &str, expected: Revision, body: &str) -> Result<Swap, PlatformError> {
        let fault = self.begin_call().await?;
        let mut state = self.state.borrow_mut();
        if fault == CallFault::TakesEffectLater {
            state.delayed.push(DelayedWrite {
                after_calls: DELAY_CALLS,
                key: key.to_owned(),
                expected,
                body: body.to_owned(),
            });
            return Err(no_answer());
        }
        let outcome = state.store.swap(key, expected.number(), body.to_owned());
        match fault {
            CallFault::AnswerLost => Err(no_answer()),
            _ => Ok(outcome),
        }
    }

    fn close_idle_connections(&self) {}

    async fn lease(&self, name: &str, holder: &str, ttl: Duration) -> Result<Lease, PlatformError> {
        self.begin_call().await?;
        let held = self.state.borrow_mut().store.acquire_lease(name, holder, ttl);
        Ok(if held { Lease::Held } else { Lease::HeldByOther })
    }
}
