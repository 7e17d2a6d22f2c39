//! The attempts of one request and how they ended.

use std::rc::Rc;

use cherrystand_core::{AttemptEnd, AttemptLedger, BoxId, FinalFailure};
use hyper::StatusCode;

use crate::site::active_attempt::ActiveAttempt;
use crate::site::frontend::{AttemptPurpose, Frontend};
use crate::site::request::SiteRequest;

/// Keeps the boxes that one request was sent to, and how its attempts ended.
#[derive(Default)]
pub(crate) struct RequestAttempts {
    /// The boxes, in the order in which they were sent the request.
    pub(crate) tried: Vec<BoxId>,
    /// How the attempts ended.
    pub(crate) ledger: AttemptLedger,
    /// Whether a further attempt that was withheld for lack of a retry has been counted.
    withheld_counted: bool,
}

impl RequestAttempts {
    /// Chooses an endpoint, preferably one that wasn't tried, and starts an attempt there.
    pub(crate) fn start(
        &mut self,
        frontend: &Rc<Frontend>,
        req: &Rc<SiteRequest>,
    ) -> Option<Rc<ActiveAttempt>> {
        let attempt = frontend.choose(req, &self.tried, AttemptPurpose::FirstAnswer);
        let Some(attempt) = attempt else {
            frontend.log_none_serving(req);
            return None;
        };
        self.record(&attempt);
        Some(attempt)
    }

    /// Starts an attempt of a stream at another replica, either beside the open attempts or after
    /// all of them failed. `end` is the reason under which the retry is counted.
    pub(crate) fn start_another(
        &mut self,
        frontend: &Rc<Frontend>,
        req: &Rc<SiteRequest>,
        purpose: AttemptPurpose,
        end: AttemptEnd,
    ) -> Option<Rc<ActiveAttempt>> {
        let may_resume = frontend.may_resume(&req.route, self.ledger.max_executions());
        if !may_resume || frontend.now() >= req.deadline {
            return None;
        }
        if !self.passes_crash_check(frontend, req) {
            return None;
        }
        if !frontend.has_retry(req) {
            // This is reached 25 times a second while the stall lasts.
            if !std::mem::replace(&mut self.withheld_counted, true) {
                frontend.retries.count_none_left();
            }
            return None;
        }
        let attempt = frontend.choose(req, &self.tried, purpose)?;
        if self.tried.contains(&attempt.target) || !frontend.spend_retry(req, end) {
            return None;
        }
        self.record(&attempt);
        Some(attempt)
    }

    fn record(&mut self, attempt: &ActiveAttempt) {
        self.tried.push(attempt.target.clone());
        self.ledger.record_sent();
    }

    /// Records how an attempt ended, and returns whether another one may follow; its retry is then
    /// spent.
    pub(crate) async fn try_again(
        &mut self,
        frontend: &Frontend,
        req: &SiteRequest,
        end: AttemptEnd,
    ) -> bool {
        self.ledger.record_end(end);
        let may_send = self.ledger.may_send(&req.route, frontend.now(), req.deadline);
        // No retry is spent if no endpoint may be sent the request.
        if !may_send
            || frontend.unavailable_until(req).is_some()
            || !self.passes_crash_check(frontend, req)
        {
            return false;
        }
        frontend.await_borrowed_retry(req).await;
        frontend.spend_retry(req, end)
    }

    /// Returns whether the request may be sent again, given that it may be what crashes its
    /// replicas.
    fn passes_crash_check(&self, frontend: &Frontend, req: &SiteRequest) -> bool {
        let allowed = frontend.crashes.may_send(req, self.ledger.open_attempts())
            && frontend.crashes.parts_may_run_again(req);
        if !allowed {
            frontend.retries.count_suspect();
        }
        allowed
    }

    /// Logs the failure and returns the status for the caller.
    pub(crate) fn log_failure(
        &self,
        frontend: &Frontend,
        req: &SiteRequest,
        end: AttemptEnd,
    ) -> StatusCode {
        let status = self.failure_status();
        frontend.failures.failed(req, &self.tried, end.as_str(), status.as_str());
        status
    }

    /// Returns the status for the caller if no further attempt is made.
    pub(crate) fn failure_status(&self) -> StatusCode {
        match self.ledger.failure() {
            FinalFailure::NotRun => StatusCode::SERVICE_UNAVAILABLE,
            FinalFailure::TimedOut => StatusCode::GATEWAY_TIMEOUT,
            FinalFailure::AnswerLost => StatusCode::BAD_GATEWAY,
        }
    }
}
