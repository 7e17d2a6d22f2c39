//! Passing an answer on while it is still coming.

use std::pin::Pin;
use std::task::{Context, Poll};
use std::time::Duration;

use bytes::Bytes;
use cherrystand_core::{AttemptEnd, Outcome};
use cherrystand_platform::PooledBody;
use hyper::body::{Body, Frame};
use tokio::time::Sleep;

use crate::relay::admitted::Admitted;
use crate::relay::attempt::InFlight;

/// How often a stream that brings nothing looks whether its answer can still come.
///
/// Silence alone ends no answer: one that paused for 10 s was broken off though its replica served.
const LOOK_EVERY: Duration = Duration::from_secs(10);

/// What a caller of a stream of events gets when the stream breaks.
///
/// The end marker of a whole stream never follows it.
const BROKEN_EVENT: &str = "event: error\ndata: {\"error\":{\"reason\":\"answer-cut\",\
    \"outcome\":\"unknown\",\"message\":\"The answer broke off; it may have been run.\"}}\n\n";

/// Passes on the rest of an answer, a frame at a time as the caller takes them.
pub(crate) struct RelayedStream {
    held: Option<Bytes>,
    rest: Option<PooledBody>,
    events: bool,
    silence: Pin<Box<Sleep>>,
    in_flight: InFlight,
    admitted: Admitted,
}

impl RelayedStream {
    /// Begins to pass on an answer.
    pub(crate) fn new(
        held: Bytes,
        rest: PooledBody,
        events: bool,
        in_flight: InFlight,
        admitted: Admitted,
    ) -> Self {
        Self {
            held: (!held.is_empty()).then_some(held),
            rest: Some(rest),
            events,
            silence: Box::pin(tokio::time::sleep(LOOK_EVERY)),
            in_flight,
            admitted,
        }
    }

    fn end(&mut self, end: AttemptEnd, outcome: Outcome) {
        self.rest = None;
        self.in_flight.end(end);
        self.admitted.end(outcome, None);
    }

    fn look_later(&mut self) {
        // Whether its time is over is looked up on the daemon's clock.
        self.silence.set(tokio::time::sleep(LOOK_EVERY));
    }

    /// Waits on, until the caller's time is over or the endpoint is out of service.
    fn poll_silence(
        &mut self,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, std::io::Error>>> {
        while self.silence.as_mut().poll(cx).is_ready() {
            if !self.in_flight.is_in_service() {
                return self.break_off(AttemptEnd::ReplicaLost);
            }
            if self.in_flight.is_overdue() {
                return self.break_off(AttemptEnd::TimedOut);
            }
            self.look_later();
        }
        Poll::Pending
    }

    /// Tells the caller that the answer broke off: by an event, or by cutting the connection.
    fn break_off(&mut self, end: AttemptEnd) -> Poll<Option<Result<Frame<Bytes>, std::io::Error>>> {
        self.end(end, Outcome::Unknown);
        if self.events {
            let event = Bytes::from_static(BROKEN_EVENT.as_bytes());
            return Poll::Ready(Some(Ok(Frame::data(event))));
        }
        Poll::Ready(Some(Err(std::io::ErrorKind::ConnectionAborted.into())))
    }
}

impl Body for RelayedStream {
    type Data = Bytes;
    type Error = std::io::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, std::io::Error>>> {
        if let Some(held) = self.held.take() {
            return Poll::Ready(Some(Ok(Frame::data(held))));
        }
        let Some(rest) = self.rest.as_mut() else {
            return Poll::Ready(None);
        };
        match Pin::new(rest).poll_frame(cx) {
            Poll::Ready(Some(Ok(frame))) => {
                self.look_later();
                Poll::Ready(Some(Ok(frame)))
            }
            Poll::Ready(None) => {
                self.end(AttemptEnd::Answered, Outcome::Ran);
                Poll::Ready(None)
            }
            Poll::Ready(Some(Err(_))) => self.break_off(AttemptEnd::AnswerCut),
            Poll::Pending => self.poll_silence(cx),
        }
    }
}
