//! One replica's answer to a stream, cut into whole events.

use std::rc::Rc;

use bytes::Bytes;
use cherrystand_core::{
    AttemptEnd, EventSplitter, MAX_EVENT_BYTES, Millis, StreamEnd, StreamEvent,
};
use cherrystand_platform::PooledBody;
use http_body_util::BodyExt;
use hyper::StatusCode;

use crate::site::active_attempt::ActiveAttempt;
use crate::site::endpoint_call::{self, StartedAnswer};
use crate::site::frontend::Frontend;
use crate::site::request::SiteRequest;

/// What comes next of an answer.
pub(crate) enum StreamStep {
    /// Whole events, and the id of the last one.
    Events(Bytes, Option<u64>),
    /// Its whole end.
    End,
    /// The endpoint broke it off, as its caller had taken nothing for too long.
    CallerSlow,
    /// The endpoint broke it off.
    Broken(AttemptEnd),
}

/// The answer of one replica, while it comes.
pub(crate) struct ReplicaStream {
    frontend: Rc<Frontend>,
    body: PooledBody,
    /// Counts the request at the replica.
    pub(crate) attempt: Rc<ActiveAttempt>,
    cutter: EventSplitter,
    /// When anything of it last came.
    pub(crate) received_at: Millis,
    /// When the caller last took something that it had held up for long.
    pub(crate) caller_stalled_at: Option<Millis>,
}

impl ReplicaStream {
    /// Begins with an answer whose head has come.
    pub(crate) fn new(frontend: Rc<Frontend>, started: StartedAnswer) -> Self {
        let received_at = frontend.now();
        let StartedAnswer { body, attempt, .. } = started;
        let cutter = EventSplitter::default();
        Self { frontend, body, attempt, cutter, received_at, caller_stalled_at: None }
    }

    /// Waits for what follows the event `last`.
    ///
    /// Dropping the future loses nothing of the answer.
    pub(crate) async fn next(&mut self, last_event: Option<u64>) -> StreamStep {
        loop {
            match self.body.frame().await {
                None => return self.end(),
                Some(Err(_))
                    if StreamEnd::is_caused_by_slow_caller(
                        self.caller_stalled_at,
                        self.frontend.now(),
                    ) =>
                {
                    return StreamStep::CallerSlow;
                }
                Some(Err(_)) => {
                    self.attempt.interrupted();
                    self.attempt.avoid();
                    return StreamStep::Broken(AttemptEnd::AnswerCut);
                }
                Some(Ok(frame)) => {
                    self.received_at = self.frontend.now();
                    self.attempt.on_event();
                    let Ok(data) = frame.into_data() else { continue };
                    self.cutter.push(&data);
                    if let Some(step) = self.whole_events(last_event) {
                        return step;
                    }
                }
            }
        }
    }

    /// Takes out the events that are whole by now and follow `last`.
    fn whole_events(&mut self, mut last_event: Option<u64>) -> Option<StreamStep> {
        let mut out: Vec<Bytes> = Vec::new();
        while let Some(event) = self.cutter.next_event() {
            if is_next(&event, last_event) {
                last_event = event.id.or(last_event);
                out.push(event.bytes);
            } else if event
                .id
                .is_some_and(|id| last_event.is_some_and(|last_event| id > last_event + 1))
            {
                return Some(StreamStep::Broken(AttemptEnd::AnswerCut));
            }
        }
        if self.cutter.buffered_bytes() > MAX_EVENT_BYTES {
            return Some(StreamStep::Broken(AttemptEnd::AnswerCut));
        }
        match out.len() {
            0 => None,
            1 => Some(StreamStep::Events(out.remove(0), last_event)),
            _ => Some(StreamStep::Events(Bytes::from(out.concat()), last_event)),
        }
    }

    fn end(&self) -> StreamStep {
        if self.cutter.buffered_bytes() > 0 {
            self.attempt.interrupted();
            return StreamStep::Broken(AttemptEnd::AnswerCut);
        }
        self.attempt.succeeded();
        StreamStep::End
    }
}

/// Tells whether an event is the next one after `last`.
fn is_next(event: &StreamEvent, last_event: Option<u64>) -> bool {
    match (event.id, last_event) {
        (Some(id), Some(last_event)) => id == last_event + 1,
        _ => true,
    }
}

/// Has another replica go on after the event `last`, and waits for the first that it brings.
///
/// # Errors
///
/// Returns how the attempt ended where it brings nothing.
pub(crate) async fn resume_stream(
    frontend: Rc<Frontend>,
    req: Rc<SiteRequest>,
    attempt: Rc<ActiveAttempt>,
    last_event: Option<u64>,
) -> Result<(ReplicaStream, StreamStep), AttemptEnd> {
    let started = endpoint_call::send(frontend.clone(), req, attempt.clone(), last_event).await?;
    if started.head.status != StatusCode::OK {
        // It may have run it; what it says instead of events is of no use to a caller midway.
        attempt.failed();
        return Err(AttemptEnd::AnswerCut);
    }
    let mut run = ReplicaStream::new(frontend, started);
    let step = tokio::select! {
        step = run.next(last_event) => step,
        () = attempt.aborted() => StreamStep::Broken(AttemptEnd::ReplicaLost),
    };
    match step {
        StreamStep::Broken(end) => Err(end),
        step => Ok((run, step)),
    }
}
