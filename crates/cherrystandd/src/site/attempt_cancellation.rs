//! Cancels the attempts in flight of a request that is found to crash the boxes that run it.
//!
//! Source: docs/design/0021-trials-of-refused-requests.md.

use std::rc::Rc;
use std::time::Duration;

use cherrystand_core::{Fingerprint, MAX_CRASHES, Verdict};

use crate::site::active_attempt::ActiveAttempt;
use crate::site::crash_watch::CrashWatch;

/// How long after the last crash that makes a request refused its attempts are cancelled. By then
/// peers have reported which of their requests were involved in the same crashes and may be the
/// cause as well.
const CANCEL_DELAY: Duration = Duration::from_millis(25);

/// From this many tracked attempts on, finished ones are removed.
const PRUNE_THRESHOLD: usize = 64;

impl CrashWatch {
    /// Tracks an attempt until it finishes.
    pub(crate) fn track_attempt(&self, attempt: &Rc<ActiveAttempt>) {
        let mut attempts = self.attempts.borrow_mut();
        if attempts.len() >= PRUNE_THRESHOLD && attempts.len() == attempts.capacity() {
            attempts.retain(|attempt| attempt.strong_count() > 0);
        }
        attempts.push(Rc::downgrade(attempt));
    }

    /// Logs shortly after a request has crashed enough boxes what is done with it. If it is refused and
    /// no other request explains its crashes, those of its attempts in flight are cancelled that ran less
    /// long than the crashes took.
    ///
    /// Left running, they would crash their replicas: with a tenth of the requests of one kind
    /// being such, two to five more replicas crashed up to a second after the third crash. If other
    /// requests explain the crashes as well, this one may be harmless and keeps running.
    pub(super) fn judge_soon(&self, request: Fingerprint) {
        let own = self.weak_self.clone();
        tokio::task::spawn_local(async move {
            tokio::time::sleep(CANCEL_DELAY).await;
            if let Some(own) = own.upgrade() {
                let outlived = own.find_outlived(&[request]);
                own.tell_evidence(Vec::new(), outlived);
                own.log_verdict(request);
                own.cancel_attempts(request);
            }
        });
    }

    fn log_verdict(&self, request: Fingerprint) {
        let suspects = self.suspects.borrow();
        let (verdict, evidence) = (suspects.verdict(request), suspects.evidence(request));
        let what = if request.is_part() { "a part of prompts" } else { "a request" };
        let outcome = match verdict {
            Verdict::Sent => return,
            Verdict::Confined => "confined to few replicas",
            Verdict::Refused => "refused",
        };
        log::warn!(
            fingerprint = request.to_string(), evidence = evidence;
            "{what} is {outcome} from now on: it was at the ends of {MAX_CRASHES} boxes"
        );
    }

    fn cancel_attempts(&self, request: Fingerprint) {
        let now = self.cx.clock.now();
        let suspects = self.suspects.borrow();
        let attempts = self.open_attempts();
        let cancelled = attempts.iter().filter(|attempt| {
            attempt.has_feature(request)
                && suspects.must_cancel(request, now.since(attempt.started_at))
        });
        let cancelled = cancelled.map(|attempt| attempt.cancel()).count();
        if cancelled > 0 {
            log::info!(
                fingerprint = request.to_string(), copies = cancelled,
                evidence = suspects.evidence(request);
                "attempts of a refused request were cancelled"
            );
        }
    }
}
