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
    ChangesError, PeerPosition, ask_witness, read_changes, read_copy,
};
use crate::site::control::{Control, duration};
use crate::site::reader_notes::{Start, start_by_note};
use crate::site::{ChangeSource, Driver};

/// The least time between two watches or questions.
const LEAST_BETWEEN: Duration = Duration::from_millis(NewsBudget::BETWEEN_WATCHES.0);

/// The same for a node that is no reader and reads the store while its readers fail.
const LEAST_BETWEEN_OF_OTHERS: Duration = Duration::from_millis(250);

/// How long a reader pauses after the store failed it, at first.
const FAILURE_PAUSE: Duration = Duration::from_millis(250);

/// How long it pauses at the most.
const LONGEST_PAUSE: Duration = Duration::from_millis(1_000);

/// How long a node pauses at the most that is no reader: the readers notice that the store answers
/// again, and it reads from them then.
const LONGEST_PAUSE_OF_OTHERS: Duration = Duration::from_millis(4_000);

/// How long a question to the store that is asked again waits for a change: an answer is wanted at once.
const SECOND_WAITS_FOR: Duration = Duration::ZERO;

/// How many peers are asked whether the store was out.
const WITNESSES: usize = 2;

/// How long a watch over what operators write alone waits.
const OPERATORS_WATCH_FOR: Duration = Duration::from_secs(15);

/// How long such a watch waits after one that failed, so that an answer is noticed soon.
const OPERATORS_RETRY_FOR: Duration = Duration::from_millis(500);

/// How long a node that the store turned away pauses before it asks again, at first.
const TURNED_AWAY_PAUSE: Duration = Duration::from_millis(1_000);

/// How long it pauses at the most; it reads from peers meanwhile, and each refused call is paid for.
const LONGEST_TURNED_AWAY: Duration = Duration::from_millis(8_000);

/// The least time between two such watches.
const OPERATORS_BETWEEN: Duration = Duration::from_millis(1_000);

/// How long a node learns of its peers before it reads, at the very first start of all.
const LOOK_FIRST: Duration = Duration::from_millis(1_500);

/// How long it does at any other start, when callers wait for it, where no reader told it anything.
const LOOK_FIRST_AGAIN: Duration = Duration::from_millis(100);

/// By this time after its start a node knows its peers, and chooses whom it reads from by that.
const PEERS_KNOWN_WITHIN: Millis = Millis(3_000);

/// How far a node has read, and where.
#[derive(Clone, Debug)]
enum Place {
    /// In the store, up to a revision.
    Store(Revision),
    /// At a peer.
    Peer(NodeId, PeerPosition),
}

/// Reads the store, or a peer that reads it, for as long as the duty runs.
pub(crate) async fn follow_store(control: Rc<Control>) {
    let mut reading = Reading { place: None, pause: FAILURE_PAUSE, started_by: None };
    if control.is_first_start() {
        tokio::time::sleep(LOOK_FIRST).await;
    } else {
        reading.start(&control).await;
    }
    loop {
        let source = control.peers.source().or_else(|| reading.started_by(control.now()));
        match source {
            None => reading.of_store(&control).await,
            Some((peer, address)) => reading.of_peer(&control, peer, address).await,
        }
    }
}

/// How far a node has read, and how long it pauses after the next failure of the store.
struct Reading {
    place: Option<Place>,
    pause: Duration,
    /// The reader that the node started by.
    started_by: Option<NotedReader>,
}

impl Reading {
    /// Reads everything from the readers that the store names, or learns of peers for a moment.
    async fn start(&mut self, control: &Control) {
        match start_by_note(control).await {
            Start::Told(started) => {
                self.place = Some(Place::Peer(started.reader.node.clone(), started.place));
                self.started_by = Some(started.reader);
            }
            Start::ReadsStore => {}
            Start::NoNote => tokio::time::sleep(LOOK_FIRST_AGAIN).await,
        }
    }

    /// Returns the reader that the node started by, while it has yet to learn of its peers.
    fn started_by(&self, now: Millis) -> Option<(NodeId, SocketAddr)> {
        let reader = self.started_by.as_ref().filter(|_| now < PEERS_KNOWN_WITHIN)?;
        Some((reader.node.clone(), reader.changes))
    }

    async fn of_store(&mut self, control: &Control) {
        let reads = control.peers.is_reader();
        match read_store(control, self.place.as_ref()).await {
            Ok(revision) => {
                self.place = Some(Place::Store(revision));
                if control.known.borrow_mut().take_list_again(control.now()) {
                    self.place = None;
                }
                self.pause = FAILURE_PAUSE;
                let between = match reads {
                    true => control.peers.between_watches().max(LEAST_BETWEEN),
                    false => LEAST_BETWEEN_OF_OTHERS,
                };
                let silence = control.known.borrow_mut().take_doubt();
                if let Some(silence) = silence {
                    ask_whether_out(control, silence).await;
                }
                tokio::time::sleep(control.rest_after_reading(between)).await;
            }
            Err(PlatformError::Forgotten | PlatformError::OtherEra) => self.place = None,
            Err(err) => {
                if !control.store_failed() {
                    log::info!("this daemon stood still while it read the store: {err}");
                    return;
                }
                log::warn!("the store could not be read: {err}");
                take_copy(control).await;
                pause_for_store(control, self.pause).await;
                let longest = if reads { LONGEST_PAUSE } else { LONGEST_PAUSE_OF_OTHERS };
                self.pause = (self.pause * 2).min(longest);
            }
        }
    }

    async fn of_peer(&mut self, control: &Control, peer: NodeId, address: SocketAddr) {
        let after = cursor_at(self.place.as_ref(), &peer);
        match read_changes(control, &peer, address, after).await {
            Ok(read) => {
                self.place = Some(Place::Peer(peer, read));
                let between = control.peers.between_questions().max(LEAST_BETWEEN);
                tokio::time::sleep(control.rest_after_reading(between)).await;
            }
            Err(err @ ChangesError::StoodStill) => {
                log::info!(peer = peer.as_str(); "the peer is asked again: {err}");
            }
            Err(err) => {
                log::warn!(peer = peer.as_str(); "a peer is no source of changes: {err}");
                let answered = matches!(err, ChangesError::NotServed(_));
                control.peers.source_failed(&peer, answered);
                self.started_by = None;
                take_copy(control).await;
            }
        }
    }
}

/// Asks peers whether the store was out at all, which this daemon cannot tell from a cut of its own.
async fn ask_whether_out(control: &Control, silence: Millis) {
    for _ in 0..WITNESSES {
        let Some((node, peer)) = control.peers.any() else { return };
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
pub(crate) async fn stay_awake(control: Rc<Control>) {
    loop {
        control.known.borrow_mut().awake(control.now());
        tokio::time::sleep(Duration::from_millis(AwakeTime::TOLD_EVERY.0)).await;
    }
}

/// Pauses before the store is asked again, until a peer is a source at the longest.
async fn pause_for_store(control: &Control, pause: Duration) {
    let clock = control.cx.clock;
    let until = clock.now() + Millis(control.peers.jittered(pause).as_millis() as u64);
    while clock.now() < until && control.peers.source().is_none() {
        clock.sleep_until(until.min(clock.now() + NewsBudget::LOOK_FOR_SOURCE)).await;
    }
}

/// Takes over what some peer knew last, where this node has heard nothing for long.
async fn take_copy(control: &Control) {
    let Some((node, peer)) = control.peers.any().filter(|_| control.store_is_silent()) else {
        return;
    };
    if let Err(err) = read_copy(control, node, peer).await {
        log::debug!("a peer has no newer copy of what the store told: {err}");
    }
}

fn cursor_at(place: Option<&Place>, peer: &NodeId) -> Option<ChangeCursor> {
    match place {
        Some(Place::Peer(node, read)) if node == peer => Some(read.cursor),
        _ => None,
    }
}

async fn read_store(control: &Control, place: Option<&Place>) -> Result<Revision, PlatformError> {
    match place {
        Some(Place::Store(after) | Place::Peer(_, PeerPosition { store: Some(after), .. })) => {
            watch_once(control, *after).await
        }
        // A peer may have kept boxes that the store lists no more.
        _ => list_all(control).await,
    }
}

/// Watches what operators write in the store while everything else is read from a peer.
///
/// Only the readers of a zone do, so that two of its nodes have a way of their own to the store;
/// all others have a reader and what peers pass on. A node that the store turned away asks now and
/// then whether it still does.
pub(crate) async fn follow_operators(control: Rc<Control>) {
    let mut pause = TURNED_AWAY_PAUSE;
    loop {
        tokio::time::sleep(OPERATORS_BETWEEN).await;
        let after = control.known.borrow().revision();
        if control.peers.source().is_none() || after == Revision::NONE {
            continue;
        }
        let wait = if control.is_turned_away() {
            tokio::time::sleep(control.peers.jittered(pause)).await;
            pause = (pause * 2).min(LONGEST_TURNED_AWAY);
            OPERATORS_RETRY_FOR
        } else {
            pause = TURNED_AWAY_PAUSE;
            OPERATORS_WATCH_FOR
        };
        if control.is_turned_away() || control.peers.is_reader() {
            watch_operators(&control, after, wait).await;
        }
    }
}

async fn watch_operators(control: &Control, after: Revision, wait: Duration) {
    match control.store.watch(Driver::OPERATORS, after, wait).await {
        Ok(changes) => {
            control.store_reached();
            let news = control.known.borrow_mut().take_operators(&changes, control.now());
            if news {
                control.spread_news();
            }
        }
        // Whoever reads everything learns of it by itself.
        Err(PlatformError::Forgotten | PlatformError::OtherEra) => {}
        Err(err) => {
            log::warn!("what operators write could not be watched: {err}");
            control.store_missed();
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
    let mut known = control.known.borrow_mut();
    known.enter_era(boxes.revision, now);
    known.list_operators(&operators, now);
    known.restore_records(&records);
    known.take_changes(&records, now);
    known.take_list(&boxes.records, boxes.revision, now);
    drop(known);
    control.store_reached();
    control.learned(&ChangeSource::Store, Millis(0), true);
    // The first of the three reads counts: what changed after it comes again.
    Ok(records.revision)
}

/// Watches the store; where no answer comes in time, also over another connection, as one may fall silent for good
/// while new ones work. Whichever answers first counts.
async fn watch_doubled(control: &Control, after: Revision) -> Result<Changes, PlatformError> {
    let budget = control.budget;
    let first = pin!(control.store.watch("", after, duration(budget.watch_for())));
    let pause = tokio::time::sleep(duration(budget.doubled_after()));
    let mut first = match select(first, pin!(pause)).await {
        Either::Left((answer, _)) => return answer,
        Either::Right(((), first)) => first,
    };
    // Idle connections may have fallen silent with that one.
    control.store.forget_connections();
    let mut second = pin!(control.store.watch("", after, SECOND_WAITS_FOR));
    match select(&mut first, &mut second).await {
        Either::Left((Ok(changes), _)) | Either::Right((Ok(changes), _)) => Ok(changes),
        Either::Left((Err(_), _)) => second.await,
        Either::Right((Err(_), _)) => first.await,
    }
}

async fn watch_once(control: &Control, after: Revision) -> Result<Revision, PlatformError> {
    let changes = watch_doubled(control, after).await?;
    let revision = changes.revision.max(after);
    let before = control.known.borrow().changes();
    control.timed(|| control.known.borrow_mut().take_changes(&changes, control.now()));
    control.store_reached();
    // Most answers of a watch hold heartbeats that say nothing new.
    let news = control.known.borrow().changes() != before;
    control.learned(&ChangeSource::Store, Millis(0), news);
    // Orders that failed are sent again, and closings run out, without any news of boxes.
    control.wake.notify_one();
    Ok(revision)
}
