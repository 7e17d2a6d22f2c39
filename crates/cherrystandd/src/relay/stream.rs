//! Relaying of an answer while it is still being received.

use std::pin::Pin;
use std::task::{Context, Poll};
use std::time::Duration;

use bytes::Bytes;
use cherrystand_core::{AttemptEnd, Outcome};
use cherrystand_platform::PooledBody;
use hyper::body::{Body, Frame, SizeHint};
use tokio::time::Sleep;

use crate::relay::active_attempt::ActiveAttempt;
use crate::relay::admitted_request::AdmittedRequest;

/// How often a silent stream checks whether the rest of its answer can still come.
///
/// Silence alone doesn't end an answer: ending one after 10 s without data interrupted answers of
/// replicas that still served.
const SILENCE_CHECK_INTERVAL: Duration = Duration::from_secs(10);

/// The event that a caller gets when its event stream is interrupted.
///
/// The end marker of a complete stream never follows it.
const INTERRUPTED_EVENT: &str = "event: error\ndata: {\"error\":{\"reason\":\"answer-cut\",\
    \"outcome\":\"unknown\",\"message\":\"The answer broke off; it may have been run.\"}}\n\n";

/// Relays the rest of an answer frame by frame, at the caller's pace.
pub(crate) struct RelayedStream {
    buffered: Option<Bytes>,
    remaining_body: Option<PooledBody>,
    is_event_stream: bool,
    silence_timer: Pin<Box<Sleep>>,
    attempt: ActiveAttempt,
    admitted: AdmittedRequest,
}

impl RelayedStream {
    /// Starts to relay an answer, first the part that was buffered.
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
        // The timer only triggers the check; the deadline itself is read from the daemon's clock.
        self.silence_timer.set(tokio::time::sleep(SILENCE_CHECK_INTERVAL));
    }

    /// Waits for more, until the caller's deadline passes or the endpoint is out of service.
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

    /// Reports the interruption to the caller: by an event, or by closing the connection.
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

    fn size_hint(&self) -> SizeHint {
        // An event that tells of an interruption makes an event stream longer.
        let remaining = self.remaining_body.as_ref().filter(|_| !self.is_event_stream);
        let length = remaining.and_then(|body| body.size_hint().exact());
        let buffered = self.buffered.as_ref().map_or(0, Bytes::len) as u64;
        length.map_or_else(SizeHint::default, |length| SizeHint::with_exact(buffered + length))
    }
}
