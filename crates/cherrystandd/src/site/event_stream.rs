//! Passing a stream of events on, across replicas where one breaks off.

use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use cherrystand_core::{
    AttemptEnd, AttemptLedger, BoxId, EventCutter, LARGEST_EVENT, Millis, Standstill, StreamEnd,
    WholeEvent,
};
use cherrystand_platform::{EventSender, PooledBody};
use http_body_util::BodyExt;
use hyper::StatusCode;

use crate::site::attempt::{self, Begun};
use crate::site::failure_log::UnfinishedStream;
use crate::site::flight::Flight;
use crate::site::front::{Front, Urgency};
use crate::site::request::SiteRequest;

/// How often a silent stream looks whether its endpoint makes progress at all.
const LOOK_EVERY: Duration = Duration::from_millis(40);

/// How many endpoints are tried at the most each time that a stream breaks off, those that did not
/// run it included.
const SENT_TO_GO_ON: u32 = 3;

/// How a run of a stream ended.
enum RunEnd {
    /// The stream is whole.
    Whole,
    /// The endpoint broke it off, or went silent.
    Broken(AttemptEnd),
    /// It ended for its caller, whatever the endpoint does.
    Over(StreamEnd),
}

/// How a run of a stream ended, and what was known then.
struct Ended {
    end: RunEnd,
    /// For how long the run had brought nothing.
    silent: Millis,
    /// What was known of its replica's silence, where that stood still.
    standstill: Option<Standstill>,
}

/// Passes one answer on to a caller, who learns by the cut connection where it is not whole.
pub(crate) struct EventStream {
    pub(crate) front: Rc<Front>,
    pub(crate) req: Rc<SiteRequest>,
    pub(crate) tx: EventSender,
    /// The boxes that were sent the request.
    pub(crate) tried: Vec<BoxId>,
    /// What became of it there.
    pub(crate) ledger: AttemptLedger,
    /// The id of the last event passed on.
    pub(crate) last: Option<u64>,
}

impl EventStream {
    /// Passes on the answer that has begun, and goes on elsewhere where it breaks off.
    pub(crate) async fn pass_on(mut self, first: Begun) {
        let mut begun = first;
        loop {
            let ended = self.run(begun).await;
            match ended.end {
                RunEnd::Whole => {
                    // One who has left needs no end.
                    let _ = self.tx.end().await;
                    return self.front.count_stream_end(StreamEnd::Whole);
                }
                RunEnd::Over(end) => return self.unfinished(end, None, &ended),
                RunEnd::Broken(attempt) => match self.go_on(attempt).await {
                    Some(next) => begun = next,
                    None => {
                        let end = match attempt {
                            AttemptEnd::TimedOut => StreamEnd::StoodStill,
                            _ => StreamEnd::BrokenOff,
                        };
                        return self.unfinished(end, Some(attempt), &ended);
                    }
                },
            }
        }
    }

    /// Counts a stream that ended before it was whole and writes it down.
    fn unfinished(&self, end: StreamEnd, attempt: Option<AttemptEnd>, ended: &Ended) {
        self.front.count_stream_end(end);
        self.front.failures.unfinished(&UnfinishedStream {
            req: &self.req,
            tried: &self.tried,
            end,
            attempt,
            silent: ended.silent,
            standstill: ended.standstill,
            attempts_left: self.req.route.attempts.saturating_sub(self.ledger.runs()),
            repeat_left: self.front.has_repeat(&self.req),
        });
    }

    async fn run(&mut self, begun: Begun) -> Ended {
        let Begun { body, mut flight, .. } = begun;
        let mut heard = self.front.now();
        let end = self.pass_run(body, &mut flight, &mut heard).await;
        let silent = self.front.now().since(heard);
        Ended { end, silent, standstill: flight.standstill() }
    }

    async fn pass_run(
        &mut self,
        mut body: PooledBody,
        flight: &mut Flight,
        heard: &mut Millis,
    ) -> RunEnd {
        let mut cutter = EventCutter::default();
        loop {
            let left = self.req.deadline.since(self.front.now());
            let wait = LOOK_EVERY.min(Duration::from_millis(left.0));
            let looked = self.front.now();
            let frame = tokio::select! {
                frame = tokio::time::timeout(wait, body.frame()) => frame,
                () = self.tx.closed() => return RunEnd::Over(StreamEnd::CallerLeft),
            };
            match frame {
                // What has arrived by the deadline was passed on before this.
                Err(_) if left == Millis(0) => return RunEnd::Over(StreamEnd::DeadlinePassed),
                // This thread was busy itself: what came meanwhile is read first.
                Err(_) if self.front.was_busy(looked) => {}
                Err(_) if self.leaves(flight, *heard) => {
                    return RunEnd::Broken(AttemptEnd::TimedOut);
                }
                Err(_) => {}
                Ok(None) => return self.end(&cutter, flight),
                Ok(Some(Err(_))) => {
                    flight.failed();
                    flight.avoid();
                    return RunEnd::Broken(AttemptEnd::AnswerCut);
                }
                Ok(Some(Ok(frame))) => {
                    *heard = self.front.now();
                    flight.event();
                    let Ok(data) = frame.into_data() else { continue };
                    cutter.push(&data);
                    if let Some(end) = self.pass_events(&mut cutter).await {
                        return end;
                    }
                }
            }
        }
    }

    /// Passes on the events that are whole by now.
    async fn pass_events(&mut self, cutter: &mut EventCutter) -> Option<RunEnd> {
        let mut out: Vec<Bytes> = Vec::new();
        while let Some(event) = cutter.next_event() {
            if self.follows(&event) {
                self.last = event.id.or(self.last);
                out.push(event.bytes);
            } else if event.id.is_some_and(|id| self.last.is_some_and(|last| id > last + 1)) {
                return Some(RunEnd::Broken(AttemptEnd::AnswerCut));
            }
        }
        if cutter.held() > LARGEST_EVENT {
            return Some(RunEnd::Broken(AttemptEnd::AnswerCut));
        }
        if out.is_empty() {
            return None;
        }
        let out = if out.len() == 1 { out.remove(0) } else { Bytes::from(out.concat()) };
        self.tx.pass(out).await.err().map(|_| RunEnd::Over(StreamEnd::CallerLeft))
    }

    /// Tells whether an event is the next one.
    fn follows(&self, event: &WholeEvent) -> bool {
        match (event.id, self.last) {
            (Some(id), Some(last)) => id == last + 1,
            _ => true,
        }
    }

    fn end(&self, cutter: &EventCutter, flight: &Flight) -> RunEnd {
        if cutter.held() > 0 {
            flight.failed();
            return RunEnd::Broken(AttemptEnd::AnswerCut);
        }
        flight.succeeded();
        RunEnd::Whole
    }

    fn leaves(&self, flight: &Flight, heard: Millis) -> bool {
        self.may_go_on() && self.front.leaves(&self.req, flight, heard)
    }

    fn may_go_on(&self) -> bool {
        self.front.may_resume(&self.req.route, self.ledger.runs())
    }

    /// Takes the stream up at another replica.
    async fn go_on(&mut self, end: AttemptEnd) -> Option<Begun> {
        let mut sent = 0;
        while self.may_go_on() && sent < SENT_TO_GO_ON && self.front.now() < self.req.deadline {
            sent += 1;
            // Its caller waits for the next event and leaves soon: it is never put behind.
            let flight = self.front.choose(&self.req, &self.tried, Urgency::GoesOn)?;
            if self.tried.contains(&flight.target) || !self.front.may_repeat(&self.req, end) {
                return None;
            }
            self.tried.push(flight.target.clone());
            let began = attempt::send(&self.front, &self.req, flight, self.last, true);
            match began.await {
                Ok(begun) => {
                    self.ledger.ended(AttemptEnd::Answered);
                    if begun.head.status == StatusCode::OK {
                        return Some(begun);
                    }
                }
                Err(end) => self.ledger.ended(end),
            }
        }
        None
    }
}
