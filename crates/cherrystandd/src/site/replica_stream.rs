//! One replica's answer to a stream, split into complete events.

use std::rc::Rc;

use bytes::Bytes;
use cherrystand_core::{
    AttemptEnd, EventProgress, EventSplitter, MAX_EVENT_BYTES, Millis, StreamEnd,
};
use cherrystand_platform::PooledBody;
use http_body_util::BodyExt;
use hyper::StatusCode;

use crate::site::active_attempt::ActiveAttempt;
use crate::site::endpoint_call::{self, StartedAnswer};
use crate::site::frontend::Frontend;
use crate::site::request::SiteRequest;

/// The next step of an answer.
pub(crate) enum StreamStep {
    /// Complete events, and the id of the last one.
    Events(Bytes, Option<u64>),
    /// The proper end of the answer.
    End,
    /// The endpoint broke it off because its caller had not read for too long.
    CallerSlow,
    /// The attempt failed before the end of the answer.
    Broken(AttemptEnd),
}

/// The answer of one replica while it arrives.
pub(crate) struct ReplicaStream {
    frontend: Rc<Frontend>,
    body: PooledBody,
    /// The attempt that brings it.
    pub(crate) attempt: Rc<ActiveAttempt>,
    splitter: EventSplitter,
    progress: EventProgress,
    /// When anything of it last arrived.
    pub(crate) received_at: Millis,
    /// When the caller last read on after not having read for long.
    pub(crate) caller_resumed_at: Option<Millis>,
}

impl ReplicaStream {
    /// Starts with an answer whose head has arrived.
    pub(crate) fn new(frontend: Rc<Frontend>, started: StartedAnswer) -> Self {
        let received_at = frontend.now();
        let StartedAnswer { body, attempt, .. } = started;
        Self {
            frontend,
            body,
            attempt,
            splitter: EventSplitter::default(),
            progress: EventProgress::default(),
            received_at,
            caller_resumed_at: None,
        }
    }

    /// Waits for what follows the event with the id `last_event_id`.
    ///
    /// Dropping the future loses nothing of the answer.
    pub(crate) async fn next(&mut self, last_event_id: Option<u64>) -> StreamStep {
        loop {
            match self.body.frame().await {
                None => return self.end(),
                Some(Err(_))
                    if StreamEnd::is_caused_by_slow_caller(
                        self.caller_resumed_at,
                        self.frontend.now(),
                    ) =>
                {
                    return StreamStep::CallerSlow;
                }
                Some(Err(err)) => {
                    log::info!(target_box = self.attempt.target.as_str(); "a stream ends early: {err}");
                    self.attempt.interrupted();
                    self.attempt.eject();
                    return StreamStep::Broken(AttemptEnd::AnswerCut);
                }
                Some(Ok(frame)) => {
                    self.received_at = self.frontend.now();
                    self.frontend.record_contact();
                    self.attempt.on_event();
                    let Ok(data) = frame.into_data() else { continue };
                    self.splitter.push(&data);
                    if let Some(step) = self.complete_events(last_event_id) {
                        return step;
                    }
                }
            }
        }
    }

    /// Takes out the events that are complete by now and follow `last_event_id`.
    fn complete_events(&mut self, mut last_event_id: Option<u64>) -> Option<StreamStep> {
        let mut out: Vec<Bytes> = Vec::new();
        while let Some(event) = self.splitter.next_event() {
            self.progress.record(&event);
            if event.follows(last_event_id) {
                last_event_id = event.id.or(last_event_id);
                out.push(event.bytes);
            }
        }
        if self.splitter.buffered_bytes() > MAX_EVENT_BYTES || self.progress.is_fruitless() {
            self.attempt.failed();
            self.attempt.eject();
            return Some(StreamStep::Broken(AttemptEnd::AnswerCut));
        }
        match out.len() {
            0 => None,
            1 => Some(StreamStep::Events(out.remove(0), last_event_id)),
            _ => Some(StreamStep::Events(Bytes::from(out.concat()), last_event_id)),
        }
    }

    fn end(&self) -> StreamStep {
        if self.splitter.buffered_bytes() > 0 {
            self.attempt.interrupted();
            return StreamStep::Broken(AttemptEnd::AnswerCut);
        }
        self.attempt.succeeded();
        StreamStep::End
    }
}

/// Has another replica resume after the event with the id `last_event_id`, and waits for the first
/// step of its answer.
///
/// # Errors
///
/// Returns how the attempt ended if it brings nothing.
pub(crate) async fn resume_stream(
    frontend: Rc<Frontend>,
    req: Rc<SiteRequest>,
    attempt: Rc<ActiveAttempt>,
    last_event_id: Option<u64>,
) -> Result<(ReplicaStream, StreamStep), AttemptEnd> {
    let started =
        endpoint_call::send(frontend.clone(), req, attempt.clone(), last_event_id).await?;
    if started.head.status() != StatusCode::OK {
        // The endpoint may have run the request, but a caller in the middle of a stream has no use
        // for another status.
        attempt.failed();
        return Err(AttemptEnd::AnswerCut);
    }
    let mut stream = ReplicaStream::new(frontend, started);
    let step = tokio::select! {
        step = stream.next(last_event_id) => step,
        () = attempt.aborted() => StreamStep::Broken(AttemptEnd::ReplicaLost),
    };
    match step {
        StreamStep::Broken(end) => Err(end),
        step => Ok((stream, step)),
    }
}
