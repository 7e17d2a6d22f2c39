//! The account of one endpoint's limit, at the node that keeps it for all.

use std::collections::VecDeque;

use crate::requests::rate_limit_permits::kept_for;
use crate::{Millis, RateLimitMessage, RateLimitReport};

/// How many seconds of the limit a new account owes.
///
/// The endpoint had more than it takes before it named the limit, and another keeper may have given
/// permits until just now.
const OWED_SECS: f64 = 1.0;

/// The permits that may be given at once after a pause: with one alone a fifth of the limit would be lost between
/// the requests of callers that come by chance.
const DEPTH: f64 = 2.0;

/// The rate below which one permit alone may be given at once: two would be those of many seconds.
const LOW_RATE: f64 = 0.3;

/// The seconds of a high limit that may be given at once, as time goes in steps.
const DEPTH_SECS: f64 = 0.025;

/// How much longer than it is kept a permit counts as out: what is handed back is on its way.
const ON_ITS_WAY: Millis = Millis(50);

/// The longest time for which a question waits unless it is asked again, and for which its end is remembered.
const LONGEST_WAIT: Millis = Millis(2_000);

/// The most questions that wait; more come from nowhere, as each node has one.
const MOST_WAITING: usize = 1_024;

/// What a question asks for.
#[derive(Clone, Copy, Debug)]
pub(crate) struct PermitRequest {
    pub(crate) number: u64,
    pub(crate) want: u8,
    pub(crate) lasts: Millis,
}

#[derive(Clone, Copy, Debug)]
struct Waiting<N> {
    from: N,
    number: u64,
    want: u8,
    given: u8,
    until: Millis,
    /// Whether its asker has closed it.
    is_closed: bool,
}

impl<N> Waiting<N> {
    fn is_served(&self) -> bool {
        self.is_closed || self.given >= self.want
    }
}

/// Gives permits out at the rate of one limit, to those that ask in turn (a token bucket).
#[derive(Clone, Debug)]
pub(crate) struct RateLimitLedger<N> {
    permits: f64,
    as_of: Millis,
    waiting: Vec<Waiting<N>>,
    /// When the permits were given that may be out unused.
    out: VecDeque<Millis>,
    /// How many may be given at once, where that is not the usual figure.
    at_once: Option<f64>,
}

impl<N: Copy + PartialEq> RateLimitLedger<N> {
    /// Creates an account that owes what the endpoint had before, or has all that may be given at once.
    pub(crate) fn new(rate: f64, at_once: Option<f64>, now: Millis) -> Self {
        let permits = at_once.unwrap_or(-rate * OWED_SECS);
        Self { permits, as_of: now, waiting: Vec::new(), out: VecDeque::new(), at_once }
    }

    /// Tells whether nobody waits for a permit, and none is out that may come back.
    pub(crate) fn is_idle(&self) -> bool {
        self.out.is_empty() && self.waiting.iter().all(Waiting::is_served)
    }

    /// Takes in a question, and returns the answer for now: how many were given to it before.
    pub(crate) fn handle_request(
        &mut self,
        from: N,
        question: PermitRequest,
        word: RateLimitReport,
        now: Millis,
    ) -> Option<RateLimitMessage> {
        let PermitRequest { number, want, lasts } = question;
        let until = now + lasts.min(LONGEST_WAIT);
        let fresh = Waiting { from, number, want, given: 0, until, is_closed: false };
        let held = self.waiting.iter().position(|held| held.from == from);
        let given = match held.map(|place| (place, self.waiting[place])) {
            Some((_, held)) if number < held.number => return None,
            Some((place, held)) if number == held.number => {
                if held.is_closed {
                    return None;
                }
                self.waiting[place].until = fresh.until;
                held.given
            }
            // Who gave up a question and asks anew keeps its place; who was served goes to the end.
            Some((place, held)) if held.given == 0 && !held.is_closed => {
                self.waiting[place] = fresh;
                0
            }
            Some((place, held)) => {
                // It has used all that it had.
                self.forget_outstanding(held.given);
                self.waiting.remove(place);
                self.waiting.push(fresh);
                0
            }
            None if self.waiting.len() < MOST_WAITING => {
                self.waiting.push(fresh);
                0
            }
            None => 0,
        };
        let is_next = self.permits >= 1.0 && given == 0;
        (!is_next).then(|| RateLimitMessage::Give {
            word,
            number,
            given,
            waiting: self.queue_length(),
        })
    }

    /// Counts permits as out no more, and returns how many of them did; the others are lost.
    fn forget_outstanding(&mut self, given: u8) -> usize {
        let before = self.out.len();
        self.out.truncate(before.saturating_sub(usize::from(given)));
        before - self.out.len()
    }

    /// Returns how many questions wait for a permit.
    fn queue_length(&self) -> u16 {
        self.waiting.iter().filter(|held| !held.is_served()).count() as u16
    }

    /// Takes back what was not used of a question, which is closed by that.
    pub(crate) fn handle_return(&mut self, from: N, number: u64, used: u8, now: Millis) {
        let mut given = 0;
        if let Some(place) = self.waiting.iter().position(|held| held.from == from) {
            let held = self.waiting[place];
            if number < held.number || (number == held.number && held.is_closed) {
                return;
            }
            self.waiting.remove(place);
            if held.number == number {
                given = held.given;
            }
        }
        let unused = self.forget_outstanding(given).min(usize::from(given.saturating_sub(used)));
        self.permits += unused as f64;
        // It is remembered, as the question itself may come late or twice.
        if self.waiting.len() < MOST_WAITING {
            let until = now + LONGEST_WAIT;
            self.waiting.push(Waiting { from, number, want: 0, given: 0, until, is_closed: true });
        }
    }

    /// Earns permits, unless as many are out unused as may be used at once.
    ///
    /// Permits that nobody uses go round; earned beside them without a bound, they would all be used together
    /// once callers come.
    fn refill(&mut self, rate: f64, now: Millis) {
        let out_for = kept_for(rate) + ON_ITS_WAY;
        while self.out.front().is_some_and(|at| now.since(*at) >= out_for) {
            self.out.pop_front();
        }
        let earned = rate * now.since(self.as_of).as_secs_f64();
        self.as_of = now.max(self.as_of);
        let usual_depth = if rate < LOW_RATE { 1.0 } else { DEPTH };
        let depth = self.at_once.unwrap_or((rate * DEPTH_SECS).max(usual_depth));
        let usually_out = (2.0 * rate * out_for.as_secs_f64() - 2.0).max(0.0);
        let room = (depth + usually_out - self.out.len() as f64).min(depth);
        self.permits = (self.permits + earned).min(room.max(self.permits));
    }

    /// Gives out what the endpoint takes by now.
    pub(crate) fn step(
        &mut self,
        rate: f64,
        word: RateLimitReport,
        now: Millis,
    ) -> Vec<(N, RateLimitMessage)> {
        self.waiting.retain(|held| now < held.until);
        self.refill(rate, now);
        let mut out = Vec::new();
        while self.permits >= 1.0
            && let Some(place) = self.waiting.iter().position(|held| !held.is_served())
        {
            self.permits -= 1.0;
            self.out.push_back(now);
            let mut held = self.waiting.remove(place);
            held.given += 1;
            // What is not used of it comes back later.
            held.until = held.until.max(now + LONGEST_WAIT);
            self.waiting.push(held);
            let (number, given, waiting) = (held.number, held.given, self.queue_length());
            out.push((held.from, RateLimitMessage::Give { word, number, given, waiting }));
        }
        out
    }
}
