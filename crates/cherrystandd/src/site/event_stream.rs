//! Passing a stream of events on, across replicas where one breaks off or stands still.

use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use cherrystand_core::{AttemptEnd, Millis, StallEvidence, StreamEnd};
use cherrystand_platform::EventSender;

use crate::site::attempt::Begun;
use crate::site::failure_log::UnfinishedStream;
use crate::site::flight::Flight;
use crate::site::front::{Front, ReplicaLook, Urgency};
use crate::site::open_attempts::{LOOK_EVERY, OpenAttempts};
use crate::site::request::SiteRequest;
use crate::site::stream_run::{RunStep, StreamRun, take_up};
use crate::site::tries::Tries;

/// How many endpoints are asked at the most each time that a stream breaks off or stands still, those
/// that did not run it included.
const SENT_TO_GO_ON: u32 = 3;

/// How a stream ended for its caller.
struct Ended {
    end: StreamEnd,
    /// How the last attempt ended, where that ended the stream.
    attempt: Option<AttemptEnd>,
}

impl Ended {
    fn by_caller(end: StreamEnd) -> Self {
        Self { end, attempt: None }
    }

    fn by(attempt: AttemptEnd) -> Self {
        let end = match attempt {
            AttemptEnd::ReplicaLost => StreamEnd::ReplicaLost,
            _ => StreamEnd::BrokenOff,
        };
        Self { end, attempt: Some(attempt) }
    }
}

/// What was last known of the answer that is passed on.
#[derive(Clone, Copy, Default)]
struct LastSeen {
    heard: Millis,
    standstill: Option<StallEvidence>,
}

/// Passes one answer on to a caller, who learns by the cut connection where it is not whole.
///
/// A replica that stands still keeps its answer open while another one is asked to go on after the last
/// event: the first of both that brings the next event goes on, the other one is closed at once. So
/// silence ends no answer, whatever becomes of the other attempt; an answer ends only by its replica's
/// own doing, by evidence that the replica is lost, or with its caller's time.
pub(crate) struct EventStream {
    pub(crate) front: Rc<Front>,
    pub(crate) req: Rc<SiteRequest>,
    pub(crate) tx: EventSender,
    /// What it was sent to, and what became of it there.
    pub(crate) tries: Tries,
    /// The id of the last event passed on.
    pub(crate) last: Option<u64>,
}

impl EventStream {
    /// Passes on the answer that has begun, and goes on elsewhere where it breaks off.
    pub(crate) async fn pass_on(mut self, first: Begun) {
        let mut seen = LastSeen { heard: self.front.now(), standstill: None };
        let ended = self.pass(first, &mut seen).await;
        self.front.count_stream_end(ended.end);
        if ended.end == StreamEnd::Whole {
            // One who has left needs no end.
            let _ = self.tx.end().await;
            return;
        }
        self.front.failures.unfinished(&UnfinishedStream {
            req: &self.req,
            tried: &self.tries.tried,
            end: ended.end,
            attempt: ended.attempt,
            silent: self.front.now().since(seen.heard),
            standstill: seen.standstill,
            attempts_left: self
                .req
                .route
                .attempts
                .saturating_sub(self.tries.ledger.max_executions()),
            repeat_left: self.front.has_repeat(&self.req),
        });
    }

    async fn pass(&mut self, first: Begun, seen: &mut LastSeen) -> Ended {
        let mut current = Some(StreamRun::new(self.front.clone(), first));
        let mut besides = OpenAttempts::new();
        let mut sent_to_go_on = 0;
        loop {
            let looked = self.front.now();
            let left = Duration::from_millis(self.req.deadline.since(looked).0);
            let last = self.last;
            let step = tokio::select! {
                step = next_of(&mut current, last) => step,
                taken_up = besides.next() => match taken_up {
                    Ok((run, step)) => {
                        self.tries.ledger.record_end(AttemptEnd::Answered);
                        current = Some(run);
                        step
                    }
                    Err(end) => {
                        self.tries.ledger.record_end(end);
                        if current.is_some() || !besides.is_empty() {
                            continue;
                        }
                        RunStep::Broken(end)
                    }
                },
                () = self.tx.closed() => return Ended::by_caller(StreamEnd::CallerLeft),
                () = tokio::time::sleep(LOOK_EVERY.min(left)) => {
                    // What has arrived by the deadline was passed on before this.
                    if left.is_zero() {
                        return Ended::by_caller(StreamEnd::DeadlinePassed);
                    }
                    // This thread was busy itself: what came meanwhile is read first.
                    if self.front.was_busy(looked) {
                        continue;
                    }
                    let look = self.look(&mut current, seen);
                    let newest = besides.look(&self.front, &self.req).or(look);
                    match newest {
                        Some(ReplicaLook::Lost) if besides.is_empty() => {
                            RunStep::Broken(AttemptEnd::ReplicaLost)
                        }
                        Some(ReplicaLook::StandsStill) if sent_to_go_on < SENT_TO_GO_ON => {
                            if let Some(flight) = self.begin_beside(AttemptEnd::TimedOut) {
                                sent_to_go_on += 1;
                                besides.push(flight.clone(), self.take_up(flight));
                            }
                            continue;
                        }
                        _ => continue,
                    }
                }
            };
            match step {
                RunStep::Events(events, id) => {
                    // Whoever goes on first is the one; the others' places are freed at once.
                    besides.clear();
                    self.tries.ledger.record_remaining_ends(AttemptEnd::Overtaken);
                    (sent_to_go_on, self.last) = (0, id);
                    *seen = LastSeen { heard: self.front.now(), standstill: None };
                    let handed = self.front.now();
                    if let Some(end) = self.hand_on(events).await {
                        return Ended::by_caller(end);
                    }
                    let taken = self.front.now();
                    if let Some(run) = current.as_mut()
                        && StreamEnd::is_caller_stall(taken.since(handed))
                    {
                        run.held_up = Some(taken);
                    }
                }
                RunStep::LeftUnread => return Ended::by_caller(StreamEnd::CallerSlow),
                RunStep::Whole => return Ended::by_caller(StreamEnd::Whole),
                RunStep::Broken(end) => {
                    current = None;
                    if !besides.is_empty() {
                        continue;
                    }
                    self.front.await_repeat(&self.req).await;
                    let next = (sent_to_go_on < SENT_TO_GO_ON).then(|| self.begin_beside(end));
                    let Some(flight) = next.flatten() else { return Ended::by(end) };
                    sent_to_go_on += 1;
                    besides.push(flight.clone(), self.take_up(flight));
                }
            }
        }
    }

    /// Hands events to the caller, who may read slowly, but no longer than its time lasts.
    async fn hand_on(&self, events: Bytes) -> Option<StreamEnd> {
        match self.front.by(self.req.deadline, self.tx.pass(events)).await {
            Some(Ok(())) => None,
            Some(Err(_)) => Some(StreamEnd::CallerLeft),
            None => Some(StreamEnd::DeadlinePassed),
        }
    }

    /// Looks at the replica whose answer is passed on.
    fn look(&self, current: &mut Option<StreamRun>, seen: &mut LastSeen) -> Option<ReplicaLook> {
        let run = current.as_ref()?;
        let look = self.front.look(&self.req, &run.flight, run.heard);
        *seen = LastSeen { heard: run.heard, standstill: run.flight.standstill() };
        if look == ReplicaLook::Lost {
            *current = None;
        }
        Some(look)
    }

    /// Chooses a replica that is to go on after the last event passed on.
    ///
    /// Its caller waits for the next event and leaves soon: it is never put behind.
    fn begin_beside(&mut self, end: AttemptEnd) -> Option<Rc<Flight>> {
        self.tries.begin_beside(&self.front, &self.req, Urgency::GoesOn, end)
    }

    fn take_up(
        &self,
        flight: Rc<Flight>,
    ) -> impl Future<Output = (Rc<Flight>, Result<(StreamRun, RunStep), AttemptEnd>)> + use<> {
        let (front, req, last) = (self.front.clone(), self.req.clone(), self.last);
        async move { (flight.clone(), take_up(front, req, flight, last).await) }
    }
}

/// Waits for what comes next of the answer that is passed on; never ends where there is none.
async fn next_of(current: &mut Option<StreamRun>, last: Option<u64>) -> RunStep {
    let Some(run) = current else { return std::future::pending().await };
    let flight = run.flight.clone();
    tokio::select! {
        // Events that come often leave no time for a look.
        () = flight.given_up() => RunStep::Broken(AttemptEnd::ReplicaLost),
        step = run.next(last) => step,
    }
}
