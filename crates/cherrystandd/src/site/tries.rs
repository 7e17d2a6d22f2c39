//! What one request was sent to, and what became of it there.

use std::rc::Rc;

use cherrystand_core::{AttemptEnd, AttemptLedger, BoxId, FinalFailure};
use hyper::StatusCode;

use crate::site::flight::Flight;
use crate::site::front::{Front, Urgency};
use crate::site::request::SiteRequest;

/// Keeps the boxes that one request was sent to, and the ends of its attempts.
#[derive(Default)]
pub(crate) struct Tries {
    /// The boxes, in the order in which they were sent the request.
    pub(crate) tried: Vec<BoxId>,
    /// What became of it there.
    pub(crate) ledger: AttemptLedger,
    /// Whether it was counted that nothing was asked beside for want of a repeat.
    stay_counted: bool,
}

impl Tries {
    /// Chooses an endpoint that was not tried, or else one that was, and counts the attempt.
    pub(crate) fn begin(&mut self, front: &Rc<Front>, req: &Rc<SiteRequest>) -> Option<Rc<Flight>> {
        let flight = front.choose(req, &self.tried, Urgency::Begins);
        let Some(flight) = flight else {
            front.note_none_serving(req);
            return None;
        };
        self.count(&flight);
        Some(flight)
    }

    /// Chooses another replica for a stream beside those that have it, or after all of these failed;
    /// `end` says why, as far as the repeat is counted by it.
    pub(crate) fn begin_beside(
        &mut self,
        front: &Rc<Front>,
        req: &Rc<SiteRequest>,
        urgency: Urgency,
        end: AttemptEnd,
    ) -> Option<Rc<Flight>> {
        let may_resume = front.may_resume(&req.route, self.ledger.max_executions());
        if !may_resume || front.now() >= req.deadline {
            return None;
        }
        if !self.may_end_another(front, req) {
            return None;
        }
        if !front.has_repeat(req) {
            // It is looked at 25 times a second.
            if !std::mem::replace(&mut self.stay_counted, true) {
                front.repeats.count_stay();
            }
            return None;
        }
        let flight = front.choose(req, &self.tried, urgency)?;
        if self.tried.contains(&flight.target) || !front.may_repeat(req, end) {
            return None;
        }
        self.count(&flight);
        Some(flight)
    }

    fn count(&mut self, flight: &Flight) {
        self.tried.push(flight.target.clone());
        self.ledger.record_sent();
    }

    /// Takes in how an attempt ended, and tells whether another one follows.
    pub(crate) async fn go_on(
        &mut self,
        front: &Front,
        req: &SiteRequest,
        end: AttemptEnd,
    ) -> bool {
        self.ledger.record_end(end);
        let may_send = self.ledger.may_send(&req.route, front.now(), req.deadline);
        // A repeat is not spent where nobody may be sent it.
        if !may_send || front.unavailable_until(req).is_some() || !self.may_end_another(front, req)
        {
            return false;
        }
        front.await_repeat(req).await;
        front.may_repeat(req, end)
    }

    /// Tells whether the request may be sent once more though it may be what ends its replicas.
    fn may_end_another(&self, front: &Front, req: &SiteRequest) -> bool {
        let may = front.crashes.may_send(req, self.ledger.open_attempts());
        if !may {
            front.repeats.count_suspect();
        }
        may
    }

    /// Writes the failure down and says what the caller is told.
    pub(crate) fn failed(&self, front: &Front, req: &SiteRequest, end: AttemptEnd) -> StatusCode {
        let status = self.status();
        front.failures.failed(req, &self.tried, end.as_str(), status.as_str());
        status
    }

    /// Says what the caller is told if no further attempt is made.
    pub(crate) fn status(&self) -> StatusCode {
        match self.ledger.failure() {
            FinalFailure::NotRun => StatusCode::SERVICE_UNAVAILABLE,
            FinalFailure::TimedOut => StatusCode::GATEWAY_TIMEOUT,
            FinalFailure::AnswerLost => StatusCode::BAD_GATEWAY,
        }
    }
}
