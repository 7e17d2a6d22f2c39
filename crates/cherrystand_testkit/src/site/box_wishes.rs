//! Signals that boxes send to daemons in their answers, and the check that daemons follow them.

use std::time::{Duration, Instant};

use crate::Arrival;

/// Which requests a box refuses.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Sheds {
    /// None.
    #[default]
    None,
    /// All.
    All,
    /// Every other request.
    EverySecond,
    /// Those that arrive while it works on this many requests.
    Beyond(usize),
    /// Those of one daemon, recognized by the prefix of their ids.
    From(&'static str),
}

/// Which answers of a box advertise its rate limit.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum LimitIn {
    /// All.
    #[default]
    All,
    /// Every other one.
    EverySecond,
    /// Those with a success status.
    Served,
}

/// What a box tells daemons in its answers, and how it treats requests.
///
/// Fault schedules print this type.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct BoxWishes {
    /// Which requests it refuses without running them.
    pub sheds: Sheds,
    /// The `retry-after` header of its refusals.
    pub rest: Option<&'static str>,
    /// Whether all its answers say that it leaves; its entry doesn't.
    pub leaves: bool,
    /// The request id in its refusals, if it differs from the id of the refused request.
    pub names: Option<&'static str>,
    /// The limit of requests per second in the `server-limit` header of its answers.
    pub limit: Option<&'static str>,
    /// Which answers have that header.
    pub limit_in: LimitIn,
    /// Number of padding bytes in each event of its streams.
    pub event_bytes: usize,
    /// Whether its answers lack the seal that identifies it.
    pub unsealed: bool,
    /// Time after which it aborts an answer that is not read.
    pub cuts_unread: Option<Duration>,
    /// By how much more than one the ids of its events rise.
    pub id_gap: u64,
    /// The event of a stream inside which it ends its answer, as if that were whole.
    pub ends_inside: Option<u64>,
}

impl BoxWishes {
    /// A box that refuses requests and asks for backoff.
    pub fn rest(sheds: Sheds, rest: &'static str) -> Self {
        Self { sheds, rest: Some(rest), ..Self::default() }
    }

    /// A box that advertises a limit of requests per second.
    pub fn limit(limit: &'static str) -> Self {
        Self { limit: Some(limit), ..Self::default() }
    }

    /// A box whose streams are large, and which aborts them if they are not read.
    pub fn large_events(event_bytes: usize, cuts_unread: Option<Duration>) -> Self {
        Self { event_bytes, cuts_unread, ..Self::default() }
    }

    /// A box that says it leaves.
    pub fn leaving() -> Self {
        Self { leaves: true, ..Self::default() }
    }
}

/// A signal that a box sends to a daemon in an answer.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Signal {
    /// It asks not to be sent requests for this long.
    Backoff(Duration),
    /// It leaves.
    Leaving,
    /// It takes this many requests per second from all daemons together; infinitely many once its good
    /// answers name no limit any more.
    RateLimit(f64),
}

/// A signal that was sent in an answer.
#[derive(Clone, Debug)]
pub struct SentSignal {
    /// The request that was answered.
    pub request: String,
    /// The box.
    pub target: String,
    /// The incarnation of the box: when it started, in Unix milliseconds.
    pub incarnation: u64,
    /// When it answered.
    pub at: Instant,
    /// What it signalled.
    pub signal: Signal,
}

/// Time within which requests that were already on their way may arrive after a box asked for backoff.
const BACKOFF_DELAY: Duration = Duration::from_millis(500);

/// Maximum number of requests of one daemon that may reach a box during backoff.
const MAX_REQUESTS_IN_BACKOFF: usize = 2;

/// Time after which no new request may reach a box that said it leaves.
const LEAVING_DELAY: Duration = Duration::from_millis(2_000);

/// Describes each signal that a daemon ignored.
///
/// `daemon_of` returns the daemon of a request, or nothing if that daemon is excused at that time.
pub fn ignored_signals<D: PartialEq>(
    signals: &[SentSignal],
    arrivals: &[Arrival],
    daemon_of: impl Fn(&str, Instant) -> Option<D>,
) -> Vec<String> {
    let violations = signals.iter().filter_map(|sent| {
        let daemon = daemon_of(&sent.request, sent.at)?;
        let (from, until, most) = match sent.signal {
            Signal::Backoff(backoff) => {
                (sent.at + BACKOFF_DELAY, Some(sent.at + backoff), MAX_REQUESTS_IN_BACKOFF)
            }
            Signal::Leaving => (sent.at + LEAVING_DELAY, None, 0),
            // Limits hold for all daemons together: `exceeded_limits` checks them.
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
        (late > most).then(|| {
            format!(
                "{id} sent {signal:?} in its answer to {}, and got {late} requests",
                sent.request
            )
        })
    });
    violations.collect()
}
