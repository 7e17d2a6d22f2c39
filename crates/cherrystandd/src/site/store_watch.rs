//! Follows the store, directly or through a peer that reads it: a complete list first, then
//! changes.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use cherrystand_core::{ListedReader, Millis, NodeId, PropagationBudget, RunningTime};
use cherrystand_peer::ChangeCursor;
use cherrystand_platform::PlatformError;

use crate::site::change_reading::{ChangesError, read_changes, read_snapshot};
use crate::site::control::Control;
use crate::site::open_reads::OpenReads;
use crate::site::outage_witnesses::confirm_any_outage;
use crate::site::read_step::ReadStep;
use crate::site::reader_list::{StartupOutcome, start_from_listed_readers};
use crate::site::store_reads::{read_patience, read_store};

/// The minimum time between two watches of the store or polls of a peer.
const MIN_READ_INTERVAL: Duration = Duration::from_millis(PropagationBudget::MIN_WATCH_INTERVAL.0);

/// The same for a node that is not a reader and reads the store because its readers fail.
const MIN_READ_INTERVAL_NON_READER: Duration = Duration::from_millis(250);

/// A reader's first backoff after a call to the store failed.
const FAILURE_BACKOFF: Duration = Duration::from_millis(250);

/// A reader's longest backoff.
const MAX_FAILURE_BACKOFF: Duration = Duration::from_millis(1_000);

/// The longest backoff of a node that is not a reader. The readers notice when the store answers
/// again, and it reads from them then.
const MAX_FAILURE_BACKOFF_NON_READER: Duration = Duration::from_millis(4_000);

/// How long a node discovers its peers before it reads, at the very first start of all daemons.
const FIRST_START_DELAY: Duration = Duration::from_millis(1_500);

/// The same at any other start, when requests are waiting, if no reader list was found.
const START_DELAY: Duration = Duration::from_millis(100);

/// How long after its start a node has discovered its peers, and selects its source among them.
const PEER_DISCOVERY_TIME: Millis = Millis(3_000);

/// How far a node has read the changes of a peer.
#[derive(Clone, Debug)]
struct PeerPosition {
    node: NodeId,
    cursor: ChangeCursor,
}

/// Follows the store, or a peer that reads it, until the duty stops.
pub(crate) async fn follow_store(control: Rc<Control>) {
    let mut follower = StoreFollower {
        position: None,
        relist: false,
        reads: OpenReads::new(control.cx.clock),
        backoff: FAILURE_BACKOFF,
        startup_reader: None,
    };
    if control.is_first_start() {
        tokio::time::sleep(FIRST_START_DELAY).await;
    } else {
        follower.start(&control).await;
    }
    loop {
        let source = control.peers.source().or_else(|| follower.startup_reader(control.now()));
        match source {
            None => follower.read_from_store(&control).await,
            Some((peer, address)) => follower.read_from_peer(&control, peer, address).await,
        }
    }
}

/// Reads changes and keeps the position and the backoff after the next failure of the store.
struct StoreFollower {
    position: Option<PeerPosition>,
    /// Whether the store is to be listed again although its changes could be read on.
    relist: bool,
    reads: OpenReads,
    backoff: Duration,
    /// The reader that the node started from.
    startup_reader: Option<ListedReader>,
}

impl StoreFollower {
    /// Reads everything from the listed readers, or waits briefly to discover peers.
    async fn start(&mut self, control: &Control) {
        match start_from_listed_readers(control).await {
            StartupOutcome::ReadFromPeer(started) => {
                let (node, cursor) = (started.reader.node.clone(), started.cursor);
                self.position = Some(PeerPosition { node, cursor });
                self.startup_reader = Some(started.reader);
            }
            StartupOutcome::ReadStore => {}
            StartupOutcome::NoList => tokio::time::sleep(START_DELAY).await,
        }
    }

    /// Returns the reader that the node started from, until it has discovered its peers.
    fn startup_reader(&self, now: Millis) -> Option<(NodeId, SocketAddr)> {
        let reader = self.startup_reader.as_ref().filter(|_| now < PEER_DISCOVERY_TIME)?;
        Some((reader.node.clone(), reader.changes))
    }

    async fn read_from_store(&mut self, control: &Rc<Control>) {
        let is_reader = control.peers.is_reader();
        let step = ReadStep::begin("read of the store", control);
        if !self.reads.has_punctual() {
            let patience = read_patience(control, self.relist);
            self.reads.begin(patience, read_store(control.clone(), self.relist));
        }
        let read = self.reads.next_end().await;
        step.end(control);
        match read {
            Some(Ok(())) => {
                self.relist = control.state.borrow_mut().take_relist_due(control.now());
                self.backoff = FAILURE_BACKOFF;
                let interval = match is_reader {
                    true => control.peers.watch_interval().max(MIN_READ_INTERVAL),
                    false => MIN_READ_INTERVAL_NON_READER,
                };
                confirm_any_outage(control);
                tokio::time::sleep(control.read_pause(interval)).await;
            }
            Some(Err(PlatformError::HistoryLost | PlatformError::EraChanged)) => {
                control.discard_complete();
            }
            Some(Err(err)) => {
                self.back_off(control, is_reader, &format!("the store could not be read: {err}"))
                    .await;
            }
            None => {
                let reason = "the store has not answered in time; the read stays open";
                self.back_off(control, is_reader, reason).await;
            }
        }
    }

    /// Records that the store did not answer, and waits before it is read again.
    async fn back_off(&mut self, control: &Rc<Control>, is_reader: bool, reason: &str) {
        if !control.record_store_failure() {
            log::info!("this daemon was paused while it read the store: {reason}");
            return;
        }
        log::warn!("{reason}");
        tokio::task::spawn_local(read_any_snapshot(control.clone()));
        back_off_from_store(control, self.backoff).await;
        let max_backoff =
            if is_reader { MAX_FAILURE_BACKOFF } else { MAX_FAILURE_BACKOFF_NON_READER };
        self.backoff = (self.backoff * 2).min(max_backoff);
    }

    async fn read_from_peer(&mut self, control: &Rc<Control>, peer: NodeId, address: SocketAddr) {
        let position = self.position.as_ref().filter(|position| position.node == peer);
        let after = position.map(|position| position.cursor);
        let step = ReadStep::begin("poll of a peer", control);
        let read = read_changes(control, &peer, address, after).await;
        step.end(control);
        match read {
            Ok(cursor) => {
                self.position = Some(PeerPosition { node: peer, cursor });
                let interval = control.peers.poll_interval().max(MIN_READ_INTERVAL);
                tokio::time::sleep(control.read_pause(interval)).await;
            }
            Err(err) if err.may_ask_again() => {
                log::info!(peer = peer.as_str(); "the peer is polled again: {err}");
                tokio::time::sleep(MIN_READ_INTERVAL).await;
            }
            Err(err) => {
                log::warn!(peer = peer.as_str(); "a peer is no source of changes: {err}");
                let answered = matches!(err, ChangesError::ErrorStatus(_));
                control.peers.record_source_failure(&peer, answered);
                self.startup_reader = None;
                tokio::task::spawn_local(read_any_snapshot(control.clone()));
            }
        }
    }
}

/// Records regularly that the daemon is running, until the duty stops.
pub(crate) async fn track_awake_time(control: Rc<Control>) {
    loop {
        control.state.borrow_mut().record_running(control.now());
        tokio::time::sleep(Duration::from_millis(RunningTime::TICK_INTERVAL.0)).await;
    }
}

/// Waits before the store is called again, at most until a peer is available as a source or a read
/// that was late is answered.
async fn back_off_from_store(control: &Control, backoff: Duration) {
    let step = ReadStep::begin("backoff from the store", control);
    let clock = control.cx.clock;
    let until = clock.now() + Millis(control.peers.jittered(backoff).as_millis() as u64);
    while clock.now() < until && control.peers.source().is_none() && control.is_store_unreachable()
    {
        clock.sleep_until(until.min(clock.now() + PropagationBudget::SOURCE_CHECK_INTERVAL)).await;
    }
    step.end(control);
}

/// Reads the latest snapshot that a random peer has, if the store has been silent for long.
async fn read_any_snapshot(control: Rc<Control>) {
    let Some((node, peer)) = control.peers.random_peer().filter(|_| control.store_is_silent())
    else {
        return;
    };
    if let Err(err) = read_snapshot(&control, node, peer).await {
        log::debug!("a peer has no newer snapshot: {err}");
    }
}
