//! The permits that one node has for one endpoint with a limit.

use crate::{Millis, RateLimitMessage, RateLimitReport, RequestRate};

/// How long a question goes on after the last request that could have used a permit, at a node to which such
/// requests come often.
const WANTED_FOR: Millis = Millis(600);

/// How long a question waits at the keeper there, unless it is asked once more.
const LASTS_FOR: Millis = Millis(1_500);

/// How long a question of any other node waits there: no longer than the request that asks waits, less the way.
const WAITED_FOR: Millis = Millis(10);

/// How much longer an answer to such a question is taken: it may be on its way.
const ANSWERED_WITHIN: Millis = Millis(90);

/// The longest time between two requests that counts, so that a node that is seldom asked does not count as
/// one that is until many more came.
const LONGEST_GAP: f64 = 1_000.0;

/// How much the newest time between two requests counts against those before.
const GAP_WEIGHT: f64 = 0.25;

/// How often an open question is asked again, as datagrams are lost.
const ASK_EVERY: Millis = Millis(500);

/// The shortest and longest time for which an unused permit is kept; between them as long as the next one
/// takes, so that about one is out unused at a time.
const KEPT_FOR: (Millis, Millis) = (Millis(50), Millis(250));

/// Permits that are asked for at once last for this long at the endpoint's rate.
const AHEAD_FOR: f64 = 0.1;

/// The most permits that are asked for at once.
const MOST_AHEAD: f64 = 8.0;

/// Returns how long an unused permit is kept.
pub(crate) fn kept_for(rate: f64) -> Millis {
    let next = Millis((1_000.0 / rate.max(f64::MIN_POSITIVE)) as u64);
    next.clamp(KEPT_FOR.0, KEPT_FOR.1)
}

#[derive(Clone, Copy, Debug)]
struct Question {
    number: u64,
    want: u8,
    lasts: Millis,
    given: u8,
    used: u8,
    asked: Millis,
    /// When permits last came.
    got: Millis,
    /// Whether the keeper has answered it.
    answered: bool,
}

impl Question {
    fn unused(&self) -> u8 {
        self.given.saturating_sub(self.used)
    }
}

/// Keeps a node's permits for one endpoint, and what it asks for.
///
/// Permits come one question at a time, as their number in all, so that a doubled or late answer gives none
/// twice; those that are not used soon go back.
///
/// Where requests come often, the next permit is asked for before it is wanted. Elsewhere it would lie there
/// unused while others want it, and is asked for by the request that could use it.
#[derive(Clone, Copy, Debug)]
pub(crate) struct RateLimitPermits {
    open: Option<Question>,
    /// When a request last could have used one, or did, that no question was asked for.
    wanted: Option<Millis>,
    /// When one last could have used a permit at all.
    last: Option<Millis>,
    /// The usual milliseconds between two such requests.
    gap: f64,
    /// How many questions of other nodes waited, by the last answer.
    waiting: u16,
    /// Whether the keeper answered, which nobody was told of.
    has_new: bool,
}

impl Default for RateLimitPermits {
    fn default() -> Self {
        Self { open: None, wanted: None, last: None, gap: LONGEST_GAP, waiting: 0, has_new: false }
    }
}

impl RateLimitPermits {
    /// Notes that a request could use a permit.
    pub(crate) fn record_demand(&mut self, now: Millis) {
        if let Some(last) = self.last.replace(now) {
            let gap = (now.since(last).0 as f64).min(LONGEST_GAP);
            self.gap += GAP_WEIGHT * (gap - self.gap);
        }
        self.wanted = Some(now);
    }

    /// Tells whether nothing is asked for.
    pub(crate) fn is_idle(&self) -> bool {
        self.open.is_none() && self.wanted.is_none()
    }

    /// Tells whether requests come often enough to use a permit that waits for them.
    fn is_busy(&self, rate: f64) -> bool {
        self.gap <= kept_for(rate).0 as f64
    }

    /// Tells whether a permit may come at any moment.
    pub(crate) fn may_arrive(&self) -> bool {
        self.wanted.is_some()
            && self.open.is_none_or(|open| !open.answered || open.used >= open.want)
    }

    /// Tells whether a permit is at hand.
    pub(crate) fn has_permit(&self, rate: f64, now: Millis) -> bool {
        self.open.is_some_and(|open| open.unused() > 0 && now < open.got + kept_for(rate))
    }

    /// Uses a permit, where there is one.
    pub(crate) fn take(&mut self, rate: f64, now: Millis) -> bool {
        if !self.has_permit(rate, now) {
            return false;
        }
        if let Some(open) = &mut self.open {
            open.used += 1;
        }
        self.wanted = self.is_busy(rate).then_some(now);
        true
    }

    /// Has the last permit back that was used for a request which was not sent.
    pub(crate) fn return_permit(&mut self) {
        if let Some(open) = &mut self.open {
            open.used = open.used.saturating_sub(1);
        }
    }

    /// Takes in an answer of the keeper.
    pub(crate) fn handle_grant(&mut self, news: RateLimitMessage, now: Millis) {
        let RateLimitMessage::Give { number, given, waiting, .. } = news else { return };
        let Some(open) = self.open.as_mut().filter(|open| open.number == number) else { return };
        self.waiting = waiting;
        self.has_new |= !std::mem::replace(&mut open.answered, true);
        if given.min(open.want) > open.given {
            (open.given, open.got) = (given.min(open.want), now);
            self.has_new = true;
        }
    }

    /// Tells whether permits came since the last time, or the word that there is none for now.
    pub(crate) fn take_has_news(&mut self) -> bool {
        std::mem::take(&mut self.has_new)
    }

    /// Returns about when the next permit comes.
    pub(crate) fn next_permit_at(&self, rate: f64, now: Millis) -> Millis {
        let before = f64::from(self.waiting) + 1.0;
        now + Millis((before * 1_000.0 / rate.max(f64::MIN_POSITIVE)) as u64)
    }

    /// Returns what the keeper is to be told now.
    pub(crate) fn step(
        &mut self,
        limit: RequestRate,
        rate: f64,
        word: RateLimitReport,
        last_number: &mut u64,
        now: Millis,
    ) -> Option<RateLimitMessage> {
        let lasts = if self.is_busy(rate) { WANTED_FOR } else { WAITED_FOR + ANSWERED_WITHIN };
        let is_wanted = self.wanted.is_some_and(|at| now.since(at) < lasts);
        let is_used_up = self.open.is_none_or(|open| open.used >= open.want);
        if is_used_up && is_wanted {
            // Its number closes the question before it.
            return Some(self.open_request(limit, rate, word, last_number, now));
        }
        let mut open = self.open?;
        let is_over = match open.unused() {
            0 => is_used_up || !is_wanted,
            _ => now >= open.got + kept_for(rate),
        };
        if is_over {
            (self.open, self.wanted) = (None, None);
            if open.given == 0 && open.lasts < ASK_EVERY {
                // The keeper has dropped it by itself.
                return None;
            }
            return Some(RateLimitMessage::Return { number: open.number, used: open.used });
        }
        // One that does not last is asked again as the next request wants it.
        let is_wanted_since = self.wanted > Some(open.asked) || open.lasts > ASK_EVERY;
        let is_due = now.since(open.asked) >= open.lasts.min(ASK_EVERY) && is_wanted_since;
        if open.unused() > 0 || !is_due {
            return None;
        }
        open.answered = false;
        open.asked = now;
        self.open = Some(open);
        let Question { number, want, lasts, .. } = open;
        Some(RateLimitMessage::Ask { word, number, want, lasts })
    }

    fn open_request(
        &mut self,
        limit: RequestRate,
        rate: f64,
        word: RateLimitReport,
        last_number: &mut u64,
        now: Millis,
    ) -> RateLimitMessage {
        *last_number += 1;
        let number = *last_number;
        let ahead = (limit.as_f64() * AHEAD_FOR).ceil().clamp(1.0, MOST_AHEAD) as u8;
        let (want, lasts) = if self.is_busy(rate) { (ahead, LASTS_FOR) } else { (1, WAITED_FOR) };
        self.open = Some(Question {
            number,
            want,
            lasts,
            given: 0,
            used: 0,
            asked: now,
            got: now,
            answered: false,
        });
        RateLimitMessage::Ask { word, number, want, lasts }
    }

    /// Gives up what was asked of a keeper that is it no more.
    pub(crate) fn abandon_request(&mut self) {
        self.open = None;
    }
}
