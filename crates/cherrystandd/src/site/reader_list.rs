//! The note of who reads the store for a zone: keeping it, and starting by it.

use std::rc::Rc;
use std::time::Duration;

use cherrystand_core::{Heartbeat, NoteKeeper, NotedReader, ReaderNote, Revision};
use cherrystand_platform::{KeyValue, PlatformError, Swap};
use futures_util::future::select_all;

use crate::keys;
use crate::site::change_sharing::{PeerPosition, read_changes};
use crate::site::control::Control;

/// How often a daemon looks whether the note is to be written.
const CHECK_INTERVAL: Duration = Duration::from_millis(500);

/// How long a daemon that starts waits for the readers noted, which may be starting as well; then
/// it reads the store itself.
const READERS_TIMEOUT: Duration = Duration::from_millis(900);

/// How long it waits before it asks one again that does not listen yet; daemons that lose power
/// together start within 300 ms of each other.
const RETRY_DELAY: Duration = Duration::from_millis(40);

/// Keeps the note of this node's zone for as long as the duty runs, where there are readers.
pub(crate) async fn publish_reader_list(control: Rc<Control>) {
    if !control.cx.settings.policy.readers {
        return;
    }
    let mut keeper = NoteKeeper::default();
    loop {
        tokio::time::sleep(CHECK_INTERVAL).await;
        let view = control.cx.view_now();
        let alive: Vec<&Heartbeat> = view.alive().collect();
        let listed = alive.len() as u64 * control.state.borrow().box_count() as u64;
        if listed < control.cx.settings.policy.note_readers_from {
            continue;
        }
        let note = ReaderNote::of_zone(&view.own, &alive);
        if let Some(note) = keeper.due(&view.own.node, note, control.now()) {
            match write_reader_list(&control, &note).await {
                Ok(true) => keeper.written(note),
                // Somebody else wrote it just now: the next look reads what.
                Ok(false) => keeper.failed(control.now()),
                Err(err) => {
                    log::warn!("the readers of this zone could not be noted: {err}");
                    keeper.failed(control.now());
                }
            }
        }
    }
}

/// Writes the note unless it stands there already, and tells whether it stands there now.
async fn write_reader_list(control: &Control, note: &ReaderNote) -> Result<bool, PlatformError> {
    let key = keys::readers(&control.cx.settings.zone);
    let held = control.store.get(&key).await?;
    if held.as_ref().and_then(|held| parse_reader_list(&held.body)).as_ref() == Some(note) {
        return Ok(true);
    }
    let expected = held.map_or(Revision::NONE, |held| held.revision);
    let body = match serde_json::to_string(note) {
        Ok(body) => body,
        Err(err) => {
            log::error!("the readers of this zone cannot be written down: {err}");
            // It would fail again; a daemon that starts lists the store where there is no note.
            return Ok(true);
        }
    };
    let swap = control.store.swap(&key, expected, &body).await?;
    Ok(matches!(swap, Swap::Done(_)))
}

fn parse_reader_list(body: &str) -> Option<ReaderNote> {
    match serde_json::from_str(body) {
        Ok(note) => Some(note),
        Err(err) => {
            log::error!("the note of the readers is malformed: {err}");
            None
        }
    }
}

/// A reader that a daemon started by, and how far it has read there.
pub(crate) struct StartupSource {
    /// The reader.
    pub(crate) reader: NotedReader,
    /// How far.
    pub(crate) position: PeerPosition,
}

/// Says what the note leaves a daemon to do that starts.
pub(crate) enum StartupOutcome {
    /// A reader told it everything.
    ReadFromPeer(StartupSource),
    /// It is the one to read the store, or those that are do not answer.
    ReadStore,
    /// There is no note: it may learn of peers that read the store.
    NoList,
}

/// Reads everything from the readers that the note names, whichever answers first.
pub(crate) async fn start_from_listed_readers(control: &Control) -> StartupOutcome {
    if !control.cx.settings.policy.readers {
        return StartupOutcome::NoList;
    }
    let key = keys::readers(&control.cx.settings.zone);
    let note = match control.store.get(&key).await {
        Ok(held) => held.and_then(|held| parse_reader_list(&held.body)),
        Err(err) => {
            log::warn!("the note of the readers could not be read: {err}");
            None
        }
    };
    let Some(note) = note else {
        return StartupOutcome::NoList;
    };
    let started = match note.asked_by(&control.cx.settings.node) {
        [] => None,
        // The second reader reads the store where the first is not there, so that one of the two
        // can tell the others soon.
        [first] => read_from(control, first).await,
        asked => read_from_first(control, asked).await,
    };
    started.map_or(StartupOutcome::ReadStore, StartupOutcome::ReadFromPeer)
}

async fn read_from(control: &Control, reader: &NotedReader) -> Option<StartupSource> {
    match read_changes(control, &reader.node, reader.changes, None).await {
        Ok(position) => Some(StartupSource { reader: reader.clone(), position }),
        Err(err) => {
            log::debug!(reader = reader.node.as_str(); "no source of changes yet: {err}");
            None
        }
    }
}

async fn read_from_first(control: &Control, asked: &[NotedReader]) -> Option<StartupSource> {
    let ask = |reader: &NotedReader| {
        let reader = reader.clone();
        Box::pin(async move {
            loop {
                if let Some(started) = read_from(control, &reader).await {
                    return started;
                }
                tokio::time::sleep(RETRY_DELAY).await;
            }
        })
    };
    let first = select_all(asked.iter().map(ask));
    match tokio::time::timeout(READERS_TIMEOUT, first).await {
        Ok((started, _, _)) => Some(started),
        Err(_) => {
            log::warn!("the readers noted do not answer; the store is read instead");
            None
        }
    }
}
