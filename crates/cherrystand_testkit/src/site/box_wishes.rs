//! What boxes ask of the daemons that send to them, and whether they got it.

use std::time::{Duration, Instant};

use crate::Arrival;

/// Whom a box turns away.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Sheds {
    /// Nobody.
    #[default]
    None,
    /// Everybody.
    All,
    /// Every other request.
    EverySecond,
    /// Whoever comes while it works on so many requests.
    Beyond(usize),
    /// The requests of one daemon, by how their ids begin.
    From(&'static str),
}

/// Which answers of a box name its limit.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum LimitIn {
    /// All.
    #[default]
    All,
    /// Every other one.
    EverySecond,
    /// Those to requests that it serves.
    Served,
}

/// What a box asks of daemons.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct BoxWishes {
    /// Whom it turns away, without running the request.
    pub sheds: Sheds,
    /// What it says of rest as it does, as the header has it.
    pub rest: Option<&'static str>,
    /// Whether it says in all its answers that it leaves; its entry says nothing of it.
    pub leaves: bool,
    /// The request that it names as it turns one away, where it is another one.
    pub names: Option<&'static str>,
    /// The requests a second that it says in its answers it takes, as the header has it.
    pub limit: Option<&'static str>,
    /// Which answers say so.
    pub limit_in: LimitIn,
    /// How many bytes each event of its streams has beside what names it.
    pub event_bytes: usize,
    /// Whether its answers lack its seal.
    pub unsealed: bool,
    /// After how long it breaks off an answer that stays unread.
    pub cuts_unread: Option<Duration>,
}

impl BoxWishes {
    /// Wishes of a box that turns requests away and asks for rest.
    pub fn rest(sheds: Sheds, rest: &'static str) -> Self {
        Self { sheds, rest: Some(rest), ..Self::default() }
    }

    /// Wishes of a box that names how many requests a second it takes.
    pub fn limit(limit: &'static str) -> Self {
        Self { limit: Some(limit), ..Self::default() }
    }

    /// Wishes of a box whose streams are large, and which breaks them off where nobody reads them.
    pub fn large_events(event_bytes: usize, cuts_unread: Option<Duration>) -> Self {
        Self { event_bytes, cuts_unread, ..Self::default() }
    }

    /// Wishes of a box that leaves.
    pub fn leaving() -> Self {
        Self { leaves: true, ..Self::default() }
    }
}

/// What a box told a daemon in an answer.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Signal {
    /// It wants nothing for so long.
    Backoff(Duration),
    /// It leaves.
    Leaving,
    /// It takes so many requests a second from all daemons together.
    RateLimit(f64),
}

/// A wish in an answer.
#[derive(Clone, Debug)]
pub struct SentSignal {
    /// The request that was answered.
    pub request: String,
    /// The box.
    pub target: String,
    /// When its life began, in Unix milliseconds.
    pub incarnation: u64,
    /// When it answered.
    pub at: Instant,
    /// What it asked for.
    pub signal: Signal,
}

/// Requests that were already on their way as a box asked for rest arrive within this time.
const BACKOFF_DELAY: Duration = Duration::from_millis(500);

/// How many requests of one daemon may reach a box within a rest.
const MAX_REQUESTS_IN_BACKOFF: usize = 2;

/// Within this time nothing new reaches a box that leaves.
const LEAVING_DELAY: Duration = Duration::from_millis(2_000);

/// Names each wish that a daemon did not follow; `daemon_of` finds the daemon of a request, where its
/// daemon counts at that moment.
pub fn ignored_signals<D: PartialEq>(
    signals: &[SentSignal],
    arrivals: &[Arrival],
    daemon_of: impl Fn(&str, Instant) -> Option<D>,
) -> Vec<String> {
    let violations = signals.iter().filter_map(|sent| {
        let daemon = daemon_of(&sent.request, sent.at)?;
        let (from, until, most) = match sent.signal {
            Signal::Backoff(rest) => {
                (sent.at + BACKOFF_DELAY, Some(sent.at + rest), MAX_REQUESTS_IN_BACKOFF)
            }
            Signal::Leaving => (sent.at + LEAVING_DELAY, None, 0),
            // Of all daemons together: `exceeded_limits`.
            Signal::RateLimit(_) => return None,
        };
        let late = arrivals.iter().filter(|arrival| {
            arrival.target == sent.target
                && arrival.incarnation == Some(sent.incarnation)
                && arrival.at > from
                && until.is_none_or(|until| arrival.at <= until)
                && daemon_of(&arrival.request, arrival.at).as_ref() == Some(&daemon)
        });
        let late = late.count();
        let (id, signal) = (&sent.target, sent.signal);
        (late > most).then(|| format!("{id} told {}: {signal:?}, and got {late}", sent.request))
    });
    violations.collect()
}
