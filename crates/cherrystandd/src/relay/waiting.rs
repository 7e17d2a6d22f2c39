//! Waiting for an endpoint with room.

use std::rc::Rc;
use std::time::Duration;

use cherrystand_core::{GroupKey, MAX_QUEUE_WAIT, Millis, NoEndpoint, Refusal, RefusalReason};

use crate::relay::answer::{COME_BACK, Failure, come_back};
use crate::relay::call::Call;
use crate::relay::core::Chosen;
use crate::relay::relay_state::Relay;

/// Waits for an endpoint with room, within what the queue allows.
pub(crate) async fn next_endpoint(relay: &Rc<Relay>, call: &Call) -> Result<Chosen, Failure> {
    let mut waiting: Option<Waiting> = None;
    loop {
        let now = relay.now();
        if now >= call.deadline {
            return Err(Failure::never(RefusalReason::DeadlinePassed));
        }
        if let Some(waiting) = &waiting
            && !waiting.has_time_for_answer(call.deadline)
        {
            return Err(waiting.too_long());
        }
        let chosen = relay.core.borrow_mut().start(call.group, call.prefix, now);
        match chosen {
            Ok(chosen) => return Ok(chosen),
            Err(NoEndpoint::NoneServing) => return Err(come_back(RefusalReason::NoneServing)),
            Err(NoEndpoint::AllBackingOff(until)) => {
                let (reason, after) = (RefusalReason::EndpointsRest, until.since(now));
                return Err(Failure::not_run(Refusal::with_retry_after(reason, after)));
            }
            Err(NoEndpoint::AllFull) => {}
        }
        if waiting.is_none() {
            waiting = Some(Waiting::join(relay, call).map_err(Failure::not_run)?);
        }
        let Some(waiting) = &waiting else { continue };
        if !waiting.for_room(call.deadline).await {
            return Err(waiting.too_long());
        }
    }
}

/// A place in a group's queue, given up when it is dropped.
struct Waiting {
    relay: Rc<Relay>,
    group: GroupKey,
    room: Rc<tokio::sync::Notify>,
    since: Millis,
}

impl Waiting {
    fn join(relay: &Rc<Relay>, call: &Call) -> Result<Self, Refusal> {
        let now = relay.now();
        let mut core = relay.core.borrow_mut();
        let group = core
            .group_mut(call.group)
            .ok_or(Refusal::with_retry_after(RefusalReason::NoneServing, COME_BACK))?;
        group.queue.join(call.deadline.since(now), group.usual.required_time())?;
        let room = group.room.clone();
        Ok(Self { relay: relay.clone(), group: call.group, room, since: now })
    }

    /// Tells whether an answer that begins now would likely come in time.
    fn has_time_for_answer(&self, deadline: Millis) -> bool {
        let core = self.relay.core.borrow();
        let needed = core.group(self.group).map(|group| group.usual.required_time());
        deadline.since(self.relay.now()) >= needed.unwrap_or_default()
    }

    /// Waits until there may be room, and tells whether there is still time.
    async fn for_room(&self, deadline: Millis) -> bool {
        let until = (self.since + MAX_QUEUE_WAIT).min(deadline);
        let left = until.since(self.relay.now());
        let woken = tokio::time::timeout(Duration::from_millis(left.0), self.room.notified());
        woken.await.is_ok()
    }

    fn too_long(&self) -> Failure {
        let core = self.relay.core.borrow();
        let wait = core.group(self.group).map(|group| group.queue.expected_wait());
        let wait = wait.unwrap_or(COME_BACK);
        Failure::not_run(Refusal::with_retry_after(RefusalReason::WaitTooLong, wait))
    }
}

impl Drop for Waiting {
    fn drop(&mut self) {
        let mut core = self.relay.core.borrow_mut();
        if let Some(group) = core.group_mut(self.group) {
            group.queue.leave();
        }
    }
}
