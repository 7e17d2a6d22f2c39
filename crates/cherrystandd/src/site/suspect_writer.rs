//! Writing the store's record of requests that crash replicas.

use std::rc::Rc;
use std::time::Duration;

use cherrystand_core::{Document, Revision, SuspectRecord};
use cherrystand_platform::{KeyValue, Swap};

use crate::site::control::Control;
use crate::{clock, keys};

/// The mean delay before a daemon writes, since every daemon that saw a crash would write the same.
const MEAN_WRITE_DELAY: Duration = Duration::from_millis(150);

/// The delay after a failed write.
const RETRY_DELAY: Duration = Duration::from_millis(500);

/// Writes what this node has to add to the record, for as long as the duty runs.
pub(crate) async fn write_suspects(control: Rc<Control>) {
    let mut own = control.cx.suspects.clone();
    while own.changed().await.is_ok() {
        tokio::time::sleep(control.peers.jittered(MEAN_WRITE_DELAY)).await;
        loop {
            let additions = own.borrow_and_update().clone();
            let (revision, stored) = control.state.borrow().suspects();
            let Some(next) = stored.merged_with(&additions, clock::unix_millis()) else { break };
            if !write(&control, revision, &next).await {
                tokio::time::sleep(control.peers.jittered(RETRY_DELAY)).await;
            }
        }
    }
}

/// Writes the record, or reads the stored one if that fails. Returns whether the store answered.
async fn write(control: &Control, expected: Revision, next: &SuspectRecord) -> bool {
    let body = match serde_json::to_string(next) {
        Ok(body) => body,
        Err(err) => {
            log::error!("failed to encode the record of requests that crash replicas: {err}");
            return false;
        }
    };
    let swapped = control.store.swap(keys::SUSPECTS, expected, &body).await;
    if let Ok(Swap::Done(revision)) = swapped {
        let key = keys::SUSPECTS.into();
        let document = Document { key, revision, body: body.into() };
        control.state.borrow_mut().apply_suspects(&document);
        control.publish_and_wake();
        return true;
    }
    if let Err(err) = &swapped {
        log::warn!("failed to write the record of requests that crash replicas: {err}");
    }
    match control.store.get(keys::SUSPECTS).await {
        Ok(Some(record)) => {
            control.state.borrow_mut().apply_suspects(&record);
            control.publish_and_wake();
            swapped.is_ok()
        }
        Ok(None) => {
            control.state.borrow_mut().mark_suspects_missing();
            swapped.is_ok()
        }
        Err(err) => {
            log::warn!("failed to read the record of requests that crash replicas: {err}");
            false
        }
    }
}
