//! Fault schedules, drawn from a seed.

use std::fmt;
use std::time::Duration;

use cherrystand_core::{Millis, SeededRng};

use crate::soak::link::{LinkCut, LinkMode};
use crate::{BoxMode, BoxWishes, LimitIn, Sheds, StoreMode};

/// A kind of fault, with its target.
///
/// Schedules print the variants by name.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum FaultKind {
    /// A box serves requests in a faulty way.
    Box(usize, BoxMode),
    /// The link to a box is slow or blocked in one direction.
    BoxLink(usize, LinkMode),
    /// A daemon is cut off from all boxes, while callers, the store and other daemons reach it.
    EndpointsCut(usize, LinkCut),
    /// All connections to a box are closed abruptly.
    BoxCut(usize),
    /// The entry of a box is missing from the store while the box keeps working.
    Unlisted(usize),
    /// A box restarts under its id without state. If the flag is set, the last join order that it had taken
    /// is carried out late, in the new incarnation, so that it returns to its replica.
    Restarted(usize, bool),
    /// A box sends signals to daemons in its answers, such as backoff; one that says it leaves restarts at the end.
    Wishes(usize, BoxWishes),
    /// All boxes advertise a limit of requests per second.
    Limited(&'static str, LimitIn),
    /// Operators evacuate the second availability zone; its boxes are cold when it takes traffic again.
    Evacuated,
    /// A box is cold, and its entry says so.
    Cold(usize),
    /// Another writer overwrites the entry of a box, until the box writes it again.
    Overwritten(usize, CorruptEntry),
    /// The store refuses or ignores the requests of one daemon.
    Door(usize, StoreMode),
    /// The link of one daemon to the store is slow or blocked in one direction.
    StoreLink(usize, LinkMode),
    /// The store refuses or ignores the requests of all daemons.
    StoreOut(StoreMode),
    /// The store answers each call only after this time, but does at once what it asks for.
    StoreSlow(Duration),
    /// The store loses its change history.
    StoreForgets,
    /// The store is restored from a backup as old as the fault is long.
    Drill,
    /// The store applies this many writes without answering them.
    StoreLosesAnswers(u32),
    /// The process of a daemon is suspended.
    Paused(usize),
    /// A daemon is killed and started again.
    Killed(usize),
    /// All daemons are killed and started again.
    AllKilled,
    /// A daemon is asked to shut down, and started again.
    Stopped(usize),
    /// Operators write a new configuration.
    Configured {
        /// Number of routes besides the usual ones.
        more: usize,
    },
}

/// An unreadable value that another writer puts in the entry of a box.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CorruptEntry {
    /// Bytes that are not UTF-8.
    NoText,
    /// Text that is not JSON.
    NoJson,
    /// JSON with other types and values than an entry has.
    OtherShape,
    /// JSON nested too deeply for a parser.
    Nested,
}

impl CorruptEntry {
    const ALL: [Self; 4] = [Self::NoText, Self::NoJson, Self::OtherShape, Self::Nested];

    /// Returns the value as it is stored.
    pub fn bytes(self) -> Vec<u8> {
        match self {
            Self::NoText => vec![0xff, 0xfe, 0x00],
            Self::NoJson => b"ready".to_vec(),
            Self::OtherShape => br#"{"service": 7, "state": "asleep"}"#.to_vec(),
            Self::Nested => "[".repeat(100_000).into_bytes(),
        }
    }
}

/// One fault of a schedule.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Fault {
    /// Its number, by which it can be selected to run alone.
    pub number: usize,
    /// When it begins, from the start of the run.
    pub at: Millis,
    /// How long it lasts.
    pub duration: Millis,
    /// What fails.
    pub kind: FaultKind,
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let (at, duration) = (self.at.0, self.duration.0);
        write!(f, "{:>2}  {at:>6} ms  for {duration:>5} ms  {:?}", self.number, self.kind)
    }
}

/// How many targets there are for faults.
#[derive(Clone, Copy, Debug)]
pub struct Targets {
    /// Number of daemons.
    pub daemons: usize,
    /// Number of boxes, including plain endpoints.
    pub boxes: usize,
}

/// Minimum time between two configurations, in milliseconds, so that a key stays valid long enough to be used.
const MIN_CONFIG_INTERVAL_MS: u64 = 1_100;

/// Upper bound of the routes that are added to a configuration.
const MAX_EXTRA_ROUTES: usize = 1_400;

/// Draws the usual faults of one run. Faults may overlap, and some follow each other closely.
pub fn draw_schedule(seed: u64, targets: Targets, span: Millis) -> Vec<Fault> {
    let mut rng = SeededRng::new(seed);
    let mut faults: Vec<Fault> = Vec::new();
    let mut at = 500;
    let mut last_config = 0;
    while at < span.0 {
        let kind = draw_kind(&mut rng, targets);
        let is_config = matches!(kind, FaultKind::Configured { .. });
        if !is_config || at >= last_config + MIN_CONFIG_INTERVAL_MS {
            last_config = if is_config { at } else { last_config };
            let duration = Millis(200 + rng.below(2_500) as u64);
            faults.push(Fault { number: faults.len(), at: Millis(at), duration, kind });
        }
        // Two in three faults follow within 350 ms, the others within about two seconds.
        let pause = if rng.below(3) > 0 { 300 } else { 2_000 };
        at += 50 + rng.below(pause) as u64;
    }
    faults
}

/// One drawn fault, and the time until the next.
struct DrawnFault {
    kind: FaultKind,
    duration_ms: u64,
    /// Time from the start of this fault to the start of the next, in milliseconds.
    pause_ms: u64,
}

/// Draws faults besides the usual ones, from a generator of their own: adding them leaves the usual schedule of a
/// seed unchanged. The first begins `at` milliseconds after the start of the run.
fn draw_extra(
    mut rng: SeededRng,
    mut at: u64,
    span: Millis,
    first_number: usize,
    mut draw: impl FnMut(&mut SeededRng) -> DrawnFault,
) -> Vec<Fault> {
    let mut faults = Vec::new();
    while at < span.0 {
        let DrawnFault { kind, duration_ms, pause_ms } = draw(&mut rng);
        let (number, duration) = (first_number + faults.len(), Millis(duration_ms));
        faults.push(Fault { number, at: Millis(at), duration, kind });
        at += pause_ms;
    }
    faults
}

/// Draws restarts of boxes and entries that other writers overwrite.
pub fn draw_restarts(seed: u64, targets: Targets, span: Millis, first_number: usize) -> Vec<Fault> {
    /// Gives these faults a random sequence of their own.
    const SEED_MASK: u64 = 0x11fe;
    draw_extra(SeededRng::new(seed ^ SEED_MASK), 700, span, first_number, |rng| {
        let a_box = rng.below(targets.boxes);
        let kind = match rng.below(3) {
            0 => {
                let value = CorruptEntry::ALL[rng.below(CorruptEntry::ALL.len())];
                FaultKind::Overwritten(a_box, value)
            }
            _ => FaultKind::Restarted(a_box, rng.below(2) == 0),
        };
        let duration_ms = 200 + rng.below(1_000) as u64;
        let pause = if rng.below(2) > 0 { 200 } else { 2_500 };
        DrawnFault { kind, duration_ms, pause_ms: 50 + rng.below(pause) as u64 }
    })
}

/// Draws signals that boxes send in their answers: backoff, and that they leave.
pub fn draw_box_signals(
    seed: u64,
    targets: Targets,
    span: Millis,
    first_number: usize,
) -> Vec<Fault> {
    /// Gives these faults a random sequence of their own.
    const SEED_MASK: u64 = 0x3e57;
    /// The `retry-after` values that boxes send: shorter and longer than a fault, almost zero, and not a number.
    const RETRY_AFTER_VALUES: [&str; 5] = ["1", "2.5", "0.05", "soon", "3"];
    draw_extra(SeededRng::new(seed ^ SEED_MASK), 600, span, first_number, |rng| {
        let a_box = rng.below(targets.boxes);
        let retry_after = RETRY_AFTER_VALUES[rng.below(RETRY_AFTER_VALUES.len())];
        let signals = match rng.below(6) {
            0..=1 => BoxWishes::rest(Sheds::All, retry_after),
            2 => BoxWishes::rest(Sheds::EverySecond, retry_after),
            3 => BoxWishes::rest(Sheds::Beyond(2), retry_after),
            4 => BoxWishes { leaves: true, ..BoxWishes::rest(Sheds::EverySecond, retry_after) },
            _ => BoxWishes::leaving(),
        };
        let kind = FaultKind::Wishes(a_box, signals);
        let duration_ms = 400 + rng.below(3_500) as u64;
        DrawnFault { kind, duration_ms, pause_ms: 100 + rng.below(1_200) as u64 }
    })
}

/// Draws restores of the store from a backup; two may follow each other within a second.
pub fn draw_store_restores(seed: u64, span: Millis, first_number: usize) -> Vec<Fault> {
    /// Gives these faults a random sequence of their own.
    const SEED_MASK: u64 = 0xd411;
    draw_extra(SeededRng::new(seed ^ SEED_MASK), 900, span, first_number, |rng| {
        let duration_ms = 500 + rng.below(2_500) as u64;
        let pause = if rng.below(3) == 0 { 900 } else { 2_500 };
        // The store keeps a single backup, so restores don't overlap.
        DrawnFault { kind: FaultKind::Drill, duration_ms, pause_ms: duration_ms + pause }
    })
}

/// Draws times in which the store is slow, but not out.
pub fn draw_slow_store(seed: u64, span: Millis, first_number: usize) -> Vec<Fault> {
    /// Gives these faults a random sequence of their own.
    const SEED_MASK: u64 = 0x510e;
    /// The store's answer times: less and more than the shortest timeout of a call.
    const ANSWER_TIMES_MS: [u64; 4] = [250, 900, 1_600, 2_800];
    draw_extra(SeededRng::new(seed ^ SEED_MASK), 600, span, first_number, |rng| {
        let answer_time = Duration::from_millis(ANSWER_TIMES_MS[rng.below(4)]);
        let duration_ms = 1_500 + rng.below(4_000) as u64;
        let pause = 200 + rng.below(1_500) as u64;
        // There is one answer time for the store, so these times don't overlap.
        let kind = FaultKind::StoreSlow(answer_time);
        DrawnFault { kind, duration_ms, pause_ms: duration_ms + pause }
    })
}

/// Draws evacuations of a zone and boxes that turn cold.
pub fn draw_zone_faults(
    seed: u64,
    targets: Targets,
    span: Millis,
    first_number: usize,
) -> Vec<Fault> {
    /// Gives these faults a random sequence of their own.
    const SEED_MASK: u64 = 0x20e5;
    let first = Fault {
        number: first_number,
        at: Millis(800),
        duration: Millis(4_500),
        kind: FaultKind::Evacuated,
    };
    let later =
        draw_extra(SeededRng::new(seed ^ SEED_MASK), 6_500, span, first_number + 1, |rng| {
            let (kind, duration_ms) = match rng.below(4) {
                0 => (FaultKind::Evacuated, 1_000 + rng.below(4_000)),
                _ => (FaultKind::Cold(rng.below(targets.boxes)), 1_500 + rng.below(2_000)),
            };
            // There is one key for the zone, so evacuations don't overlap.
            let pause = if kind == FaultKind::Evacuated { duration_ms + 1_500 } else { 700 };
            DrawnFault { kind, duration_ms: duration_ms as u64, pause_ms: pause as u64 }
        });
    std::iter::once(first).chain(later).collect()
}

/// Draws cuts of daemons from all boxes: each daemon in turn, or two at once, but never all.
pub fn draw_endpoint_cuts(
    seed: u64,
    targets: Targets,
    span: Millis,
    first_number: usize,
) -> Vec<Fault> {
    /// Gives these faults a random sequence of their own.
    const SEED_MASK: u64 = 0xc075;
    /// Daemons that are never cut off, so that one can always carry.
    const SPARED: usize = 1;
    const CUTS: [LinkCut; 3] = [LinkCut::Silent, LinkCut::Reset, LinkCut::RefuseNew];
    let mut last_end = vec![0; targets.daemons];
    let mut at = 700;
    draw_extra(SeededRng::new(seed ^ SEED_MASK), at, span, first_number, |rng| {
        let daemon = SPARED + rng.below(targets.daemons - SPARED);
        let duration_ms = 2_500 + rng.below(3_500) as u64;
        let pause_ms = 300 + rng.below(2_000) as u64;
        // The links of one daemon are cut once at a time.
        let wait_ms = u64::saturating_sub(last_end[daemon], at);
        let duration_ms = if wait_ms > 0 { 0 } else { duration_ms };
        last_end[daemon] = last_end[daemon].max(at + duration_ms + 500);
        at += pause_ms;
        let kind = FaultKind::EndpointsCut(daemon, CUTS[rng.below(CUTS.len())]);
        DrawnFault { kind, duration_ms, pause_ms }
    })
    .into_iter()
    .filter(|fault| fault.duration > Millis(0))
    .collect()
}

/// Draws silences of sound boxes, which are no trouble, and changes of the configuration beside them.
pub fn draw_silences(seed: u64, targets: Targets, span: Millis, first_number: usize) -> Vec<Fault> {
    /// Gives these faults a random sequence of their own.
    const SEED_MASK: u64 = 0x51e7;
    draw_extra(SeededRng::new(seed ^ SEED_MASK), 700, span, first_number, |rng| {
        let kind = match rng.below(4) {
            0 => FaultKind::Configured { more: 0 },
            _ => FaultKind::Box(rng.below(targets.boxes), BoxMode::Silent),
        };
        let duration_ms = 300 + rng.below(900) as u64;
        // The configurations of two faults are far enough apart for their keys.
        DrawnFault { kind, duration_ms, pause_ms: duration_ms + 600 + rng.below(700) as u64 }
    })
}

/// Draws boxes that send answers once more, beside boxes that refuse some requests.
pub fn draw_surplus_answers(
    seed: u64,
    targets: Targets,
    span: Millis,
    first_number: usize,
) -> Vec<Fault> {
    /// Gives these faults a random sequence of their own.
    const SEED_MASK: u64 = 0x5a91;
    /// One in how many answers is sent once more.
    const EVERY: [usize; 3] = [2, 3, 7];
    draw_extra(SeededRng::new(seed ^ SEED_MASK), 500, span, first_number, |rng| {
        let a_box = rng.below(targets.boxes);
        let kind = match rng.below(4) {
            0 => FaultKind::Wishes(a_box, BoxWishes::rest(Sheds::EverySecond, "0.05")),
            _ => FaultKind::BoxLink(a_box, LinkMode::Surplus(EVERY[rng.below(EVERY.len())])),
        };
        let duration_ms = 2_000 + rng.below(3_000) as u64;
        DrawnFault { kind, duration_ms, pause_ms: 100 + rng.below(300) as u64 }
    })
}

/// Draws a rate limit that all boxes advertise, and ineffective ones of single boxes besides.
///
/// The common one lasts several seconds, since the check counts only some seconds after a limit was first advertised.
pub fn draw_rate_limits(
    seed: u64,
    targets: Targets,
    span: Millis,
    first_number: usize,
) -> Vec<Fault> {
    /// Gives these faults a random sequence of their own.
    const SEED_MASK: u64 = 0x11a7;
    /// Limits that all boxes advertise. Each is far below the two to five requests per second that a box gets here;
    /// a higher one would hold even if daemons ignored it.
    const LIMITS: [&str; 4] = ["0.4", "0.2", "0.1", "0"];
    /// Limits that single boxes advertise: one is not a number, the other is never reached.
    const INEFFECTIVE_LIMITS: [&str; 2] = ["few", "1e9"];
    let mut rng = SeededRng::new(seed ^ SEED_MASK);
    let limit_in = if rng.below(3) == 0 { LimitIn::Served } else { LimitIn::All };
    let all = Fault {
        number: first_number,
        at: Millis(500 + rng.below(1_500) as u64),
        duration: Millis(7_500 + rng.below(1_500) as u64),
        kind: FaultKind::Limited(LIMITS[rng.below(LIMITS.len())], limit_in),
    };
    let ineffective = draw_extra(rng, 2_500, span, first_number + 1, |rng| {
        let limited = BoxWishes::limit(INEFFECTIVE_LIMITS[rng.below(INEFFECTIVE_LIMITS.len())]);
        let signals = match rng.below(3) {
            0 => BoxWishes { limit: limited.limit, ..BoxWishes::rest(Sheds::EverySecond, "0.5") },
            1 => BoxWishes { leaves: true, ..limited },
            _ => limited,
        };
        let kind = FaultKind::Wishes(rng.below(targets.boxes), signals);
        DrawnFault { kind, duration_ms: 500 + rng.below(2_000) as u64, pause_ms: 3_000 }
    });
    std::iter::once(all).chain(ineffective).collect()
}

fn draw_kind(rng: &mut SeededRng, targets: Targets) -> FaultKind {
    let (a_box, daemon) = (rng.below(targets.boxes), rng.below(targets.daemons));
    let box_modes =
        [BoxMode::Dark, BoxMode::Dark, BoxMode::Sheds, BoxMode::LosesAnswers, BoxMode::Fails];
    let link_modes =
        [LinkMode::Slow(Duration::from_millis(30)), LinkMode::SilentThere, LinkMode::SilentBack];
    let store_modes = [StoreMode::Busy, StoreMode::Silent];
    match rng.below(20) {
        0..=3 => FaultKind::Box(a_box, box_modes[rng.below(box_modes.len())]),
        4..=5 => FaultKind::BoxLink(a_box, link_modes[rng.below(link_modes.len())]),
        6 => FaultKind::BoxCut(a_box),
        7 => FaultKind::Unlisted(a_box),
        8 => FaultKind::Door(daemon, store_modes[rng.below(store_modes.len())]),
        9..=10 => FaultKind::StoreLink(daemon, link_modes[rng.below(link_modes.len())]),
        11 => FaultKind::StoreOut(store_modes[rng.below(store_modes.len())]),
        12 => FaultKind::StoreForgets,
        13 => FaultKind::StoreLosesAnswers(1 + rng.below(3) as u32),
        14 => FaultKind::Paused(daemon),
        15 => FaultKind::Killed(daemon),
        16 => match rng.below(3) {
            0 => FaultKind::AllKilled,
            _ => FaultKind::Killed(daemon),
        },
        17 => FaultKind::Stopped(daemon),
        _ => {
            let large = rng.below(3) == 0;
            FaultKind::Configured { more: if large { rng.below(MAX_EXTRA_ROUTES) } else { 0 } }
        }
    }
}
