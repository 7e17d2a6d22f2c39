//! Splits the time in which a change has to reach all daemons into the timeouts along its path.
//!
//! Source: docs/design/0025-how-old-news-may-be.md.

use crate::{Millis, StoreAnswerTime};

/// Splits the longest time that may pass between a change in the store and its being known
/// everywhere.
///
/// A change goes from the store to the reader of a zone, in a large zone from there to a
/// distributor, and then to everybody else. Any of them, and any connection between them, can fail
/// without notice at any moment. Timeouts that were chosen separately added up to more than the
/// bound, so all of them are derived here, and [`PropagationBudget::worst_case_delay`] adds them
/// up.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PropagationBudget {
    bound: Millis,
    /// How long the store takes to answer.
    answer_time: Millis,
}

/// What fails on the path of a change.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PropagationFault {
    /// The reader's connection to the store is stalled; new connections work.
    StalledConnection,
    /// The reader is cut off from the store, but answers its peers.
    ReaderCutOff,
    /// The reader does not answer anybody.
    ReaderUnresponsive,
    /// The store does not answer one daemon, which has no reader.
    StoreUnresponsive,
}

impl PropagationFault {
    /// All faults.
    pub const ALL: [Self; 4] = [
        Self::StalledConnection,
        Self::ReaderCutOff,
        Self::ReaderUnresponsive,
        Self::StoreUnresponsive,
    ];
}

impl Default for PropagationBudget {
    fn default() -> Self {
        Self::new(Self::DEFAULT_BOUND)
    }
}

impl PropagationBudget {
    /// The bound if none is configured.
    pub const DEFAULT_BOUND: Millis = Millis(2_000);

    /// The smallest bound that can be kept, also when distributors are used.
    pub const MIN_BOUND: Millis = Millis(2_000);

    /// The minimum time between two watches; changes that follow each other faster arrive together.
    pub const MIN_WATCH_INTERVAL: Millis = Millis(60);

    /// The timeout of a call to the store that does not wait for a change.
    pub const STORE_TIMEOUT: Millis = Millis(1_000);

    /// How often a daemon that has lost the store checks whether a peer can be its source.
    pub const SOURCE_CHECK_INTERVAL: Millis = Millis(250);

    /// How long a peer may take to answer in addition to the time that it waits for a change.
    pub const PEER_RESPONSE_TIME: Millis = Millis(400);

    /// The longest time between two polls of a peer.
    pub const MAX_POLL_INTERVAL: Millis = Millis(250);

    /// The time that an answer takes over healthy links and processors, including the store's own
    /// time.
    pub const HOP_LATENCY: Millis = Millis(50);

    /// The time between two rounds of questions to further sources. An answer over healthy links
    /// arrives sooner.
    pub const CATCH_UP_INTERVAL: Millis = Millis(60);

    /// The most by which a slow store makes knowledge older that still counts as fresh.
    const MAX_SLACK: Millis = Millis(12_000);

    /// After how many rounds of such questions a daemon takes the store for out.
    const OUTAGE_ROUNDS: u64 = 5;

    /// Creates the budget for a bound.
    pub fn new(bound: Millis) -> Self {
        Self { bound, answer_time: Millis(0) }
    }

    /// Returns the budget while the store takes a time to answer.
    pub fn with_answer_time(self, answer_time: Millis) -> Self {
        Self { answer_time, ..self }
    }

    /// Returns by how much older than otherwise knowledge is while the store is slow: a question and
    /// its answer were sent after the one before had arrived.
    pub fn slack(self) -> Millis {
        let late = self.answer_time.since(Self::HOP_LATENCY);
        (late + late).min(Self::MAX_SLACK)
    }

    /// Returns a fraction of the bound, capped at `most`: a longer timeout would only delay the
    /// detection of a failure.
    fn fraction(self, parts: u64, of: u64, most: u64) -> Millis {
        Millis((self.bound.0 * parts / of).min(most))
    }

    /// Returns how long a watch on the store waits for a change. Each watch is a call that is paid
    /// for, and most watches on a quiet store return nothing.
    pub fn watch_timeout(self) -> Millis {
        self.fraction(1, 4, 1_000)
    }

    /// Returns how old the answer to a watch may be that took a time.
    ///
    /// The store sends an answer without changes at the end of the wait, and one with changes at any
    /// moment; that is then as old as the store usually takes. A daemon that was paused finds answers
    /// that arrived long before, and must not pass them on as fresh.
    pub fn watch_answer_age(self, took: Millis, has_changes: bool) -> Millis {
        let late = took.since(self.watch_timeout() + Self::HOP_LATENCY);
        match has_changes {
            true => late.max(took.min(self.answer_time).since(Self::HOP_LATENCY)),
            false => late,
        }
    }

    /// Returns the time without an answer after which a watch is repeated on another connection.
    pub fn watch_hedge_delay(self) -> Millis {
        self.watch_timeout() + StoreAnswerTime::default().hedge_delay()
    }

    /// Returns the largest age of its knowledge up to which a daemon serves as a source for others.
    pub fn max_source_age(self) -> Millis {
        self.catch_up_age() + self.slack()
    }

    /// Returns the age of its knowledge from which on a daemon asks further peers beside its own
    /// source. Where the store is quick, the daemon is no source for others from then on.
    pub fn catch_up_age(self) -> Millis {
        self.fraction(1, 2, 1_800)
    }

    /// Returns the age of its knowledge from which on a daemon that is no reader asks the store: the
    /// store being slow doesn't explain that age.
    pub fn store_ask_age(self) -> Millis {
        self.max_source_age()
    }

    /// Returns the age of its knowledge from which on a daemon takes the store for out: it has asked
    /// several sources beside its own, and none has helped.
    pub fn outage_age(self) -> Millis {
        self.catch_up_age() + Millis(Self::OUTAGE_ROUNDS * Self::CATCH_UP_INTERVAL.0)
    }

    /// Returns by how much newer than its own an answer has to be that a daemon asks for to catch
    /// up.
    pub fn min_catch_up_gain(self) -> Millis {
        Millis(self.catch_up_age().0 / 4)
    }

    /// Returns the largest age of the knowledge of a zone's reader while nothing fails and nothing
    /// changes.
    pub fn quiet_reader_age(self) -> Millis {
        Self::MIN_WATCH_INTERVAL + self.watch_timeout() + Self::HOP_LATENCY
    }

    /// Returns the largest age of the knowledge of any daemon while nothing fails and nothing
    /// changes, given the times between two polls of each daemon on the way from the reader.
    pub fn quiet_age(self, poll_intervals: &[Millis]) -> Millis {
        let hops = poll_intervals.iter().map(|interval| *interval + Self::HOP_LATENCY);
        hops.fold(self.quiet_reader_age(), |age, hop| age + hop)
    }

    /// Returns the largest age of the knowledge of a daemon that any of its sources would answer,
    /// however many others fail, in a zone of `daemons`.
    ///
    /// The last daemons of the zone to ask the store do so when all others have, in rounds that
    /// double.
    pub fn longest_catch_up(self, daemons: usize) -> Millis {
        let rounds = u64::from(daemons.max(1).ilog2()) + 1;
        let asked_at = self.catch_up_age() + Millis(rounds * Self::CATCH_UP_INTERVAL.0);
        asked_at + Self::HOP_LATENCY + Self::HOP_LATENCY
    }

    /// Returns the longest pause that a daemon makes before it reads again, after changes that took
    /// it long to process.
    pub fn max_pause(self) -> Millis {
        self.fraction(1, 10, 400)
    }

    /// Returns the longest time that a poll of a peer waits for a change.
    pub fn peer_wait(self) -> Millis {
        self.fraction(1, 8, 500)
    }

    /// Returns how long the next poll of a peer waits for a change, given the age of what the daemon
    /// knows.
    ///
    /// A daemon that knows less than a reader of a quiet store waits for nothing: its source may
    /// have heard the store since.
    pub fn peer_wait_at(self, age: Millis) -> Millis {
        self.peer_wait().min((self.quiet_reader_age() + self.slack()).since(age))
    }

    /// Returns the timeout of a poll of a peer.
    pub fn peer_timeout(self) -> Millis {
        self.peer_wait() + Self::PEER_RESPONSE_TIME
    }

    /// Returns the largest possible age of a daemon's knowledge while one fault lasts and the store
    /// is healthy; `has_distributors` says whether the zone is large enough to use distributors.
    pub fn worst_case_delay(self, fault: PropagationFault, has_distributors: bool) -> Millis {
        let hop = Self::MAX_POLL_INTERVAL.max(self.max_pause()) + Self::HOP_LATENCY;
        let below = if has_distributors { hop + hop } else { hop };
        // A daemon whose source knows nothing fresh asks the next one at once: the second reader,
        // which asks the store, or the store itself.
        let next = Self::HOP_LATENCY + Self::HOP_LATENCY;
        match fault {
            PropagationFault::StalledConnection => {
                Self::MIN_WATCH_INTERVAL + self.watch_hedge_delay() + next + below
            }
            PropagationFault::ReaderCutOff => self.max_source_age() + next + below,
            PropagationFault::ReaderUnresponsive => {
                Self::MAX_POLL_INTERVAL + self.peer_timeout() + next + below
            }
            PropagationFault::StoreUnresponsive => {
                let failed_after = self.watch_timeout() + Self::STORE_TIMEOUT;
                failed_after + Self::SOURCE_CHECK_INTERVAL + next
            }
        }
    }
}
