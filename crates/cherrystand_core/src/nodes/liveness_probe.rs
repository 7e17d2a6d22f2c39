//! Tells whether a box that does not answer is dead or silent for a moment, or the daemon that probes it
//! is itself slow.
//!
//! A daemon may declare a box silent only while there is evidence that the daemon itself is well: a
//! call to somebody else, the witness, that began at the same time as the probe and was answered in
//! a fraction of the time that the box was given. Without a witness, the daemon's own link or
//! processor may be slow, and it probes again with a longer timeout.
//!
//! A sound box may be silent for a second and go on, so a silent one is asked on. It counts as dead
//! only once it was silent for longer.
//!
//! Source: docs/design/0014-who-may-judge.md.

use crate::{CallHistory, Millis};

/// The timeout of each probe in turn. 200 ms finds a dead box well within the half second in which
/// that has to be known; a daemon that was slow itself allows more time.
const PROBE_TIMEOUTS: [Millis; 4] = [Millis(200), Millis(300), Millis(400), Millis(500)];

/// The longest silence of a sound box. Callers abandon a stream that is silent for 2 s.
pub const MAX_SOUND_SILENCE: Millis = Millis(1_500);

/// The timeout of each further probe of a silent box: four of them after the first probe reach
/// [`MAX_SOUND_SILENCE`].
const SILENT_PROBE_TIMEOUT: Millis = Millis(325);

/// How many probes are sent in all to a box that was silent once.
const MAX_SILENT_PROBES: usize = 16;

/// The wait for the box has to be this many times as long as the witness took: a link that is busy
/// enough to delay others by a third of the wait may well have delayed the box by all of it.
const MIN_WAIT_RATIO: u64 = 3;

/// Only a call that began within the first 1/4 of the wait is a witness; one that began later may
/// have met a link that had just become free.
const WITNESS_WINDOW_DIVISOR: u64 = 4;

/// A call that began up to this long before the probe is a witness as well.
pub const WITNESS_LEAD_TIME: Millis = Millis(20);

/// A timer that fires later than this shows that the daemon's own processor was busy.
const MAX_TIMER_DELAY: Millis = Millis(60);

/// The result of a probe that was not answered in time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ProbeVerdict {
    /// The box has ended, or was silent for longer than a sound one is.
    Dead,
    /// The box is silent while others answer, and may go on.
    Silent,
    /// The daemon may be slow itself, so it probes the box again.
    AskAgain,
    /// The daemon was slow itself in all probes, so nothing is known about the box.
    Undecided,
}

impl ProbeVerdict {
    /// Returns the name that metrics use.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Dead => "dead",
            Self::Silent => "silent",
            Self::AskAgain => "ask-again",
            Self::Undecided => "undecided",
        }
    }
}

/// Why a box is probed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum ProbeReason {
    /// Requests or orders to it, or to its replica, were not answered.
    NoAnswer,
    /// The store no longer lists it, and nothing else suggests that it is dead.
    NotListed,
}

/// How a probe failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ProbeFailure {
    /// Nothing listens at the address of the box.
    Refused,
    /// The connection was reset or closed before an answer came. A box that is at its limit of connections
    /// does so with new ones, and serves those that are open.
    Cut,
    /// No answer came in time.
    Unanswered,
}

impl ProbeFailure {
    /// Returns the name that logs use.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Refused => "refused",
            Self::Cut => "cut",
            Self::Unanswered => "unanswered",
        }
    }
}

/// Tracks the probes of one box until it answers or a verdict is reached.
#[derive(Clone, Copy, Debug, Default)]
pub struct LivenessProbe {
    timeouts: usize,
    /// For how long the box was shown to be silent, without the time for which nothing is known.
    silence: Millis,
}

impl LivenessProbe {
    /// Returns the timeout of the next probe.
    pub fn timeout(&self) -> Millis {
        if self.was_silent() {
            return SILENT_PROBE_TIMEOUT;
        }
        PROBE_TIMEOUTS[self.timeouts.min(PROBE_TIMEOUTS.len() - 1)]
    }

    /// Returns the verdict on a box that refused the connection.
    ///
    /// A box that is cut off from the store refuses probes and orders just like a dead one, and may
    /// still be serving. Unless its replica was seen to stall, the refusal therefore proves
    /// nothing. A box that is dead is found by its interrupted streams, within 0.4 s.
    pub fn verdict_on_refusal(reason: ProbeReason) -> ProbeVerdict {
        match reason {
            ProbeReason::NoAnswer => ProbeVerdict::Dead,
            ProbeReason::NotListed => ProbeVerdict::Undecided,
        }
    }

    /// Returns whether the box was shown to be silent, and has not answered since.
    pub fn was_silent(&self) -> bool {
        self.silence > Millis(0)
    }

    /// Records a probe that shows nothing, as the daemon may be slow or cut off itself or the box turned
    /// the connection away, and returns the verdict.
    pub fn record_doubt(&mut self) -> ProbeVerdict {
        self.timeouts += 1;
        let most = match self.was_silent() {
            true => MAX_SILENT_PROBES,
            false => PROBE_TIMEOUTS.len(),
        };
        match self.timeouts < most {
            true => ProbeVerdict::AskAgain,
            false => ProbeVerdict::Undecided,
        }
    }

    /// Returns whether a probe that was sent at `started` and not answered by `now` shows that the box is
    /// silent.
    pub fn shows_silence(&self, started: Millis, now: Millis, calls: &CallHistory) -> bool {
        is_silent(started, self.timeout(), now, calls)
    }

    /// Records a probe that showed for `waited` that the box is silent, and returns the verdict.
    pub fn record_silence(&mut self, waited: Millis) -> ProbeVerdict {
        self.timeouts += 1;
        self.silence = self.silence + waited;
        match self.silence >= MAX_SOUND_SILENCE {
            true => ProbeVerdict::Dead,
            false => ProbeVerdict::Silent,
        }
    }
}

/// Returns whether a probe that was not answered within `timeout` shows that the box is silent.
fn is_silent(started: Millis, timeout: Millis, now: Millis, calls: &CallHistory) -> bool {
    let waited = now.since(started);
    if waited > timeout + MAX_TIMER_DELAY {
        return false;
    }
    let latest_start = started + Millis(timeout.0 / WITNESS_WINDOW_DIVISOR);
    let quickest = calls.fastest_answer_between(started - WITNESS_LEAD_TIME, latest_start);
    quickest.is_some_and(|took| took.0 * MIN_WAIT_RATIO <= waited.0)
}
