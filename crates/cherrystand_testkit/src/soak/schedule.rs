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
    Overwritten(usize, OtherValue),
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
pub enum OtherValue {
    /// Bytes that are no text.
    NoText,
    /// Text that is no JSON.
    NoJson,
    /// JSON of another shape.
    OtherShape,
    /// Very deep JSON.
    Nested,
}

impl OtherValue {
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
    pub lasts: Millis,
    /// What it is.
    pub kind: FaultKind,
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let (at, lasts) = (self.at.0, self.lasts.0);
        write!(f, "{:>2}  {at:>6} ms  for {lasts:>5} ms  {:?}", self.number, self.kind)
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
const BETWEEN_CONFIGS: u64 = 1_100;

/// How many routes a configuration grows by at the most.
const MOST_MORE_ROUTES: usize = 1_400;

/// Draws the faults of one run; a later fault may begin while earlier ones last, and some come in
/// quick series.
pub fn draw_schedule(seed: u64, targets: Targets, span: Millis) -> Vec<Fault> {
    let mut seed = SeededRng::new(seed);
    let mut faults: Vec<Fault> = Vec::new();
    let mut at = 500;
    let mut last_config = 0;
    while at < span.0 {
        let kind = draw_kind(&mut seed, targets);
        let is_config = matches!(kind, FaultKind::Configured { .. });
        if !is_config || at >= last_config + BETWEEN_CONFIGS {
            last_config = if is_config { at } else { last_config };
            let lasts = Millis(200 + seed.below(2_500) as u64);
            faults.push(Fault { number: faults.len(), at: Millis(at), lasts, kind });
        }
        // Two in three follow in a moment, the others after a pause.
        let pause = if seed.below(3) > 0 { 300 } else { 2_000 };
        at += 50 + seed.below(pause) as u64;
    }
    faults
}

/// What is drawn for one moment.
struct Drawn {
    kind: FaultKind,
    lasts: u64,
    /// The time until the next, in milliseconds.
    pause: u64,
}

/// Draws faults besides the usual ones, by draws of their own, so that the schedules of earlier seeds stay
/// as they are; the first comes `at` so many milliseconds.
fn draw_besides(
    mut seed: SeededRng,
    mut at: u64,
    span: Millis,
    first_number: usize,
    mut draw: impl FnMut(&mut SeededRng) -> Drawn,
) -> Vec<Fault> {
    let mut faults = Vec::new();
    while at < span.0 {
        let Drawn { kind, lasts, pause } = draw(&mut seed);
        let (number, lasts) = (first_number + faults.len(), Millis(lasts));
        faults.push(Fault { number, at: Millis(at), lasts, kind });
        at += pause;
    }
    faults
}

/// Draws restarts of boxes and values of other writers.
pub fn draw_lives(seed: u64, targets: Targets, span: Millis, first_number: usize) -> Vec<Fault> {
    /// Tells the draws apart from those of the other faults.
    const OTHER_DRAWS: u64 = 0x11fe;
    draw_besides(SeededRng::new(seed ^ OTHER_DRAWS), 700, span, first_number, |seed| {
        let a_box = seed.below(targets.boxes);
        let kind = match seed.below(3) {
            0 => {
                let value = OtherValue::ALL[seed.below(OtherValue::ALL.len())];
                FaultKind::Overwritten(a_box, value)
            }
            _ => FaultKind::Restarted(a_box, seed.below(2) == 0),
        };
        let lasts = 200 + seed.below(1_000) as u64;
        let pause = if seed.below(2) > 0 { 200 } else { 2_500 };
        Drawn { kind, lasts, pause: 50 + seed.below(pause) as u64 }
    })
}

/// Draws wishes of boxes.
pub fn draw_wishes(seed: u64, targets: Targets, span: Millis, first_number: usize) -> Vec<Fault> {
    /// Tells the draws apart from those of the other faults.
    const OTHER_DRAWS: u64 = 0x3e57;
    /// What boxes ask for; more than a fault lasts, less, next to nothing, and what is no time.
    const RESTS: [&str; 5] = ["1", "2.5", "0.05", "soon", "3"];
    draw_besides(SeededRng::new(seed ^ OTHER_DRAWS), 600, span, first_number, |seed| {
        let a_box = seed.below(targets.boxes);
        let rest = RESTS[seed.below(RESTS.len())];
        let wishes = match seed.below(6) {
            0..=1 => BoxWishes::rest(Sheds::All, rest),
            2 => BoxWishes::rest(Sheds::EverySecond, rest),
            3 => BoxWishes::rest(Sheds::Beyond(2), rest),
            4 => BoxWishes { leaves: true, ..BoxWishes::rest(Sheds::EverySecond, rest) },
            _ => BoxWishes::leaving(),
        };
        let kind = FaultKind::Wishes(a_box, wishes);
        let lasts = 400 + seed.below(3_500) as u64;
        Drawn { kind, lasts, pause: 100 + seed.below(1_200) as u64 }
    })
}

/// Draws drills, of which two may follow each other within a second.
pub fn draw_drills(seed: u64, span: Millis, first_number: usize) -> Vec<Fault> {
    /// Tells the draws apart from those of the other faults.
    const OTHER_DRAWS: u64 = 0xd411;
    draw_besides(SeededRng::new(seed ^ OTHER_DRAWS), 900, span, first_number, |seed| {
        let lasts = 500 + seed.below(2_500) as u64;
        let pause = if seed.below(3) == 0 { 900 } else { 2_500 };
        // One copy at a time.
        Drawn { kind: FaultKind::Drill, lasts, pause: lasts + pause }
    })
}

/// Draws zones that are emptied and boxes that turn cold.
pub fn draw_zones(seed: u64, targets: Targets, span: Millis, first_number: usize) -> Vec<Fault> {
    /// Tells the draws apart from those of the other faults.
    const OTHER_DRAWS: u64 = 0x20e5;
    let first = Fault {
        number: first_number,
        at: Millis(800),
        lasts: Millis(4_500),
        kind: FaultKind::Evacuated,
    };
    let later =
        draw_besides(SeededRng::new(seed ^ OTHER_DRAWS), 6_500, span, first_number + 1, |seed| {
            let (kind, lasts) = match seed.below(4) {
                0 => (FaultKind::Evacuated, 1_000 + seed.below(4_000)),
                _ => (FaultKind::Cold(seed.below(targets.boxes)), 1_500 + seed.below(2_000)),
            };
            // One emptying at a time, as there is one key.
            let pause = if kind == FaultKind::Evacuated { lasts + 1_500 } else { 700 };
            Drawn { kind, lasts: lasts as u64, pause: pause as u64 }
        });
    std::iter::once(first).chain(later).collect()
}

/// Draws a limit that all boxes name for seconds, as that long it takes until it is counted, and odd ones of some
/// beside it.
pub fn draw_limits(seed: u64, targets: Targets, span: Millis, first_number: usize) -> Vec<Fault> {
    /// Tells the draws apart from those of the other faults.
    const OTHER_DRAWS: u64 = 0x11a7;
    /// What all boxes name: each is far below the two to five requests a second that a box gets here, or nothing would
    /// show whether it is followed.
    const LIMITS: [&str; 4] = ["0.4", "0.2", "0.1", "0"];
    /// What some name: no number, and what nobody reaches.
    const ODD: [&str; 2] = ["few", "1e9"];
    let mut seed = SeededRng::new(seed ^ OTHER_DRAWS);
    let limit_in = if seed.below(3) == 0 { LimitIn::Served } else { LimitIn::All };
    let all = Fault {
        number: first_number,
        at: Millis(500 + seed.below(1_500) as u64),
        lasts: Millis(7_500 + seed.below(1_500) as u64),
        kind: FaultKind::Limited(LIMITS[seed.below(LIMITS.len())], limit_in),
    };
    let odd = draw_besides(seed, 2_500, span, first_number + 1, |seed| {
        let limited = BoxWishes::limit(ODD[seed.below(ODD.len())]);
        let wishes = match seed.below(3) {
            0 => BoxWishes { limit: limited.limit, ..BoxWishes::rest(Sheds::EverySecond, "0.5") },
            1 => BoxWishes { leaves: true, ..limited },
            _ => limited,
        };
        let kind = FaultKind::Wishes(seed.below(targets.boxes), wishes);
        Drawn { kind, lasts: 500 + seed.below(2_000) as u64, pause: 3_000 }
    });
    std::iter::once(all).chain(odd).collect()
}

fn draw_kind(seed: &mut SeededRng, targets: Targets) -> FaultKind {
    let (a_box, daemon) = (seed.below(targets.boxes), seed.below(targets.daemons));
    let moods =
        [BoxMood::Dark, BoxMood::Dark, BoxMood::Sheds, BoxMood::LosesAnswers, BoxMood::Fails];
    let links =
        [LinkMode::Slow(Duration::from_millis(30)), LinkMode::SilentThere, LinkMode::SilentBack];
    let doors = [Door::Busy, Door::Silent];
    match seed.below(20) {
        0..=3 => FaultKind::Box(a_box, moods[seed.below(moods.len())]),
        4..=5 => FaultKind::BoxLink(a_box, links[seed.below(links.len())]),
        6 => FaultKind::BoxCut(a_box),
        7 => FaultKind::Unlisted(a_box),
        8 => FaultKind::Door(daemon, doors[seed.below(doors.len())]),
        9..=10 => FaultKind::StoreLink(daemon, links[seed.below(links.len())]),
        11 => FaultKind::StoreOut(doors[seed.below(doors.len())]),
        12 => FaultKind::StoreForgets,
        13 => FaultKind::StoreLosesAnswers(1 + seed.below(3) as u32),
        14 => FaultKind::Paused(daemon),
        15 => FaultKind::Killed(daemon),
        16 => match seed.below(3) {
            0 => FaultKind::AllKilled,
            _ => FaultKind::Killed(daemon),
        },
        17 => FaultKind::Stopped(daemon),
        _ => {
            let large = seed.below(3) == 0;
            FaultKind::Configured { more: if large { seed.below(MOST_MORE_ROUTES) } else { 0 } }
        }
    }
}
