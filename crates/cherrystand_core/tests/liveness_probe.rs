//! When a daemon may declare a box silent.
//!
//! Guards against false verdicts: daemons whose links were full of configurations declared 83 to
//! 247 healthy boxes dead, and gave up replicas that were serving. A probe that timed out was
//! enough for a verdict; nothing checked whether any other answer had arrived meanwhile.

use cherrystand_core::{CallHistory, LivenessProbe, Millis, ProbeReason, ProbeVerdict};
use proptest::prelude::*;

/// A call to somebody else: when it began, and when its answer arrived.
type Call = (u64, Option<u64>);

/// Returns a daemon's call history at a given time.
fn history_at(calls: &[Call], now: u64) -> CallHistory {
    let mut history = CallHistory::default();
    for (began, answered) in calls.iter().filter(|(began, _)| *began <= now) {
        let call = history.begin(Millis(*began));
        if let Some(at) = answered.filter(|at| *at <= now) {
            history.end(call, true, Millis(at));
        }
    }
    history
}

/// Records a probe that got no answer, and returns the verdict.
fn record_unanswered(
    probe: &mut LivenessProbe,
    started: u64,
    now: u64,
    calls: &[Call],
) -> ProbeVerdict {
    match probe.shows_silence(Millis(started), Millis(now), &history_at(calls, now)) {
        true => probe.record_silence(Millis(now - started)),
        false => probe.record_doubt(),
    }
}

/// Simulates the probes of a box until it answers or a verdict is reached, and returns the verdict
/// and its time. `answers` returns when the box answers a probe that begins at a given time, and
/// `timer_delay` is the delay of each of the daemon's timers.
fn probe(
    calls: &[Call],
    timer_delay: u64,
    answers: impl Fn(u64) -> Option<u64>,
) -> Option<(ProbeVerdict, u64)> {
    let mut liveness_probe = LivenessProbe::default();
    let mut started = 1_000;
    loop {
        let now = started + liveness_probe.timeout().0 + timer_delay;
        if answers(started).is_some_and(|at| at <= now) {
            return None;
        }
        match record_unanswered(&mut liveness_probe, started, now, calls) {
            ProbeVerdict::AskAgain => started = now,
            verdict => return Some((verdict, now - 1_000)),
        }
    }
}

#[test]
fn only_a_daemon_with_a_witness_reaches_a_verdict() {
    struct Case {
        name: &'static str,
        calls: Vec<Call>,
        timer_delay: u64,
        verdict: ProbeVerdict,
        /// The latest time of the verdict.
        within: u64,
    }
    let every = |pause: u64, takes: u64| -> Vec<Call> {
        (0..100)
            .map(|number| (1_000 + number * pause, Some(1_000 + number * pause + takes)))
            .collect()
    };
    let cases = [
        Case {
            name: "a dead box, others answer at once",
            calls: every(100, 3),
            timer_delay: 0,
            verdict: ProbeVerdict::Silent,
            within: 200,
        },
        Case {
            name: "a dead box, others take 60 ms over a lossy link",
            calls: every(100, 60),
            timer_delay: 5,
            verdict: ProbeVerdict::Silent,
            within: 205,
        },
        Case {
            name: "a dead box, a busy link; known within the half second and a little",
            calls: every(100, 90),
            timer_delay: 0,
            verdict: ProbeVerdict::Silent,
            within: 500,
        },
        Case {
            name: "nobody answers",
            calls: (0..30).map(|number| (1_000 + number * 50, None)).collect(),
            timer_delay: 0,
            verdict: ProbeVerdict::Undecided,
            within: 1_400,
        },
        Case {
            name: "nobody is asked",
            calls: Vec::new(),
            timer_delay: 0,
            verdict: ProbeVerdict::Undecided,
            within: 1_400,
        },
        Case {
            name: "all answers wait behind 400 ms of bulk",
            calls: every(100, 400),
            timer_delay: 0,
            verdict: ProbeVerdict::Undecided,
            within: 1_400,
        },
        Case {
            name: "the link becomes free just before time runs out: the box is asked again first",
            calls: vec![(1_000, None), (1_190, Some(1_193))],
            timer_delay: 0,
            verdict: ProbeVerdict::Silent,
            within: 500,
        },
        Case {
            name: "the daemon's own timers are late",
            calls: every(10, 3),
            timer_delay: 150,
            verdict: ProbeVerdict::Undecided,
            within: 2_000,
        },
        Case {
            name: "answers of long ago",
            calls: vec![(500, Some(503)), (900, Some(905))],
            timer_delay: 0,
            verdict: ProbeVerdict::Undecided,
            within: 1_400,
        },
    ];
    for case in cases {
        let (verdict, at) = probe(&case.calls, case.timer_delay, |_| None).expect(case.name);
        assert_eq!(verdict, case.verdict, "{}", case.name);
        assert!(at <= case.within, "{}: at {at} ms", case.name);
    }
}

proptest! {
    /// If every answer takes as long as the link delays it, a healthy box is never declared silent.
    #[test]
    fn box_that_answers_like_others_is_never_declared_silent(
        delays in prop::collection::vec(0u64..1_500, 1..40),
        own in 0u64..30,
        slower in 0u64..100,
    ) {
        // The link delays each call that begins until some moment; calls that follow wait at least
        // as long, since a queue serves one after the other.
        let mut free_at = 1_000;
        let mut calls: Vec<Call> = Vec::new();
        for (number, delay) in delays.iter().enumerate() {
            let began = 1_000 + number as u64 * 40;
            free_at = free_at.max(began + delay);
            calls.push((began, Some(free_at + own)));
        }
        // The box's answer arrives soon after that of the first call that begins with the probe.
        let answers = |started: u64| {
            let with = calls.iter().find(|(began, _)| *began >= started);
            with.map_or(Some(started), |(_, answered)| answered.map(|at| at + slower))
        };
        let verdict = probe(&calls, 0, answers).map(|(verdict, _)| verdict);
        prop_assert_ne!(verdict, Some(ProbeVerdict::Silent));
    }
}

/// Guards against false verdicts on refusals: 41 of 225 boxes were cut off from the store for ten
/// seconds and refused probes and orders meanwhile. Each was probed once its entry had expired, and
/// the refusal was taken for its death although nothing else suggested it. In two runs callers did
/// not notice, since connections to leaders among these boxes failed as well, but where only the
/// store is cut off it would end serving replicas.
#[test]
fn refused_connection_proves_silence_only_with_other_evidence() {
    struct Case {
        name: &'static str,
        reason: ProbeReason,
        verdict: ProbeVerdict,
    }
    let cases = [
        Case {
            name: "its replica is stalled",
            reason: ProbeReason::NoAnswer,
            verdict: ProbeVerdict::Dead,
        },
        Case {
            name: "its entry expired",
            reason: ProbeReason::NotListed,
            verdict: ProbeVerdict::Undecided,
        },
    ];
    for case in cases {
        assert_eq!(LivenessProbe::verdict_on_refusal(case.reason), case.verdict, "{}", case.name);
    }
}

/// Guards against the loss of accepted answers: sound boxes that were silent for a second were taken
/// for dead after one probe of 200 ms.
#[test]
fn a_silent_box_is_dead_only_after_the_longest_silence_of_a_sound_one() {
    struct Case {
        name: &'static str,
        /// When the box answers again, in milliseconds after the first probe.
        back_after: Option<u64>,
        calls: Vec<Call>,
        /// The verdicts in their order, without those that only ask again.
        verdicts: &'static [ProbeVerdict],
        /// When the last one is reached.
        between: (u64, u64),
    }
    let every = |pause: u64| -> Vec<Call> {
        (0..400).map(|number| (1_000 + number * pause, Some(1_003 + number * pause))).collect()
    };
    let busy_link = || -> Vec<Call> {
        (0..400)
            .map(|number| 1_000 + number * 25)
            .map(|began| {
                (began, Some(began + if began < 3_000 && began > 1_300 { 400 } else { 3 }))
            })
            .collect()
    };
    const DEAD: &[ProbeVerdict] = &[ProbeVerdict::Silent, ProbeVerdict::Dead];
    const SILENT: &[ProbeVerdict] = &[ProbeVerdict::Silent];
    let cases = [
        Case {
            name: "a dead box",
            back_after: None,
            calls: every(25),
            verdicts: DEAD,
            between: (1_500, 1_600),
        },
        Case {
            name: "a dead box and a link that is busy from 300 to 2,000 ms",
            back_after: None,
            calls: busy_link(),
            verdicts: DEAD,
            between: (3_000, 3_500),
        },
        Case {
            name: "two short silences with a busy link between them",
            back_after: Some(2_400),
            calls: busy_link(),
            verdicts: SILENT,
            between: (200, 200),
        },
        Case {
            name: "silent for 1,000 ms",
            back_after: Some(1_000),
            calls: every(25),
            verdicts: SILENT,
            between: (200, 200),
        },
        Case {
            name: "silent for 1,400 ms",
            back_after: Some(1_400),
            calls: every(25),
            verdicts: SILENT,
            between: (200, 200),
        },
        Case {
            name: "answers the first probe",
            back_after: Some(100),
            calls: every(25),
            verdicts: &[],
            between: (0, 0),
        },
    ];
    for case in cases {
        let mut liveness_probe = LivenessProbe::default();
        let (mut started, mut verdicts) = (1_000, Vec::new());
        let mut last_at = 0;
        loop {
            let now = started + liveness_probe.timeout().0;
            if case.back_after.is_some_and(|back| now >= 1_000 + back) {
                break;
            }
            let verdict = record_unanswered(&mut liveness_probe, started, now, &case.calls);
            if verdict != ProbeVerdict::AskAgain && verdicts.last() != Some(&verdict) {
                verdicts.push(verdict);
                last_at = now - 1_000;
            }
            if matches!(verdict, ProbeVerdict::Dead | ProbeVerdict::Undecided) {
                break;
            }
            started = now;
        }
        assert_eq!(verdicts, case.verdicts, "{}", case.name);
        let (first, last) = case.between;
        assert!((first..=last).contains(&last_at), "{}: at {last_at} ms", case.name);
    }
}
