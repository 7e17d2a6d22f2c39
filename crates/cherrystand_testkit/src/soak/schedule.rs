//! Which faults strike when, drawn from a seed.

use std::fmt;
use std::time::Duration;

use cherrystand_core::{Millis, SeededRng};

use crate::soak::link::LinkMode;
use crate::{BoxMood, BoxWishes, Door, LimitIn, Sheds};

/// What strikes.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum FaultKind {
    /// A box behaves in another way.
    Box(usize, BoxMood),
    /// The link to a box is harmed.
    BoxLink(usize, LinkMode),
    /// All connections to a box break.
    BoxCut(usize),
    /// A box's entry is out while the box works on.
    Unlisted(usize),
    /// A box starts again under its id, empty; a late join may take it back to its replica.
    Restarted(usize, bool),
    /// A box asks daemons for something in its answers; one that leaves starts again in the end.
    Wishes(usize, BoxWishes),
    /// All boxes name how many requests a second they take.
    Limited(&'static str, LimitIn),
    /// Operators empty the second availability zone; its boxes are cold as it is taken back.
    Evacuated,
    /// A box is cold, and says so.
    Cold(usize),
    /// Another writer puts something where a box tells of itself, until the box does so again.
    Overwritten(usize, CorruptEntry),
    /// The store turns one daemon away.
    Door(usize, Door),
    /// The link of one daemon to the store is harmed.
    StoreLink(usize, LinkMode),
    /// The store is out for all.
    StoreOut(Door),
    /// The store forgets its history.
    StoreForgets,
    /// The store comes back from a copy as old as the fault lasts.
    Drill,
    /// The store does some writes without an answer.
    StoreLosesAnswers(u32),
    /// A daemon stands still.
    Paused(usize),
    /// A daemon is killed, and started again.
    Killed(usize),
    /// All daemons are killed, and started again.
    AllKilled,
    /// A daemon is stopped as planned, and started again.
    Stopped(usize),
    /// A new configuration; with more routes where that is so.
    Configured {
        /// How many routes are added to the usual ones.
        more: usize,
    },
}

/// What another writer puts where a box tells of itself.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CorruptEntry {
    /// Bytes that are no text.
    NoText,
    /// Text that is no JSON.
    NoJson,
    /// JSON of another shape.
    OtherShape,
    /// Very deep JSON.
    Nested,
}

impl CorruptEntry {
    const ALL: [Self; 4] = [Self::NoText, Self::NoJson, Self::OtherShape, Self::Nested];

    /// Returns the bytes.
    pub fn bytes(self) -> Vec<u8> {
        match self {
            Self::NoText => vec![0xff, 0xfe, 0x00],
            Self::NoJson => b"ready".to_vec(),
            Self::OtherShape => br#"{"service": 7, "state": "asleep"}"#.to_vec(),
            Self::Nested => "[".repeat(100_000).into_bytes(),
        }
    }
}

/// One fault.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Fault {
    /// Its number, by which it can be played alone.
    pub number: usize,
    /// When it begins.
    pub at: Millis,
    /// How long it lasts.
    pub duration: Millis,
    /// What it is.
    pub kind: FaultKind,
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let (at, duration) = (self.at.0, self.duration.0);
        write!(f, "{:>2}  {at:>6} ms  for {duration:>5} ms  {:?}", self.number, self.kind)
    }
}

/// What there is to strike.
#[derive(Clone, Copy, Debug)]
pub struct Targets {
    /// Daemons.
    pub daemons: usize,
    /// Boxes, plain endpoints among them.
    pub boxes: usize,
}

/// The least time between two configurations, so that a key lives through several.
const MIN_CONFIG_INTERVAL_MS: u64 = 1_100;

/// How many routes a configuration grows by at the most.
const MAX_EXTRA_ROUTES: usize = 1_400;

/// Draws the faults of one run; a later fault may begin while earlier ones last, and some come in
/// quick series.
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
        // Two in three follow in a moment, the others after a pause.
        let pause = if rng.below(3) > 0 { 300 } else { 2_000 };
        at += 50 + rng.below(pause) as u64;
    }
    faults
}

/// What is drawn for one moment.
struct DrawnFault {
    kind: FaultKind,
    duration_ms: u64,
    /// The time until the next, in milliseconds.
    pause_ms: u64,
}

/// Draws faults besides the usual ones, by draws of their own, so that the schedules of earlier seeds stay
/// as they are; the first comes `at` so many milliseconds.
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

/// Draws restarts of boxes and values of other writers.
pub fn draw_restarts(seed: u64, targets: Targets, span: Millis, first_number: usize) -> Vec<Fault> {
    /// Tells the draws apart from those of the other faults.
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

/// Draws wishes of boxes.
pub fn draw_box_signals(
    seed: u64,
    targets: Targets,
    span: Millis,
    first_number: usize,
) -> Vec<Fault> {
    /// Tells the draws apart from those of the other faults.
    const SEED_MASK: u64 = 0x3e57;
    /// What boxes ask for; more than a fault lasts, less, next to nothing, and what is no time.
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

/// Draws drills, of which two may follow each other within a second.
pub fn draw_store_restores(seed: u64, span: Millis, first_number: usize) -> Vec<Fault> {
    /// Tells the draws apart from those of the other faults.
    const SEED_MASK: u64 = 0xd411;
    draw_extra(SeededRng::new(seed ^ SEED_MASK), 900, span, first_number, |rng| {
        let duration_ms = 500 + rng.below(2_500) as u64;
        let pause = if rng.below(3) == 0 { 900 } else { 2_500 };
        // One copy at a time.
        DrawnFault { kind: FaultKind::Drill, duration_ms, pause_ms: duration_ms + pause }
    })
}

/// Draws zones that are emptied and boxes that turn cold.
pub fn draw_zone_faults(
    seed: u64,
    targets: Targets,
    span: Millis,
    first_number: usize,
) -> Vec<Fault> {
    /// Tells the draws apart from those of the other faults.
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
            // One emptying at a time, as there is one key.
            let pause = if kind == FaultKind::Evacuated { duration_ms + 1_500 } else { 700 };
            DrawnFault { kind, duration_ms: duration_ms as u64, pause_ms: pause as u64 }
        });
    std::iter::once(first).chain(later).collect()
}

/// Draws a limit that all boxes name for seconds, as that long it takes until it is counted, and odd ones of some
/// beside it.
pub fn draw_rate_limits(
    seed: u64,
    targets: Targets,
    span: Millis,
    first_number: usize,
) -> Vec<Fault> {
    /// Tells the draws apart from those of the other faults.
    const SEED_MASK: u64 = 0x11a7;
    /// What all boxes name: each is far below the two to five requests a second that a box gets here, or nothing would
    /// show whether it is followed.
    const LIMITS: [&str; 4] = ["0.4", "0.2", "0.1", "0"];
    /// What some name: no number, and what nobody reaches.
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
        [BoxMood::Dark, BoxMood::Dark, BoxMood::Sheds, BoxMood::LosesAnswers, BoxMood::Fails];
    let link_modes =
        [LinkMode::Slow(Duration::from_millis(30)), LinkMode::SilentThere, LinkMode::SilentBack];
    let store_modes = [Door::Busy, Door::Silent];
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
