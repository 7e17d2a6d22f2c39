//! Copies of a request that is known to end what runs it, which are under way as that gets known.
//!
//! Source: docs/design/0021-trials-of-refused-requests.md.

use std::rc::{Rc, Weak};
use std::time::Duration;

use cherrystand_core::Fingerprint;

use crate::site::active_attempt::ActiveAttempt;
use crate::site::crash_watch::CrashWatch;

/// How long after the third end copies are called off: until then peers have told which others of their requests were
/// at the same ends and may be the cause as well.
const CANCEL_DELAY: Duration = Duration::from_millis(50);

/// From this many attempts on, those that have ended are forgotten.
const PRUNE_THRESHOLD: usize = 64;

impl CrashWatch {
    /// Follows an attempt for as long as it is under way.
    pub(crate) fn track_attempt(&self, attempt: &Rc<ActiveAttempt>) {
        let mut copies = self.attempts.borrow_mut();
        if copies.len() >= PRUNE_THRESHOLD && copies.len() == copies.capacity() {
            copies.retain(|copy| copy.strong_count() > 0);
        }
        copies.push(Rc::downgrade(attempt));
    }

    /// Calls off the copies of a request that are under way, once it is clear that nothing else explains its ends.
    ///
    /// They would end their replicas: where a tenth of the requests of a kind was one that does, two to five replicas
    /// ended after the third, up to a second later. What others explain as well is left alone: it may be innocent.
    pub(super) fn cancel_attempts_soon(&self, request: Fingerprint) {
        let own = self.weak_self.clone();
        tokio::task::spawn_local(async move {
            tokio::time::sleep(CANCEL_DELAY).await;
            if let Some(own) = own.upgrade() {
                own.cancel_attempts(request);
            }
        });
    }

    fn cancel_attempts(&self, request: Fingerprint) {
        let suspects = self.suspects.borrow();
        if !suspects.is_sole_cause(request) || suspects.is_trial_request(request) {
            return;
        }
        drop(suspects);
        let copies: Vec<Rc<ActiveAttempt>> =
            self.attempts.borrow().iter().filter_map(Weak::upgrade).collect();
        let copies = copies.iter().filter(|copy| copy.fingerprint() == request);
        let called_off = copies.map(|copy| copy.cancel()).count();
        if called_off > 0 {
            log::info!(
                fingerprint = request.to_string(), copies = called_off;
                "copies of a refused request are called off"
            );
        }
    }
}
