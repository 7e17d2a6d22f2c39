//! Waiting in a group's queue for an endpoint with capacity.

use std::rc::Rc;
use std::time::Duration;

use cherrystand_core::{GroupKey, MAX_QUEUE_WAIT, Millis, NoEndpoint, Refusal, RefusalReason};

use crate::relay::answer::{DEFAULT_RETRY_AFTER, Failure, retry_later};
use crate::relay::call::Call;
use crate::relay::core::ChosenEndpoint;
use crate::relay::relay_state::Relay;

/// Waits for an endpoint with free capacity, for as long as the queue and the deadline allow.
pub(crate) async fn wait_for_endpoint(
    relay: &Rc<Relay>,
    call: &Call,
) -> Result<ChosenEndpoint, Failure> {
    let mut queued: Option<QueuedRequest> = None;
    loop {
        let now = relay.now();
        if now >= call.deadline {
            return Err(Failure::permanent(RefusalReason::DeadlinePassed));
        }
        if let Some(queued) = &queued
            && !queued.has_time_for_answer(call.deadline)
        {
            return Err(queued.wait_too_long());
        }
        let chosen = relay.core.borrow_mut().start_attempt(call.group, call.prefix, now);
        match chosen {
            Ok(chosen) => return Ok(chosen),
            Err(NoEndpoint::NoneServing) => return Err(retry_later(RefusalReason::NoneServing)),
            Err(NoEndpoint::AllBackingOff(until)) => {
                let (reason, delay) = (RefusalReason::EndpointsRest, until.since(now));
                return Err(Failure::not_run(Refusal::with_retry_after(reason, delay)));
            }
            Err(NoEndpoint::AllFull) => {}
        }
        if queued.is_none() {
            queued = Some(QueuedRequest::join(relay, call).map_err(Failure::not_run)?);
        }
        let Some(queued) = &queued else { continue };
        if !queued.wait_for_capacity(call.deadline).await {
            return Err(queued.wait_too_long());
        }
    }
}

/// A request in a group's queue; it leaves the queue when dropped.
struct QueuedRequest {
    relay: Rc<Relay>,
    group: GroupKey,
    capacity_freed: Rc<tokio::sync::Notify>,
    queued_at: Millis,
}

impl QueuedRequest {
    fn join(relay: &Rc<Relay>, call: &Call) -> Result<Self, Refusal> {
        let now = relay.now();
        let mut core = relay.core.borrow_mut();
        let group = core
            .group_mut(call.group)
            .ok_or(Refusal::with_retry_after(RefusalReason::NoneServing, DEFAULT_RETRY_AFTER))?;
        group.queue.join(call.deadline.since(now), group.typical_latency.required_time())?;
        let capacity_freed = group.capacity_freed.clone();
        Ok(Self { relay: relay.clone(), group: call.group, capacity_freed, queued_at: now })
    }

    /// Returns whether an answer would likely begin before the deadline if it were requested now.
    fn has_time_for_answer(&self, deadline: Millis) -> bool {
        let core = self.relay.core.borrow();
        let required = core.group(self.group).map(|group| group.typical_latency.required_time());
        deadline.since(self.relay.now()) >= required.unwrap_or_default()
    }

    /// Waits until capacity may be free; returns `false` if the time for waiting ran out first.
    async fn wait_for_capacity(&self, deadline: Millis) -> bool {
        let until = (self.queued_at + MAX_QUEUE_WAIT).min(deadline);
        let remaining = until.since(self.relay.now());
        let notified = tokio::time::timeout(
            Duration::from_millis(remaining.0),
            self.capacity_freed.notified(),
        );
        notified.await.is_ok()
    }

    fn wait_too_long(&self) -> Failure {
        let core = self.relay.core.borrow();
        let wait = core.group(self.group).map(|group| group.queue.expected_wait());
        let wait = wait.unwrap_or(DEFAULT_RETRY_AFTER);
        Failure::not_run(Refusal::with_retry_after(RefusalReason::WaitTooLong, wait))
    }
}

impl Drop for QueuedRequest {
    fn drop(&mut self) {
        let mut core = self.relay.core.borrow_mut();
        if let Some(group) = core.group_mut(self.group) {
            group.queue.leave();
        }
    }
}
