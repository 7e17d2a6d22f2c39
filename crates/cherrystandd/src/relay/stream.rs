//! Passing an answer on while it is still coming.

use std::pin::Pin;
use std::task::{Context, Poll};
use std::time::Duration;

use bytes::Bytes;
use cherrystand_core::{AttemptEnd, Outcome};
use cherrystand_platform::PooledBody;
use hyper::body::{Body, Frame};
use tokio::time::Sleep;

use crate::relay::active_attempt::ActiveAttempt;
use crate::relay::admitted_request::AdmittedRequest;

/// How often a stream that brings nothing looks whether its answer can still come.
///
/// Silence alone ends no answer: one that paused for 10 s was broken off though its replica served.
const SILENCE_CHECK_INTERVAL: Duration = Duration::from_secs(10);

/// What a caller of a stream of events gets when the stream breaks.
///
/// The end marker of a whole stream never follows it.
const INTERRUPTED_EVENT: &str = "event: error\ndata: {\"error\":{\"reason\":\"answer-cut\",\
    \"outcome\":\"unknown\",\"message\":\"The answer broke off; it may have been run.\"}}\n\n";

/// Passes on the rest of an answer, a frame at a time as the caller takes them.
pub(crate) struct RelayedStream {
    buffered: Option<Bytes>,
    remaining_body: Option<PooledBody>,
    is_event_stream: bool,
    silence_timer: Pin<Box<Sleep>>,
    attempt: ActiveAttempt,
    admitted: AdmittedRequest,
}

impl RelayedStream {
    /// Begins to pass on an answer.
    pub(crate) fn new(
        buffered: Bytes,
        remaining_body: PooledBody,
        is_event_stream: bool,
        attempt: ActiveAttempt,
        admitted: AdmittedRequest,
    ) -> Self {
        Self {
            buffered: (!buffered.is_empty()).then_some(buffered),
            remaining_body: Some(remaining_body),
            is_event_stream,
            silence_timer: Box::pin(tokio::time::sleep(SILENCE_CHECK_INTERVAL)),
            attempt,
            admitted,
        }
    }

    fn end(&mut self, end: AttemptEnd, outcome: Outcome) {
        self.remaining_body = None;
        self.attempt.end(end);
        self.admitted.end(outcome, None);
    }

    fn reset_silence_timer(&mut self) {
        // Whether its time is over is looked up on the daemon's clock.
        self.silence_timer.set(tokio::time::sleep(SILENCE_CHECK_INTERVAL));
    }

    /// Waits on, until the caller's time is over or the endpoint is out of service.
    fn poll_silence(
        &mut self,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, std::io::Error>>> {
        while self.silence_timer.as_mut().poll(cx).is_ready() {
            if !self.attempt.is_in_service() {
                return self.interrupt(AttemptEnd::ReplicaLost);
            }
            if self.attempt.is_past_deadline() {
                return self.interrupt(AttemptEnd::TimedOut);
            }
            self.reset_silence_timer();
        }
        Poll::Pending
    }

    /// Tells the caller that the answer broke off: by an event, or by cutting the connection.
    fn interrupt(&mut self, end: AttemptEnd) -> Poll<Option<Result<Frame<Bytes>, std::io::Error>>> {
        self.end(end, Outcome::Unknown);
        if self.is_event_stream {
            let event = Bytes::from_static(INTERRUPTED_EVENT.as_bytes());
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
        if let Some(buffered) = self.buffered.take() {
            return Poll::Ready(Some(Ok(Frame::data(buffered))));
        }
        let Some(remaining_body) = self.remaining_body.as_mut() else {
            return Poll::Ready(None);
        };
        match Pin::new(remaining_body).poll_frame(cx) {
            Poll::Ready(Some(Ok(frame))) => {
                self.reset_silence_timer();
                Poll::Ready(Some(Ok(frame)))
            }
            Poll::Ready(None) => {
                self.end(AttemptEnd::Answered, Outcome::Ran);
                Poll::Ready(None)
            }
            Poll::Ready(Some(Err(_))) => self.interrupt(AttemptEnd::AnswerCut),
            Poll::Pending => self.poll_silence(cx),
        }
    }
}
