//! Reading the store: a list of everything, then each change.

use std::rc::Rc;
use std::time::Duration;

use cherrystand_core::{Document, Revision};
use cherrystand_platform::{KeyValue, PlatformError, SiteDriver};

use crate::keys;
use crate::site::Driver;
use crate::site::control::Control;

/// How long one watch waits for a change.
const WATCH_FOR: Duration = Duration::from_millis(2_500);

/// The least time between two watches; changes that come faster arrive together.
const LEAST_BETWEEN: Duration = Duration::from_millis(60);

/// How long a reader pauses after the store failed it, at first.
const FAILURE_PAUSE: Duration = Duration::from_millis(250);

/// How long it pauses at the most.
const LONGEST_PAUSE: Duration = Duration::from_millis(1_000);

/// Reads the store for as long as the duty runs.
pub(crate) async fn follow_store(control: Rc<Control>) {
    let mut known: Option<Revision> = None;
    let mut pause = FAILURE_PAUSE;
    loop {
        let read = match known {
            None => list_all(&control).await,
            Some(after) => watch_once(&control, after).await,
        };
        match read {
            Ok(revision) => {
                known = Some(revision);
                pause = FAILURE_PAUSE;
                tokio::time::sleep(LEAST_BETWEEN).await;
            }
            Err(err) => {
                log::warn!("the store could not be read: {err}");
                if matches!(err, PlatformError::Forgotten) {
                    known = None;
                    continue;
                }
                control.store_failed();
                tokio::time::sleep(pause).await;
                pause = (pause * 2).min(LONGEST_PAUSE);
            }
        }
    }
}

async fn list_all(control: &Control) -> Result<Revision, PlatformError> {
    let config = control.store.get(Driver::CONFIG_KEY).await?;
    let records = control.store.list(keys::SHARED).await?;
    let boxes = control.store.list(Driver::BOXES).await?;
    let now = control.now();
    let mut known = control.known.borrow_mut();
    for record in config.iter() {
        known.take_config(record);
    }
    known.take_changes(&records, now);
    known.take_list(&boxes.records, boxes.revision, now);
    drop(known);
    control.store_answered();
    // What changed between the three reads comes again.
    Ok(records.revision)
}

async fn watch_once(control: &Control, after: Revision) -> Result<Revision, PlatformError> {
    let changes = control.store.watch("", after, WATCH_FOR).await?;
    let revision = changes.revision.max(after);
    control.known.borrow_mut().take_changes(&changes, control.now());
    control.store_answered();
    Ok(revision)
}

/// Reads the boxes that a peer passed on.
pub(crate) fn entries_in(document: &Document) -> Option<Vec<Document>> {
    serde_json::from_str(&document.body).ok()
}
