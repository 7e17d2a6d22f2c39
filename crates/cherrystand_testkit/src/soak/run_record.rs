//! What callers and boxes saw, and which promises that breaks.

use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

use hyper::StatusCode;

use crate::site::site_setup::{RETRY_RATIO, RETRY_WINDOW_S};
use crate::{Arrival, Crash, LimitBound, Told, broken_limits, broken_wishes};

/// What a caller may ask for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallKind {
    /// A call that must not be repeated.
    Once,
    /// A call that may be.
    Repeatable,
    /// A stream that may be taken up elsewhere.
    Stream,
    /// A call with a key that was taken away.
    OldKey,
    /// A stream that ends each box that runs it; it comes again and again.
    Crash,
}

/// How an answer ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallOutcome {
    /// Whole, with a status.
    Whole(StatusCode),
    /// A success whose body is not what its endpoint sent for this request.
    Wrong,
    /// It broke off, or none came.
    Broken,
    /// No connection came about.
    NotSent,
}

/// One request of a caller.
#[derive(Clone, Debug)]
pub struct CallRecord {
    /// Its id.
    pub id: String,
    /// The daemon that it was sent to.
    pub daemon: usize,
    /// What it asked for.
    pub kind: CallKind,
    /// When it was sent.
    pub sent: Instant,
    /// When its answer ended.
    pub ended: Instant,
    /// How it ended.
    pub outcome: CallOutcome,
}

/// A time during which something was harmed or stopped.
#[derive(Clone, Debug)]
pub struct Disturbance {
    /// The daemon, or all of them where there is none.
    pub daemon: Option<usize>,
    /// Whether it is a planned stop.
    pub is_planned: bool,
    /// Whether it is the store that is harmed, for all.
    pub is_store: bool,
    /// Whether processes end or stand still by it.
    pub ends_processes: bool,
    /// Whether answers of boxes may be lost on their way by it.
    pub affects_answers: bool,
    /// The box whose connections are harmed, where it is one.
    pub target: Option<String>,
    /// From when on.
    pub from: Instant,
    /// Until when.
    pub until: Instant,
}

impl Disturbance {
    /// Tells whether it strikes at a moment, or did shortly before.
    fn affects(&self, at: Instant) -> bool {
        self.from <= at && at <= self.until + RECOVERY_TIME
    }
}

/// A time after which a box was to take nothing new, since its entry was gone.
#[derive(Clone, Debug)]
pub struct UnlistedInterval {
    /// The box.
    pub target: String,
    /// When its entry went.
    pub from: Instant,
    /// When it came back.
    pub until: Instant,
}

/// A time in which a box was cold and said so.
#[derive(Clone, Debug)]
pub struct ColdInterval {
    /// The box.
    pub target: String,
    /// When its life began that was cold, in Unix milliseconds.
    pub incarnation: Option<u64>,
    /// The requests a second that it bore meanwhile.
    pub requests_per_s: f64,
    /// From when on its requests count: at once where its zone is taken back, and once its entry may be known
    /// where it turned cold by itself, under whatever it then got.
    pub from: Instant,
    /// Until when.
    pub until: Instant,
}

/// Everything that was seen in one run.
#[derive(Clone, Debug, Default)]
pub struct RunRecord {
    /// The requests of callers.
    pub calls: Vec<CallRecord>,
    /// What reached boxes.
    pub arrivals: Vec<Arrival>,
    /// How often boxes ran each request.
    pub runs: BTreeMap<String, usize>,
    /// What was harmed when.
    pub disturbances: Vec<Disturbance>,
    /// Boxes whose entries were gone.
    pub unlisted: Vec<UnlistedInterval>,
    /// Boxes that were cold.
    pub cold_intervals: Vec<ColdInterval>,
    /// What boxes noted that must never happen.
    pub box_faults: Vec<String>,
    /// Boxes that requests ended.
    pub crashes: Vec<Crash>,
    /// What boxes asked of daemons in their answers.
    pub told: Vec<Told>,
}

/// For how long a daemon counts as disturbed after a disturbance ended.
const RECOVERY_TIME: Duration = Duration::from_secs(4);

/// Within this time a taken key is refused, and a box that is gone is sent nothing.
const APPLY_TIMEOUT: Duration = Duration::from_secs(3);

/// How many boxes one request may run on.
const MAX_RUNS: usize = 2;

/// How often a request may reach boxes once it is known to end them.
const MAX_SENDS_AFTER_DETECTION: usize = 3;

/// The span over which requests to cold boxes are counted.
const COLD_WINDOW: Duration = Duration::from_secs(1);

/// How much more than it bears the platform lets a cold box get in a second, as a factor, and beside that.
const COLD_RATE_FACTOR: f64 = 1.5;
const COLD_BURST: f64 = 5.0;

/// Repeats in one window beyond the share of requests, as daemons are told.
pub(crate) const RETRY_SLACK: f64 = 40.0;

impl RunRecord {
    /// Returns each promise that what was seen breaks, in words.
    pub fn violations(&self) -> Vec<String> {
        let mut violations = self.box_faults.clone();
        violations.extend(self.calls.iter().filter_map(|call| self.violation_by(call)));
        violations.extend(self.late_arrivals());
        violations.extend(self.overloaded_cold_boxes());
        violations.extend(self.exceeded_retry_budget());
        violations.extend(self.resent_crashing_requests());
        violations.extend(self.ignored_signals());
        violations.extend(self.exceeded_rate_limits());
        violations
    }

    /// Counts how requests ended, by what they asked for.
    pub fn outcome_counts(&self) -> BTreeMap<String, usize> {
        let mut counts = BTreeMap::new();
        for call in &self.calls {
            *counts.entry(format!("{:?} {:?}", call.kind, call.outcome)).or_default() += 1;
        }
        counts
    }

    fn violation_by(&self, call: &CallRecord) -> Option<String> {
        let runs = self.runs.get(&call.id).copied().unwrap_or_default();
        let violation = |what: &str| Some(format!("{what}: {call:?}, run {runs} times"));
        let not_executed = [
            StatusCode::SERVICE_UNAVAILABLE,
            StatusCode::TOO_MANY_REQUESTS,
            StatusCode::REQUEST_TIMEOUT,
            StatusCode::MISDIRECTED_REQUEST,
        ];
        match call.outcome {
            CallOutcome::Wrong => {
                return violation("the answer is incomplete or belongs to another request");
            }
            CallOutcome::Whole(status) if not_executed.contains(&status) && runs > 0 => {
                return violation("reported as not executed, but it ran");
            }
            CallOutcome::Whole(StatusCode::UNAUTHORIZED | StatusCode::NOT_FOUND)
                if call.kind != CallKind::OldKey && self.is_undisturbed(call.daemon, call.sent) =>
            {
                return violation("refused though its key is valid");
            }
            CallOutcome::Whole(status)
                if call.kind == CallKind::OldKey
                    && status.is_success()
                    && self.is_undisturbed(call.daemon, call.sent) =>
            {
                return violation("served with a revoked key");
            }
            // One that crossed the close of its connection was not passed on.
            CallOutcome::Broken
                if runs > 0
                    && self.met_only_planned_stop(call)
                    && !self.box_crashed_before(call) =>
            {
                return violation("interrupted by a planned stop");
            }
            _ => {}
        }
        if call.kind == CallKind::Once && runs > 1 {
            return violation("run more than once");
        }
        if runs > MAX_RUNS {
            return violation("run on more boxes than allowed");
        }
        None
    }

    /// Tells whether nothing harmed a daemon for a while before a moment.
    fn is_undisturbed(&self, daemon: usize, at: Instant) -> bool {
        let concerns = |disturbance: &&Disturbance| {
            disturbance.daemon.is_none_or(|affected| affected == daemon)
        };
        !self.disturbances.iter().filter(concerns).any(|disturbance| disturbance.affects(at))
    }

    /// Tells whether a planned stop of its daemon is all that a request met.
    fn met_only_planned_stop(&self, call: &CallRecord) -> bool {
        let met = |disturbance: &&Disturbance| {
            disturbance.from <= call.ended && disturbance.until + RECOVERY_TIME >= call.sent
        };
        let met: Vec<&Disturbance> = self.disturbances.iter().filter(met).collect();
        let planned = met
            .iter()
            .any(|disturbance| disturbance.is_planned && disturbance.daemon == Some(call.daemon));
        planned && met.iter().all(|disturbance| disturbance.is_planned)
    }

    /// Tells whether a box that had a request was ended by another one before the answer was whole.
    fn box_crashed_before(&self, call: &CallRecord) -> bool {
        let crashed = |arrival: &Arrival| {
            let mut crashes = self.crashes.iter().filter(|crash| crash.target == arrival.target);
            crashes.any(|crash| arrival.at <= crash.at && crash.at <= call.ended)
        };
        self.arrivals.iter().any(|arrival| arrival.request == call.id && crashed(arrival))
    }

    fn late_arrivals(&self) -> Vec<String> {
        let calls: BTreeMap<&str, &CallRecord> =
            self.calls.iter().map(|call| (call.id.as_str(), call)).collect();
        let mut late = Vec::new();
        for interval in &self.unlisted {
            for arrival in self.arrivals.iter().filter(|arrival| arrival.target == interval.target)
            {
                let too_late =
                    arrival.at > interval.from + APPLY_TIMEOUT && arrival.at < interval.until;
                let sender = calls.get(arrival.request.as_str());
                if too_late
                    && sender.is_some_and(|call| self.is_undisturbed(call.daemon, arrival.at))
                {
                    late.push(format!(
                        "{arrival:?} reached a box that was unlisted since {:?}",
                        interval.from
                    ));
                }
            }
        }
        late
    }

    /// Names each cold box that got more in a second than the platform allows, from all daemons, in touch or not.
    fn overloaded_cold_boxes(&self) -> Vec<String> {
        let violations = self.cold_intervals.iter().filter_map(|cold| {
            let own = self.arrivals.iter().filter(|arrival| {
                let is_own = arrival.target == cold.target && arrival.life == cold.incarnation;
                is_own && arrival.at >= cold.from && arrival.at < cold.until
            });
            let requests: Vec<&str> = own.clone().map(|arrival| arrival.request.as_str()).collect();
            let own: Vec<Instant> = own.map(|arrival| arrival.at).collect();
            let count_in_window = |last: &Instant| {
                own.iter().filter(|at| **at <= *last && last.duration_since(**at) < COLD_WINDOW).count()
            };
            let highest = own.iter().map(count_in_window).max().unwrap_or_default();
            let allowed = COLD_RATE_FACTOR * cold.requests_per_s + COLD_BURST;
            let violation = || {
                let (id, length) = (&cold.target, cold.until.duration_since(cold.from));
                let first = own.first().map(|at| at.duration_since(cold.from));
                let last = own.last().map(|at| at.duration_since(cold.from));
                let some = requests.iter().take(3).chain(requests.last());
                let some: Vec<&str> = some.copied().collect();
                format!(
                    "{id} was cold and got {highest} requests in a second, from {first:?} to {last:?} of {length:?}: {some:?}"
                )
            };
            (highest as f64 > allowed).then(violation)
        });
        violations.collect()
    }

    /// Names each wish of a box that a daemon did not follow, which heard it and has not ended or stood
    /// still since.
    fn ignored_signals(&self) -> Vec<String> {
        let daemon_of: BTreeMap<&str, usize> =
            self.calls.iter().map(|call| (call.id.as_str(), call.daemon)).collect();
        broken_wishes(&self.told, &self.arrivals, |request, at| {
            let daemon = *daemon_of.get(request)?;
            (!self.may_lose_answers(at)).then(|| (daemon, self.incarnation_of(daemon, at)))
        })
    }

    /// Names each box that got more than it had said it takes, from daemons that were told and that nothing struck since.
    ///
    /// What holds up another box, or the store for all, excuses nobody.
    fn exceeded_rate_limits(&self) -> Vec<String> {
        let daemon_of: BTreeMap<&str, usize> =
            self.calls.iter().map(|call| (call.id.as_str(), call.daemon)).collect();
        let targets: BTreeSet<&str> = self.told.iter().map(|told| told.target.as_str()).collect();
        let violations = targets.into_iter().flat_map(|target| {
            let own = self.told.iter().filter(|told| told.target == target);
            let told: Vec<Told> = own.cloned().collect();
            let is_excused = |daemon: usize, at: Instant| {
                let strikes = |disturbance: &&Disturbance| {
                    let all_end = disturbance.ends_processes && disturbance.daemon.is_none();
                    all_end
                        || disturbance.daemon == Some(daemon)
                        || disturbance.target.as_deref() == Some(target)
                };
                self.disturbances.iter().filter(strikes).any(|disturbance| disturbance.affects(at))
            };
            broken_limits(&told, &self.arrivals, LimitBound::Platform, |request, at| {
                let daemon = *daemon_of.get(request)?;
                (!is_excused(daemon, at)).then(|| (daemon, self.incarnation_of(daemon, at)))
            })
        });
        violations.collect()
    }

    /// Counts how often a daemon has ended by a moment.
    fn incarnation_of(&self, daemon: usize, at: Instant) -> usize {
        let outages = self.disturbances.iter().filter(|disturbance| disturbance.ends_processes);
        let own = outages
            .filter(|disturbance| disturbance.daemon.is_none_or(|affected| affected == daemon));
        own.filter(|disturbance| disturbance.from <= at).count()
    }

    /// Tells whether answers may not have come whole or in time shortly before a moment.
    fn may_lose_answers(&self, at: Instant) -> bool {
        self.disturbances
            .iter()
            .any(|disturbance| disturbance.affects_answers && disturbance.affects(at))
    }

    /// Names each request that ended three boxes and was sent on too often by daemons in touch.
    fn resent_crashing_requests(&self) -> Vec<String> {
        let mut crashes: BTreeMap<&str, Vec<Instant>> = BTreeMap::new();
        for crash in &self.crashes {
            crashes.entry(&crash.body).or_default().push(crash.at);
        }
        let daemon_of: BTreeMap<&str, usize> =
            self.calls.iter().map(|call| (call.id.as_str(), call.daemon)).collect();
        let sends_after = |body: &str, since: Instant| {
            let own = self.arrivals.iter().filter(|arrival| arrival.body == body);
            let late = own.filter(|arrival| arrival.at > since);
            let in_touch = late.filter(|arrival| {
                let daemon = daemon_of.get(arrival.request.as_str());
                daemon.is_some_and(|daemon| self.can_reach_store(*daemon, arrival.at))
            });
            in_touch.count()
        };
        let violations = crashes.iter().filter_map(|(body, crashes)| {
            let late = sends_after(body, *crashes.get(2)? + RECOVERY_TIME);
            let violation =
                || format!("{body:?} was sent {late} more times after {} crashes", crashes.len());
            (late > MAX_SENDS_AFTER_DETECTION).then(violation)
        });
        violations.collect()
    }

    /// Tells whether neither a daemon nor the store was harmed for a while before a moment.
    fn can_reach_store(&self, daemon: usize, at: Instant) -> bool {
        let concerns = |disturbance: &&Disturbance| {
            disturbance.daemon.map_or(disturbance.is_store, |affected| affected == daemon)
        };
        !self.disturbances.iter().filter(concerns).any(|disturbance| disturbance.affects(at))
    }

    fn exceeded_retry_budget(&self) -> Option<String> {
        let (first, last) = (self.calls.first()?, self.calls.last()?);
        let mut sends: BTreeMap<&str, usize> = BTreeMap::new();
        for arrival in &self.arrivals {
            *sends.entry(arrival.request.as_str()).or_default() += 1;
        }
        let retries: usize = sends.values().map(|count| count - 1).sum();
        let windows = last.ended.duration_since(first.sent).as_secs_f64() / RETRY_WINDOW_S as f64;
        let allowed = RETRY_RATIO * self.calls.len() as f64 + RETRY_SLACK * (windows + 1.0);
        let exceeded = retries as f64 > allowed;
        exceeded.then(|| {
            format!("{retries} retries of {} requests, allowed {allowed:.0}", self.calls.len())
        })
    }
}
