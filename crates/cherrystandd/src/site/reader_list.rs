//! The list in the store of the daemons that read it for a zone: publishing it, and starting from
//! it.

use std::rc::Rc;
use std::time::Duration;

use cherrystand_core::{Heartbeat, ListedReader, ReaderList, ReaderListPublisher, Revision};
use cherrystand_peer::ChangeCursor;
use cherrystand_platform::{KeyValue, PlatformError, Swap};
use futures_util::future::select_all;

use crate::keys;
use crate::site::change_reading::read_changes;
use crate::site::control::Control;

/// How often a daemon checks whether the list has to be written.
const CHECK_INTERVAL: Duration = Duration::from_millis(500);

/// How long a starting daemon waits for the listed readers, which may be starting as well, before
/// it reads the store itself.
const READERS_TIMEOUT: Duration = Duration::from_millis(900);

/// How long a starting daemon waits for the list itself. Without it, it reads the store, and a store
/// that is slow is waited for there.
const LIST_TIMEOUT: Duration = Duration::from_millis(1_000);

/// The delay before a reader that does not listen yet is called again. Daemons that lose power
/// together start within 300 ms of each other.
const RETRY_DELAY: Duration = Duration::from_millis(40);

/// Keeps the list of this node's zone up to date until the duty stops, if the policy uses readers.
pub(crate) async fn publish_reader_list(control: Rc<Control>) {
    if !control.cx.settings.policy.readers {
        return;
    }
    let mut publisher = ReaderListPublisher::default();
    loop {
        tokio::time::sleep(CHECK_INTERVAL).await;
        let view = control.cx.current_view();
        let alive: Vec<&Heartbeat> = view.alive().collect();
        let total_listed = alive.len() as u64 * control.state.borrow().box_count() as u64;
        if total_listed < control.cx.settings.policy.note_readers_from {
            continue;
        }
        let list = ReaderList::of_zone(&view.own, &alive);
        if let Some(list) = publisher.due(&view.own.node, list, control.now()) {
            match write_reader_list(&control, &list).await {
                Ok(true) => publisher.record_written(list),
                // Another daemon wrote it at the same time. The next check reads what it wrote.
                Ok(false) => publisher.record_failure(control.now()),
                Err(err) => {
                    log::warn!("the reader list of this zone could not be written: {err}");
                    publisher.record_failure(control.now());
                }
            }
        }
    }
}

/// Writes the list unless the store already holds it. Returns whether the store now holds it.
async fn write_reader_list(control: &Control, list: &ReaderList) -> Result<bool, PlatformError> {
    let key = keys::readers(&control.cx.settings.zone);
    let stored = control.store.get(&key).await?;
    if stored.as_ref().and_then(|stored| parse_reader_list(&stored.body)).as_ref() == Some(list) {
        return Ok(true);
    }
    let expected = stored.map_or(Revision::NONE, |stored| stored.revision);
    let body = match serde_json::to_string(list) {
        Ok(body) => body,
        Err(err) => {
            log::error!("the reader list of this zone cannot be serialized: {err}");
            // Retrying would fail again. Without a list, a starting daemon lists the store.
            return Ok(true);
        }
    };
    let swap = control.store.swap(&key, expected, &body).await?;
    Ok(matches!(swap, Swap::Done(_)))
}

fn parse_reader_list(body: &str) -> Option<ReaderList> {
    match serde_json::from_str(body) {
        Ok(list) => Some(list),
        Err(err) => {
            log::error!("the reader list is malformed: {err}");
            None
        }
    }
}

/// A reader that a daemon started from, and how far it has read there.
pub(crate) struct StartupSource {
    /// The reader.
    pub(crate) reader: ListedReader,
    /// The position in the reader's changes.
    pub(crate) cursor: ChangeCursor,
}

/// What a starting daemon has to do next.
pub(crate) enum StartupOutcome {
    /// Continue from the reader that sent it everything.
    ReadFromPeer(StartupSource),
    /// Read the store, because it is the first reader or the listed readers do not answer.
    ReadStore,
    /// Discover peers that read the store, because there is no list.
    NoList,
}

/// Reads everything from the first of the listed readers that answers.
pub(crate) async fn start_from_listed_readers(control: &Control) -> StartupOutcome {
    if !control.cx.settings.policy.readers {
        return StartupOutcome::NoList;
    }
    let key = keys::readers(&control.cx.settings.zone);
    let list = match tokio::time::timeout(LIST_TIMEOUT, control.store.get(&key)).await {
        Ok(Ok(stored)) => stored.and_then(|stored| parse_reader_list(&stored.body)),
        Ok(Err(err)) => {
            log::warn!("the reader list could not be read: {err}");
            None
        }
        Err(_) => {
            log::warn!("the reader list was not read in time");
            None
        }
    };
    let Some(list) = list else {
        return StartupOutcome::NoList;
    };
    let started = match list.readers_for(&control.cx.settings.node) {
        [] => None,
        // The second reader reads the store itself if the first one does not answer, so that one of
        // them can serve the others soon.
        [first] => read_from(control, first).await,
        readers => read_from_first(control, readers).await,
    };
    started.map_or(StartupOutcome::ReadStore, StartupOutcome::ReadFromPeer)
}

async fn read_from(control: &Control, reader: &ListedReader) -> Option<StartupSource> {
    match read_changes(control, &reader.node, reader.changes, None).await {
        Ok(cursor) => Some(StartupSource { reader: reader.clone(), cursor }),
        Err(err) => {
            log::debug!(reader = reader.node.as_str(); "the reader does not serve changes yet: {err}");
            None
        }
    }
}

async fn read_from_first(control: &Control, readers: &[ListedReader]) -> Option<StartupSource> {
    let read_with_retries = |reader: &ListedReader| {
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
    let first = select_all(readers.iter().map(read_with_retries));
    match tokio::time::timeout(READERS_TIMEOUT, first).await {
        Ok((started, _, _)) => Some(started),
        Err(_) => {
            log::warn!("the readers noted do not answer; the store is read instead");
            None
        }
    }
}
