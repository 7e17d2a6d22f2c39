//! Forwarding a stream of events to its caller, across replicas if one breaks off or stalls.

use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use cherrystand_core::{AttemptEnd, Millis, StallEvidence, StreamEnd};
use cherrystand_platform::EventSender;

use crate::site::active_attempt::ActiveAttempt;
use crate::site::endpoint_call::StartedAnswer;
use crate::site::failure_log::UnfinishedStream;
use crate::site::frontend::{AttemptPurpose, Frontend, ReplicaHealth};
use crate::site::open_attempts::{CHECK_INTERVAL, OpenAttempts};
use crate::site::replica_stream::{ReplicaStream, StreamStep, resume_stream};
use crate::site::request::SiteRequest;
use crate::site::request_attempts::RequestAttempts;

/// How many endpoints are tried at most each time a stream breaks off or stalls, including those
/// that did not run the request.
const MAX_RESUME_ATTEMPTS: u32 = 3;

/// How a stream ended for its caller.
struct StreamOutcome {
    end: StreamEnd,
    /// How the last attempt ended, if that ended the stream.
    attempt_end: Option<AttemptEnd>,
}

impl StreamOutcome {
    fn new(end: StreamEnd) -> Self {
        Self { end, attempt_end: None }
    }

    fn failed(end: AttemptEnd) -> Self {
        let stream = match end {
            AttemptEnd::ReplicaLost => StreamEnd::ReplicaLost,
            _ => StreamEnd::BrokenOff,
        };
        Self { end: stream, attempt_end: Some(end) }
    }
}

/// When the answer that is being forwarded last brought anything, and whether its replica stalls.
#[derive(Clone, Copy, Default)]
struct AnswerState {
    received_at: Millis,
    stall: Option<StallEvidence>,
}

/// Forwards one answer to a caller. If the answer stays incomplete, the connection is closed
/// without its proper end, by which the caller detects it.
///
/// The answer of a stalled replica stays open while another replica is asked to resume after the
/// last event. The first of the two that brings the next event continues, and the other one is
/// closed at once. So silence alone never ends an answer, whatever becomes of the other attempt. An
/// answer ends only if its replica ends it, if there is evidence that the replica is lost, or at
/// the caller's deadline.
pub(crate) struct EventStream {
    pub(crate) frontend: Rc<Frontend>,
    pub(crate) req: Rc<SiteRequest>,
    pub(crate) tx: EventSender,
    /// The boxes that were sent the request, and how the attempts ended.
    pub(crate) attempts: RequestAttempts,
    /// The id of the last event that was forwarded.
    pub(crate) last_event_id: Option<u64>,
}

impl EventStream {
    /// Forwards the answer that has begun, and resumes it at another replica if it breaks off.
    pub(crate) async fn run(mut self, first: StartedAnswer) {
        let mut state = AnswerState { received_at: self.frontend.now(), stall: None };
        let outcome = self.forward(first, &mut state).await;
        self.frontend.grace.record_end(&self.req);
        self.frontend.count_stream_end(outcome.end);
        if outcome.end == StreamEnd::Whole {
            // A caller that has disconnected needs no end of the stream.
            let _ = self.tx.end().await;
            return;
        }
        self.frontend.failures.unfinished(&UnfinishedStream {
            req: &self.req,
            tried: &self.attempts.tried,
            end: outcome.end,
            attempt_end: outcome.attempt_end,
            silence: self.frontend.now().since(state.received_at),
            stall: state.stall,
            attempts_left: self
                .req
                .route
                .attempts
                .saturating_sub(self.attempts.ledger.max_executions()),
            repeat_left: self.frontend.has_retry(&self.req),
        });
    }

    async fn forward(&mut self, first: StartedAnswer, state: &mut AnswerState) -> StreamOutcome {
        let mut current = Some(ReplicaStream::new(self.frontend.clone(), first));
        let mut resuming = OpenAttempts::new();
        let mut resume_attempts = 0;
        loop {
            let checked_at = self.frontend.now();
            let left = Duration::from_millis(self.req.deadline.since(checked_at).0);
            let last_event_id = self.last_event_id;
            let step = tokio::select! {
                step = next_step(&mut current, last_event_id) => step,
                resumed = resuming.next() => match resumed {
                    Ok((stream, step)) => {
                        self.attempts.ledger.record_end(AttemptEnd::Answered);
                        current = Some(stream);
                        step
                    }
                    Err(end) => {
                        self.attempts.ledger.record_end(end);
                        if current.is_some() || !resuming.is_empty() {
                            continue;
                        }
                        StreamStep::Broken(end)
                    }
                },
                () = self.tx.closed() => return StreamOutcome::new(StreamEnd::CallerDisconnected),
                () = tokio::time::sleep(CHECK_INTERVAL.min(left)) => {
                    // Everything that arrived before the deadline has been forwarded already.
                    if left.is_zero() {
                        return StreamOutcome::new(StreamEnd::DeadlinePassed);
                    }
                    // The delay was this thread's own: first read what arrived in the meantime.
                    if self.frontend.was_busy(checked_at) {
                        continue;
                    }
                    let health = self.check_replica(&mut current, state);
                    let newest = resuming.check_replicas(&self.frontend, &self.req).or(health);
                    match newest {
                        Some(ReplicaHealth::Lost) if resuming.is_empty() => {
                            StreamStep::Broken(AttemptEnd::ReplicaLost)
                        }
                        Some(ReplicaHealth::Stalled) if resume_attempts < MAX_RESUME_ATTEMPTS => {
                            if let Some(attempt) = self.start_resume(AttemptEnd::TimedOut) {
                                resume_attempts += 1;
                                resuming.push(attempt.clone(), self.resume_stream(attempt));
                            }
                            continue;
                        }
                        _ => continue,
                    }
                }
            };
            match step {
                StreamStep::Events(events, id) => {
                    // The first to bring an event continues; the others' slots are freed at once.
                    resuming.clear();
                    self.attempts.ledger.record_remaining_ends(AttemptEnd::Overtaken);
                    (resume_attempts, self.last_event_id) = (0, id);
                    *state = AnswerState { received_at: self.frontend.now(), stall: None };
                    let sent_at = self.frontend.now();
                    if let Some(end) = self.send_events(events).await {
                        return StreamOutcome::new(end);
                    }
                    let taken_at = self.frontend.now();
                    if let Some(stream) = current.as_mut()
                        && StreamEnd::is_caller_stall(taken_at.since(sent_at))
                    {
                        stream.caller_resumed_at = Some(taken_at);
                    }
                }
                StreamStep::CallerSlow => return StreamOutcome::new(StreamEnd::CallerSlow),
                StreamStep::End => return StreamOutcome::new(StreamEnd::Whole),
                StreamStep::Broken(end) => {
                    current = None;
                    if !resuming.is_empty() {
                        continue;
                    }
                    self.frontend.await_borrowed_retry(&self.req).await;
                    let next =
                        (resume_attempts < MAX_RESUME_ATTEMPTS).then(|| self.start_resume(end));
                    let Some(attempt) = next.flatten() else { return StreamOutcome::failed(end) };
                    resume_attempts += 1;
                    resuming.push(attempt.clone(), self.resume_stream(attempt));
                }
            }
        }
    }

    /// Sends events to the caller, who may read slowly, but only until the deadline.
    async fn send_events(&self, events: Bytes) -> Option<StreamEnd> {
        self.frontend.callers.record_sent(events.len());
        match self.frontend.timeout_at(self.req.deadline, self.tx.send(events)).await {
            Some(Ok(())) => None,
            Some(Err(_)) => Some(StreamEnd::CallerDisconnected),
            None => Some(StreamEnd::DeadlinePassed),
        }
    }

    /// Checks the replica whose answer is being forwarded.
    fn check_replica(
        &self,
        current: &mut Option<ReplicaStream>,
        state: &mut AnswerState,
    ) -> Option<ReplicaHealth> {
        let stream = current.as_ref()?;
        let health = self.frontend.check_replica(&self.req, &stream.attempt, stream.received_at);
        *state = AnswerState { received_at: stream.received_at, stall: stream.attempt.stall() };
        if health == ReplicaHealth::Lost {
            *current = None;
        }
        Some(health)
    }

    /// Starts an attempt at another replica to resume after the last forwarded event.
    ///
    /// It is never deferred, because the caller is waiting for the next event and will leave soon.
    fn start_resume(&mut self, end: AttemptEnd) -> Option<Rc<ActiveAttempt>> {
        self.attempts.start_another(&self.frontend, &self.req, AttemptPurpose::Resume, end)
    }

    fn resume_stream(
        &self,
        attempt: Rc<ActiveAttempt>,
    ) -> impl Future<Output = (Rc<ActiveAttempt>, Result<(ReplicaStream, StreamStep), AttemptEnd>)> + use<>
    {
        let (frontend, req, last) = (self.frontend.clone(), self.req.clone(), self.last_event_id);
        async move { (attempt.clone(), resume_stream(frontend, req, attempt, last).await) }
    }
}

/// Waits for the next step of the answer that is being forwarded. Without one it never returns.
async fn next_step(current: &mut Option<ReplicaStream>, last_event_id: Option<u64>) -> StreamStep {
    let Some(stream) = current else { return std::future::pending().await };
    let attempt = stream.attempt.clone();
    tokio::select! {
        // While events arrive often, no check runs, so the abort is awaited here too.
        () = attempt.aborted() => StreamStep::Broken(AttemptEnd::ReplicaLost),
        step = stream.next(last_event_id) => step,
    }
}
