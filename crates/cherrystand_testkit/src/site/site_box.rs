//! One box of the stand-in for a site, and all that is noted of boxes.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Instant;

use crate::site::box_wishes::{BoxWishes, SentSignal};
use crate::site::metadata_stand_in::StoreMode;

/// When boxes started, in Unix milliseconds.
pub(crate) const FIRST_START_MS: u64 = 1_790_000_000_000;

/// What a box does with requests.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum BoxMode {
    /// It serves.
    #[default]
    Well,
    /// It says and does nothing, as without power.
    Dark,
    /// It refuses every request without running it.
    Sheds,
    /// It runs every request and cuts the connection instead of an answer.
    LosesAnswers,
    /// It fails every request.
    Fails,
    /// It answers questions and orders, and makes no event of any stream for now.
    Pauses,
}

/// Says how a box that is cold tells so.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ColdReport {
    /// By its entry, at once.
    Entry,
    /// In its answers alone.
    Answers,
    /// Not at all.
    Nowhere,
}

#[derive(Clone, Debug)]
pub(super) struct Membership {
    pub(super) group: String,
    pub(super) epoch: u64,
    pub(super) members: Vec<String>,
    pub(super) state: &'static str,
}

pub(super) struct SiteBoxState {
    /// Where it says that it is reached.
    pub(super) address: SocketAddr,
    /// Where it listens.
    pub(super) listen_address: SocketAddr,
    pub(super) service: &'static str,
    pub(super) zone: &'static str,
    /// Until when it is cold, and whether its entry tells so.
    pub(super) cold: Option<(Instant, ColdReport)>,
    pub(super) mode: BoxMode,
    /// Whether its entry says that it leaves.
    pub(super) draining: bool,
    pub(super) wishes: BoxWishes,
    /// How many requests came that it could turn away.
    pub(super) requests: usize,
    /// How many answers it gave.
    pub(super) answers: usize,
    /// Membership by each request that it works on.
    pub(super) active: Rc<()>,
    /// When it started, in Unix milliseconds.
    pub(super) start_ms: u64,
    pub(super) staged: Option<String>,
    pub(super) membership: Option<Membership>,
    pub(super) highest_epoch: u64,
    /// The highest fence seen.
    pub(super) fence: u64,
    /// Requests run, by id, and the event each began after.
    pub(super) runs: Vec<(String, Option<u64>)>,
    /// Tenants and headers that reached it.
    pub(super) request_headers: Vec<BTreeMap<String, String>>,
}

impl SiteBoxState {
    /// A box as it starts, which holds and knows nothing.
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
pub(super) struct SiteState {
    pub(super) boxes: BTreeMap<String, SiteBoxState>,
    pub(super) store_modes: BTreeMap<usize, StoreMode>,
    /// Whether nothing that boxes say arrives for now.
    pub(super) holds_answers: bool,
    /// Whether boxes tell when they started.
    pub(super) reports_starts: bool,
    /// Replicas of which a member started again: nothing moves in them.
    pub(super) restarted: BTreeSet<(String, u64)>,
    /// Which members have ever been ready, by replica and epoch.
    pub(super) ever_ready: BTreeSet<(String, u64, String)>,
    /// What must never happen and did.
    pub(super) violations: Vec<String>,
    /// Every request that reached a box, run or not.
    pub(super) arrivals: Vec<Arrival>,
    /// What boxes asked of daemons in their answers.
    pub(super) signals: Vec<SentSignal>,
    /// Boxes that have the address of an earlier one, by the id of that one.
    pub(super) successors: BTreeMap<String, String>,
    /// Orders that were refused: the box, the operation and the status.
    pub(super) refused_orders: Vec<(String, String, u16)>,
    /// Boxes that broke off an answer which nobody read, each as often as it did.
    pub(super) unread_aborts: Vec<String>,
    /// Boxes that ended by a request, in their order.
    pub(super) crashes: Vec<Crash>,
}

/// A box that a request ended.
#[derive(Clone, Debug)]
pub struct Crash {
    /// The body of the request.
    pub body: String,
    /// The box.
    pub target: String,
    /// When it ended.
    pub at: Instant,
}

/// A request that reached a box.
#[derive(Clone, Debug)]
pub struct Arrival {
    /// The request's id.
    pub request: String,
    /// Its body, once that came whole.
    pub body: String,
    /// The box.
    pub target: String,
    /// When the life of the box began that it reached, in Unix milliseconds; nothing where another box
    /// was meant.
    pub incarnation: Option<u64>,
    /// When it came.
    pub at: Instant,
}
