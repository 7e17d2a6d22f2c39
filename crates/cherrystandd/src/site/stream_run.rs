//! One replica's answer to a stream, cut into whole events.

use std::rc::Rc;

use bytes::Bytes;
use cherrystand_core::{
    AttemptEnd, EventSplitter, MAX_EVENT_BYTES, Millis, StreamEnd, StreamEvent,
};
use cherrystand_platform::PooledBody;
use http_body_util::BodyExt;
use hyper::StatusCode;

use crate::site::attempt::{self, Begun};
use crate::site::flight::Flight;
use crate::site::front::Front;
use crate::site::request::SiteRequest;

/// What comes next of an answer.
pub(crate) enum RunStep {
    /// Whole events, and the id of the last one.
    Events(Bytes, Option<u64>),
    /// Its whole end.
    Whole,
    /// The endpoint broke it off, as its caller had taken nothing for too long.
    LeftUnread,
    /// The endpoint broke it off.
    Broken(AttemptEnd),
}

/// The answer of one replica, while it comes.
pub(crate) struct StreamRun {
    front: Rc<Front>,
    body: PooledBody,
    /// Counts the request at the replica.
    pub(crate) flight: Rc<Flight>,
    cutter: EventSplitter,
    /// When anything of it last came.
    pub(crate) heard: Millis,
    /// When the caller last took something that it had held up for long.
    pub(crate) held_up: Option<Millis>,
}

impl StreamRun {
    /// Begins with an answer whose head has come.
    pub(crate) fn new(front: Rc<Front>, begun: Begun) -> Self {
        let heard = front.now();
        let Begun { body, flight, .. } = begun;
        let cutter = EventSplitter::default();
        Self { front, body, flight, cutter, heard, held_up: None }
    }

    /// Waits for what follows the event `last`.
    ///
    /// Dropping the future loses nothing of the answer.
    pub(crate) async fn next(&mut self, last: Option<u64>) -> RunStep {
        loop {
            match self.body.frame().await {
                None => return self.end(),
                Some(Err(_))
                    if StreamEnd::is_caused_by_slow_caller(self.held_up, self.front.now()) =>
                {
                    return RunStep::LeftUnread;
                }
                Some(Err(_)) => {
                    self.flight.cut();
                    self.flight.avoid();
                    return RunStep::Broken(AttemptEnd::AnswerCut);
                }
                Some(Ok(frame)) => {
                    self.heard = self.front.now();
                    self.flight.event();
                    let Ok(data) = frame.into_data() else { continue };
                    self.cutter.push(&data);
                    if let Some(step) = self.whole_events(last) {
                        return step;
                    }
                }
            }
        }
    }

    /// Takes out the events that are whole by now and follow `last`.
    fn whole_events(&mut self, mut last: Option<u64>) -> Option<RunStep> {
        let mut out: Vec<Bytes> = Vec::new();
        while let Some(event) = self.cutter.next_event() {
            if follows(&event, last) {
                last = event.id.or(last);
                out.push(event.bytes);
            } else if event.id.is_some_and(|id| last.is_some_and(|last| id > last + 1)) {
                return Some(RunStep::Broken(AttemptEnd::AnswerCut));
            }
        }
        if self.cutter.buffered_bytes() > MAX_EVENT_BYTES {
            return Some(RunStep::Broken(AttemptEnd::AnswerCut));
        }
        match out.len() {
            0 => None,
            1 => Some(RunStep::Events(out.remove(0), last)),
            _ => Some(RunStep::Events(Bytes::from(out.concat()), last)),
        }
    }

    fn end(&self) -> RunStep {
        if self.cutter.buffered_bytes() > 0 {
            self.flight.cut();
            return RunStep::Broken(AttemptEnd::AnswerCut);
        }
        self.flight.succeeded();
        RunStep::Whole
    }
}

/// Tells whether an event is the next one after `last`.
fn follows(event: &StreamEvent, last: Option<u64>) -> bool {
    match (event.id, last) {
        (Some(id), Some(last)) => id == last + 1,
        _ => true,
    }
}

/// Has another replica go on after the event `last`, and waits for the first that it brings.
///
/// # Errors
///
/// Returns how the attempt ended where it brings nothing.
pub(crate) async fn take_up(
    front: Rc<Front>,
    req: Rc<SiteRequest>,
    flight: Rc<Flight>,
    last: Option<u64>,
) -> Result<(StreamRun, RunStep), AttemptEnd> {
    let begun = attempt::send(front.clone(), req, flight.clone(), last).await?;
    if begun.head.status != StatusCode::OK {
        // It may have run it; what it says instead of events is of no use to a caller midway.
        flight.failed();
        return Err(AttemptEnd::AnswerCut);
    }
    let mut run = StreamRun::new(front, begun);
    let step = tokio::select! {
        step = run.next(last) => step,
        () = flight.given_up() => RunStep::Broken(AttemptEnd::ReplicaLost),
    };
    match step {
        RunStep::Broken(end) => Err(end),
        step => Ok((run, step)),
    }
}
