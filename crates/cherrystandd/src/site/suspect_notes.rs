//! Keeping the store's record of requests that end replicas.

use std::rc::Rc;
use std::time::Duration;

use cherrystand_core::{Document, Revision, SuspectRecord};
use cherrystand_platform::{KeyValue, Swap};

use crate::site::control::Control;
use crate::{clock, keys};

/// How long a daemon waits, on the mean, before it writes: all that saw a box end would write the same.
const LET_OTHERS_WRITE: Duration = Duration::from_millis(150);

/// How long it waits after the store did not take the record.
const FAILURE_PAUSE: Duration = Duration::from_millis(500);

/// Writes what this node has to say beside the record, for as long as the duty runs.
pub(crate) async fn keep_suspects(control: Rc<Control>) {
    let mut own = control.cx.suspects.clone();
    while own.changed().await.is_ok() {
        tokio::time::sleep(control.peers.jittered(LET_OTHERS_WRITE)).await;
        loop {
            let told = own.borrow_and_update().clone();
            let (revision, stands) = control.state.borrow().suspects();
            let Some(next) = stands.merged_with(&told, clock::unix_millis()) else { break };
            if !write(&control, revision, &next).await {
                tokio::time::sleep(control.peers.jittered(FAILURE_PAUSE)).await;
            }
        }
    }
}

/// Writes the record, or reads what stands there, and tells whether the store answered.
async fn write(control: &Control, expected: Revision, next: &SuspectRecord) -> bool {
    let body = match serde_json::to_string(next) {
        Ok(body) => body,
        Err(err) => {
            log::error!("no record of requests that end replicas is written: {err}");
            return false;
        }
    };
    let swapped = control.store.swap(keys::SUSPECTS, expected, &body).await;
    if let Ok(Swap::Done(revision)) = swapped {
        let key = keys::SUSPECTS.into();
        let copy = Document { key, revision, body: body.into() };
        control.state.borrow_mut().apply_suspects(&copy);
        control.publish_and_wake();
        return true;
    }
    if let Err(err) = &swapped {
        log::warn!("the record of requests that end replicas may not be written: {err}");
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
            log::warn!("the record of requests that end replicas could not be read: {err}");
            false
        }
    }
}
