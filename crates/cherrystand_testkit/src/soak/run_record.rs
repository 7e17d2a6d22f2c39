//! A record of what callers and boxes saw in a run, and the checks of guarantees on it.

use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

use hyper::StatusCode;

use crate::OldSend;
use crate::site::site_setup::{RETRY_RATIO, RETRY_WINDOW_S};
use crate::{
    Arrival, Crash, EndedLeader, LimitBound, SentSignal, exceeded_limits, ignored_signals,
};

/// A kind of request that callers send.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallKind {
    /// A request that must not run twice.
    Once,
    /// A request that may run twice.
    Repeatable,
    /// A stream that may be resumed at another endpoint.
    Stream,
    /// A request with a revoked key.
    OldKey,
    /// A stream that crashes each box that runs it and is sent again and again.
    Crash,
}

/// The outcome of a request, as its caller sees it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallOutcome {
    /// A complete answer with a status.
    Whole(StatusCode),
    /// A success whose body is not the one that the endpoint sent for this request.
    Wrong,
    /// The answer was interrupted, or none came.
    Broken,
    /// No connection could be opened.
    NotSent,
}

/// A request of a caller and its outcome.
#[derive(Clone, Debug)]
pub struct CallRecord {
    /// The id of the request.
    pub id: String,
    /// The daemon that it was sent to.
    pub daemon: usize,
    /// Which kind of request it is.
    pub kind: CallKind,
    /// When it was sent.
    pub sent: Instant,
    /// When its answer ended.
    pub ended: Instant,
    /// Its outcome.
    pub outcome: CallOutcome,
}

/// A time in which a fault affected daemons, boxes or the store.
#[derive(Clone, Debug)]
pub struct Disturbance {
    /// The affected daemon; none if all are affected.
    pub daemon: Option<usize>,
    /// Whether it is a planned stop of a daemon.
    pub is_planned: bool,
    /// Whether it is a fault of the store that affects all daemons.
    pub is_store: bool,
    /// Whether processes exit or are suspended.
    pub ends_processes: bool,
    /// Whether answers of boxes may be lost on their way.
    pub affects_answers: bool,
    /// Whether it cuts a daemon off from all boxes.
    pub is_cut: bool,
    /// The box whose connections are affected, if it is a single one.
    pub target: Option<String>,
    /// When it began.
    pub from: Instant,
    /// Until when.
    pub until: Instant,
}

impl Disturbance {
    /// Tells whether its effects may be felt at a time: during it, and shortly after.
    fn affects(&self, at: Instant) -> bool {
        self.from <= at && at <= self.until + RECOVERY_TIME
    }
}

/// A time in which the entry of a box was missing, so that no new request should reach it.
#[derive(Clone, Debug)]
pub struct UnlistedInterval {
    /// The box.
    pub target: String,
    /// When its entry was removed.
    pub from: Instant,
    /// When its entry was written again.
    pub until: Instant,
}

/// A time in which a box was cold and its entry said so.
#[derive(Clone, Debug)]
pub struct ColdInterval {
    /// The box.
    pub target: String,
    /// The incarnation that was cold: when it started, in Unix milliseconds.
    pub incarnation: Option<u64>,
    /// Requests per second that it could take meanwhile.
    pub requests_per_s: f64,
    /// When counting starts: at once if its zone takes traffic again, and once daemons can have read its entry if it
    /// turned cold by itself, under the load that it had at that time.
    pub from: Instant,
    /// Until when.
    pub until: Instant,
}

/// A time in which a daemon was cut off from all boxes.
#[derive(Clone, Debug)]
pub struct CutInterval {
    /// The daemon.
    pub daemon: usize,
    /// When the cut began.
    pub from: Instant,
    /// When it ended.
    pub until: Instant,
}

/// A time in which a sound box was silent.
#[derive(Clone, Debug)]
pub struct SilentInterval {
    /// When it fell silent.
    pub from: Instant,
    /// When it went on.
    pub until: Instant,
}

/// Everything that was recorded in one run.
#[derive(Clone, Debug, Default)]
pub struct RunRecord {
    /// The requests of callers.
    pub calls: Vec<CallRecord>,
    /// The requests that reached boxes.
    pub arrivals: Vec<Arrival>,
    /// How often boxes ran each request, by its id.
    pub runs: BTreeMap<String, usize>,
    /// The disturbances by faults.
    pub disturbances: Vec<Disturbance>,
    /// The times in which entries of boxes were missing.
    pub unlisted: Vec<UnlistedInterval>,
    /// The times in which boxes were cold.
    pub cold_intervals: Vec<ColdInterval>,
    /// The times in which daemons were cut off from all boxes.
    pub cuts: Vec<CutInterval>,
    /// The times in which sound boxes were silent.
    pub silences: Vec<SilentInterval>,
    /// Leaders that were ordered to leave while they served.
    pub ended_leaders: Vec<EndedLeader>,
    /// Violations that boxes detected themselves.
    pub box_faults: Vec<String>,
    /// The crashes of boxes by requests.
    pub crashes: Vec<Crash>,
    /// The signals that boxes sent to daemons in their answers.
    pub signals: Vec<SentSignal>,
    /// The requests that daemons sent by old knowledge of the store.
    pub old_sends: Vec<OldSend>,
}

/// How long a disturbance excuses violations after it ended.
const RECOVERY_TIME: Duration = Duration::from_secs(4);

/// Time within which a box is sent nothing new after its entry was removed.
const APPLY_TIMEOUT: Duration = Duration::from_secs(3);

/// Age of the knowledge of the store by which a daemon that no fault affects may send.
const MAX_KNOWLEDGE_AGE: Duration = Duration::from_secs(2);

/// How long after the beginning of a cut from all boxes requests may fail at a daemon.
const CUT_NOTICE_TIME: Duration = Duration::from_secs(1);

/// Requests that may fail afterwards, and one in how many beyond those.
const ALLOWED_CUT_FAILURES: usize = 1;
const CUT_FAILURES_ONE_IN: usize = 50;

/// Maximum number of boxes that one request may run on.
const MAX_RUNS: usize = 2;

/// Maximum number of times a request may still reach boxes once it is known to crash them.
const MAX_SENDS_AFTER_DETECTION: usize = 3;

/// The time window over which requests to cold boxes are counted.
const COLD_WINDOW: Duration = Duration::from_secs(1);

/// Factor by which the platform lets the rate of a cold box exceed what it can take.
const COLD_RATE_FACTOR: f64 = 1.5;

/// Requests that the platform lets a cold box get in one window in addition to that rate.
const COLD_BURST: f64 = 5.0;

/// Retries allowed in one window beyond the share of requests, as in the settings of the daemons.
pub(crate) const RETRY_SLACK: f64 = 40.0;

impl RunRecord {
    /// Returns a description of each violated guarantee.
    pub fn violations(&self) -> Vec<String> {
        let mut violations = self.box_faults.clone();
        violations.extend(self.calls.iter().filter_map(|call| self.violation_by(call)));
        violations.extend(self.late_arrivals());
        violations.extend(self.overloaded_cold_boxes());
        violations.extend(self.exceeded_retry_budget());
        violations.extend(self.resent_crashing_requests());
        violations.extend(self.ignored_signals());
        violations.extend(self.exceeded_rate_limits());
        violations.extend(self.sends_by_old_knowledge());
        violations.extend(self.failures_at_cut_daemons());
        violations.extend(self.replicas_ended_by_silence());
        violations
    }

    /// Counts requests by kind and outcome.
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
                return violation("an allowed request was refused");
            }
            CallOutcome::Whole(status)
                if call.kind == CallKind::OldKey
                    && status.is_success()
                    && self.is_undisturbed(call.daemon, call.sent) =>
            {
                return violation("served with a revoked key");
            }
            // A request that arrived just as its connection was closed was not forwarded, hence `runs > 0`.
            CallOutcome::Broken
                if runs > 0
                    && self.met_only_planned_stop(call)
                    && !self.box_crashed_before(call) =>
            {
                return violation("interrupted by a planned stop");
            }
            // Silence of a sound box is no reason to end an answer.
            CallOutcome::Broken if runs > 0 && self.met_only_silence(call) => {
                return violation("interrupted beside a box that was silent");
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

    /// Tells whether no disturbance affects a daemon at a time.
    fn is_undisturbed(&self, daemon: usize, at: Instant) -> bool {
        let concerns = |disturbance: &&Disturbance| {
            disturbance.daemon.is_none_or(|affected| affected == daemon)
        };
        !self.disturbances.iter().filter(concerns).any(|disturbance| disturbance.affects(at))
    }

    /// Tells whether a request met a planned stop of its daemon, and no other fault.
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

    /// Tells whether a box was silent during a request, and no fault affected it.
    fn met_only_silence(&self, call: &CallRecord) -> bool {
        let is_met = |from: Instant, until: Instant| from <= call.ended && until >= call.sent;
        let mut silences = self.silences.iter();
        let mut disturbances = self.disturbances.iter();
        silences.any(|silence| is_met(silence.from, silence.until))
            && !disturbances.any(|met| is_met(met.from, met.until + RECOVERY_TIME))
    }

    /// Tells whether a box that had received the request crashed before the request ended.
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

    /// Describes each cold box that got more requests in a second than the platform allows, from all daemons together,
    /// whether disturbed or not.
    fn overloaded_cold_boxes(&self) -> Vec<String> {
        let violations = self.cold_intervals.iter().filter_map(|cold| {
            let own = self.arrivals.iter().filter(|arrival| {
                let is_own = arrival.target == cold.target && arrival.incarnation == cold.incarnation;
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

    /// Describes each signal of a box that a daemon ignored although it received it and has neither exited nor been
    /// suspended since.
    fn ignored_signals(&self) -> Vec<String> {
        let daemon_of: BTreeMap<&str, usize> =
            self.calls.iter().map(|call| (call.id.as_str(), call.daemon)).collect();
        ignored_signals(&self.signals, &self.arrivals, |request, at| {
            let daemon = *daemon_of.get(request)?;
            (!self.may_lose_answers(at)).then(|| (daemon, self.incarnation_of(daemon, at)))
        })
    }

    /// Describes each box that got more requests than its advertised limit, from daemons that knew the limit and that
    /// no fault affected since.
    ///
    /// Faults of another box or of the store for all daemons are no excuse.
    fn exceeded_rate_limits(&self) -> Vec<String> {
        let daemon_of: BTreeMap<&str, usize> =
            self.calls.iter().map(|call| (call.id.as_str(), call.daemon)).collect();
        let targets: BTreeSet<&str> =
            self.signals.iter().map(|sent| sent.target.as_str()).collect();
        let violations = targets.into_iter().flat_map(|target| {
            let own = self.signals.iter().filter(|sent| sent.target == target);
            let signals: Vec<SentSignal> = own.cloned().collect();
            let is_excused = |daemon: usize, at: Instant| {
                let concerns = |disturbance: &&Disturbance| {
                    let all_exit = disturbance.ends_processes && disturbance.daemon.is_none();
                    all_exit
                        || disturbance.daemon == Some(daemon)
                        || disturbance.target.as_deref() == Some(target)
                };
                self.disturbances.iter().filter(concerns).any(|disturbance| disturbance.affects(at))
            };
            exceeded_limits(&signals, &self.arrivals, LimitBound::Platform, |request, at| {
                let daemon = *daemon_of.get(request)?;
                (!is_excused(daemon, at)).then(|| (daemon, self.incarnation_of(daemon, at)))
            })
        });
        violations.collect()
    }

    /// Returns the incarnation of a daemon at a time: how often its process was stopped, killed or suspended before.
    fn incarnation_of(&self, daemon: usize, at: Instant) -> usize {
        let outages = self.disturbances.iter().filter(|disturbance| disturbance.ends_processes);
        let own = outages
            .filter(|disturbance| disturbance.daemon.is_none_or(|affected| affected == daemon));
        own.filter(|disturbance| disturbance.from <= at).count()
    }

    /// Tells whether answers of boxes may have been lost or late at a time, or shortly before.
    fn may_lose_answers(&self, at: Instant) -> bool {
        self.disturbances
            .iter()
            .any(|disturbance| disturbance.affects_answers && disturbance.affects(at))
    }

    /// Describes each request that crashed three boxes and was still sent too often by daemons that no fault affected.
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
            let unexcused = late.filter(|arrival| {
                let daemon = daemon_of.get(arrival.request.as_str());
                daemon.is_some_and(|daemon| self.can_reach_store(*daemon, arrival.at))
            });
            unexcused.count()
        };
        let violations = crashes.iter().filter_map(|(body, crashes)| {
            let late = sends_after(body, *crashes.get(2)? + RECOVERY_TIME);
            let violation =
                || format!("{body:?} was sent {late} more times after {} crashes", crashes.len());
            (late > MAX_SENDS_AFTER_DETECTION).then(violation)
        });
        violations.collect()
    }

    /// Tells whether no disturbance of a daemon, or of the store for all daemons, affects it at a time.
    fn can_reach_store(&self, daemon: usize, at: Instant) -> bool {
        let concerns = |disturbance: &&Disturbance| {
            disturbance.daemon.map_or(disturbance.is_store, |affected| affected == daemon)
        };
        !self.disturbances.iter().filter(concerns).any(|disturbance| disturbance.affects(at))
    }

    /// Describes each request that a daemon sent by knowledge of the store that was too old, although no fault affected
    /// the daemon itself or the store.
    fn sends_by_old_knowledge(&self) -> Vec<String> {
        let old = self.old_sends.iter().filter(|send| send.age > MAX_KNOWLEDGE_AGE);
        let unexcused = old.filter(|send| self.can_reach_store(send.daemon, send.at));
        unexcused
            .map(|send| format!("n{} sent by knowledge {:?} old", send.daemon, send.age))
            .collect()
    }

    /// Describes the requests that failed at daemons that were cut off from all boxes and that no other fault affected,
    /// if there are too many.
    fn failures_at_cut_daemons(&self) -> Option<String> {
        let is_at_cut_daemon = |call: &&CallRecord| {
            let mut own = self.cuts.iter().filter(|cut| cut.daemon == call.daemon);
            own.any(|cut| cut.from + CUT_NOTICE_TIME <= call.sent && call.ended < cut.until)
        };
        let is_usual = |call: &&CallRecord| {
            matches!(call.kind, CallKind::Once | CallKind::Repeatable | CallKind::Stream)
        };
        let calls = self.calls.iter().filter(is_usual).filter(is_at_cut_daemon);
        let calls = calls.filter(|call| self.met_only_cuts(call));
        let (served, failed): (Vec<&CallRecord>, Vec<&CallRecord>) =
            calls.partition(|call| call.outcome == CallOutcome::Whole(StatusCode::OK));
        let allowed = ALLOWED_CUT_FAILURES + (served.len() + failed.len()) / CUT_FAILURES_ONE_IN;
        (failed.len() > allowed).then(|| {
            format!(
                "{} of {} requests at daemons that were cut off from boxes failed, {allowed} allowed: {:?}",
                failed.len(),
                served.len() + failed.len(),
                failed.iter().take(3).collect::<Vec<_>>()
            )
        })
    }

    /// Describes each replica that was ended while boxes were silent, or shortly after, although no fault affected
    /// anything.
    fn replicas_ended_by_silence(&self) -> Vec<String> {
        let is_near =
            |from: Instant, until: Instant, at: Instant| from <= at && at <= until + RECOVERY_TIME;
        let ended = self.ended_leaders.iter().filter(|ended| {
            let mut silences = self.silences.iter();
            let mut disturbances = self.disturbances.iter();
            silences.any(|silence| is_near(silence.from, silence.until, ended.at))
                && !disturbances.any(|met| is_near(met.from, met.until, ended.at))
        });
        ended
            .map(|ended| format!("{} was ordered to leave as boxes were silent", ended.target))
            .collect()
    }

    /// Tells whether a request met no fault but cuts of daemons from boxes.
    fn met_only_cuts(&self, call: &CallRecord) -> bool {
        let others = self.disturbances.iter().filter(|disturbance| !disturbance.is_cut);
        let mut met = others.filter(|disturbance| {
            disturbance.from <= call.ended && disturbance.until + RECOVERY_TIME >= call.sent
        });
        met.next().is_none()
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
