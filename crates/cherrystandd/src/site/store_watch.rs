//! Reading the store, or a peer that does: a list of everything, then each change.

use std::net::SocketAddr;
use std::pin::pin;
use std::rc::Rc;
use std::time::Duration;

use cherrystand_core::{AwakeTime, Millis, NewsBudget, NodeId, NotedReader, Revision};
use cherrystand_peer::ChangeCursor;
use cherrystand_platform::{Changes, KeyValue, PlatformError, SiteDriver};
use futures_util::future::{Either, select};

use crate::keys;
use crate::site::change_sharing::{
    ChangesError, PeerPosition, ask_witness, read_changes, read_snapshot,
};
use crate::site::control::{Control, to_duration};
use crate::site::reader_list::{StartupOutcome, start_from_listed_readers};
use crate::site::{ChangeSource, Driver};

/// The least time between two watches or questions.
const MIN_READ_INTERVAL: Duration = Duration::from_millis(NewsBudget::BETWEEN_WATCHES.0);

/// The same for a node that is no reader and reads the store while its readers fail.
const MIN_READ_INTERVAL_NON_READER: Duration = Duration::from_millis(250);

/// How long a reader pauses after the store failed it, at first.
const FAILURE_BACKOFF: Duration = Duration::from_millis(250);

/// How long it pauses at the most.
const MAX_FAILURE_BACKOFF: Duration = Duration::from_millis(1_000);

/// How long a node pauses at the most that is no reader: the readers notice that the store answers
/// again, and it reads from them then.
const MAX_FAILURE_BACKOFF_NON_READER: Duration = Duration::from_millis(4_000);

/// How long a question to the store that is asked again waits for a change: an answer is wanted at once.
const HEDGED_WATCH_WAIT: Duration = Duration::ZERO;

/// How many peers are asked whether the store was out.
const MAX_WITNESSES: usize = 2;

/// How long a watch over what operators write alone waits.
const OPERATOR_WATCH_WAIT: Duration = Duration::from_secs(15);

/// How long such a watch waits after one that failed, so that an answer is noticed soon.
const OPERATOR_RETRY_WAIT: Duration = Duration::from_millis(500);

/// How long a node that the store turned away pauses before it asks again, at first.
const UNREACHABLE_BACKOFF: Duration = Duration::from_millis(1_000);

/// How long it pauses at the most; it reads from peers meanwhile, and each refused call is paid for.
const MAX_UNREACHABLE_BACKOFF: Duration = Duration::from_millis(8_000);

/// The least time between two such watches.
const OPERATOR_WATCH_INTERVAL: Duration = Duration::from_millis(1_000);

/// How long a node learns of its peers before it reads, at the very first start of all.
const FIRST_START_DELAY: Duration = Duration::from_millis(1_500);

/// How long it does at any other start, when callers wait for it, where no reader told it anything.
const START_DELAY: Duration = Duration::from_millis(100);

/// By this time after its start a node knows its peers, and chooses whom it reads from by that.
const PEER_DISCOVERY_TIME: Millis = Millis(3_000);

/// How far a node has read, and where.
#[derive(Clone, Debug)]
enum ReadPosition {
    /// In the store, up to a revision.
    Store(Revision),
    /// At a peer.
    Peer(NodeId, PeerPosition),
}

/// Reads the store, or a peer that reads it, for as long as the duty runs.
pub(crate) async fn follow_store(control: Rc<Control>) {
    let mut reading =
        StoreFollower { position: None, backoff: FAILURE_BACKOFF, startup_reader: None };
    if control.is_first_start() {
        tokio::time::sleep(FIRST_START_DELAY).await;
    } else {
        reading.start(&control).await;
    }
    loop {
        let source = control.peers.source().or_else(|| reading.startup_reader(control.now()));
        match source {
            None => reading.read_from_store(&control).await,
            Some((peer, address)) => reading.read_from_peer(&control, peer, address).await,
        }
    }
}

/// How far a node has read, and how long it pauses after the next failure of the store.
struct StoreFollower {
    position: Option<ReadPosition>,
    backoff: Duration,
    /// The reader that the node started by.
    startup_reader: Option<NotedReader>,
}

impl StoreFollower {
    /// Reads everything from the readers that the store names, or learns of peers for a moment.
    async fn start(&mut self, control: &Control) {
        match start_from_listed_readers(control).await {
            StartupOutcome::ReadFromPeer(started) => {
                self.position =
                    Some(ReadPosition::Peer(started.reader.node.clone(), started.position));
                self.startup_reader = Some(started.reader);
            }
            StartupOutcome::ReadStore => {}
            StartupOutcome::NoList => tokio::time::sleep(START_DELAY).await,
        }
    }

    /// Returns the reader that the node started by, while it has yet to learn of its peers.
    fn startup_reader(&self, now: Millis) -> Option<(NodeId, SocketAddr)> {
        let reader = self.startup_reader.as_ref().filter(|_| now < PEER_DISCOVERY_TIME)?;
        Some((reader.node.clone(), reader.changes))
    }

    async fn read_from_store(&mut self, control: &Control) {
        let reads = control.peers.is_reader();
        match read_store(control, self.position.as_ref()).await {
            Ok(revision) => {
                self.position = Some(ReadPosition::Store(revision));
                if control.state.borrow_mut().take_relist_due(control.now()) {
                    self.position = None;
                }
                self.backoff = FAILURE_BACKOFF;
                let between = match reads {
                    true => control.peers.watch_interval().max(MIN_READ_INTERVAL),
                    false => MIN_READ_INTERVAL_NON_READER,
                };
                let silence = control.state.borrow_mut().take_unconfirmed_outage();
                if let Some(silence) = silence {
                    confirm_outage(control, silence).await;
                }
                tokio::time::sleep(control.read_pause(between)).await;
            }
            Err(PlatformError::Forgotten | PlatformError::OtherEra) => self.position = None,
            Err(err) => {
                if !control.record_store_failure() {
                    log::info!("this daemon stood still while it read the store: {err}");
                    return;
                }
                log::warn!("the store could not be read: {err}");
                read_any_snapshot(control).await;
                back_off_from_store(control, self.backoff).await;
                let longest =
                    if reads { MAX_FAILURE_BACKOFF } else { MAX_FAILURE_BACKOFF_NON_READER };
                self.backoff = (self.backoff * 2).min(longest);
            }
        }
    }

    async fn read_from_peer(&mut self, control: &Control, peer: NodeId, address: SocketAddr) {
        let after = cursor_for(self.position.as_ref(), &peer);
        match read_changes(control, &peer, address, after).await {
            Ok(read) => {
                self.position = Some(ReadPosition::Peer(peer, read));
                let between = control.peers.poll_interval().max(MIN_READ_INTERVAL);
                tokio::time::sleep(control.read_pause(between)).await;
            }
            Err(err @ ChangesError::Paused) => {
                log::info!(peer = peer.as_str(); "the peer is asked again: {err}");
            }
            Err(err) => {
                log::warn!(peer = peer.as_str(); "a peer is no source of changes: {err}");
                let answered = matches!(err, ChangesError::NotServed(_));
                control.peers.record_source_failure(&peer, answered);
                self.startup_reader = None;
                read_any_snapshot(control).await;
            }
        }
    }
}

/// Asks peers whether the store was out at all, which this daemon cannot tell from a cut of its own.
async fn confirm_outage(control: &Control, silence: Millis) {
    for _ in 0..MAX_WITNESSES {
        let Some((node, peer)) = control.peers.random_peer() else { return };
        match ask_witness(control, node.clone(), peer, silence).await {
            Ok(true) => {
                log::info!(
                    silence_ms = silence.0, witness = node.as_str();
                    "the store was not out; this daemon was cut off from it"
                );
                return;
            }
            Ok(false) => {}
            Err(err) => log::debug!("a peer does not tell whether the store was out: {err}"),
        }
    }
}

/// Says that the daemon is awake, for as long as the duty runs.
pub(crate) async fn track_awake_time(control: Rc<Control>) {
    loop {
        control.state.borrow_mut().record_running(control.now());
        tokio::time::sleep(Duration::from_millis(AwakeTime::TOLD_EVERY.0)).await;
    }
}

/// Pauses before the store is asked again, until a peer is a source at the longest.
async fn back_off_from_store(control: &Control, pause: Duration) {
    let clock = control.cx.clock;
    let until = clock.now() + Millis(control.peers.jittered(pause).as_millis() as u64);
    while clock.now() < until && control.peers.source().is_none() {
        clock.sleep_until(until.min(clock.now() + NewsBudget::LOOK_FOR_SOURCE)).await;
    }
}

/// Takes over what some peer knew last, where this node has heard nothing for long.
async fn read_any_snapshot(control: &Control) {
    let Some((node, peer)) = control.peers.random_peer().filter(|_| control.store_is_silent())
    else {
        return;
    };
    if let Err(err) = read_snapshot(control, node, peer).await {
        log::debug!("a peer has no newer copy of what the store told: {err}");
    }
}

fn cursor_for(place: Option<&ReadPosition>, peer: &NodeId) -> Option<ChangeCursor> {
    match place {
        Some(ReadPosition::Peer(node, read)) if node == peer => Some(read.cursor),
        _ => None,
    }
}

async fn read_store(
    control: &Control,
    position: Option<&ReadPosition>,
) -> Result<Revision, PlatformError> {
    match position {
        Some(
            ReadPosition::Store(after)
            | ReadPosition::Peer(_, PeerPosition { store: Some(after), .. }),
        ) => watch_once(control, *after).await,
        // A peer may have kept boxes that the store lists no more.
        _ => list_all(control).await,
    }
}

/// Watches what operators write in the store while everything else is read from a peer.
///
/// Only the readers of a zone do, so that two of its nodes have a way of their own to the store;
/// all others have a reader and what peers pass on. A node that the store turned away asks now and
/// then whether it still does.
pub(crate) async fn watch_operator_keys(control: Rc<Control>) {
    let mut pause = UNREACHABLE_BACKOFF;
    loop {
        tokio::time::sleep(OPERATOR_WATCH_INTERVAL).await;
        let after = control.state.borrow().revision();
        if control.peers.source().is_none() || after == Revision::NONE {
            continue;
        }
        let wait = if control.is_store_unreachable() {
            tokio::time::sleep(control.peers.jittered(pause)).await;
            pause = (pause * 2).min(MAX_UNREACHABLE_BACKOFF);
            OPERATOR_RETRY_WAIT
        } else {
            pause = UNREACHABLE_BACKOFF;
            OPERATOR_WATCH_WAIT
        };
        if control.is_store_unreachable() || control.peers.is_reader() {
            watch_operator_keys_once(&control, after, wait).await;
        }
    }
}

async fn watch_operator_keys_once(control: &Control, after: Revision, wait: Duration) {
    match control.store.watch(Driver::OPERATORS, after, wait).await {
        Ok(changes) => {
            control.record_store_answer();
            let news = control.state.borrow_mut().apply_operator_changes(&changes, control.now());
            if news {
                control.publish_and_wake();
            }
        }
        // Whoever reads everything learns of it by itself.
        Err(PlatformError::Forgotten | PlatformError::OtherEra) => {}
        Err(err) => {
            log::warn!("what operators write could not be watched: {err}");
            control.record_store_miss();
        }
    }
}

async fn list_all(control: &Control) -> Result<Revision, PlatformError> {
    let records = control.store.list(keys::SHARED).await?;
    let boxes = control.store.list(Driver::BOXES);
    let operators = control.store.list(Driver::OPERATORS);
    let (boxes, operators) = tokio::join!(boxes, operators);
    let (boxes, operators) = (boxes?, operators?);
    let now = control.now();
    if operators.revision.era() != records.revision.era()
        || boxes.revision.era() != records.revision.era()
    {
        return Err(PlatformError::OtherEra);
    }
    let mut known = control.state.borrow_mut();
    known.enter_era(boxes.revision, now);
    known.apply_operator_list(&operators, now);
    known.mark_missing_records_lost(&records);
    known.apply_changes(&records, now);
    known.apply_list(&boxes.records, boxes.revision, now);
    drop(known);
    control.record_store_answer();
    control.record_update(&ChangeSource::Store, Millis(0), true);
    // The first of the three reads counts: what changed after it comes again.
    Ok(records.revision)
}

/// Watches the store; where no answer comes in time, also over another connection, as one may fall silent for good
/// while new ones work. Whichever answers first counts.
async fn watch_hedged(control: &Control, after: Revision) -> Result<Changes, PlatformError> {
    let budget = control.budget;
    let first = pin!(control.store.watch("", after, to_duration(budget.watch_for())));
    let pause = tokio::time::sleep(to_duration(budget.doubled_after()));
    let mut first = match select(first, pin!(pause)).await {
        Either::Left((answer, _)) => return answer,
        Either::Right(((), first)) => first,
    };
    // Idle connections may have fallen silent with that one.
    control.store.forget_connections();
    let mut second = pin!(control.store.watch("", after, HEDGED_WATCH_WAIT));
    match select(&mut first, &mut second).await {
        Either::Left((Ok(changes), _)) | Either::Right((Ok(changes), _)) => Ok(changes),
        Either::Left((Err(_), _)) => second.await,
        Either::Right((Err(_), _)) => first.await,
    }
}

async fn watch_once(control: &Control, after: Revision) -> Result<Revision, PlatformError> {
    let changes = watch_hedged(control, after).await?;
    let revision = changes.revision.max(after);
    let before = control.state.borrow().change_count();
    control.time_apply(|| control.state.borrow_mut().apply_changes(&changes, control.now()));
    control.record_store_answer();
    // Most answers of a watch hold heartbeats that say nothing new.
    let news = control.state.borrow().change_count() != before;
    control.record_update(&ChangeSource::Store, Millis(0), news);
    // Orders that failed are sent again, and closings run out, without any news of boxes.
    control.wake.notify_one();
    Ok(revision)
}
