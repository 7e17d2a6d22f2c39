//! The state of a box in the stand-in for a site, and what is recorded of all boxes.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Instant;

use crate::site::box_wishes::{BoxWishes, SentSignal};
use crate::site::metadata_stand_in::StoreMode;

/// The time at which boxes first start, in Unix milliseconds.
pub(crate) const FIRST_START_MS: u64 = 1_790_000_000_000;

/// How a box treats requests.
///
/// Fault schedules print the variants by name.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum BoxMode {
    /// It serves them.
    #[default]
    Well,
    /// It neither answers nor does anything, as without power.
    Dark,
    /// It refuses every request without running it.
    Sheds,
    /// It runs every request and then closes the connection instead of answering.
    LosesAnswers,
    /// It answers every request with an error.
    Fails,
    /// It holds all that it is asked and all that it runs, and goes on with it in another mode.
    Silent,
    /// It answers probes and orders, but starts no answer and sends no event of a stream.
    Pauses,
}

/// How a cold box reports that it is cold.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ColdReport {
    /// In its entry, at once, and in its answers to health checks.
    Entry,
    /// Only in its answers.
    Answers,
    /// Not at all.
    Nowhere,
}

/// A leader that was ordered to leave while it served.
#[derive(Clone, Debug)]
pub struct EndedLeader {
    /// The box.
    pub target: String,
    /// When it was.
    pub at: Instant,
}

#[derive(Clone, Debug)]
pub(super) struct Membership {
    pub(super) group: String,
    pub(super) epoch: u64,
    pub(super) members: Vec<String>,
    pub(super) state: &'static str,
}

pub(super) struct SiteBoxState {
    /// The address in its entry.
    pub(super) address: SocketAddr,
    /// The address that it listens on.
    pub(super) listen_address: SocketAddr,
    pub(super) service: &'static str,
    pub(super) zone: &'static str,
    /// Until when it is cold, and how it reports that.
    pub(super) cold: Option<(Instant, ColdReport)>,
    pub(super) mode: BoxMode,
    /// Whether its entry says that it is draining.
    pub(super) draining: bool,
    pub(super) wishes: BoxWishes,
    /// Number of requests that it has decided to run or refuse.
    pub(super) requests: usize,
    /// Number of answers that it has sent.
    pub(super) answers: usize,
    /// Each stream that it works on holds a reference; the count tells how many there are.
    pub(super) active: Rc<()>,
    /// Its incarnation: when it started, in Unix milliseconds.
    pub(super) start_ms: u64,
    pub(super) staged: Option<String>,
    pub(super) membership: Option<Membership>,
    pub(super) highest_epoch: u64,
    /// The highest fence token that it has seen.
    pub(super) fence: u64,
    /// The ids of the requests that it ran, and the last event that the caller had received of each.
    pub(super) runs: Vec<(String, Option<u64>)>,
    /// The headers of the requests that it ran.
    pub(super) request_headers: Vec<BTreeMap<String, String>>,
}

impl SiteBoxState {
    /// Creates the state of a box that has just started.
    pub(super) fn new(address: SocketAddr, service: &'static str, zone: &'static str) -> Self {
        Self {
            address,
            listen_address: address,
            service,
            zone,
            cold: None,
            mode: BoxMode::Well,
            draining: false,
            wishes: BoxWishes::default(),
            requests: 0,
            answers: 0,
            active: Rc::default(),
            start_ms: FIRST_START_MS,
            staged: None,
            membership: None,
            highest_epoch: 0,
            fence: 0,
            runs: Vec::new(),
            request_headers: Vec::new(),
        }
    }
}

#[derive(Default)]
pub(super) struct StandInState {
    pub(super) boxes: BTreeMap<String, SiteBoxState>,
    pub(super) store_modes: BTreeMap<usize, StoreMode>,
    /// Whether all answers of boxes are held back.
    pub(super) holds_answers: bool,
    /// Whether entries of boxes report when they started.
    pub(super) reports_starts: bool,
    /// Replicas a member of which restarted, by group and epoch: their streams make no progress.
    pub(super) restarted: BTreeSet<(String, u64)>,
    /// Which members have ever been ready, by group and epoch.
    pub(super) ever_ready: BTreeSet<(String, u64, String)>,
    /// Descriptions of violated rules of the platform.
    pub(super) violations: Vec<String>,
    /// Every request that reached a box, run or not.
    pub(super) arrivals: Vec<Arrival>,
    /// The signals that boxes sent to daemons in their answers.
    pub(super) signals: Vec<SentSignal>,
    /// Boxes that took over the address of another one, by the id of that one.
    pub(super) successors: BTreeMap<String, String>,
    /// The refused orders: box, operation and status.
    pub(super) refused_orders: Vec<(String, String, u16)>,
    /// The boxes that aborted an unread answer, once for each such answer.
    pub(super) unread_aborts: Vec<String>,
    /// Leaders that were ordered to leave while they served, and when.
    pub(super) ended_leaders: Vec<EndedLeader>,
    /// The crashes of boxes by requests, oldest first.
    pub(super) crashes: Vec<Crash>,
}

/// The crash of a box by a request.
#[derive(Clone, Debug)]
pub struct Crash {
    /// The body of the request.
    pub body: String,
    /// The box.
    pub target: String,
    /// When it crashed.
    pub at: Instant,
}

/// A request that reached a box.
#[derive(Clone, Debug)]
pub struct Arrival {
    /// The request's id.
    pub request: String,
    /// Its body, once that was received completely.
    pub body: String,
    /// The box.
    pub target: String,
    /// The incarnation of the box that it reached, as the start time in Unix milliseconds; nothing if the request was
    /// meant for another box.
    pub incarnation: Option<u64>,
    /// When it arrived.
    pub at: Instant,
}
